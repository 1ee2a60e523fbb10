//! A running load: sends each request at its arrival time, independent of earlier responses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::task::{JoinHandle, JoinSet};

use super::arrivals::{Arrivals, Surge};
use super::audit::AttemptRecord;
use super::caller::Caller;
use super::report::LoadReport;
use super::tally::KindTally;
use crate::scenario::Scenario;

const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of a load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// The scenario, which defines the request kinds and the behaviour of callers.
    pub scenario: Arc<Scenario>,
    /// Addresses of the edges, used round robin.
    pub edges: Vec<SocketAddr>,
    /// Time during which requests arrive.
    pub length: Duration,
    /// Period with increased arrival rates, if any.
    pub surge: Option<Surge>,
    /// Factor on every arrival rate.
    pub rate_factor: f64,
    /// Seed of the arrivals and of the choice of impatient callers.
    pub seed: u64,
}

/// Counts of a running load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Originating requests sent.
    pub sent: u64,
    /// Requests with a complete response in time.
    pub complete: u64,
    /// Requests refused without being executed.
    pub refused: u64,
    /// Requests that were late, failed or have an unknown outcome.
    pub other: u64,
    /// Originating requests that are no longer in flight, with any outcome.
    pub completed: u64,
}

/// State that the callers of one load share.
pub(super) struct LoadState {
    pub(super) settings: LoadSettings,
    pub(super) started: Instant,
    pub(super) client: Client<HttpConnector, Full<Bytes>>,
    pub(super) completed: AtomicU64,
    next_edge: AtomicUsize,
    tallies: Vec<Mutex<KindTally>>,
    attempt_records: Mutex<HashMap<String, Vec<AttemptRecord>>>,
}

impl LoadState {
    fn new(settings: LoadSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        let kinds = settings.scenario.requests.iter();
        Self {
            tallies: kinds.map(|_| Mutex::new(KindTally::new())).collect(),
            settings,
            started: Instant::now(),
            client,
            completed: AtomicU64::new(0),
            next_edge: AtomicUsize::new(0),
            attempt_records: Mutex::new(HashMap::new()),
        }
    }

    /// Returns the next edge in round-robin order.
    pub(super) fn next_edge(&self) -> SocketAddr {
        let turn = self.next_edge.fetch_add(1, Ordering::Relaxed);
        self.settings.edges[turn % self.settings.edges.len()]
    }

    /// Updates the counts of a request kind.
    pub(super) fn update_tally(&self, kind: usize, change: impl FnOnce(&mut KindTally)) {
        change(&mut lock(&self.tallies[kind]));
    }

    /// Records an attempt for the audit.
    pub(super) fn record_attempt(&self, token: &str, record: AttemptRecord) {
        let mut attempt_records = lock(&self.attempt_records);
        attempt_records
            .entry(token.to_owned())
            .or_default()
            .push(record);
    }
}

/// A running load.
pub struct RunningLoad {
    state: Arc<LoadState>,
    sending: JoinHandle<()>,
}

impl RunningLoad {
    /// Starts sending the load.
    #[must_use]
    pub fn start(settings: LoadSettings) -> Self {
        let state = Arc::new(LoadState::new(settings));
        let sending = tokio::spawn(send_all(Arc::clone(&state)));
        Self { state, sending }
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let mut progress = Progress {
            completed: self.state.completed.load(Ordering::Relaxed),
            ..Progress::default()
        };
        for tally in &self.state.tallies {
            let tally = lock(tally);
            progress.sent += tally.sent;
            progress.complete += tally.complete;
            progress.refused += tally.refused;
            progress.other += tally.late + tally.unknown + tally.failed;
        }
        progress
    }

    /// Returns true if every request has been sent and is completed.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.sending.is_finished()
    }

    /// Waits until the last request is completed and returns the report.
    pub async fn finish(self) -> LoadReport {
        // If the sender panicked, the counts show which requests were not sent.
        let _result = self.sending.await;
        let tallies: Vec<_> = self.state.tallies.iter().map(|t| lock(t).clone()).collect();
        let attempt_records = std::mem::take(&mut *lock(&self.state.attempt_records));
        LoadReport::new(&self.state.settings, &tallies, attempt_records)
    }
}

async fn send_all(state: Arc<LoadState>) {
    let settings = &state.settings;
    let arrivals = Arrivals::new(
        &settings.scenario,
        settings.length,
        settings.surge,
        settings.rate_factor,
        settings.seed,
    );
    let mut rng = Pcg64Mcg::seed_from_u64(settings.seed ^ 0xCA11_E125);
    let mut callers = JoinSet::new();
    for arrival in arrivals {
        tokio::time::sleep_until((state.started + arrival.at).into()).await;
        let caller = Caller::new(Arc::clone(&state), arrival.kind, arrival.at, &mut rng);
        callers.spawn(caller.run());
        while callers.try_join_next().is_some() {}
    }
    while callers.join_next().await.is_some() {}
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

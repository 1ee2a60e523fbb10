//! A running load: sends each arrival at its time, whatever became of those before.

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
use super::audit::AttemptNote;
use super::caller::Caller;
use super::report::LoadReport;
use super::tally::KindTally;
use crate::scenario::Scenario;

const IDLE_CONNECTION: Duration = Duration::from_secs(10);

/// Settings of a load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// The deployment, for the request kinds and the behaviour of callers.
    pub scenario: Arc<Scenario>,
    /// Edges, used in turn.
    pub edges: Vec<SocketAddr>,
    /// Length of the load.
    pub length: Duration,
    /// Period of higher demand.
    pub surge: Option<Surge>,
    /// Factor on every rate.
    pub rate_factor: f64,
    /// Seed of arrivals and impatience.
    pub seed: u64,
}

/// Counts of a load under way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Originating requests sent.
    pub sent: u64,
    /// Whole in time.
    pub complete: u64,
    /// Not run.
    pub refused: u64,
    /// Late, unknown or failed.
    pub other: u64,
    /// Originating requests whose end is known.
    pub ended: u64,
}

/// What the callers of one load share.
pub(super) struct LoadState {
    pub(super) settings: LoadSettings,
    pub(super) started: Instant,
    pub(super) client: Client<HttpConnector, Full<Bytes>>,
    pub(super) ended: AtomicU64,
    next_edge: AtomicUsize,
    tallies: Vec<Mutex<KindTally>>,
    notes: Mutex<HashMap<String, Vec<AttemptNote>>>,
}

impl LoadState {
    fn new(settings: LoadSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_CONNECTION)
            .retry_canceled_requests(false)
            .build(connector);
        let kinds = settings.scenario.requests.iter();
        Self {
            tallies: kinds.map(|_| Mutex::new(KindTally::new())).collect(),
            settings,
            started: Instant::now(),
            client,
            ended: AtomicU64::new(0),
            next_edge: AtomicUsize::new(0),
            notes: Mutex::new(HashMap::new()),
        }
    }

    /// The edge whose turn it is.
    pub(super) fn next_edge(&self) -> SocketAddr {
        let turn = self.next_edge.fetch_add(1, Ordering::Relaxed);
        self.settings.edges[turn % self.settings.edges.len()]
    }

    /// Changes the counts of a request kind.
    pub(super) fn tally(&self, kind: usize, change: impl FnOnce(&mut KindTally)) {
        change(&mut lock(&self.tallies[kind]));
    }

    /// Keeps what an attempt came to, for the audit.
    pub(super) fn note_attempt(&self, token: &str, note: AttemptNote) {
        let mut notes = lock(&self.notes);
        notes.entry(token.to_owned()).or_default().push(note);
    }
}

/// A load under way.
pub struct RunningLoad {
    state: Arc<LoadState>,
    sending: JoinHandle<()>,
}

impl RunningLoad {
    /// Starts the load.
    #[must_use]
    pub fn start(settings: LoadSettings) -> Self {
        let state = Arc::new(LoadState::new(settings));
        let sending = tokio::spawn(send_all(Arc::clone(&state)));
        Self { state, sending }
    }

    /// Counts so far.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let mut progress = Progress {
            ended: self.state.ended.load(Ordering::Relaxed),
            ..Progress::default()
        };
        for tally in &self.state.tallies {
            let tally = lock(tally);
            progress.sent += tally.sent;
            progress.complete += tally.whole;
            progress.refused += tally.refused;
            progress.other += tally.late + tally.unknown + tally.failed;
        }
        progress
    }

    /// Whether every request has been sent and has ended.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.sending.is_finished()
    }

    /// Waits for the end of the last request and reports.
    pub async fn finish(self) -> LoadReport {
        // A panic of the sender leaves counts that say what was not sent.
        let _ended = self.sending.await;
        let tallies: Vec<_> = self.state.tallies.iter().map(|t| lock(t).clone()).collect();
        let notes = std::mem::take(&mut *lock(&self.state.notes));
        LoadReport::new(&self.state.settings, &tallies, notes)
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

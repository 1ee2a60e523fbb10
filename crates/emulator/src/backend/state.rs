//! State that the connections of one backend share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use http::HeaderName;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use tokio::sync::Notify;

use super::calls::OutboundCalls;
use super::faults::{Faults, HealthMode};
use super::record::ExecutionLog;
use super::slots::Slots;
use crate::scenario::{Scenario, ServiceModel};

/// Default of [`BackendSettings::queue_limit`].
const DEFAULT_QUEUE_LIMIT: usize = 1_000;

/// Settings of an emulated backend.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// The scenario, which defines the steps of the service.
    pub scenario: Arc<Scenario>,
    /// Name of the service that the backend belongs to.
    pub service: String,
    /// Id of the backend, used in its execution log and in call ids.
    pub id: String,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address that outbound calls are sent to, usually the outbound listener of the local daemon.
    /// Absent until set; calls fail until then.
    pub outbound: Option<SocketAddr>,
    /// True if the backend starts at full speed, without a cold start.
    pub warm: bool,
    /// Maximum number of queued requests; further requests are refused.
    pub queue_limit: usize,
    /// Header in which every response reports requests running, requests waiting, slots and the
    /// factor of [`Faults::slow`] in percent; absent for none.
    pub load_report: Option<HeaderName>,
    /// Seed of the random service times and faults.
    pub seed: u64,
    /// Faults injected from the start.
    pub faults: Faults,
}

impl BackendSettings {
    /// Returns the settings of a backend without faults on a free loopback port.
    #[must_use]
    pub fn new(scenario: Arc<Scenario>, service: &str, id: &str) -> Self {
        Self {
            scenario,
            service: service.to_owned(),
            id: id.to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            outbound: None,
            warm: false,
            queue_limit: DEFAULT_QUEUE_LIMIT,
            load_report: None,
            seed: 1,
            faults: Faults::default(),
        }
    }
}

/// Body of the load endpoint's response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(super) struct ReportedLoad {
    /// Occupied slots.
    pub(super) in_flight: usize,
    /// Queued requests.
    pub(super) queued: usize,
    /// Total number of slots.
    pub(super) slots: u32,
    /// Open connections.
    pub(super) connections: usize,
}

/// Sample of the state that the health and load endpoints report.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    pub(super) leaving: bool,
    pub(super) load: ReportedLoad,
}

/// State shared by the connections of one backend.
pub(super) struct BackendState {
    pub(super) settings: BackendSettings,
    pub(super) model: ServiceModel,
    pub(super) slots: Slots,
    pub(super) log: ExecutionLog,
    pub(super) calls: OutboundCalls,
    pub(super) connections: AtomicUsize,
    /// Notified when a request terminates the backend.
    pub(super) terminate: Notify,
    started: Instant,
    /// The injected faults and the time at which they were set.
    faults: RwLock<(Faults, Instant)>,
    /// Start of the drain; `None` while the backend isn't draining.
    drain_started: RwLock<Option<Instant>>,
    rng: Mutex<Pcg64Mcg>,
    /// Samples for reports with lag, oldest first.
    reports: Mutex<Vec<(Instant, Report)>>,
}

impl BackendState {
    pub(super) fn new(settings: BackendSettings, model: ServiceModel) -> Self {
        let slots = Slots::new(model.slots as usize, settings.queue_limit);
        Self {
            slots,
            log: ExecutionLog::default(),
            calls: OutboundCalls::new(settings.outbound),
            connections: AtomicUsize::new(0),
            terminate: Notify::new(),
            started: Instant::now(),
            faults: RwLock::new((settings.faults, Instant::now())),
            drain_started: RwLock::new(None),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(settings.seed)),
            reports: Mutex::new(Vec::new()),
            model,
            settings,
        }
    }

    pub(super) fn faults(&self) -> Faults {
        self.faults.read().unwrap_or_else(PoisonError::into_inner).0
    }

    /// Returns the text of the rate limit to announce; `None` if there is none.
    pub(super) fn announced_rate_limit(&self) -> Option<String> {
        let (faults, since) = *self.faults.read().unwrap_or_else(PoisonError::into_inner);
        match faults.limit_course {
            Some(course) => course.value(since.elapsed()),
            None => (faults.rate_limit > 0.0).then(|| faults.rate_limit.to_string()),
        }
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        let mut current = self.faults.write().unwrap_or_else(PoisonError::into_inner);
        *current = (faults, Instant::now());
    }

    /// Starts the drain, or withdraws it if `leaving` is false. A drain in progress keeps its start
    /// time.
    pub(super) fn set_leaving(&self, leaving: bool) {
        let mut started = self
            .drain_started
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *started = match (*started, leaving) {
            (_, false) => None,
            (None, true) => Some(Instant::now()),
            (Some(earlier), true) => Some(earlier),
        };
    }

    /// Returns the time since the drain started, or `None` if the backend isn't draining.
    pub(super) fn time_since_drain_started(&self) -> Option<Duration> {
        let started = self
            .drain_started
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        started.map(|instant| instant.elapsed())
    }

    /// Returns true with probability `share`, to decide whether to inject a fault.
    pub(super) fn should_inject(&self, share: f64) -> bool {
        share > 0.0 && self.rng().random::<f64>() < share
    }

    /// Returns true if the request with this token terminates every backend that starts to execute
    /// it. The decision depends on the token only, so it is the same on all backends.
    pub(super) fn terminates_on(&self, token: &str) -> bool {
        let share = self.faults().end;
        let hash = wharfquay_membership::hash::hash_bytes(token.as_bytes());
        share > 0.0 && (hash as f64 / u64::MAX as f64) < share
    }

    pub(super) fn rng(&self) -> MutexGuard<'_, Pcg64Mcg> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the factor on the service time that results from the cold start and the slow fault.
    pub(super) fn service_time_factor(&self) -> f64 {
        let slow = self.faults().slow;
        if self.settings.warm {
            return slow;
        }
        let cold_start = Duration::from_millis(self.model.cold_start_ms);
        slow * super::speed::cold_factor(self.started.elapsed(), cold_start)
    }

    /// Returns the state for the health and load endpoints, with the lag and the falsification of the
    /// injected faults.
    pub(super) fn report(&self) -> Report {
        let faults = self.faults();
        let mut report = self.report_with_lag(Duration::from_millis(faults.report_lag_ms));
        report.load.in_flight = scaled(report.load.in_flight, faults.load_factor);
        report.load.queued = scaled(report.load.queued, faults.load_factor);
        report.leaving = match faults.health {
            HealthMode::Truthful => report.leaving,
            HealthMode::AlwaysLive => false,
            HealthMode::AlwaysLeaving => true,
        };
        report
    }

    /// Returns the number of executions in flight for the header of each response: without lag, but
    /// multiplied by the injected load factor.
    pub(super) fn reported_in_flight(&self) -> usize {
        scaled(self.slots.in_flight(), self.faults().load_factor)
    }

    /// Returns the load report of a response: requests running, requests waiting, slots and the time
    /// that work takes in percent of the usual time.
    pub(super) fn load_report(&self) -> String {
        let (running, waiting) = (self.slots.in_flight(), self.slots.queued());
        let percent = (self.faults().slow * 100.0).round();
        format!("{running},{waiting},{},{percent}", self.model.slots)
    }

    fn current_report(&self) -> Report {
        Report {
            leaving: self.time_since_drain_started().is_some(),
            load: ReportedLoad {
                in_flight: self.slots.in_flight(),
                queued: self.slots.queued(),
                slots: self.model.slots,
                connections: self.connections.load(Ordering::Relaxed),
            },
        }
    }

    fn report_with_lag(&self, lag: Duration) -> Report {
        if lag.is_zero() {
            return self.current_report();
        }
        let reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        let newest_old_report = reports.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let oldest = newest_old_report.or(reports.first());
        oldest.map_or_else(|| self.current_report(), |(_, report)| *report)
    }

    /// Stores a sample of the current state for lagging reports and drops samples older than `keep`.
    pub(super) fn sample_report(&self, keep: Duration) {
        let report = self.current_report();
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.retain(|(at, _)| at.elapsed() <= keep);
        reports.push((Instant::now(), report));
    }
}

fn scaled(value: usize, factor: f64) -> usize {
    (value as f64 * factor).round() as usize
}

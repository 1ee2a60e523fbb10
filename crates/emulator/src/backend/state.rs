//! What the connections of one back end share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use tokio::sync::Notify;

use super::calls::DeeperCalls;
use super::faults::{Faults, HealthAnswer};
use super::record::ExecutionLog;
use super::slots::Slots;
use crate::scenario::{Scenario, ServiceModel};

const DEFAULT_QUEUE_LIMIT: usize = 1_000;

/// Settings of a back end.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// The deployment, for the steps of the service.
    pub scenario: Arc<Scenario>,
    /// Service that the back end belongs to.
    pub service: String,
    /// Name in records.
    pub id: String,
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where its deeper calls go; may be set after the start.
    pub outbound: Option<SocketAddr>,
    /// Whether it starts at full speed, as if its cold start were over.
    pub warm: bool,
    /// Requests that wait for a slot before others are refused.
    pub queue_limit: usize,
    /// Seed of service times and faults.
    pub seed: u64,
    /// Faults at the start.
    pub faults: Faults,
}

impl BackendSettings {
    /// Settings of a back end without faults on a free loopback port.
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
            seed: 1,
            faults: Faults::default(),
        }
    }
}

/// What the load endpoint says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(super) struct ReportedLoad {
    /// Executions under way.
    pub(super) in_flight: usize,
    /// Requests that wait.
    pub(super) queued: usize,
    /// Slots of the back end.
    pub(super) slots: u32,
    /// Open connections.
    pub(super) connections: usize,
}

/// What health and load endpoints say at one moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    pub(super) leaving: bool,
    pub(super) load: ReportedLoad,
}

/// The shared state of one back end.
pub(super) struct BackendState {
    pub(super) settings: BackendSettings,
    pub(super) model: ServiceModel,
    pub(super) slots: Slots,
    pub(super) log: ExecutionLog,
    pub(super) calls: DeeperCalls,
    pub(super) connections: AtomicUsize,
    /// Told when a request ends the back end.
    pub(super) end: Notify,
    started: Instant,
    faults: RwLock<Faults>,
    drain_started: RwLock<Option<Instant>>,
    rng: Mutex<Pcg64Mcg>,
    reports: Mutex<Vec<(Instant, Report)>>,
}

impl BackendState {
    pub(super) fn new(settings: BackendSettings, model: ServiceModel) -> Self {
        let slots = Slots::new(model.slots as usize, settings.queue_limit);
        Self {
            slots,
            log: ExecutionLog::default(),
            calls: DeeperCalls::new(settings.outbound),
            connections: AtomicUsize::new(0),
            end: Notify::new(),
            started: Instant::now(),
            faults: RwLock::new(settings.faults),
            drain_started: RwLock::new(None),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(settings.seed)),
            reports: Mutex::new(Vec::new()),
            model,
            settings,
        }
    }

    pub(super) fn faults(&self) -> Faults {
        *self.faults.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        *self.faults.write().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Begins the drain, or ends it when `leaving` is false.
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

    /// Time since the drain began, if it did.
    pub(super) fn leaving_for(&self) -> Option<Duration> {
        let started = self
            .drain_started
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        started.map(|instant| instant.elapsed())
    }

    /// Whether a fault with this probability hits now.
    pub(super) fn hits(&self, share: f64) -> bool {
        share > 0.0 && self.rng().random::<f64>() < share
    }

    /// Whether the request with this token ends each back end which begins to execute it.
    pub(super) fn ends_under(&self, token: &str) -> bool {
        let share = self.faults().end;
        let hash = wharfquay_membership::hash::hash_bytes(token.as_bytes());
        share > 0.0 && (hash as f64 / u64::MAX as f64) < share
    }

    pub(super) fn rng(&self) -> MutexGuard<'_, Pcg64Mcg> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Factor on the work that is due to cold start and to the slow fault.
    pub(super) fn work_factor(&self) -> f64 {
        let slow = self.faults().slow;
        if self.settings.warm {
            return slow;
        }
        let cold_start = Duration::from_millis(self.model.cold_start_ms);
        slow * super::speed::cold_factor(self.started.elapsed(), cold_start)
    }

    /// What health and load endpoints say, with lag and lies.
    pub(super) fn report(&self) -> Report {
        let faults = self.faults();
        let mut report = self.lagging_report(Duration::from_millis(faults.report_lag_ms));
        report.load.in_flight = scaled(report.load.in_flight, faults.load_factor);
        report.load.queued = scaled(report.load.queued, faults.load_factor);
        report.leaving = match faults.health {
            HealthAnswer::Truthful => report.leaving,
            HealthAnswer::AlwaysLive => false,
            HealthAnswer::AlwaysLeaving => true,
        };
        report
    }

    /// The load that each answer carries: without lag, but with the lie.
    pub(super) fn reported_in_flight(&self) -> usize {
        scaled(self.slots.in_flight(), self.faults().load_factor)
    }

    fn current_report(&self) -> Report {
        Report {
            leaving: self.leaving_for().is_some(),
            load: ReportedLoad {
                in_flight: self.slots.in_flight(),
                queued: self.slots.queued(),
                slots: self.model.slots,
                connections: self.connections.load(Ordering::Relaxed),
            },
        }
    }

    fn lagging_report(&self, lag: Duration) -> Report {
        if lag.is_zero() {
            return self.current_report();
        }
        let reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        let old_enough = reports.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let oldest = old_enough.or(reports.first());
        oldest.map_or_else(|| self.current_report(), |(_, report)| *report)
    }

    /// Keeps the current state for later lagging reports, and forgets what is older than `keep`.
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

//! The orderly stop of a sidecar: first callers are directed elsewhere, then other sidecars, then
//! connections are closed, and what is left at the end of the grace period is cut and reported.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::clock::Clock;

use crate::events::Event;
use crate::listeners::Closing;
use crate::log_event;
use crate::metrics::Metrics;
use crate::scopes::ScopeTable;
use crate::stop_phase::StopPhase;

/// Interval at which a stop checks whether the last call has completed.
const STOP_POLL: Duration = Duration::from_millis(20);
/// Share of the stop grace period during which a stopping sidecar still sends work to its backend:
/// callers and other sidecars have not noticed the stop yet, and no sibling may have free capacity.
const ACCEPTING_SHARE: f64 = 0.25;
/// Share of the stop grace period during which requests of callers are still accepted, which spares
/// callers that have not noticed the stop yet any failure.
const CALLER_NOTICE_SHARE: f64 = 0.43;
/// Interval at which the end of a stop checks whether each connection has reported what it cut.
const CUT_POLL: Duration = Duration::from_millis(2);
/// Maximum number of these checks.
const MAX_CUT_POLLS: u32 = 10;
/// Maximum time for connections to close after the last response was written.
const CLOSE_LIMIT: Duration = Duration::from_millis(200);
/// Share of the stop grace period that is reserved for the termination of the process.
const RESERVE_SHARE: f64 = 0.1;

/// What the parts of a sidecar read to notice its stop.
#[derive(Clone, Debug, Default)]
pub(crate) struct StopFlags {
    /// True if the sidecar reports that it is not ready, which directs callers elsewhere.
    pub(crate) leaving: Arc<AtomicBool>,
    /// True if calls for the backend are refused.
    pub(crate) stopping: Arc<AtomicBool>,
    /// True if requests of callers are refused.
    pub(crate) refusing: Arc<AtomicBool>,
}

/// What is in progress at a sidecar.
#[derive(Clone, Debug, Default)]
pub(crate) struct Work {
    /// Number of calls that the local backend executes.
    pub(crate) calls: Arc<AtomicUsize>,
    /// Number of requests of callers whose response is not completely written.
    pub(crate) requests: Arc<AtomicUsize>,
    /// Calls at the local backend whose response is not completely relayed.
    pub(crate) scopes: Arc<ScopeTable>,
}

impl Work {
    fn is_done(&self) -> bool {
        self.calls.load(Ordering::Relaxed) == 0
            && self.requests.load(Ordering::Relaxed) == 0
            && self.scopes.len() == 0
    }
}

/// Stops one sidecar.
#[derive(Debug)]
pub(crate) struct OrderlyStop {
    pub(crate) clock: Clock,
    /// Time until the process has to be gone.
    pub(crate) grace: Duration,
    pub(crate) flags: StopFlags,
    pub(crate) work: Work,
    /// Announces the stop to other sidecars.
    pub(crate) announcement: watch::Sender<bool>,
    /// Phase of the stop, for listeners and connections.
    pub(crate) phase: watch::Sender<StopPhase>,
    pub(crate) closing: Closing,
    pub(crate) metrics: Arc<Metrics>,
}

impl OrderlyStop {
    /// Stops the sidecar within the grace period.
    pub(crate) async fn run(&self) {
        let started = self.clock.now();
        let end = started + self.grace.mul_f64(1.0 - RESERVE_SHARE);
        let cut_before = self.metrics.requests_cut_here();
        let in_flight = self.work.calls.load(Ordering::Relaxed);
        log_event!(Event::Stopping, "calls_in_flight={in_flight}");
        self.drain(started, end).await;
        self.close(end).await;
        let calls = self.cut().await;
        let responses = self.metrics.requests_cut_here() - cut_before;
        log_event!(
            Event::Stopped,
            "calls_cut={calls} responses_cut={responses}"
        );
    }

    /// Directs callers and other sidecars elsewhere, then refuses what still arrives, until nothing
    /// is in progress or `end`.
    async fn drain(&self, started: Timestamp, end: Timestamp) {
        self.flags.leaving.store(true, Ordering::Relaxed);
        self.phase.send_replace(StopPhase::Draining);
        self.sleep_until(started + self.grace.mul_f64(ACCEPTING_SHARE))
            .await;
        self.flags.stopping.store(true, Ordering::Relaxed);
        self.announcement.send_replace(true);
        self.sleep_until(started + self.grace.mul_f64(CALLER_NOTICE_SHARE))
            .await;
        self.flags.refusing.store(true, Ordering::Relaxed);
        while !self.work.is_done() && self.clock.now() < end {
            tokio::time::sleep(STOP_POLL).await;
        }
    }

    /// Closes the listeners and the idle connections. Requests that arrived meanwhile are refused
    /// first.
    async fn close(&self, end: Timestamp) {
        self.phase.send_replace(StopPhase::Closing);
        let limit = end.min(self.clock.now() + CLOSE_LIMIT);
        loop {
            tokio::time::sleep(STOP_POLL).await;
            let is_closed = self.work.is_done() && self.closing.open_connections() == 0;
            if is_closed || self.clock.now() >= limit {
                return;
            }
        }
    }

    /// Cuts what is still in progress and returns the number of calls at the local backend among it.
    async fn cut(&self) -> usize {
        let calls = self.work.scopes.open_requests();
        for request in &calls {
            log_event!(Event::CallCut, "request={request}");
        }
        self.phase.send_replace(StopPhase::Cutting);
        for _ in 0..MAX_CUT_POLLS {
            if self.work.requests.load(Ordering::Relaxed) == 0 {
                break;
            }
            tokio::time::sleep(CUT_POLL).await;
        }
        calls.len()
    }

    async fn sleep_until(&self, time: Timestamp) {
        self.clock.sleep_until(Some(time)).await;
    }
}

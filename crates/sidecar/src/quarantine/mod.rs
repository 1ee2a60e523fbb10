//! Quarantine of requests that crash backends: the state that this sidecar knows, and its part in
//! sharing it.
//!
//! [`wharfquay_core::quarantine`] defines the rules. A call is checked by the first sidecar on its
//! path before each attempt, and by the last one directly before it is sent to the backend. The
//! sidecar beside a backend that terminated reports the requests in execution to the owners of
//! those requests. The owners count the terminations; their decisions are disseminated to all
//! sidecars.

mod disseminator;
mod record_store;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc};
use wharfquay_core::call::CallContext;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::quarantine::{
    QUARANTINE_TIME, QuarantineReport, QuarantineState, QuarantineTable, ReportedQuarantineState,
    RequestFingerprint, RequestTermination, TerminatedInstance, TerminationLedger,
};
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::response::Failure;
use wharfquay_daemon::sync::lock;
use wharfquay_membership::hash::hash_bytes;

use crate::events::Event;
use crate::exchange::Reply;
use crate::inbound::ExecutingRequest;
use crate::instance::InstanceId;
use crate::log_event;

pub(crate) use disseminator::{Disseminator, Outbox, Outgoing};
pub(crate) use record_store::RecordStore;

/// Maximum time for which a suspect waits for the permit of the backend, if its deadline allows as
/// much. It covers about six executions of the specified workload, so that the twenty to thirty
/// requests in execution at a termination can be executed one by one at the remaining backends.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(1);
/// Limits the wait of a suspect for the permit to this fraction (one in 3) of the time remaining
/// until its deadline.
const PERMIT_WAIT_DIVISOR: u32 = 3;
/// Retry-After of a suspect that did not receive the permit in time.
const PERMIT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Offset added to the process clock, which allows a process that has just started to represent
/// times before its start.
const CLOCK_OFFSET: Duration = QUARANTINE_TIME.saturating_mul(2);
/// Maximum number of reports in one message, which must fit into a datagram.
const REPORTS_PER_MESSAGE: usize = 32;

/// Suspects and quarantined requests known to this sidecar, and the terminations that it counts as
/// an owner.
#[derive(Debug)]
pub(crate) struct Quarantine {
    clock: Clock,
    table: Mutex<QuarantineTable>,
    ledger: Mutex<TerminationLedger>,
    /// Notified when the state of a request changes.
    changed: Notify,
    /// Holds the one [`SuspectPermit`] of the local backend.
    suspect_permit: Arc<Semaphore>,
    outbox: Outbox,
    /// True if the requests quarantined before this process started are known.
    is_initialized: AtomicBool,
}

/// Permit to execute a suspect (a request during whose execution backends terminated) at the local
/// backend. There is one such permit, so the backend executes one suspect at a time.
#[derive(Debug)]
pub(crate) struct SuspectPermit(
    #[expect(dead_code, reason = "held until the suspect completes")] OwnedSemaphorePermit,
);

impl Quarantine {
    /// Creates an empty quarantine and the receiver of its outgoing messages. At the first start of
    /// the deployment nothing can have been quarantined before.
    pub(crate) fn new(clock: Clock, is_first_start: bool) -> (Arc<Self>, mpsc::Receiver<Outgoing>) {
        let (outbox, outgoing) = disseminator::outbox();
        let quarantine = Self {
            clock,
            table: Mutex::default(),
            ledger: Mutex::default(),
            changed: Notify::new(),
            suspect_permit: Arc::new(Semaphore::new(1)),
            outbox,
            is_initialized: AtomicBool::new(is_first_start),
        };
        (Arc::new(quarantine), outgoing)
    }

    fn now(&self) -> Timestamp {
        self.clock.now() + CLOCK_OFFSET
    }

    /// Refuses a quarantined call.
    ///
    /// # Errors
    /// The refusal; this attempt was not executed.
    pub(crate) fn check(&self, context: &CallContext) -> Result<(), Failure> {
        let Some(fingerprint) = context.fingerprint else {
            return Ok(());
        };
        let now = self.now();
        let table = lock(&self.table);
        match table.state(now, fingerprint) {
            QuarantineState::Quarantined => Err(Failure::with_retry_after(
                ResultCode::Quarantined,
                table.time_left(now, fingerprint),
            )),
            QuarantineState::Suspect | QuarantineState::Unsuspected => Ok(()),
        }
    }

    /// Waits for the permit that a suspect needs. Returns `None` immediately for other calls, which
    /// need none.
    ///
    /// # Errors
    /// The refusal of a call that is quarantined meanwhile, or that does not receive the permit in
    /// time.
    pub(crate) async fn wait_for_permit(
        &self,
        context: &CallContext,
    ) -> Result<Option<SuspectPermit>, Failure> {
        let remaining = context.remaining(self.clock.now());
        let wait = MAX_PERMIT_WAIT.min(remaining / PERMIT_WAIT_DIVISOR);
        let waiting = tokio::time::timeout(wait, self.acquire_permit(context));
        let too_late = Failure::with_retry_after(ResultCode::SuspectWaited, PERMIT_RETRY_AFTER);
        waiting.await.unwrap_or(Err(too_late))
    }

    async fn acquire_permit(
        &self,
        context: &CallContext,
    ) -> Result<Option<SuspectPermit>, Failure> {
        loop {
            let changed = self.changed.notified();
            self.check(context)?;
            if !self.is_suspect(context) {
                return Ok(None);
            }
            tokio::select! {
                permit = Arc::clone(&self.suspect_permit).acquire_owned() => {
                    // The semaphore is never closed.
                    return Ok(permit.ok().map(SuspectPermit));
                }
                () = changed => {}
            }
        }
    }

    fn is_suspect(&self, context: &CallContext) -> bool {
        context.terminated_backends > 0
            || context.fingerprint.is_some_and(|fingerprint| {
                lock(&self.table).state(self.now(), fingerprint) == QuarantineState::Suspect
            })
    }

    /// Reports that an instance of the local backend terminated while it executed these requests.
    pub(crate) fn record_instance_termination(
        &self,
        instance: &InstanceId,
        executing: &[ExecutingRequest],
    ) {
        let instance = TerminatedInstance::new(hash_bytes(instance.to_string().as_bytes()));
        let terminations = executing.iter().map(|request| RequestTermination {
            fingerprint: request.fingerprint,
            instance,
            was_isolated: request.is_isolated,
        });
        self.outbox
            .send(Outgoing::Terminations(terminations.collect()));
    }

    /// Records that a request received a response, which clears it: a request that crashes backends
    /// receives none.
    pub(crate) fn record_response(&self, context: &CallContext) {
        let Some(fingerprint) = context.fingerprint else {
            return;
        };
        let state = lock(&self.table).state(self.now(), fingerprint);
        if state == QuarantineState::Quarantined {
            self.outbox.send(Outgoing::RemoveRecord(fingerprint));
        }
        if state != QuarantineState::Unsuspected {
            self.apply_reports(&[QuarantineReport {
                fingerprint,
                state: ReportedQuarantineState::Cleared,
                age_ms: 0,
            }]);
        } else if context.terminated_backends > 0 {
            self.outbox.send(Outgoing::ResponseReceived(fingerprint));
        }
    }

    /// Applies reports and forwards those that change the local state.
    pub(crate) fn apply_reports(&self, reports: &[QuarantineReport]) {
        let now = self.now();
        for report in reports {
            if !lock(&self.table).merge(now, *report) {
                continue;
            }
            let fingerprint = report.fingerprint;
            match report.state {
                ReportedQuarantineState::Cleared => {
                    lock(&self.ledger).clear(fingerprint);
                    log_event!(Event::RequestCleared, "fingerprint={fingerprint}");
                }
                ReportedQuarantineState::Suspect => {
                    log_event!(Event::RequestSuspected, "fingerprint={fingerprint}");
                }
                ReportedQuarantineState::Quarantined => {
                    let age_ms = report.age_ms;
                    log_event!(
                        Event::RequestQuarantined,
                        "fingerprint={fingerprint} age_ms={age_ms}"
                    );
                }
            }
            self.outbox.send(Outgoing::Report(*report));
        }
        self.changed.notify_waiters();
    }

    /// Counts terminations as an owner of these requests and decides on their state.
    pub(crate) fn count_terminations(&self, terminations: &[RequestTermination]) {
        let now = self.now();
        let decide = |termination: &RequestTermination| {
            let state = match lock(&self.ledger).record(now, *termination) {
                QuarantineState::Unsuspected => return None,
                QuarantineState::Suspect => ReportedQuarantineState::Suspect,
                QuarantineState::Quarantined => ReportedQuarantineState::Quarantined,
            };
            Some(QuarantineReport {
                fingerprint: termination.fingerprint,
                state,
                age_ms: 0,
            })
        };
        let decisions: Vec<QuarantineReport> = terminations.iter().filter_map(decide).collect();
        let newly_quarantined = |report: &&QuarantineReport| {
            let state = lock(&self.table).state(now, report.fingerprint);
            report.state == ReportedQuarantineState::Quarantined
                && state != QuarantineState::Quarantined
        };
        for report in decisions.iter().filter(newly_quarantined) {
            self.outbox.send(Outgoing::WriteRecord(report.fingerprint));
        }
        self.apply_reports(&decisions);
    }

    /// Discards the terminations counted for a request that received a response.
    pub(crate) fn clear_terminations(&self, fingerprint: RequestFingerprint) {
        lock(&self.ledger).clear(fingerprint);
    }

    /// Returns every quarantined request that is known here.
    fn quarantined(&self) -> Vec<QuarantineReport> {
        lock(&self.table).quarantined(self.now())
    }

    /// Returns the reply to a sidecar that requests a list of the quarantined requests: the newest
    /// ones, at most [`REPORTS_PER_MESSAGE`], or none if `digest` matches the local state.
    pub(crate) fn reply(&self, digest: u64) -> Reply {
        let now = self.now();
        let table = lock(&self.table);
        let mut reports = Vec::new();
        if table.digest(now) != digest {
            reports = table.quarantined(now);
            reports.truncate(REPORTS_PER_MESSAGE);
        }
        Reply::Quarantined {
            reports,
            is_initialized: self.is_initialized(),
        }
    }

    fn is_initialized(&self) -> bool {
        self.is_initialized.load(Ordering::Relaxed)
    }

    /// Records that the requests quarantined before this process started are known.
    fn set_initialized(&self) {
        self.is_initialized.store(true, Ordering::Relaxed);
    }

    fn digest(&self) -> u64 {
        lock(&self.table).digest(self.now())
    }

    /// Returns the numbers of suspects and of quarantined requests that are known here.
    pub(crate) fn counts(&self) -> (usize, usize) {
        lock(&self.table).counts(self.now())
    }
}

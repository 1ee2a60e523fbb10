//! Keeping requests from back ends that they would end: what this sidecar knows, and its part in what all know.
//!
//! [`wharfquay_core::quarantine`] has the rules. Here: each try is checked at its first sidecar, before each attempt, and
//! at the last one right before its bytes go to the back end. The sidecar beside a back end that ended reports what that
//! executed to the owners of those requests, which count; a decision goes from sidecar to sidecar.

mod keeper;
mod spread;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc};
use wharfquay_core::call::CallContext;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::quarantine::{
    EndLedger, EndedInstance, QUARANTINE_TIME, QuarantineReport, QuarantineTable, ReportedStanding,
    RequestEnd, RequestFingerprint, Standing,
};
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::answer::Failure;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::sync::lock;
use wharfquay_membership::hash::hash_bytes;

use crate::events::Event;
use crate::exchange::Reply;
use crate::inbound::ExecutingRequest;
use crate::instance::InstanceId;
use crate::log_event;

pub(crate) use keeper::Keeper;
pub(crate) use spread::{Outbox, Outgoing, Spreader};

/// Longest wait of a suspect for its turn at a back end, where its deadline allows as much: time for about six
/// executions of the work that the users describe, so that the twenty to thirty requests which an end leaves behind
/// have their turns at the back ends that are left.
const LONGEST_TURN_WAIT: Duration = Duration::from_secs(1);
/// Part of its time that a suspect waits at the most.
const TURN_WAIT_SHARE: u32 = 3;
/// Retry-After of a suspect that did not have its turn.
const TURN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Added to the process's clock, so that a process that has just started can hold what was found before.
const BEFORE_THE_START: Duration = QUARANTINE_TIME.saturating_mul(2);
/// Reports in one message, so that it fits a datagram.
const REPORTS_PER_MESSAGE: usize = 32;

/// What this sidecar knows of suspects and quarantined requests, and what it counts as an owner.
#[derive(Debug)]
pub(crate) struct Quarantine {
    clock: Clock,
    table: Mutex<QuarantineTable>,
    ledger: Mutex<EndLedger>,
    /// Told when the standing of a request changes.
    changed: Notify,
    /// The turn of suspects at the local back end.
    turn: Arc<Semaphore>,
    outbox: Outbox,
    /// Whether all is known that was quarantined before this process started.
    is_settled: AtomicBool,
}

/// The turn of a suspect at the back end, which executes no other suspect meanwhile.
#[derive(Debug)]
pub(crate) struct Turn(
    #[expect(dead_code, reason = "held for as long as the turn lasts")] OwnedSemaphorePermit,
);

impl Quarantine {
    /// A quarantine of which nothing is known, and what it sends.
    /// Before the first start of the deployment nothing can have been quarantined.
    pub(crate) fn new(clock: Clock, is_first_start: bool) -> (Arc<Self>, mpsc::Receiver<Outgoing>) {
        let (outbox, outgoing) = spread::outbox();
        let quarantine = Self {
            clock,
            table: Mutex::default(),
            ledger: Mutex::default(),
            changed: Notify::new(),
            turn: Arc::new(Semaphore::new(1)),
            outbox,
            is_settled: AtomicBool::new(is_first_start),
        };
        (Arc::new(quarantine), outgoing)
    }

    fn now(&self) -> Timestamp {
        self.clock.now() + BEFORE_THE_START
    }

    /// Refuses a call that would end its back end.
    ///
    /// # Errors
    /// The refusal; this attempt was not run.
    pub(crate) fn check(&self, context: &CallContext) -> Result<(), Failure> {
        let Some(fingerprint) = context.fingerprint else {
            return Ok(());
        };
        let now = self.now();
        let table = lock(&self.table);
        match table.standing(now, fingerprint) {
            Standing::Quarantined => Err(Failure::with_retry_after(
                ResultCode::Quarantined,
                table.time_left(now, fingerprint),
            )),
            Standing::Suspect | Standing::Unsuspected => Ok(()),
        }
    }

    /// Waits for the turn of a call that is under suspicion; others need none.
    ///
    /// # Errors
    /// The refusal of a call that is quarantined meanwhile, or whose turn does not come in time.
    pub(crate) async fn wait_for_turn(
        &self,
        context: &CallContext,
    ) -> Result<Option<Turn>, Failure> {
        let remaining = context.remaining(self.clock.now());
        let wait = LONGEST_TURN_WAIT.min(remaining / TURN_WAIT_SHARE);
        let waiting = tokio::time::timeout(wait, self.turn_of(context));
        let too_late = Failure::with_retry_after(ResultCode::SuspectWaited, TURN_RETRY_AFTER);
        waiting.await.unwrap_or(Err(too_late))
    }

    async fn turn_of(&self, context: &CallContext) -> Result<Option<Turn>, Failure> {
        loop {
            let changed = self.changed.notified();
            self.check(context)?;
            if !self.is_suspect(context) {
                return Ok(None);
            }
            tokio::select! {
                permit = Arc::clone(&self.turn).acquire_owned() => {
                    // The semaphore is never closed.
                    return Ok(permit.ok().map(Turn));
                }
                () = changed => {}
            }
        }
    }

    fn is_suspect(&self, context: &CallContext) -> bool {
        context.ended_backends > 0
            || context.fingerprint.is_some_and(|fingerprint| {
                lock(&self.table).standing(self.now(), fingerprint) == Standing::Suspect
            })
    }

    /// An instance of the local back end ended while it executed these requests.
    pub(crate) fn instance_ended(&self, instance: &InstanceId, running: &[ExecutingRequest]) {
        let instance = EndedInstance::new(hash_bytes(instance.to_string().as_bytes()));
        let ends = running.iter().map(|request| RequestEnd {
            fingerprint: request.fingerprint,
            instance,
            was_isolated: request.is_isolated,
        });
        self.outbox.send(Outgoing::Ends(ends.collect()));
    }

    /// A back end answered a request: one that answers is none that ends back ends.
    pub(crate) fn answered(&self, context: &CallContext) {
        let Some(fingerprint) = context.fingerprint else {
            return;
        };
        let standing = lock(&self.table).standing(self.now(), fingerprint);
        if standing == Standing::Quarantined {
            self.outbox.send(Outgoing::Remove(fingerprint));
        }
        if standing != Standing::Unsuspected {
            self.learn(&[QuarantineReport {
                fingerprint,
                standing: ReportedStanding::Cleared,
                age_ms: 0,
            }]);
        } else if context.ended_backends > 0 {
            self.outbox.send(Outgoing::Answered(fingerprint));
        }
    }

    /// Takes reports in, and passes on what is news.
    pub(crate) fn learn(&self, reports: &[QuarantineReport]) {
        let now = self.now();
        for report in reports {
            if !lock(&self.table).learn(now, *report) {
                continue;
            }
            let fingerprint = report.fingerprint;
            match report.standing {
                ReportedStanding::Cleared => {
                    lock(&self.ledger).answered(fingerprint);
                    log_event!(Event::RequestCleared, "fingerprint={fingerprint}");
                }
                ReportedStanding::Suspect => {
                    log_event!(Event::RequestSuspected, "fingerprint={fingerprint}");
                }
                ReportedStanding::Quarantined => {
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

    /// Counts ends as an owner of these requests, and decides.
    pub(crate) fn count_ends(&self, ends: &[RequestEnd]) {
        let now = self.now();
        let decide = |end: &RequestEnd| {
            let standing = match lock(&self.ledger).note(now, *end) {
                Standing::Unsuspected => return None,
                Standing::Suspect => ReportedStanding::Suspect,
                Standing::Quarantined => ReportedStanding::Quarantined,
            };
            Some(QuarantineReport {
                fingerprint: end.fingerprint,
                standing,
                age_ms: 0,
            })
        };
        let decisions: Vec<QuarantineReport> = ends.iter().filter_map(decide).collect();
        let quarantined_now = |report: &&QuarantineReport| {
            let standing = lock(&self.table).standing(now, report.fingerprint);
            report.standing == ReportedStanding::Quarantined && standing != Standing::Quarantined
        };
        for report in decisions.iter().filter(quarantined_now) {
            self.outbox.send(Outgoing::Keep(report.fingerprint));
        }
        self.learn(&decisions);
    }

    /// Forgets the ends that were counted for a request, since it was answered.
    pub(crate) fn forget_ends(&self, fingerprint: RequestFingerprint) {
        lock(&self.ledger).answered(fingerprint);
    }

    /// Every quarantined request that is known here.
    fn quarantined(&self) -> Vec<QuarantineReport> {
        lock(&self.table).quarantined(self.now())
    }

    /// The answer to a sidecar that asks for the quarantined requests and knows of those with `digest`.
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
            is_settled: self.is_settled(),
        }
    }

    fn is_settled(&self) -> bool {
        self.is_settled.load(Ordering::Relaxed)
    }

    /// What was quarantined before this process started is known from now on.
    fn set_settled(&self) {
        self.is_settled.store(true, Ordering::Relaxed);
    }

    fn digest(&self) -> u64 {
        lock(&self.table).digest(self.now())
    }

    /// Numbers of suspects and of quarantined requests that are known here.
    pub(crate) fn counts(&self) -> (usize, usize) {
        lock(&self.table).counts(self.now())
    }
}

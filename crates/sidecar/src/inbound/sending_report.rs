//! Log report of one sending of a call to the local backend.

use std::sync::atomic::{AtomicU32, Ordering};

use wharfquay_core::call::Repeatability;
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::backend_pool::ConnectionUse;
use wharfquay_daemon::clock::Clock;

use super::dispatch::AdmittedCall;
use super::response::ResponseClaim;
use crate::events::Event;
use crate::instance::InstanceId;
use crate::log_event;
use crate::outbound::millis;

/// Counts the sendings of one call to the local backend.
#[derive(Debug, Default)]
pub(super) struct SendingCounter(AtomicU32);

impl SendingCounter {
    fn next(&self) -> u32 {
        self.0.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// Collects the values that are logged about a sending. A sending that is dropped without a result
/// was cancelled; the backend may have executed the call.
#[derive(Debug)]
pub(super) struct SendingReport<'call> {
    clock: Clock,
    call: &'call AdmittedCall<'call>,
    instance: &'call InstanceId,
    sent_at: Timestamp,
    number: u32,
    usage: Option<ConnectionUse>,
    claim: Option<ResponseClaim>,
    is_written: bool,
}

impl<'call> SendingReport<'call> {
    /// Begins the report of a sending on a connection.
    pub(super) fn new(
        clock: Clock,
        call: &'call AdmittedCall<'call>,
        instance: &'call InstanceId,
        usage: Option<ConnectionUse>,
    ) -> Self {
        Self {
            clock,
            call,
            instance,
            sent_at: clock.now(),
            number: call.sendings.next(),
            usage,
            claim: None,
            is_written: false,
        }
    }

    /// Records what the head of the response claims.
    pub(super) const fn responded(&mut self, claim: ResponseClaim) {
        self.claim = Some(claim);
    }

    /// Logs a sending that brought the backend's own response.
    pub(super) fn succeeded(mut self) {
        self.write("response");
    }

    /// Logs a sending of which no byte was written.
    pub(super) fn not_sent(mut self) {
        self.write("not_sent");
    }

    /// Logs a sending that failed with this code.
    pub(super) fn failed(mut self, code: ResultCode) {
        let conclusion = match code.outcome() {
            OutcomeClass::NotRun => "not_executed",
            OutcomeClass::Unknown | OutcomeClass::Run => "unknown",
        };
        self.write(conclusion);
    }

    /// Calls that may be executed more than once are not logged, nor are calls that were sent once
    /// and answered.
    fn write(&mut self, conclusion: &str) {
        self.is_written = true;
        let is_ordinary = self.number == 1 && conclusion == "response";
        let is_repeatable = self.call.context.repeatability == Repeatability::Repeatable;
        if is_ordinary || is_repeatable {
            return;
        }
        let took = self.clock.now().saturating_since(self.sent_at);
        let status = self.claim.map_or(0, |claim| claim.status.as_u16());
        log_event!(
            Event::SendingEnded,
            "request={} instance={} sending={} connection={} exchange={} status={status} mark={} \
             echoed={} conclusion={conclusion} took_ms={:.1}",
            self.call.request_id,
            self.instance,
            self.number,
            self.usage.map_or(0, |usage| usage.connection),
            self.usage.map_or(0, |usage| usage.exchanges + 1),
            self.claim.map_or("none", |claim| claim.mark.name()),
            self.claim.map_or("none", |claim| claim.echo.name()),
            millis(took),
        );
    }
}

impl Drop for SendingReport<'_> {
    fn drop(&mut self) {
        if !self.is_written {
            self.write("unknown");
        }
    }
}

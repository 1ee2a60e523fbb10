//! Log and metrics report of one call for the local backend.

use http::Response;
use wharfquay_core::call::{AttemptId, CallContext};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::Priority;
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::body::ResponseBody;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::response::Failure;
use wharfquay_protocol::response::ResponseMetadata;

use crate::events::{Event, is_sampled};
use crate::fingerprint::fingerprint_text;
use crate::instance::InstanceId;
use crate::log_event;
use crate::metrics::Metrics;
use crate::outbound::millis;

/// Collects the values that are logged about a call.
#[derive(Debug)]
pub(super) struct CallReport<'call> {
    clock: Clock,
    context: &'call CallContext,
    request_id: &'call str,
    arrived: Timestamp,
    admitted: Option<Timestamp>,
}

impl<'call> CallReport<'call> {
    pub(super) fn new(clock: Clock, context: &'call CallContext, request_id: &'call str) -> Self {
        Self {
            clock,
            context,
            request_id,
            arrived: clock.now(),
            admitted: None,
        }
    }

    pub(super) fn request_kind(&self) -> &str {
        &self.context.request_kind
    }

    pub(super) const fn attempt(&self) -> AttemptId {
        self.context.attempt
    }

    pub(super) fn priority(&self) -> Priority {
        self.context.priority
    }

    /// Records that the gate admitted the call.
    pub(super) fn admitted(&mut self) {
        self.admitted = Some(self.clock.now());
    }

    /// Records the completed call in the metrics and logs it. Successful calls are logged only if
    /// sampled.
    pub(super) fn write(
        &self,
        instance: Option<&InstanceId>,
        result: &Result<Response<ResponseBody>, Failure>,
        metadata: &ResponseMetadata,
        metrics: &Metrics,
    ) {
        let (code, status) = match result {
            Ok(response) => (ResultCode::Answered, response.status().as_u16()),
            Err(failure) => (failure.code, 0),
        };
        let now = self.clock.now();
        let queued = self.admitted.unwrap_or(now).saturating_since(self.arrived);
        let took = now.saturating_since(self.arrived);
        metrics.call_completed(code, queued, took);
        let is_success = status > 0 && status < 500;
        if is_success && !is_sampled(self.context.origin) {
            return;
        }
        log_event!(
            Event::CallEnded,
            "request={} origin={:032x} fingerprint={} kind={} instance={} key={} result={} name={} \
             status={status} queued_ms={:.1} took_ms={:.1} in_flight={} limit={} waiting={} \
             level={} below={}",
            self.request_id,
            self.context.origin.as_u128(),
            fingerprint_text(self.context.fingerprint),
            self.context.request_kind,
            instance.map_or_else(|| "none".to_owned(), ToString::to_string),
            self.context.admission_key().number(),
            code.number(),
            code.name(),
            millis(queued),
            millis(took),
            metadata.in_flight,
            metadata.limit,
            metadata.queued,
            metadata.level.number(),
            metadata.folded_level.number(),
        );
    }
}

//! Log report of one request of a caller or of the local backend.

use std::fmt::Write as _;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::StatusCode;
use wharfquay_core::admission::shares::CallerUse;
use wharfquay_core::call::{CallContext, OriginId};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::AdmissionKey;
use wharfquay_core::quarantine::RequestFingerprint;
use wharfquay_core::routing::EndpointId;
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::response::Failure;
use wharfquay_daemon::sync::lock;

use super::forward::NoRetry;
use crate::events::{Event, is_sampled};
use crate::fingerprint::fingerprint_text;
use crate::log_event;

/// One attempt of a request.
#[derive(Clone, Debug)]
struct AttemptRecord {
    target: EndpointId,
    result: ResultCode,
    took: Duration,
}

/// Collects the values that are logged about a request. If it is dropped without a result, the
/// caller cancelled the request.
#[derive(Debug)]
pub(crate) struct RequestReport {
    clock: Clock,
    started: Timestamp,
    request_id: String,
    tenant: Option<String>,
    route: String,
    service: Arc<str>,
    version: u64,
    origin: OriginId,
    fingerprint: Option<RequestFingerprint>,
    depth: u8,
    key: AdmissionKey,
    deadline: Timestamp,
    attempts: Mutex<Vec<AttemptRecord>>,
    no_retry: Mutex<Option<NoRetry>>,
    caller_use: Mutex<Option<CallerUse>>,
    is_reported: bool,
}

impl RequestReport {
    pub(crate) fn new(
        clock: Clock,
        request_id: &str,
        tenant: Option<&str>,
        route: &str,
        service: Arc<str>,
        version: u64,
        context: &CallContext,
    ) -> Self {
        Self {
            clock,
            started: clock.now(),
            request_id: request_id.to_owned(),
            tenant: tenant.map(str::to_owned),
            route: route.to_owned(),
            service,
            version,
            origin: context.origin,
            fingerprint: context.fingerprint,
            depth: context.depth,
            key: context.admission_key(),
            deadline: context.deadline,
            attempts: Mutex::default(),
            no_retry: Mutex::default(),
            caller_use: Mutex::default(),
            is_reported: false,
        }
    }

    /// Returns the name of the tenant whose key the request carried.
    pub(crate) fn tenant(&self) -> Option<&str> {
        self.tenant.as_deref()
    }

    /// Returns the name of the request's route.
    pub(crate) fn route(&self) -> &str {
        &self.route
    }

    /// Returns the time since the request arrived.
    pub(crate) fn elapsed(&self) -> Duration {
        self.clock.now().saturating_since(self.started)
    }

    /// Records the result of an attempt that began at `started`.
    pub(crate) fn attempted(&self, target: &EndpointId, started: Timestamp, result: ResultCode) {
        let took = self.clock.now().saturating_since(started);
        lock(&self.attempts).push(AttemptRecord {
            target: target.clone(),
            result,
            took,
        });
    }

    /// Logs that a further attempt follows the last one.
    pub(crate) fn sent_again(&self) {
        let attempts = lock(&self.attempts);
        let Some(last) = attempts.last() else {
            return;
        };
        log_event!(
            Event::RequestSentAgain,
            "request={} service={} attempt={} target={} result={} name={} took_ms={:.1}",
            self.request_id,
            self.service,
            attempts.len() + 1,
            last.target,
            last.result.number(),
            last.result.name(),
            millis(last.took),
        );
    }

    /// Records why the last attempt is not followed by another.
    pub(crate) fn record_no_retry(&self, reason: NoRetry) {
        *lock(&self.no_retry) = Some(reason);
    }

    /// Records how much of its priority the caller of a refused request uses.
    pub(crate) fn record_caller_use(&self, caller_use: CallerUse) {
        *lock(&self.caller_use) = Some(caller_use);
    }

    /// Logs a request that received a response of a backend. Responses without a server error are
    /// logged only if sampled.
    pub(crate) fn responded(mut self, status: StatusCode) {
        self.is_reported = true;
        if !status.is_server_error() && !is_sampled(self.origin) {
            return;
        }
        self.write(ResultCode::Answered, status.as_u16(), Duration::ZERO);
    }

    /// Logs a request that received the sidecar's own response.
    pub(crate) fn failed(mut self, failure: Failure, status: StatusCode) {
        self.is_reported = true;
        self.write(failure.code, status.as_u16(), failure.retry_after);
    }

    fn write(&self, result: ResultCode, status: u16, retry_after: Duration) {
        let now = self.clock.now();
        let caller_use = lock(&self.caller_use).unwrap_or_default();
        log_event!(
            Event::RequestEnded,
            "request={} origin={:032x} fingerprint={} tenant={} route={} service={} version={} depth={} key={} result={} \
             name={} status={status} retry_after_ms={} took_ms={:.1} left_ms={:.1} attempts={} gave_up={} \
             rank={} caller_per_s={:.2} caller_part={:.3} caller_share={:.3}",
            self.request_id,
            self.origin.as_u128(),
            fingerprint_text(self.fingerprint),
            self.tenant.as_deref().unwrap_or("none"),
            self.route,
            self.service,
            self.version,
            self.depth,
            self.key.number(),
            result.number(),
            result.name(),
            retry_after.as_millis(),
            millis(self.elapsed()),
            millis(self.deadline.saturating_since(now)),
            self.attempts_text(),
            lock(&self.no_retry).map_or("none".to_owned(), |reason| reason.to_string()),
            self.key.rank().number(),
            caller_use.per_second,
            caller_use.part,
            caller_use.entitled_part,
        );
    }

    /// Formats the attempts as `target:result:milliseconds`, separated by commas.
    fn attempts_text(&self) -> String {
        let attempts = lock(&self.attempts);
        if attempts.is_empty() {
            return "none".to_owned();
        }
        let mut text = String::new();
        for attempt in attempts.iter() {
            let separator = if text.is_empty() { "" } else { "," };
            let (target, result) = (&attempt.target, attempt.result.number());
            // Writing to a String can't fail.
            let _ = write!(
                text,
                "{separator}{target}:{result}:{:.1}",
                millis(attempt.took)
            );
        }
        text
    }
}

impl Drop for RequestReport {
    fn drop(&mut self) {
        if !self.is_reported {
            self.write(ResultCode::CancelledAfterDispatch, 0, Duration::ZERO);
        }
    }
}

/// Converts a duration to milliseconds with their fraction.
pub(crate) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

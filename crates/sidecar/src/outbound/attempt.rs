//! One attempt of a call at one sidecar.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::Instant;
use wharfquay_core::call::{AttemptId, CallContext, RetryAllowance};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::routing::{Observation, ReportedLoad};
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::backend_pool::{BackendPool, Lease, SendError};
use wharfquay_daemon::body::{BodyEnd, BodyObserver, RequestBody, ResponseBody};
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::headers::{remove_hop_by_hop, remove_internal_response_headers};
use wharfquay_daemon::response::{self, Failure};
use wharfquay_protocol::context::{Callee, WireContext};
use wharfquay_protocol::headers as names;
use wharfquay_protocol::response::ResponseMetadata;

use crate::body::{Collected, collect, discard, remove_length};
use crate::message::RequestHead;
use crate::outbound::routing::{ServiceRouter, Target};

/// Part of the remaining time that each hop keeps back. The hop nearer to the backend then responds
/// first, and its more exact result reaches the caller.
const HOP_MARGIN: Duration = Duration::from_millis(3);
/// Limits the hop margin to this fraction (one in 16) of the time remaining until the deadline.
const HOP_MARGIN_DIVISOR: u32 = 16;
/// Attempts to find an open connection. A pooled connection may turn out closed before a byte is
/// written.
const CONNECTION_ATTEMPTS: usize = 2;

/// Outcome of an attempt.
pub(crate) struct AttemptOutcome {
    /// The backend's response, or the failure that replaces it.
    pub(crate) result: Result<Response<ResponseBody>, Failure>,
    /// Metadata that the responding sidecar attached.
    pub(crate) metadata: Option<ResponseMetadata>,
    /// Unused retries that the responding hop returned; `None` if no response included them, in
    /// which case all retries granted to the attempt count as spent.
    pub(crate) returned: Option<RetryAllowance>,
    /// The body, if none of it was sent.
    pub(crate) unsent: Option<RequestBody>,
}

impl AttemptOutcome {
    fn lost(code: ResultCode) -> Self {
        Self {
            result: Err(Failure::new(code)),
            metadata: None,
            returned: None,
            unsent: None,
        }
    }

    fn not_sent(allowance: RetryAllowance, body: Option<RequestBody>) -> Self {
        Self {
            result: Err(Failure::new(ResultCode::ConnectFailed)),
            metadata: None,
            returned: Some(allowance),
            unsent: body,
        }
    }
}

/// Derives the context of an attempt: one hop deeper, with a slightly earlier deadline.
pub(crate) fn attempt_context(
    context: &CallContext,
    now: Timestamp,
    allowance: RetryAllowance,
) -> CallContext {
    let margin = HOP_MARGIN.min(context.remaining(now) / HOP_MARGIN_DIVISOR);
    CallContext {
        attempt: AttemptId::new(rand::random()),
        deadline: context.deadline - margin,
        allowance,
        depth: context.depth.saturating_add(1),
        ..context.clone()
    }
}

/// Sends one attempt to another sidecar and waits for its response.
pub(crate) async fn send(
    pool: &Arc<BackendPool>,
    clock: &Clock,
    head: &RequestHead,
    context: &CallContext,
    callee: &Callee<'_>,
    body: RequestBody,
) -> AttemptOutcome {
    let allowance = context.allowance;
    let mut request = head.to_request(body);
    for _ in 0..CONNECTION_ATTEMPTS {
        let Ok(mut lease) = pool.checkout().await else {
            return AttemptOutcome::not_sent(allowance, Some(request.into_body()));
        };
        write_context(&mut request, context, callee, clock.now());
        match lease.send(request).await {
            Ok(response) => {
                let deadline = clock.instant(context.deadline);
                return read(context.attempt, &head.method, response, lease, deadline).await;
            }
            Err(SendError::NotSent(unsent)) => request = unsent,
            Err(SendError::Failed(_)) => return AttemptOutcome::lost(ResultCode::ConnectionLost),
        }
    }
    AttemptOutcome::not_sent(allowance, Some(request.into_body()))
}

fn write_context(
    request: &mut Request<RequestBody>,
    context: &CallContext,
    callee: &Callee<'_>,
    now: Timestamp,
) {
    let wire = WireContext::from_context(context, now).addressed_to(callee.clone());
    let value = wire.header_value();
    request.headers_mut().insert(names::CONTEXT, value);
}

async fn read(
    attempt: AttemptId,
    method: &Method,
    mut response: Response<Incoming>,
    lease: Lease,
    deadline: Instant,
) -> AttemptOutcome {
    let metadata = response::take_metadata(response.headers_mut());
    // A response that does not name the attempt may belong to another one and proves nothing.
    let Some(metadata) = metadata.filter(|metadata| metadata.attempt == Some(attempt)) else {
        return AttemptOutcome::lost(ResultCode::MalformedAnswer);
    };
    let code = response::result(response.headers());
    let result = match code {
        Some(ResultCode::Answered) => read_response(method, response, lease, deadline).await,
        Some(code) => {
            let retry_after = response::retry_after(response.headers());
            discard(response, lease);
            Err(Failure::with_retry_after(code, retry_after))
        }
        None => Err(Failure::new(ResultCode::MalformedAnswer)),
    };
    AttemptOutcome {
        result,
        // Another sidecar than the addressed one reports nothing about the addressed one.
        metadata: Some(metadata).filter(|_| code != Some(ResultCode::Misaddressed)),
        returned: Some(metadata.unused_retries),
        unsent: None,
    }
}

async fn read_response(
    method: &Method,
    response: Response<Incoming>,
    lease: Lease,
    deadline: Instant,
) -> Result<Response<ResponseBody>, Failure> {
    let (mut parts, incoming) = response.into_parts();
    remove_hop_by_hop(&mut parts.headers);
    remove_internal_response_headers(&mut parts.headers);
    remove_length(method, &mut parts.headers);
    let collected = collect(incoming).await;
    let collected = collected.map_err(|_| Failure::new(ResultCode::ConnectionLost))?;
    let is_complete = matches!(collected, Collected::Complete(_));
    let mut body = collected.into_body(deadline);
    if is_complete {
        Box::new(lease).ended(BodyEnd::Complete);
    } else {
        body.observe(Box::new(lease));
    }
    Ok(Response::from_parts(parts, body))
}

/// The router's record of an attempt in flight. Dropping it without an outcome records the attempt
/// as cancelled.
#[derive(Debug)]
pub(crate) struct InFlightAttempt {
    router: Arc<ServiceRouter>,
    target: Target,
    clock: Clock,
    started: Timestamp,
    is_observed: bool,
}

impl InFlightAttempt {
    pub(crate) fn new(router: &Arc<ServiceRouter>, target: &Target, clock: Clock) -> Self {
        Self {
            router: Arc::clone(router),
            target: target.clone(),
            clock,
            started: clock.now(),
            is_observed: false,
        }
    }

    /// Records the outcome of the attempt.
    pub(crate) fn finish(mut self, completed: &AttemptOutcome) {
        let now = self.clock.now();
        self.record_rate_limit(now, completed);
        match &completed.result {
            // The call was not sent, which shows nothing else about the endpoint.
            Err(failure) if failure.code == ResultCode::RateLimited => {}
            Ok(response) => {
                self.observe(now, completed, OutcomeClass::Run, response.status(), false)
            }
            Err(failure) => {
                self.record_unavailable(now, failure.code);
                let outcome = failure.code.outcome();
                let overloaded = is_overload(failure.code);
                self.observe(now, completed, outcome, StatusCode::OK, overloaded);
            }
        }
    }

    fn record_rate_limit(&self, now: Timestamp, completed: &AttemptOutcome) {
        if let Some(metadata) = &completed.metadata {
            let limited_for = Duration::from_millis(u64::from(metadata.rate_limited_ms));
            self.router
                .record_rate_limit(now, &self.target.id, limited_for);
        }
    }

    fn record_unavailable(&self, now: Timestamp, code: ResultCode) {
        match code {
            // The member list may not yet show that the endpoint is leaving.
            ResultCode::Draining | ResultCode::Misaddressed => {
                self.router.refused_as_leaving(now, &self.target.id);
            }
            // These conditions may be short, for example while a sidecar starts.
            ResultCode::NoBackend
            | ResultCode::NotReady
            | ResultCode::ConnectionLimit
            | ResultCode::BackendEnded
            | ResultCode::ConnectFailed => {
                self.router.connection_refused(now, &self.target.id);
            }
            _ => {}
        }
    }

    fn observe(
        &mut self,
        now: Timestamp,
        completed: &AttemptOutcome,
        outcome: OutcomeClass,
        status: StatusCode,
        overloaded: bool,
    ) {
        self.is_observed = true;
        let load = completed.metadata.map(|metadata| ReportedLoad {
            in_flight: metadata.in_flight,
            limit: metadata.limit,
            queued: metadata.queued,
            execution: metadata.execution(),
        });
        let seen = Observation {
            latency: now.saturating_since(self.started),
            outcome,
            error_response: status.is_server_error(),
            overloaded,
            load: load.filter(|load| load.limit > 0),
            level: completed.metadata.map(|metadata| metadata.level),
        };
        self.router.observe(now, &self.target.id, seen);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if !self.is_observed {
            self.router.discard_attempt(&self.target.id);
        }
    }
}

/// True if a refusal shows an overloaded endpoint rather than a broken one.
const fn is_overload(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::RefusedByLevel
            | ResultCode::RefusedQueueFull
            | ResultCode::DisplacedFromQueue
            | ResultCode::QueueTimeout
            | ResultCode::DeadlineUnreachable
            | ResultCode::DeadlineAfterDispatch
            | ResultCode::Draining
            | ResultCode::ConnectionLimit
            | ResultCode::NotReady
            | ResultCode::NoBackend
            | ResultCode::RefusedByBackend
            | ResultCode::Misaddressed
            | ResultCode::Quarantined
            | ResultCode::SuspectWaited
    )
}

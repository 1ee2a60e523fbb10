//! Sends one attempt of a call to one endpoint and reports its result to the router.

use std::sync::Arc;
use std::time::Duration;

use http::uri::{Authority, Scheme};
use http::{HeaderValue, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use wharfquay_core::call::{AttemptId, CallContext, RetryAllowance};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::routing::{Observation, ReportedLoad};
use wharfquay_core::time::Timestamp;
use wharfquay_protocol::context::WireContext;
use wharfquay_protocol::headers as names;
use wharfquay_protocol::response::ResponseMetadata;

use crate::body::{BodyEnd, BodyObserver, RequestBody};
use crate::clock::Clock;
use crate::outbound::call::OutgoingCall;
use crate::outbound::routes::{Route, Target};
use crate::peers::{PeerError, PeerPool};
use crate::response::{self, Failure};

/// Largest amount of the remaining time that each hop keeps for itself. The hop nearer to the
/// backend then times out first, and its more precise result code reaches the caller.
const HOP_MARGIN: Duration = Duration::from_millis(1);
/// Limits the hop margin to one in this many parts of the time remaining until the deadline.
const HOP_MARGIN_DIVISOR: u32 = 16;

/// The outcome of an attempt: the head of its response or the failure that replaces it.
#[derive(Debug)]
pub(crate) struct AttemptOutcome {
    /// The backend's response, or the failure that the caller receives instead.
    pub(crate) result: Result<Response<Incoming>, Failure>,
    /// How the retry allowance sent with the attempt is settled.
    pub(crate) allowance: GrantOutcome,
    /// Metadata of the daemon that responded; `None` without a response or without valid metadata.
    pub(crate) metadata: Option<ResponseMetadata>,
    /// The request body, if no byte of the request was sent.
    pub(crate) unsent: Option<RequestBody>,
}

/// How the retry allowance sent with an attempt is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantOutcome {
    /// The peer did not process the attempt, so none of the allowance was spent.
    Unspent,
    /// The response returned this part of the allowance.
    Returned(RetryAllowance),
    /// It is unknown how much was spent, so the whole allowance counts as spent.
    Lost,
}

impl AttemptOutcome {
    const fn failed(code: ResultCode, allowance: GrantOutcome) -> Self {
        Self {
            result: Err(Failure::new(code)),
            allowance,
            metadata: None,
            unsent: None,
        }
    }

    fn not_sent(request: Request<RequestBody>) -> Self {
        Self {
            unsent: Some(request.into_body()),
            ..Self::failed(ResultCode::ConnectFailed, GrantOutcome::Unspent)
        }
    }
}

/// Sends one attempt and waits for the head of its response until the call's deadline.
pub(crate) async fn send(
    peers: &PeerPool,
    clock: &Clock,
    call: &OutgoingCall,
    target: &Target,
    allowance: RetryAllowance,
    body: RequestBody,
) -> AttemptOutcome {
    let Some(request) = build(call, clock.now(), allowance, body) else {
        return AttemptOutcome::failed(ResultCode::MalformedRequest, GrantOutcome::Unspent);
    };
    let sent = peers.send(target.address, request);
    match clock.timeout_at(call.context.deadline, sent).await {
        Ok(Ok(response)) => read_response(response),
        Ok(Err(PeerError::NotSent(request))) => AttemptOutcome::not_sent(request),
        Ok(Err(PeerError::Unprocessed)) => {
            AttemptOutcome::failed(ResultCode::ConnectFailed, GrantOutcome::Unspent)
        }
        Ok(Err(PeerError::Lost)) => {
            AttemptOutcome::failed(ResultCode::ConnectionLost, GrantOutcome::Lost)
        }
        Err(_) => AttemptOutcome::failed(ResultCode::DeadlineAfterDispatch, GrantOutcome::Lost),
    }
}

fn build(
    call: &OutgoingCall,
    now: Timestamp,
    allowance: RetryAllowance,
    body: RequestBody,
) -> Option<Request<RequestBody>> {
    let mut uri = http::uri::Parts::default();
    uri.scheme = Some(Scheme::HTTP);
    uri.authority = Some(Authority::try_from(call.service.as_str()).ok()?);
    uri.path_and_query = Some(call.head.path.clone());
    let mut request = Request::new(body);
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = Uri::from_parts(uri).ok()?;
    *request.headers_mut() = call.head.headers.clone();
    let context = attempt_context(&call.context, now, allowance);
    let context = WireContext::from_context(&context, now);
    let context = HeaderValue::from_str(&context.encode()).ok()?;
    request.headers_mut().insert(names::CONTEXT, context);
    Some(request)
}

fn attempt_context(
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

fn read_response(mut response: Response<Incoming>) -> AttemptOutcome {
    let metadata = response::take_metadata(response.headers_mut());
    let result = match response::result(response.headers()) {
        Some(ResultCode::Answered) => Ok(response),
        Some(code) => {
            let retry_after = response::retry_after(response.headers());
            Err(Failure::with_retry_after(code, retry_after))
        }
        None => Err(Failure::new(ResultCode::MalformedAnswer)),
    };
    let returned = metadata.map(|metadata| GrantOutcome::Returned(metadata.unused_retries));
    AttemptOutcome {
        result,
        allowance: returned.unwrap_or(GrantOutcome::Lost),
        metadata,
        unsent: None,
    }
}

/// Reports the result of an attempt in flight to the router, exactly once. Dropping it before a
/// result is known reports the attempt as cancelled.
#[derive(Debug)]
pub(crate) struct InFlightAttempt {
    route: Arc<Route>,
    target: Target,
    clock: Clock,
    started: Timestamp,
    metadata: Option<ResponseMetadata>,
    /// True if the backend's response has a 5xx status.
    error_response: bool,
    ended: bool,
}

impl InFlightAttempt {
    pub(crate) fn new(route: &Arc<Route>, target: &Target, clock: Clock) -> Self {
        Self {
            route: Arc::clone(route),
            target: target.clone(),
            clock,
            started: clock.now(),
            metadata: None,
            error_response: false,
            ended: false,
        }
    }

    pub(crate) const fn record_metadata(&mut self, metadata: Option<ResponseMetadata>) {
        self.metadata = metadata;
    }

    /// Records the status of the backend's response when its head arrives.
    pub(crate) fn record_response(&mut self, status: StatusCode) {
        self.error_response = status.is_server_error();
    }

    /// Reports that the attempt failed without a response of the backend.
    pub(crate) fn failed(mut self, code: ResultCode) {
        let now = self.clock.now();
        match code {
            ResultCode::Draining => self.route.refused_as_leaving(now, &self.target.id),
            ResultCode::ConnectionLimit => self.route.connection_refused(now, &self.target.id),
            // The call was not sent, which shows nothing else about the endpoint.
            ResultCode::RateLimited => return self.record_rate_limit(now),
            _ => {}
        }
        self.observe(code.outcome(), is_overload(code));
    }

    /// Records for how long the rate limit of the endpoint leaves no room.
    fn record_rate_limit(&self, now: Timestamp) {
        if let Some(metadata) = self.metadata {
            let limited_for = Duration::from_millis(u64::from(metadata.rate_limited_ms));
            self.route
                .record_rate_limit(now, &self.target.id, limited_for);
        }
    }

    fn observe(&mut self, outcome: OutcomeClass, overloaded: bool) {
        self.ended = true;
        let now = self.clock.now();
        self.record_rate_limit(now);
        let observation = Observation {
            latency: now.saturating_since(self.started),
            outcome,
            error_response: self.error_response,
            overloaded,
            load: self.metadata.map(|metadata| ReportedLoad {
                in_flight: metadata.in_flight,
                limit: metadata.limit,
                queued: metadata.queued,
                execution: metadata.execution(),
            }),
            level: self.metadata.map(|metadata| metadata.level),
        };
        let incarnation = self.metadata.map(|metadata| metadata.incarnation);
        self.route.observe(
            now,
            &self.target.id,
            incarnation.unwrap_or_default(),
            observation,
        );
    }
}

impl BodyObserver for InFlightAttempt {
    fn ended(mut self: Box<Self>, end: BodyEnd) {
        match end {
            BodyEnd::Complete => self.observe(OutcomeClass::Run, false),
            BodyEnd::Failed => self.observe(OutcomeClass::Unknown, false),
            BodyEnd::Abandoned => {}
        }
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if !self.ended {
            self.route.discard_attempt(&self.target.id);
        }
    }
}

/// Returns true if a result code shows an overloaded or leaving endpoint rather than a broken one.
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
    )
}

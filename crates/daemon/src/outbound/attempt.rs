//! One attempt of a call at one endpoint.

use std::sync::Arc;
use std::time::Duration;

use http::uri::{Authority, Scheme};
use http::{HeaderValue, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use wharfquay_core::call::{AttemptId, CallContext, RetryAllowance};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::routing::{Observation, ReportedLoad};
use wharfquay_core::time::Timestamp;
use wharfquay_protocol::answer::WireAnswer;
use wharfquay_protocol::context::WireContext;
use wharfquay_protocol::headers as names;

use crate::answer::{self, Failure};
use crate::body::{BodyEnd, BodyObserver, RequestBody};
use crate::clock::Clock;
use crate::outbound::call::OutgoingCall;
use crate::outbound::routes::{Route, Target};
use crate::peers::{PeerError, PeerPool};

/// Part of the remaining time that is kept back at each hop, so that the hop nearer to the back end
/// answers first and its more exact answer reaches the caller.
const HOP_MARGIN: Duration = Duration::from_millis(1);
/// The margin is never more than this part of the remaining time.
const HOP_MARGIN_SHARE: u32 = 16;

/// The head of the answer to an attempt, or why there is none.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    /// The answer of the back end, or the failure in its place.
    pub(crate) result: Result<Response<Incoming>, Failure>,
    /// What became of the allowance that the attempt carried.
    pub(crate) allowance: GrantEnd,
    /// What the answering daemon told along with it.
    pub(crate) metadata: Option<WireAnswer>,
    /// The body, where none of it was sent.
    pub(crate) unsent: Option<RequestBody>,
}

/// What became of the allowance that an attempt carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantEnd {
    /// The attempt was not processed, so nothing was spent.
    Untouched,
    /// The answer hands this much back.
    Returned(RetryAllowance),
    /// Nobody can tell.
    Lost,
}

impl AttemptEnd {
    const fn failed(code: ResultCode, allowance: GrantEnd) -> Self {
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
            ..Self::failed(ResultCode::ConnectFailed, GrantEnd::Untouched)
        }
    }
}

/// Sends one attempt and waits for the head of its answer, at most until the call's deadline.
pub(crate) async fn send(
    peers: &PeerPool,
    clock: &Clock,
    call: &OutgoingCall,
    target: &Target,
    allowance: RetryAllowance,
    body: RequestBody,
) -> AttemptEnd {
    let Some(request) = build(call, clock.now(), allowance, body) else {
        return AttemptEnd::failed(ResultCode::MalformedRequest, GrantEnd::Untouched);
    };
    let sent = peers.send(target.address, request);
    match clock.timeout_at(call.context.deadline, sent).await {
        Ok(Ok(response)) => read_answer(response),
        Ok(Err(PeerError::NotSent(request))) => AttemptEnd::not_sent(request),
        Ok(Err(PeerError::Unprocessed)) => {
            AttemptEnd::failed(ResultCode::ConnectFailed, GrantEnd::Untouched)
        }
        Ok(Err(PeerError::Lost)) => AttemptEnd::failed(ResultCode::ConnectionLost, GrantEnd::Lost),
        Err(_) => AttemptEnd::failed(ResultCode::DeadlineAfterDispatch, GrantEnd::Lost),
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
    let context = WireContext::from_context(&attempt_context(&call.context, now, allowance), now);
    let context = HeaderValue::from_str(&context.encode()).ok()?;
    request.headers_mut().insert(names::CONTEXT, context);
    Some(request)
}

fn attempt_context(
    context: &CallContext,
    now: Timestamp,
    allowance: RetryAllowance,
) -> CallContext {
    let margin = HOP_MARGIN.min(context.remaining(now) / HOP_MARGIN_SHARE);
    CallContext {
        attempt: AttemptId::new(rand::random()),
        deadline: context.deadline - margin,
        allowance,
        depth: context.depth.saturating_add(1),
        ..context.clone()
    }
}

fn read_answer(mut response: Response<Incoming>) -> AttemptEnd {
    let metadata = answer::take_metadata(response.headers_mut());
    let result = match answer::result(response.headers()) {
        Some(ResultCode::Answered) => Ok(response),
        Some(code) => {
            let retry_after = answer::retry_after(response.headers());
            Err(Failure::with_retry_after(code, retry_after))
        }
        None => Err(Failure::new(ResultCode::MalformedAnswer)),
    };
    let returned = metadata.map(|metadata| GrantEnd::Returned(metadata.returned));
    AttemptEnd {
        result,
        allowance: returned.unwrap_or(GrantEnd::Lost),
        metadata,
        unsent: None,
    }
}

/// The router's record of an attempt in flight. Dropped without an end, the attempt was cancelled.
#[derive(Debug)]
pub(crate) struct Flight {
    route: Arc<Route>,
    target: Target,
    clock: Clock,
    started: Timestamp,
    metadata: Option<WireAnswer>,
    /// Whether the back end's answer has a 5xx status.
    error_answer: bool,
    ended: bool,
}

impl Flight {
    pub(crate) fn new(route: &Arc<Route>, target: &Target, clock: Clock) -> Self {
        Self {
            route: Arc::clone(route),
            target: target.clone(),
            clock,
            started: clock.now(),
            metadata: None,
            error_answer: false,
            ended: false,
        }
    }

    pub(crate) const fn heard(&mut self, metadata: Option<WireAnswer>) {
        self.metadata = metadata;
    }

    /// The head of the back end's answer arrived.
    pub(crate) fn answered(&mut self, status: StatusCode) {
        self.error_answer = status.is_server_error();
    }

    /// The attempt ended with a failure in place of an answer.
    pub(crate) fn failed(mut self, code: ResultCode) {
        let now = self.clock.now();
        match code {
            ResultCode::Draining => self.route.refused_as_leaving(now, &self.target.id),
            ResultCode::ConnectionLimit => self.route.connection_refused(now, &self.target.id),
            _ => {}
        }
        self.observe(code.outcome(), is_overload(code));
    }

    fn observe(&mut self, outcome: OutcomeClass, overloaded: bool) {
        self.ended = true;
        let now = self.clock.now();
        let seen = Observation {
            latency: now.saturating_since(self.started),
            outcome,
            error_answer: self.error_answer,
            overloaded,
            load: self.metadata.map(|metadata| ReportedLoad {
                in_flight: metadata.in_flight,
                limit: metadata.limit,
                queued: metadata.queued,
            }),
            level: self.metadata.map(|metadata| metadata.level),
        };
        let incarnation = self.metadata.map(|metadata| metadata.incarnation);
        self.route
            .observe(now, &self.target.id, incarnation.unwrap_or_default(), seen);
    }
}

impl BodyObserver for Flight {
    fn ended(mut self: Box<Self>, end: BodyEnd) {
        match end {
            BodyEnd::Complete => self.observe(OutcomeClass::Run, false),
            BodyEnd::Failed => self.observe(OutcomeClass::Unknown, false),
            BodyEnd::Abandoned => {}
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if !self.ended {
            self.route.abandoned(&self.target.id);
        }
    }
}

/// Whether a refusal shows a busy endpoint rather than a broken one.
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

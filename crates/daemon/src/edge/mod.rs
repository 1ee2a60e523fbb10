//! The edge: accepts requests of callers and turns each into an originating request.

mod claimed;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use uuid::Uuid;
use wharfquay_core::call::{
    AttemptId, CallContext, IdempotencyKey, OriginId, Repeatability, RetryAllowance,
};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::priority::{AdmissionLevel, Priority, Rank};
use wharfquay_core::retry::Ledger;
use wharfquay_protocol::headers as names;
use wharfquay_resources::decision::{RequestPolicy, RequestProperties};
use wharfquay_resources::kinds::RequestKind;
use wharfquay_resources::snapshot::Snapshot;

use crate::body::ResponseBody;
use crate::decisions::DecisionTrace;
use crate::events::{Event, log_event};
use crate::metrics::{Admission, Side};
use crate::node::Node;
use crate::outbound::call::{OutgoingCall, RequestHead, RetryAccount, backoff_for};
use crate::request::{check_head_size, service_name};
use crate::response::Failure;

/// Retry-After of refusals while this edge is stopping.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Number of calls that an edge makes for each request.
const CALLS_PER_REQUEST: usize = 1;
/// UUID version that idempotency keys must have.
const KEY_UUID_VERSION: usize = 7;

/// Serves the requests of callers on the edge listener.
#[derive(Clone, Debug)]
pub(crate) struct EdgeHandler {
    node: Arc<Node>,
}

impl EdgeHandler {
    pub(crate) const fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request.uri().path_and_query();
        let call = self.node.calls_in_flight.begin(Side::Edge, path);
        let method = request.method().clone();
        let cancellation = self.node.cancellation_guard(Side::Edge);
        let result = self.respond(request).await;
        cancellation.responded();
        let mut response = self.node.finish(Side::Edge, &method, result);
        response.body_mut().observe(Box::new(call));
        response
    }

    async fn respond(&self, request: Request<Incoming>) -> Result<Response<ResponseBody>, Failure> {
        check_head_size(&request, self.node.settings.limits.header_bytes)?;
        let snapshot = self.open_configuration().map_err(|failure| {
            let keyed = request.headers().contains_key(names::IDEMPOTENCY_KEY);
            if keyed {
                claimed::undetermined_before_claim(failure)
            } else {
                failure
            }
        })?;
        let service = service_name(&request)?;
        let origin = OriginId::from_u128(Uuid::now_v7().as_u128());
        let decisions = &self.node.decisions;
        let properties = || request_properties(&service, &request, origin);
        let trace = decisions.trace(origin, snapshot.revision, properties);
        let kind = snapshot
            .match_request(&service, request.method().as_str(), request.uri().path())
            .ok_or_else(|| refuse(&trace, ResultCode::UnknownService))?;
        let context = self.context(&snapshot, kind, request.headers(), origin, &trace)?;
        let priority = context.priority;
        let key_to_claim = claimed::key_to_claim(&snapshot, kind, context.idempotency_key);
        let account = RetryAccount {
            ledger: Arc::new(Mutex::new(Ledger::new(context.allowance))),
            children: CALLS_PER_REQUEST,
            backoff: backoff_for(&snapshot, &context.request_kind),
        };
        let (head, body) = RequestHead::split(request)?;
        let call = OutgoingCall {
            service,
            context,
            head,
            account,
            trace,
        };
        let result = match key_to_claim {
            Some(key) => claimed::run(Arc::clone(&self.node), call, key, body).await,
            None => self.node.forwarder.forward(&call, body).await,
        };
        self.count_admission(priority, &result);
        if let Err(failure) = &result
            && !kind.repeatable
        {
            self.log_unknown_outcome(origin, kind, failure.code);
        }
        result
    }

    fn count_admission(
        &self,
        priority: Priority,
        result: &Result<Response<ResponseBody>, Failure>,
    ) {
        let is_refused = result
            .as_ref()
            .is_err_and(|failure| failure.code.outcome() == OutcomeClass::NotRun);
        let admission = if is_refused {
            Admission::Refused
        } else {
            Admission::Admitted
        };
        self.node
            .metrics
            .record_admission(Side::Edge, priority, admission);
    }

    /// Logs a request that must take effect at most once and whose outcome is unknown.
    fn log_unknown_outcome(&self, origin: OriginId, kind: &RequestKind, code: ResultCode) {
        if code.outcome() != OutcomeClass::Unknown {
            return;
        }
        let limit = &self.node.event_limits.unknown_outcome;
        if let Some(suppressed) = limit.allow(Instant::now()) {
            log_event!(
                Event::OutcomeUnknown,
                "origin={:032x} request_kind={} result={} suppressed={suppressed}",
                origin.as_u128(),
                kind.name,
                code.number()
            );
        }
    }

    /// Returns the configuration in force, or a refusal if this edge is stopping or not ready.
    fn open_configuration(&self) -> Result<Arc<Snapshot>, Failure> {
        if self.node.is_stopping() {
            let code = ResultCode::Draining;
            return Err(Failure::with_retry_after(code, STOPPING_RETRY_AFTER));
        }
        self.node.configuration()
    }

    fn context(
        &self,
        snapshot: &Snapshot,
        kind: &RequestKind,
        headers: &HeaderMap,
        origin: OriginId,
        trace: &DecisionTrace,
    ) -> Result<CallContext, Failure> {
        let idempotency_key = idempotency_key(headers)?;
        let time_to_deadline_ms = time_to_deadline_ms(kind, headers)?;
        let budget = snapshot.retry_budget_for(kind);
        let retries = budget.map_or(0, |budget| budget.retries_per_request);
        trace.record_policy(|| RequestPolicy {
            request_kind: kind.name.clone(),
            priority: kind.priority,
            deadline_ms: time_to_deadline_ms,
            retries,
            repeatable: kind.repeatable,
        });
        if idempotency_key.is_none() && kind.idempotency_key_required && !kind.repeatable {
            return Err(refuse(trace, ResultCode::MissingIdempotencyKey));
        }
        Ok(CallContext {
            origin,
            attempt: AttemptId::new(0),
            request_kind: kind.name.clone(),
            priority: Priority::new(kind.priority).unwrap_or(Priority::LOWEST),
            deadline: self.node.clock.now() + Duration::from_millis(time_to_deadline_ms),
            allowance: RetryAllowance::new(retries),
            repeatability: if kind.repeatable {
                Repeatability::Repeatable
            } else {
                Repeatability::AtMostOnce
            },
            idempotency_key,
            depth: 0,
            admitted_below: AdmissionLevel::OPEN,
            is_repeat: false,
            fingerprint: None,
            terminated_backends: 0,
            rank: None,
        })
    }
}

/// Returns a refusal that follows from the configuration and adds it to the decision record.
fn refuse(trace: &DecisionTrace, code: ResultCode) -> Failure {
    trace.record_refusal(code);
    Failure::new(code)
}

/// Returns the properties of a request that its decision record contains.
fn request_properties<B>(
    service: &str,
    request: &Request<B>,
    origin: OriginId,
) -> RequestProperties {
    let headers = request.headers();
    RequestProperties {
        service: service.to_owned(),
        method: request.method().as_str().to_owned(),
        path: request.uri().path().to_owned(),
        deadline_ms: requested_deadline_ms(headers).unwrap_or_default(),
        has_idempotency_key: headers.contains_key(names::IDEMPOTENCY_KEY),
        rank: Rank::of(origin),
    }
}

/// Returns the time to the deadline in milliseconds: the value that the caller requests, at most
/// that of the request kind.
fn time_to_deadline_ms(kind: &RequestKind, headers: &HeaderMap) -> Result<u64, Failure> {
    let maximum = u64::from(kind.deadline_ms);
    let given = requested_deadline_ms(headers)?;
    Ok(given.map_or(maximum, |given| given.min(maximum)))
}

/// Reads the deadline that the caller requests, in milliseconds from the arrival; `None` without
/// the header.
fn requested_deadline_ms(headers: &HeaderMap) -> Result<Option<u64>, Failure> {
    let Some(value) = headers.get(names::DEADLINE) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    let millis = millis.ok_or_else(|| Failure::new(ResultCode::MalformedRequest))?;
    Ok(Some(millis))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Failure> {
    let Some(value) = headers.get(names::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    let key = parsed.filter(|key: &Uuid| key.get_version_num() == KEY_UUID_VERSION);
    let key = key.ok_or_else(|| Failure::new(ResultCode::InvalidIdempotencyKey))?;
    Ok(Some(IdempotencyKey::from_u128(key.as_u128())))
}

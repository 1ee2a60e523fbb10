//! Handles calls of other daemons: admission, execution at the local backend, and the response with
//! its metadata.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use wharfquay_core::admission::{AdmissionSettings, Completion};
use wharfquay_core::call::{CallContext, RetryAllowance};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::Priority;
use wharfquay_protocol::context::WireContext;
use wharfquay_protocol::headers as names;
use wharfquay_protocol::response::{ResponseMetadata, execution_fields, rate_limited_ms};
use wharfquay_resources::kinds::Service;
use wharfquay_resources::snapshot::Snapshot;

use crate::backend_pool::BackendPool;
use crate::body::{BodyEnd, BodyObserver, ResponseBody};
use crate::headers::{remove_hop_by_hop, remove_internal_response_headers};
use crate::inbound::announcements::BackendAnnouncements;
use crate::inbound::dispatch::{self, BackendResponse};
use crate::inbound::gate::{AdmissionGate, Permit};
use crate::metrics::{Admission, Side};
use crate::node::Node;
use crate::response::{Failure, set_metadata, set_result};
use crate::scopes::OpenScope;

/// Retry-After of refusals while this daemon is leaving or not ready.
pub(super) const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The backend beside this daemon, with its admission gate and connections.
#[derive(Debug)]
pub(crate) struct LocalBackend {
    pub(crate) service: String,
    pub(crate) gate: Arc<AdmissionGate>,
    pub(crate) pool: Arc<BackendPool>,
    pub(crate) announcements: Arc<BackendAnnouncements>,
    /// True if one of the backend's connections is reserved for reading its health endpoint.
    pub(crate) reads_health: bool,
}

impl LocalBackend {
    /// Applies the service resource of the backend to the gate and the connection pool.
    pub(crate) fn configure(&self, service: &Service) {
        let connections = self.call_connections(service);
        self.gate
            .reconfigure(admission_settings(service, connections));
        self.pool.set_limit(connections as usize);
    }

    /// Returns the number of connections to the backend that calls may use: those of the service,
    /// less one if one is reserved for the health endpoint; at least 1.
    fn call_connections(&self, service: &Service) -> u32 {
        let reserved = u32::from(self.reads_health);
        service.connections.saturating_sub(reserved).max(1)
    }
}

/// Derives admission settings from a service resource.
fn admission_settings(service: &Service, connections: u32) -> AdmissionSettings {
    AdmissionSettings {
        initial_limit: service.slots.min(connections),
        maximum_limit: connections,
        maximum_queue_wait: Duration::from_millis(u64::from(service.queue_wait_ms)),
        ..AdmissionSettings::default()
    }
}

/// Serves the calls of other daemons on the inbound listener.
#[derive(Clone, Debug)]
pub(crate) struct InboundHandler {
    node: Arc<Node>,
    backend: Arc<LocalBackend>,
}

impl InboundHandler {
    pub(crate) const fn new(node: Arc<Node>, backend: Arc<LocalBackend>) -> Self {
        Self { node, backend }
    }

    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request.uri().path_and_query();
        let call = self.node.calls_in_flight.begin(Side::Inbound, path);
        let method = request.method().clone();
        let cancellation = self.node.cancellation_guard(Side::Inbound);
        let result = match self.read_context(&request) {
            Ok(context) => self.execute(context, request).await,
            Err(failure) => Err(failure),
        };
        cancellation.responded();
        let mut response = self.node.finish(Side::Inbound, &method, result);
        response.body_mut().observe(Box::new(call));
        response
    }

    fn read_context(&self, request: &Request<Incoming>) -> Result<CallContext, Failure> {
        let now = self.node.clock.now();
        let value = request.headers().get(names::CONTEXT);
        let wire = value.and_then(|value| WireContext::decode(value.as_bytes()).ok());
        let context = wire.and_then(|wire| wire.into_context(now).ok());
        let mut context = context.ok_or_else(|| Failure::new(ResultCode::InvalidContext))?;
        context.deadline = context.deadline - self.node.pause_detector.possible_wait(now);
        Ok(context)
    }

    async fn execute(
        &self,
        context: CallContext,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Failure> {
        let kind = context.request_kind.clone();
        let priority = context.priority;
        let allowance = context.allowance;
        let result = self.admit_and_dispatch(context, request).await;
        let (mut response, returned) = match result {
            Ok(accepted) => self.relay(accepted),
            Err(failed) => (
                failed.failure.into_response(),
                failed.returned.unwrap_or(allowance),
            ),
        };
        let metadata = self.metadata(&kind, priority, returned);
        set_metadata(response.headers_mut(), &metadata);
        Ok(response)
    }

    async fn admit_and_dispatch(
        &self,
        context: CallContext,
        request: Request<Incoming>,
    ) -> Result<Execution, FailedCall> {
        self.check_open()?;
        self.backend.announcements.check(&context)?;
        let key = context.admission_key();
        let deadline = context.deadline;
        let admitted = self.backend.gate.enter(key, deadline).await;
        let admission = match admitted {
            Ok(_) => Admission::Admitted,
            Err(_) => Admission::Refused,
        };
        let metrics = &self.node.metrics;
        metrics.record_admission(Side::Inbound, context.priority, admission);
        let permit = admitted?;
        let scope = self.node.scopes.open(context, permit.ticket());
        let deadline = self.node.clock.instant(deadline);
        let dispatched = dispatch::execute(&self.backend, &scope, request, deadline).await;
        match dispatched {
            Ok(backend_response) => Ok(Execution {
                backend_response,
                scope,
                permit,
                deadline,
            }),
            Err(failure) => {
                let returned = Some(scope.scope().close_ledger());
                permit.complete(completion_of(failure.code));
                Err(FailedCall { failure, returned })
            }
        }
    }

    fn check_open(&self) -> Result<(), Failure> {
        let refuse = |code| Err(Failure::with_retry_after(code, UNAVAILABLE_RETRY_AFTER));
        if self.node.is_stopping() || *self.node.control.leaving.borrow() {
            return refuse(ResultCode::Draining);
        }
        let snapshot = self.node.configuration()?;
        if !snapshot.services.contains_key(&self.backend.service) {
            return refuse(ResultCode::NotReady);
        }
        Ok(())
    }

    fn relay(&self, execution: Execution) -> (Response<ResponseBody>, RetryAllowance) {
        let returned = execution.scope.scope().close_ledger();
        let (mut parts, incoming) = execution.backend_response.response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        remove_internal_response_headers(&mut parts.headers);
        set_result(&mut parts.headers, ResultCode::Answered);
        let mut body = ResponseBody::streamed(incoming, execution.deadline);
        body.observe(Box::new(execution.backend_response.lease));
        body.observe(Box::new(CompletionObserver {
            _scope: execution.scope,
            permit: execution.permit,
        }));
        (Response::from_parts(parts, body), returned)
    }

    fn metadata(
        &self,
        request_kind: &str,
        priority: Priority,
        unused_retries: RetryAllowance,
    ) -> ResponseMetadata {
        let report = self.backend.gate.report();
        let snapshot = self.node.control.snapshot.borrow().clone();
        let below = self.level_below(&snapshot, request_kind);
        let (slowdown_percent, expected_execution_ms) = execution_fields(report.execution);
        ResponseMetadata {
            attempt: None,
            unused_retries,
            level: report.level,
            folded_level: report.level.fold(below),
            incarnation: self.node.clock.started_at().as_millis(),
            in_flight: report.load.in_flight,
            limit: report.load.limit,
            queued: report.load.queued,
            rate_limited_ms: rate_limited_ms(self.backend.announcements.exhausted_for(priority)),
            slowdown_percent,
            expected_execution_ms,
            completed_permille: None,
        }
    }

    fn level_below(
        &self,
        snapshot: &Snapshot,
        request_kind: &str,
    ) -> wharfquay_core::priority::AdmissionLevel {
        let service = snapshot.services.get(&self.backend.service);
        let calls = service.into_iter().flat_map(|service| &service.calls);
        self.node.forwarder.strictest_level(calls, request_kind)
    }
}

/// A call for which the head of the backend's response has arrived.
struct Execution {
    backend_response: BackendResponse,
    scope: OpenScope,
    permit: Permit,
    deadline: tokio::time::Instant,
}

/// A call that failed or was refused without a response of the backend.
struct FailedCall {
    failure: Failure,
    /// Retry allowance that is returned to the caller; `None`, for all of it, if no ledger was
    /// opened.
    returned: Option<RetryAllowance>,
}

impl From<Failure> for FailedCall {
    fn from(failure: Failure) -> Self {
        Self {
            failure,
            returned: None,
        }
    }
}

/// Completes the execution when the body of its response ends.
struct CompletionObserver {
    _scope: OpenScope,
    permit: Permit,
}

impl BodyObserver for CompletionObserver {
    fn ended(self: Box<Self>, end: BodyEnd) {
        let completion = match end {
            BodyEnd::Complete => Completion::Succeeded,
            BodyEnd::Failed => Completion::Failed,
            BodyEnd::Abandoned => Completion::Cancelled,
        };
        self.permit.complete(completion);
    }
}

const fn completion_of(code: ResultCode) -> Completion {
    match code {
        ResultCode::DeadlineUnreachable | ResultCode::RateLimited => Completion::Cancelled,
        _ => Completion::Failed,
    }
}

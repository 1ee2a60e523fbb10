//! Admits calls for the local backend, tracks their execution and returns the response with its
//! metadata.

use std::fmt;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use tokio::time::Instant;
use wharfquay_core::admission::completion::ExecutionResult;
use wharfquay_core::admission::{Completion, Load};
use wharfquay_core::call::{CallContext, RetryAllowance};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::AdmissionLevel;
use wharfquay_daemon::body::{BodyEnd, BodyObserver, RequestBody, ResponseBody};
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::inbound::gate::{AdmissionRequest, Permit};
use wharfquay_daemon::response::Failure;
use wharfquay_protocol::response::{ResponseMetadata, execution_fields, rate_limited_ms};

use super::backend::{LocalBackend, OpenInstance};
use super::dispatch::{AdmittedCall, BackendResponse};
use super::report::CallReport;
use super::sending_report::SendingCounter;
use super::unread_headers::UnreadHeaders;
use crate::body::Collected;
use crate::dialect::Dialect;
use crate::in_flight::InFlight;
use crate::instance::InstanceId;
use crate::message::RequestHead;
use crate::metrics::Metrics;
use crate::outbound::routing::Routing;
use crate::quarantine::Quarantine;
use crate::scopes::{OpenScope, ScopeTable};

/// Maximum time for which a call may wait for admission to the backend. A longer one for calls on
/// behalf of requests in execution brought no benefit (docs/design/decisions.md).
const MAX_ADMISSION_WAIT: Duration = Duration::from_millis(100);
/// Retry-After of a refusal because no instance can take work.
pub(super) const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Callback for what a response shows about an instance.
pub(crate) type InstanceObserver = Arc<dyn Fn(&InstanceId) + Send + Sync>;

/// Callbacks for what responses show about the instances of the backend.
pub(crate) struct InstanceObservers {
    /// Another instance than the addressed one has the backend's address.
    pub(crate) misdirected: InstanceObserver,
    /// The instance that receives work announces that it is leaving.
    pub(crate) leaving: InstanceObserver,
}

/// Outcome of a call and the metadata to return to its sender.
pub(crate) struct Executed {
    pub(crate) result: Result<Response<ResponseBody>, Failure>,
    pub(crate) metadata: ResponseMetadata,
}

/// Executes calls at the local backend.
pub(crate) struct LocalExecutor {
    pub(crate) backend: Arc<LocalBackend>,
    pub(crate) scopes: Arc<ScopeTable>,
    pub(crate) routing: Arc<Routing>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) dialect: Dialect,
    pub(crate) clock: Clock,
    pub(crate) stopping: Arc<AtomicBool>,
    pub(crate) in_flight: Arc<AtomicUsize>,
    pub(crate) observers: InstanceObservers,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) unread_headers: UnreadHeaders,
}

impl fmt::Debug for LocalExecutor {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("LocalExecutor")
            .field("backend", &self.backend)
            .finish_non_exhaustive()
    }
}

impl LocalExecutor {
    /// Admits a call, executes it and returns the response.
    pub(crate) async fn execute(
        &self,
        context: CallContext,
        head: &RequestHead,
        body: RequestBody,
    ) -> Executed {
        let mut report = CallReport::new(self.clock, &context, self.request_id(head));
        let allowance = context.allowance;
        let (instance, result, returned) = match self.open_instance() {
            Ok(instance) => {
                let (result, returned) =
                    self.run(&instance, &context, head, body, &mut report).await;
                (Some(instance), result, returned)
            }
            Err(failure) => (None, Err(failure), allowance),
        };
        let metadata = self.metadata(instance.as_ref(), &report, returned);
        let id = instance.as_ref().map(|open| &open.id);
        report.write(id, &result, &metadata, &self.metrics);
        Executed { result, metadata }
    }

    fn request_id<'head>(&self, head: &'head RequestHead) -> &'head str {
        self.dialect.request_id(&head.headers).unwrap_or_default()
    }

    fn open_instance(&self) -> Result<Arc<OpenInstance>, Failure> {
        let refuse = |code| Failure::with_retry_after(code, UNAVAILABLE_RETRY_AFTER);
        if self.stopping.load(Ordering::Relaxed) {
            return Err(refuse(ResultCode::Draining));
        }
        let instance = self.backend.instance();
        let instance = instance.ok_or_else(|| refuse(ResultCode::NoBackend))?;
        if instance.is_leaving() {
            return Err(refuse(ResultCode::Draining));
        }
        if instance.is_unreachable(self.clock.now()) {
            return Err(refuse(ResultCode::NoBackend));
        }
        Ok(instance)
    }

    /// Waits for admission and executes the call. Also returns the retries that were not spent.
    async fn run(
        &self,
        instance: &Arc<OpenInstance>,
        context: &CallContext,
        head: &RequestHead,
        body: RequestBody,
        report: &mut CallReport<'_>,
    ) -> (Result<Response<ResponseBody>, Failure>, RetryAllowance) {
        let allowance = context.allowance;
        if let Err(failure) = self.check_rate_limit(instance, context) {
            return (Err(failure), allowance);
        }
        let suspect_permit = match self.quarantine.wait_for_permit(context).await {
            Ok(suspect_permit) => suspect_permit,
            Err(failure) => return (Err(failure), allowance),
        };
        let entering = instance.gate.enter_with(admission_request(context));
        let permit = match entering.await {
            Ok(permit) => permit,
            Err(failure) => return (Err(failure), allowance),
        };
        report.admitted();
        if instance.is_leaving() {
            let failure = Failure::with_retry_after(ResultCode::Draining, UNAVAILABLE_RETRY_AFTER);
            return (Err(failure), allowance);
        }
        let _in_flight = InFlight::begin(&self.in_flight);
        let deadline = self.clock.instant(context.deadline);
        let request_id = self.request_id(head);
        let gate = Arc::clone(&instance.gate);
        let ticket = permit.ticket();
        let scope = self.scopes.open(request_id, context.clone(), ticket, gate);
        let call = AdmittedCall {
            context,
            request_id,
            head,
            is_isolated: suspect_permit.is_some(),
            sendings: SendingCounter::default(),
        };
        // Pinned here and passed by reference, so that the future of the call contains it only once.
        let execution = pin!(self.dispatch(instance, &call, body));
        let within = self.clock.timeout_at(context.deadline, execution);
        let result = match within.await {
            Ok(result) => result,
            Err(_) => Err(Failure::new(ResultCode::DeadlineAfterDispatch)),
        };
        self.record_execution(context, &result, &scope);
        let returned = scope.close_ledger();
        (
            complete_execution(result, scope, permit, deadline),
            returned,
        )
    }

    /// Records whether an execution completed. A server error that no failed call explains is the
    /// backend's own, and no reason to start fewer requests.
    fn record_execution(
        &self,
        context: &CallContext,
        result: &Result<BackendResponse, Failure>,
        scope: &OpenScope,
    ) {
        let has_failed = match result {
            Ok(response) => response.parts.status.is_server_error(),
            Err(failure) if failure.code == ResultCode::DeadlineAfterDispatch => true,
            Err(_) => return,
        };
        let failed_call = scope.failed_call().filter(|_| has_failed);
        let result = match &failed_call {
            Some(service) => ExecutionResult::CallFailed(service),
            None => ExecutionResult::Completed,
        };
        self.routing
            .record_execution(&context.request_kind, context.priority, result);
    }

    fn metadata(
        &self,
        instance: Option<&Arc<OpenInstance>>,
        call: &CallReport<'_>,
        unused_retries: RetryAllowance,
    ) -> ResponseMetadata {
        let below = self.routing.level_below(call.request_kind());
        let (level, load, execution, limited_for) = match instance {
            Some(instance) => {
                let report = instance.gate.report();
                let now = self.clock.now();
                let limited_for = instance.announcements.exhausted_for(now, call.priority());
                (report.level, report.load, report.execution, limited_for)
            }
            None => (AdmissionLevel::OPEN, Load::default(), None, Duration::ZERO),
        };
        let (slowdown_percent, expected_execution_ms) = execution_fields(execution);
        ResponseMetadata {
            attempt: Some(call.attempt()),
            unused_retries,
            level,
            folded_level: level.fold(below),
            incarnation: self.clock.started_at().as_millis(),
            in_flight: load.in_flight,
            limit: load.limit,
            queued: load.queued,
            rate_limited_ms: rate_limited_ms(limited_for),
            slowdown_percent,
            expected_execution_ms,
            completed_permille: self.routing.completed_share(call.request_kind()),
        }
    }
}

/// Returns the admission parameters of a call.
fn admission_request(context: &CallContext) -> AdmissionRequest {
    AdmissionRequest {
        key: context.admission_key(),
        deadline: context.deadline,
        max_queue_wait: Some(MAX_ADMISSION_WAIT),
        progress: context.progress(),
        admitted_below: context.admitted_below,
    }
}

/// Completes the execution, or defers that to the end of a body that is still being relayed.
fn complete_execution(
    result: Result<BackendResponse, Failure>,
    scope: OpenScope,
    permit: Permit,
    deadline: Instant,
) -> Result<Response<ResponseBody>, Failure> {
    let backend_response = match result {
        Ok(backend_response) => backend_response,
        Err(failure) => {
            permit.complete(completion_for(failure.code));
            return Err(failure);
        }
    };
    let is_complete = matches!(backend_response.collected, Collected::Complete(_));
    let mut body = backend_response.collected.into_body(deadline);
    let lease: Box<dyn BodyObserver> = Box::new(backend_response.lease);
    if is_complete {
        lease.ended(BodyEnd::Complete);
        permit.complete(Completion::Succeeded);
    } else {
        body.observe(lease);
        body.observe(Box::new(ExecutionCompletion {
            _scope: scope,
            permit,
        }));
    }
    Ok(Response::from_parts(backend_response.parts, body))
}

const fn completion_for(code: ResultCode) -> Completion {
    match code {
        // A call that was not sent shows nothing about the backend.
        ResultCode::DeadlineAfterDispatch | ResultCode::RateLimited => Completion::Cancelled,
        _ => Completion::Failed,
    }
}

/// Completes the execution when the body of its response ends.
struct ExecutionCompletion {
    _scope: OpenScope,
    permit: Permit,
}

impl BodyObserver for ExecutionCompletion {
    fn ended(self: Box<Self>, end: BodyEnd) {
        let completion = match end {
            BodyEnd::Complete => Completion::Succeeded,
            BodyEnd::Failed => Completion::Failed,
            BodyEnd::Abandoned => Completion::Cancelled,
        };
        self.permit.complete(completion);
    }
}

/// Separates a request from its body. The body is `Held(None)` if the request has none, and
/// otherwise a stream that has not been read yet.
pub(crate) fn split_body(request: Request<Incoming>) -> (Request<()>, RequestBody) {
    use http_body::Body;
    let (parts, incoming) = request.into_parts();
    let body = if incoming.is_end_stream() {
        RequestBody::Held(None)
    } else {
        RequestBody::Streamed {
            prefix: None,
            rest: incoming,
        }
    };
    (Request::from_parts(parts, ()), body)
}

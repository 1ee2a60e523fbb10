//! Requests of callers and of the local back end: their route, their context and their answer.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::header::{self, HeaderMap};
use http::{HeaderValue, Request, Response};
use tokio::sync::watch;
use wharfquay_core::call::{AttemptId, CallContext, OriginId, Repeatability, RetryAllowance};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::{AdmissionLevel, Priority};
use wharfquay_core::retry::Ledger;
use wharfquay_daemon::answer::Failure;
use wharfquay_daemon::body::{AnswerBody, RequestBody};
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::headers::remove_internal_request;

use super::answer::{refusal, status_of};
use super::forward::{CallBody, Forwarder, OutgoingCall, Progress};
use super::identity::identify;
use super::report::RequestReport;
use crate::configuration::{Route, RouteIndex};
use crate::confirmation::Confirmation;
use crate::dialect::{Dialect, RequestLineage};
use crate::fingerprint::{BodyPrefix, fingerprint};
use crate::message::RequestHead;
use crate::scopes::{Scope, ScopeTable};
use crate::tenant::Tenant;

/// Retries that a caller's request and all calls below it may spend.
const RETRIES_PER_REQUEST: u16 = 3;
/// Calls among which a caller's request divides its retries.
const CALLS_PER_REQUEST: usize = 1;
/// Retry-After while no configuration is known.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-After of a request that came to a sidecar which is about to end.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Retry-After of a request that could not be placed in its time.
const TIMEOUT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Serves callers on this machine and the local back end.
#[derive(Debug)]
pub(crate) struct OutboundHandler {
    pub(crate) dialect: Dialect,
    pub(crate) clock: Clock,
    pub(crate) caller_service: HeaderValue,
    pub(crate) configuration: watch::Receiver<Arc<RouteIndex>>,
    pub(crate) confirmation: Arc<Confirmation>,
    pub(crate) forwarder: Arc<Forwarder>,
    pub(crate) scopes: Arc<ScopeTable>,
    /// Whether requests of callers are refused, since the process is about to end.
    pub(crate) refusing: Arc<AtomicBool>,
}

/// A request with what the configuration says about it.
struct Admitted {
    call: OutgoingCall,
    parent: Option<Arc<Scope>>,
}

impl OutboundHandler {
    /// Gives the final answer to a request.
    pub(crate) async fn handle(&self, request: Request<RequestBody>) -> Response<AnswerBody> {
        let request_id = request.headers().get(&self.dialect.request_id).cloned();
        let answer = match self.answer(request).await {
            Ok(response) => response,
            Err(failure) => refusal(failure),
        };
        self.identify(answer, request_id)
    }

    /// The sidecar's own answers bear the id of their request, as those of back ends do.
    fn identify(
        &self,
        mut answer: Response<AnswerBody>,
        request_id: Option<HeaderValue>,
    ) -> Response<AnswerBody> {
        if let Some(id) = request_id {
            let name = self.dialect.request_id.clone();
            answer.headers_mut().entry(name).or_insert(id);
        }
        answer
    }

    async fn answer(&self, request: Request<RequestBody>) -> Result<Response<AnswerBody>, Failure> {
        let index = self.configuration.borrow().clone();
        if index.configuration.version == 0 {
            let code = ResultCode::NotReady;
            return Err(Failure::with_retry_after(code, NOT_READY_RETRY_AFTER));
        }
        let (admitted, body) = self.admit(&index, request)?;
        let _waiting = admitted.parent.as_ref().map(DownstreamWait::start);
        let result = self.run(&admitted.call, body).await;
        let code = result.as_ref().err().map(|failure| failure.code);
        let code = code.unwrap_or(ResultCode::Answered);
        let report = admitted.call.report;
        let metrics = &self.forwarder.metrics;
        metrics.request_ended(report.route(), code, report.elapsed());
        if let Some(tenant) = report.tenant() {
            metrics.tenant_request_ended(tenant, code);
        }
        tell(report, &result);
        result
    }

    /// Forwards a call until its deadline.
    async fn run(
        &self,
        call: &OutgoingCall,
        body: RequestBody,
    ) -> Result<Response<AnswerBody>, Failure> {
        let forwarding = self.forwarder.forward(call, CallBody::new(body));
        match self
            .clock
            .timeout_at(call.context.deadline, forwarding)
            .await
        {
            Ok(Err(failure)) if is_late(failure.code) && !call.progress.may_run() => {
                Err(placed_too_late())
            }
            Ok(result) => result,
            Err(_) if call.progress.may_run() => {
                Err(Failure::new(ResultCode::DeadlineAfterDispatch))
            }
            Err(_) => Err(placed_too_late()),
        }
    }

    fn admit(
        &self,
        index: &RouteIndex,
        request: Request<RequestBody>,
    ) -> Result<(Admitted, RequestBody), Failure> {
        let host = host(&request).ok_or_else(|| Failure::new(ResultCode::MalformedRequest))?;
        let route = index
            .find(&host, request.uri().path())
            .ok_or_else(|| Failure::new(ResultCode::UnknownService))?;
        let service = route
            .destination(rand::random())
            .ok_or_else(|| Failure::new(ResultCode::NoBackend))?;
        let prefix = request.extensions().get::<BodyPrefix>().cloned();
        let (mut head, body) = RequestHead::split(request)
            .ok_or_else(|| Failure::new(ResultCode::MalformedRequest))?;
        let parent = self.parent(&head.headers)?;
        if parent.is_none() && self.refusing.load(Ordering::Relaxed) {
            let code = ResultCode::Draining;
            return Err(Failure::with_retry_after(code, STOPPING_RETRY_AFTER));
        }
        let tenant = match parent {
            Some(_) => None,
            None => self.identify_caller(index, route, &head.headers)?,
        };
        self.set_identity(&mut head.headers, index, tenant);
        let request_id = self
            .dialect
            .request_id(&head.headers)
            .ok_or_else(|| Failure::new(ResultCode::MalformedRequest))?;
        let given = self.dialect.deadline(&head.headers);
        let priority = index.priority(tenant, route);
        let tenant_name = tenant.map(|tenant| tenant.name.as_str());
        let fingerprint = fingerprint(&host, &head, tenant_name, prefix.as_ref(), &body);
        let context = CallContext {
            fingerprint: Some(fingerprint),
            ..self.context(route, priority, request_id, given, parent.as_deref())
        };
        if parent.is_some() {
            self.forwarder.routing.calls(&context.request_kind, service);
        }
        let (ledger, children) = match &parent {
            Some(scope) => (Arc::clone(&scope.ledger), INNER_CALLS_PER_REQUEST),
            None => (
                Arc::new(Mutex::new(Ledger::new(context.allowance))),
                CALLS_PER_REQUEST,
            ),
        };
        let report = RequestReport::new(
            self.clock,
            request_id,
            tenant_name,
            &route.name,
            service,
            index.configuration.version,
            &context,
        );
        // The context carries the deadline on; the sidecar beside the back end writes the header anew.
        head.headers.remove(&self.dialect.deadline_ms);
        let call = OutgoingCall {
            service: service.to_owned(),
            context,
            head,
            limited_tenant: tenant
                .filter(|tenant| tenant.quota.is_some())
                .map(|tenant| tenant.name.clone()),
            ledger,
            children,
            max_attempts: route.max_attempts,
            progress: Arc::new(Progress::default()),
            report,
        };
        Ok((Admitted { call, parent }, body))
    }

    /// The tenant that a caller's request belongs to, if its route asks for a key.
    fn identify_caller<'index>(
        &self,
        index: &'index RouteIndex,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Option<&'index Tenant>, Failure> {
        let request_id = self.dialect.request_id(headers).unwrap_or_default();
        identify(index, route, request_id, headers, &self.confirmation)
    }

    /// The execution at the local back end on whose behalf a request is made; none for a caller's own request.
    ///
    /// # Errors
    /// The refusal of a request that names an execution which this process knows nothing of, while callers have to
    /// say who they are: the name could be made up.
    fn parent(&self, headers: &HeaderMap) -> Result<Option<Arc<Scope>>, Failure> {
        let request_id = self
            .dialect
            .request_id(headers)
            .ok_or_else(|| Failure::new(ResultCode::MalformedRequest))?;
        let Some(parent) = RequestLineage::of(request_id).parent() else {
            return Ok(None);
        };
        let scope = self.scopes.get(parent);
        let has_tenants = !self.configuration.borrow().configuration.tenants.is_empty();
        if scope.is_none() && has_tenants && !headers.contains_key(header::AUTHORIZATION) {
            let code = ResultCode::OriginNotOpen;
            return Err(Failure::with_retry_after(code, NOT_READY_RETRY_AFTER));
        }
        Ok(scope)
    }

    /// Writes who sent a request, whatever the sender wrote there. Back ends see no key.
    fn set_identity(&self, headers: &mut HeaderMap, index: &RouteIndex, tenant: Option<&Tenant>) {
        remove_internal_request(headers);
        headers.remove(&self.dialect.target_instance);
        let caller = self.dialect.caller_service.clone();
        headers.insert(caller, self.caller_service.clone());
        headers.remove(&self.dialect.tenant);
        if !index.configuration.tenants.is_empty() {
            headers.remove(header::AUTHORIZATION);
        }
        if let Some(name) = tenant.and_then(Tenant::header_value) {
            headers.insert(self.dialect.tenant.clone(), name);
        }
    }

    /// What the call carries: a call of the back end has the priority and the rank of the request that it was
    /// made for, so that every hop decides alike about the whole call tree.
    fn context(
        &self,
        route: &Route,
        priority: Priority,
        request_id: &str,
        given: Option<Duration>,
        parent: Option<&Scope>,
    ) -> CallContext {
        let deadline = self.clock.now() + route.lifetime(given);
        let repeatability = if route.repeatable {
            Repeatability::Repeatable
        } else {
            Repeatability::AtMostOnce
        };
        match parent {
            Some(scope) => CallContext {
                attempt: AttemptId::new(0),
                deadline: deadline.min(scope.context.deadline),
                allowance: RetryAllowance::NONE,
                repeatability,
                ended_backends: 0,
                ..scope.context.clone()
            },
            None => {
                let origin = origin(RequestLineage::of(request_id).root());
                CallContext {
                    origin,
                    attempt: AttemptId::new(0),
                    request_kind: route.name.clone(),
                    priority,
                    deadline,
                    allowance: RetryAllowance::new(RETRIES_PER_REQUEST),
                    repeatability,
                    idempotency_key: None,
                    depth: 0,
                    admitted_below: AdmissionLevel::OPEN,
                    is_repeat: false,
                    fingerprint: None,
                    ended_backends: 0,
                }
            }
        }
    }
}

/// Calls among which an execution divides its retries.
const INNER_CALLS_PER_REQUEST: usize = 2;

fn host<B>(request: &Request<B>) -> Option<String> {
    let authority = request.uri().authority().map(|host| host.as_str());
    let header = request.headers().get(header::HOST);
    let named = header.and_then(|value| value.to_str().ok());
    authority.or(named).map(str::to_owned)
}

/// The origin of a request, from a hash of the id that its user gave it.
fn origin(root: &str) -> OriginId {
    const OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
    const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013B;
    let hash = root.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u128::from(byte)).wrapping_mul(PRIME)
    });
    OriginId::from_u128(hash)
}

/// Writes what became of a request.
fn tell(report: RequestReport, result: &Result<Response<AnswerBody>, Failure>) {
    match result {
        Ok(response) => report.answered(response.status()),
        Err(failure) => report.failed(*failure, status_of(failure.code)),
    }
}

const fn is_late(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::DeadlineUnreachable | ResultCode::QueueTimeout
    )
}

const fn placed_too_late() -> Failure {
    Failure::with_retry_after(ResultCode::DeadlineUnreachable, TIMEOUT_RETRY_AFTER)
}

/// The time for which an execution waits for one of its own calls.
#[derive(Debug)]
struct DownstreamWait {
    scope: Arc<Scope>,
}

impl DownstreamWait {
    fn start(scope: &Arc<Scope>) -> Self {
        scope.gate.downstream_started(scope.ticket);
        Self {
            scope: Arc::clone(scope),
        }
    }
}

impl Drop for DownstreamWait {
    fn drop(&mut self) {
        self.scope.gate.downstream_ended(self.scope.ticket);
    }
}

//! Requests of callers and of the local backend: route, context and response.

use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::header::{self, HeaderMap};
use http::{HeaderValue, Request, Response};
use tokio::sync::watch;
use wharfquay_core::call::{AttemptId, CallContext, OriginId, Repeatability, RetryAllowance};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::priority::{AdmissionLevel, Priority};
use wharfquay_core::retry::Ledger;
use wharfquay_daemon::body::{RequestBody, ResponseBody};
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::headers::remove_internal_request_headers;
use wharfquay_daemon::response::Failure;

use super::caller_admission::{Caller, CallerAdmission, is_short_of_capacity};
use super::forward::{CallBody, Forwarder, OutgoingCall, Progress};
use super::identity::identify_tenant;
use super::report::RequestReport;
use super::response::{refusal, status_of};
use super::splits::Splits;
use crate::configuration::{Route, RouteIndex};
use crate::confirmation::Confirmation;
use crate::dialect::{Dialect, RequestLineage};
use crate::fingerprint::{BodyPrefix, fingerprint};
use crate::message::RequestHead;
use crate::scopes::{Scope, ScopeTable};
use crate::tenant::Tenant;

/// Retries that a caller's request and all calls below it may spend.
const RETRIES_PER_REQUEST: u16 = 3;
/// Number of calls among which a caller's request divides its retries.
const CALLS_PER_REQUEST: usize = 1;
/// Retry-After while no configuration is known.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-After of a request that arrives at a sidecar that is about to stop.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Retry-After of a request that could not be dispatched before its deadline.
const TIMEOUT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Serves callers on this machine and the local backend.
#[derive(Debug)]
pub(crate) struct OutboundHandler {
    pub(crate) dialect: Dialect,
    pub(crate) clock: Clock,
    pub(crate) caller_service: HeaderValue,
    pub(crate) configuration: watch::Receiver<Arc<RouteIndex>>,
    pub(crate) confirmation: Arc<Confirmation>,
    pub(crate) forwarder: Arc<Forwarder>,
    pub(crate) scopes: Arc<ScopeTable>,
    pub(crate) splits: Splits,
    pub(crate) caller_admission: CallerAdmission,
    /// True if requests of callers are refused because the process is about to stop.
    pub(crate) refusing: Arc<AtomicBool>,
}

/// A request with its route, context and limits from the configuration.
struct PreparedRequest {
    call: OutgoingCall,
    /// Caller among whose requests capacity is divided; `None` for a call of the local backend, and
    /// if there are neither tenants nor backends that report a slowdown.
    caller: Option<Caller>,
    /// True if the request returned at the time that its refusal promised.
    is_on_time: bool,
    parent: Option<Arc<Scope>>,
}

impl OutboundHandler {
    /// Returns the final response to a request.
    pub(crate) async fn handle(&self, request: Request<RequestBody>) -> Response<ResponseBody> {
        let request_id = request.headers().get(&self.dialect.request_id).cloned();
        let response = match self.respond(request).await {
            Ok(response) => response,
            Err(failure) => refusal(failure),
        };
        self.set_request_id(response, request_id)
    }

    /// Returns the response to a request whose handling ended without one.
    pub(crate) fn failed(&self, request_id: Option<&HeaderValue>) -> Response<ResponseBody> {
        let response = refusal(Failure::new(ResultCode::HandlerFailed));
        self.set_request_id(response, request_id.cloned())
    }

    /// Copies the request id into the sidecar's own responses, as backends do in theirs.
    fn set_request_id(
        &self,
        mut response: Response<ResponseBody>,
        request_id: Option<HeaderValue>,
    ) -> Response<ResponseBody> {
        if let Some(id) = request_id {
            let name = self.dialect.request_id.clone();
            response.headers_mut().entry(name).or_insert(id);
        }
        response
    }

    async fn respond(
        &self,
        request: Request<RequestBody>,
    ) -> Result<Response<ResponseBody>, Failure> {
        let index = self.configuration.borrow().clone();
        if index.configuration.version == 0 {
            let code = ResultCode::NotReady;
            return Err(Failure::with_retry_after(code, NOT_READY_RETRY_AFTER));
        }
        let (prepared, body) = self.prepare(&index, request)?;
        let service = &prepared.call.service;
        let scope = prepared.parent.as_ref();
        let waiting = scope.map(|scope| DownstreamWait::start(scope, service));
        let mut result = self.run(&prepared.call, body).await;
        if let Some(waiting) = waiting {
            waiting.end(&result);
        }
        if let Some(caller) = &prepared.caller {
            result = self.settle(caller, &prepared, result);
        }
        let code = result.as_ref().err().map(|failure| failure.code);
        let code = code.unwrap_or(ResultCode::Answered);
        let report = prepared.call.report;
        let metrics = &self.forwarder.metrics;
        metrics.request_completed(report.route(), code, report.elapsed());
        if let Some(tenant) = report.tenant() {
            metrics.tenant_request_completed(tenant, code);
        }
        write_report(report, &result);
        result
    }

    /// Records the result of a caller's request. A refusal for lack of capacity gets the time at
    /// which the request may return.
    fn settle(
        &self,
        caller: &Caller,
        prepared: &PreparedRequest,
        result: Result<Response<ResponseBody>, Failure>,
    ) -> Result<Response<ResponseBody>, Failure> {
        let metrics = &self.forwarder.metrics;
        metrics.count_promises(self.caller_admission.take_counts());
        let (label, is_on_time) = (caller.label(), prepared.is_on_time);
        match result {
            Err(failure) if is_short_of_capacity(failure.code) => {
                metrics.caller_request_completed(label, false, is_on_time);
                let report = &prepared.call.report;
                report.record_caller_use(self.caller_admission.caller_use(caller));
                let context = &prepared.call.context;
                Err(self.caller_admission.refuse(caller, context, failure))
            }
            // Refused for another reason, which shows nothing about the capacity.
            Err(failure) if failure.code.outcome() == OutcomeClass::NotRun => Err(failure),
            result => {
                metrics.caller_request_completed(label, true, is_on_time);
                self.caller_admission.record_admitted(caller);
                result
            }
        }
    }

    /// Forwards a call until its deadline.
    async fn run(
        &self,
        call: &OutgoingCall,
        body: RequestBody,
    ) -> Result<Response<ResponseBody>, Failure> {
        // Pinned here and passed by reference: each wrapper that takes a future by value would make
        // room for another copy of it in the future of the request.
        let forwarding = pin!(self.forwarder.forward(call, CallBody::new(body)));
        match self
            .clock
            .timeout_at(call.context.deadline, forwarding)
            .await
        {
            Ok(Err(failure)) if is_timeout(failure.code) && !call.progress.may_have_executed() => {
                Err(not_dispatched_in_time())
            }
            Ok(result) => result,
            Err(_) if call.progress.may_have_executed() => {
                Err(Failure::new(ResultCode::DeadlineAfterDispatch))
            }
            Err(_) => Err(not_dispatched_in_time()),
        }
    }

    fn prepare(
        &self,
        index: &RouteIndex,
        request: Request<RequestBody>,
    ) -> Result<(PreparedRequest, RequestBody), Failure> {
        let host = host(&request).ok_or_else(|| Failure::new(ResultCode::MalformedRequest))?;
        let route = index
            .find(&host, request.uri().path())
            .ok_or_else(|| Failure::new(ResultCode::UnknownService))?;
        let service = self
            .splits
            .destination(route)
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
        let client_timeout = self.dialect.deadline(&head.headers);
        let priority = index.priority(tenant, route);
        let tenant_name = tenant.map(|tenant| tenant.name.as_str());
        let fingerprint = fingerprint(&host, &head, tenant_name, prefix.as_ref(), &body);
        let mut context = CallContext {
            fingerprint: Some(fingerprint),
            ..self.context(
                route,
                priority,
                request_id,
                client_timeout,
                parent.as_deref(),
            )
        };
        let caller = match parent {
            Some(_) => None,
            None => {
                let reports_slowdown = self.forwarder.routing.reports_slowdown(service);
                Caller::of(index, tenant, priority, reports_slowdown)
            }
        };
        let mut is_on_time = false;
        if let Some(caller) = &caller {
            let ranked = self.caller_admission.rank(caller, &context);
            context.rank = Some(ranked.rank);
            is_on_time = ranked.is_on_time;
        }
        if parent.is_some() {
            self.forwarder
                .routing
                .record_call(&context.request_kind, service);
        }
        let (ledger, children) = match &parent {
            Some(scope) => (Arc::clone(&scope.ledger), INNER_CALLS_PER_REQUEST),
            None => (
                Arc::new(Mutex::new(Ledger::new(context.allowance))),
                CALLS_PER_REQUEST,
            ),
        };
        let service: Arc<str> = Arc::from(service);
        let report = RequestReport::new(
            self.clock,
            request_id,
            tenant_name,
            &route.name,
            Arc::clone(&service),
            index.configuration.version,
            &context,
        );
        // The context carries the deadline from here on. The sidecar beside the backend writes the
        // header again.
        head.headers.remove(&self.dialect.deadline_ms);
        let call = OutgoingCall {
            service,
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
        let prepared = PreparedRequest {
            call,
            caller,
            is_on_time,
            parent,
        };
        Ok((prepared, body))
    }

    /// Returns the tenant that a caller's request belongs to; `None` if its route requires no API
    /// key.
    fn identify_caller<'index>(
        &self,
        index: &'index RouteIndex,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Option<&'index Tenant>, Failure> {
        let request_id = self.dialect.request_id(headers).unwrap_or_default();
        identify_tenant(index, route, request_id, headers, &self.confirmation)
    }

    /// Returns the execution at the local backend on whose behalf a request is made; `None` for a
    /// caller's own request.
    ///
    /// # Errors
    /// The refusal of a request that names an execution unknown to this process while callers have
    /// to identify themselves: the id could be forged.
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

    /// Sets the headers that identify the sender, replacing values that the sender wrote. API keys
    /// are not forwarded to backends.
    fn set_identity(&self, headers: &mut HeaderMap, index: &RouteIndex, tenant: Option<&Tenant>) {
        remove_internal_request_headers(headers);
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

    /// Builds the context of a call. A call made by the backend inherits the priority and the
    /// admission key of the request that it was made for, which makes every hop decide alike for
    /// the whole call tree.
    fn context(
        &self,
        route: &Route,
        priority: Priority,
        request_id: &str,
        client_timeout: Option<Duration>,
        parent: Option<&Scope>,
    ) -> CallContext {
        let deadline = self.clock.now() + route.request_timeout(client_timeout);
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
                terminated_backends: 0,
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
                    terminated_backends: 0,
                    rank: None,
                }
            }
        }
    }
}

/// Number of calls among which an execution divides its retries.
const INNER_CALLS_PER_REQUEST: usize = 2;

fn host<B>(request: &Request<B>) -> Option<String> {
    let authority = request.uri().authority().map(|host| host.as_str());
    let header = request.headers().get(header::HOST);
    let named = header.and_then(|value| value.to_str().ok());
    authority.or(named).map(str::to_owned)
}

/// Derives the origin of a request: the 128-bit FNV-1a hash of the id that its client assigned.
fn origin(root: &str) -> OriginId {
    const OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
    const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013B;
    let hash = root.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u128::from(byte)).wrapping_mul(PRIME)
    });
    OriginId::from_u128(hash)
}

/// Logs the result of a request.
fn write_report(report: RequestReport, result: &Result<Response<ResponseBody>, Failure>) {
    match result {
        Ok(response) => report.responded(response.status()),
        Err(failure) => report.failed(*failure, status_of(failure.code)),
    }
}

const fn is_timeout(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::DeadlineUnreachable | ResultCode::QueueTimeout
    )
}

const fn not_dispatched_in_time() -> Failure {
    Failure::with_retry_after(ResultCode::DeadlineUnreachable, TIMEOUT_RETRY_AFTER)
}

/// Reports to the admission gate for how long an execution waits for one of its own calls, and to
/// the execution whether the call failed. A call that the backend gives up counts as failed.
#[derive(Debug)]
struct DownstreamWait<'call> {
    scope: &'call Scope,
    service: &'call str,
    has_completed: bool,
}

impl<'call> DownstreamWait<'call> {
    fn start(scope: &'call Scope, service: &'call str) -> Self {
        scope.gate.downstream_call_started(scope.ticket);
        Self {
            scope,
            service,
            has_completed: false,
        }
    }

    fn end(mut self, result: &Result<Response<ResponseBody>, Failure>) {
        self.has_completed = result
            .as_ref()
            .is_ok_and(|response| !response.status().is_server_error());
    }
}

impl Drop for DownstreamWait<'_> {
    fn drop(&mut self) {
        if !self.has_completed {
            self.scope.record_failed_call(self.service);
        }
        self.scope.gate.downstream_call_completed(self.scope.ticket);
    }
}

//! Handles calls of the local backend, which inherit the context of the call in execution.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use uuid::Uuid;
use wharfquay_core::admission::CallTicket;
use wharfquay_core::call::{AttemptId, CallContext, OriginId, Repeatability, RetryAllowance};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::{AdmissionLevel, Priority};
use wharfquay_core::retry::Ledger;
use wharfquay_protocol::headers as names;
use wharfquay_resources::snapshot::Snapshot;

use crate::body::{BodyEnd, BodyObserver, ResponseBody};
use crate::decisions::DecisionTrace;
use crate::inbound::gate::AdmissionGate;
use crate::metrics::Side;
use crate::node::Node;
use crate::outbound::call::{OutgoingCall, RequestHead, RetryAccount, backoff_for};
use crate::request::service_name;
use crate::response::Failure;
use crate::scopes::{Scope, ScopeId};

/// Time to the deadline of a call that names no scope and matches no request kind.
const UNSCOPED_DEADLINE: Duration = Duration::from_secs(1);

/// Serves the calls of the local backend on the outbound listener.
#[derive(Clone, Debug)]
pub(crate) struct OutboundHandler {
    node: Arc<Node>,
    gate: Arc<AdmissionGate>,
}

impl OutboundHandler {
    pub(crate) const fn new(node: Arc<Node>, gate: Arc<AdmissionGate>) -> Self {
        Self { node, gate }
    }

    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let method = request.method().clone();
        let cancellation = self.node.cancellation_guard(Side::Outbound);
        let result = self.respond(request).await;
        cancellation.responded();
        self.node.finish(Side::Outbound, &method, result)
    }

    async fn respond(&self, request: Request<Incoming>) -> Result<Response<ResponseBody>, Failure> {
        let snapshot = self.node.configuration()?;
        let scope = self.scope(request.headers())?;
        let service = service_name(&request)?;
        let Some(scope) = scope else {
            let context = self.unscoped_context(&snapshot, &service, &request);
            let ledger = Arc::new(Mutex::new(Ledger::new(RetryAllowance::NONE)));
            return self
                .forward(&snapshot, service, context, ledger, request)
                .await;
        };
        let waiting = DownstreamCallGuard::start(&self.gate, scope.ticket);
        let context = scope.context.clone();
        let ledger = Arc::clone(&scope.ledger);
        let forwarded = self.forward(&snapshot, service, context, ledger, request);
        let mut response = forwarded.await?;
        response.body_mut().observe(Box::new(waiting));
        Ok(response)
    }

    async fn forward(
        &self,
        snapshot: &Snapshot,
        service: String,
        context: CallContext,
        ledger: Arc<Mutex<Ledger>>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Failure> {
        let backoff = backoff_for(snapshot, &context.request_kind);
        let (head, body) = RequestHead::split(request)?;
        let call = OutgoingCall {
            service,
            context,
            head,
            account: RetryAccount {
                ledger,
                children: self.declared_call_count(snapshot),
                backoff,
            },
            trace: DecisionTrace::OFF,
        };
        self.node.forwarder.forward(&call, body).await
    }

    /// Returns the number of services that the local backend's service declares to call, at least
    /// one.
    fn declared_call_count(&self, snapshot: &Snapshot) -> usize {
        let backend = self.node.settings.backend.as_ref();
        let service = backend.and_then(|backend| snapshot.services.get(&backend.service));
        service.map_or(1, |service| service.calls.len().max(1))
    }

    /// Returns the scope that the scope header names, or `None` without that header.
    fn scope(&self, headers: &HeaderMap) -> Result<Option<Arc<Scope>>, Failure> {
        let Some(value) = headers.get(names::SCOPE) else {
            return Ok(None);
        };
        let id = value.to_str().ok().and_then(|text| text.parse().ok());
        let scope = id.and_then(|id: ScopeId| self.node.scopes.get(id));
        scope
            .map(Some)
            .ok_or_else(|| Failure::new(ResultCode::InvalidContext))
    }

    /// Returns the context of a call that belongs to no scope: lowest priority and no retries.
    fn unscoped_context(
        &self,
        snapshot: &Snapshot,
        service: &str,
        request: &Request<Incoming>,
    ) -> CallContext {
        let path = request.uri().path();
        let kind = snapshot.match_request(service, request.method().as_str(), path);
        let lifetime = kind.map_or(UNSCOPED_DEADLINE, |kind| {
            Duration::from_millis(u64::from(kind.deadline_ms))
        });
        let repeatable = kind.is_some_and(|kind| kind.repeatable);
        CallContext {
            origin: OriginId::from_u128(Uuid::now_v7().as_u128()),
            attempt: AttemptId::new(0),
            request_kind: kind.map(|kind| kind.name.clone()).unwrap_or_default(),
            priority: Priority::LOWEST,
            deadline: self.node.clock.now() + lifetime,
            allowance: RetryAllowance::NONE,
            repeatability: if repeatable {
                Repeatability::Repeatable
            } else {
                Repeatability::AtMostOnce
            },
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

/// Reports to admission, from its creation to its drop, that an execution waits for a downstream
/// call.
#[derive(Debug)]
struct DownstreamCallGuard {
    gate: Arc<AdmissionGate>,
    ticket: CallTicket,
}

impl DownstreamCallGuard {
    fn start(gate: &Arc<AdmissionGate>, ticket: CallTicket) -> Self {
        gate.downstream_call_started(ticket);
        Self {
            gate: Arc::clone(gate),
            ticket,
        }
    }
}

impl Drop for DownstreamCallGuard {
    fn drop(&mut self) {
        self.gate.downstream_call_completed(self.ticket);
    }
}

impl BodyObserver for DownstreamCallGuard {
    /// Does nothing: the drop that follows reports the end of the wait.
    fn ended(self: Box<Self>, _end: BodyEnd) {}
}

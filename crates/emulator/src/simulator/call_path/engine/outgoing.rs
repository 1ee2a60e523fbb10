//! Calls that a daemon makes: early refusal, endpoint selection, attempts and their responses.

use std::time::Duration;

use rand::RngExt;
use wharfquay_core::call::{Repeatability, RetryAllowance};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::retry::{Grant, Ledger};
use wharfquay_core::routing::{EndpointId, Observation, Pick, PickRequest, ReportedLoad};
use wharfquay_core::time::Timestamp;

use super::Engine;
use crate::simulator::call_path::call::{
    Attempt, CapacityRefusal, Execution, ExecutionId, OutgoingCall, OutgoingId, RequestId, Stage,
};
use crate::simulator::call_path::event::Event;
use crate::simulator::call_path::node::{AttemptResult, Metadata, Response};

/// Number of parts into which a hop divides its retry allowance, as the daemon does: one for the
/// downstream call and one that the hop keeps.
const ALLOWANCE_PARTS: usize = 2;

/// The result of a call to a service, over all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallResult {
    /// A backend sent a complete response.
    Complete,
    /// A backend responded that a downstream call failed.
    DownstreamFailed { retry_after: Option<Duration> },
    /// No backend responded; the code says why.
    Failed {
        code: ResultCode,
        retry_after: Option<Duration>,
    },
}

impl CallResult {
    /// Returns the time after which the caller may repeat the request, if a daemon specified one.
    pub(super) const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Complete => None,
            Self::DownstreamFailed { retry_after } | Self::Failed { retry_after, .. } => {
                retry_after
            }
        }
    }
}

impl Engine<'_> {
    /// Starts a call from a node to a service, unless the levels received from downstream refuse it.
    pub(super) fn start_call(
        &mut self,
        request: RequestId,
        node: usize,
        service: usize,
        parent: Option<ExecutionId>,
    ) -> OutgoingId {
        self.retain_request(request);
        let id = self.outgoing.insert(OutgoingCall {
            request,
            node,
            service,
            parent,
            failed_endpoints: Vec::new(),
            retries: 0,
            is_rate_limited: false,
            uncertain: None,
            attempt: None,
        });
        if let Some(parent) = parent.and_then(|parent| self.executions.get_mut(parent)) {
            parent.open_calls.push(id);
        }
        if let Some(refusal) = self.early_refusal(id) {
            self.record_refusal(id, ResultCode::RefusedByLevel, self.now);
            self.count_early_refusal(service, request);
            self.complete_call(id, refusal);
        } else {
            self.start_attempt(id);
        }
        id
    }

    /// Returns the refusal required by the admission levels received from downstream, if any.
    fn early_refusal(&self, id: OutgoingId) -> Option<CallResult> {
        if self.is_naive() || !self.settings.mechanisms.propagate_levels {
            return None;
        }
        let outgoing = self.outgoing.get(id)?;
        let request = self.requests.get(outgoing.request)?;
        let key = self.admission_key(request, outgoing.service);
        let service = &self.layout.services[outgoing.service].name;
        let kind = &self.layout.kinds[request.kind].name;
        let levels = &self.nodes[outgoing.node].levels;
        let refusal = levels.admits(self.now, service, kind, key).err()?;
        Some(CallResult::Failed {
            code: ResultCode::RefusedByLevel,
            retry_after: Some(refusal.retry_after),
        })
    }

    /// Picks an endpoint and sends an attempt to it. Endpoints that failed are excluded, except where only
    /// these are left and an earlier attempt may have run.
    pub(super) fn start_attempt(&mut self, id: OutgoingId) {
        let Some(outgoing) = self.outgoing.get(id) else {
            return;
        };
        let Some(request) = self.requests.get(outgoing.request) else {
            return;
        };
        let key = self.admission_key(request, outgoing.service);
        let router = &self.nodes[outgoing.node].routers[outgoing.service];
        let excluded = if self.settings.policy.is_naive() {
            &[]
        } else {
            outgoing.failed_endpoints.as_slice()
        };
        let pick_request = PickRequest { key, excluded };
        let mut pick = match outgoing.is_rate_limited {
            true => router.pick_after_rate_limit(self.now, &mut self.routing_rng, &pick_request),
            false => router.pick(self.now, &mut self.routing_rng, &pick_request),
        };
        if matches!(pick, Pick::None { .. }) && outgoing.uncertain.is_some() {
            let pick_request = PickRequest { key, excluded: &[] };
            pick = router.pick(self.now, &mut self.routing_rng, &pick_request);
        }
        match pick {
            Pick::Endpoint(endpoint) => self.send_attempt(id, &endpoint),
            Pick::None {
                reason,
                retry_after,
            } => {
                self.record_refusal(id, reason, self.now);
                self.count_early_refusal_of(id);
                self.fail_call(id, reason, Some(retry_after));
            }
        }
    }

    fn send_attempt(&mut self, id: OutgoingId, endpoint: &EndpointId) {
        let Some(outgoing) = self.outgoing.get(id) else {
            return;
        };
        let (request, from, service) = (outgoing.request, outgoing.node, outgoing.service);
        let Some(node) = self.node_named(service, endpoint) else {
            return;
        };
        let grant = self.take_grant(id);
        let execution = self.executions.insert(Execution {
            request,
            outgoing: id,
            from,
            node,
            service,
            stage: Stage::InTransit,
            arrived_at: self.now,
            dispatched_at: Timestamp::ZERO,
            ledger: Ledger::new(grant.allowance()),
            incarnation: 0,
            work_started: self.now,
            work_done: false,
            next_call: 0,
            open_calls: Vec::new(),
            failed: false,
        });
        self.retain_request(request);
        let attempt = Attempt {
            execution,
            grant,
            endpoint: endpoint.clone(),
            sent: self.now,
        };
        if let Some(outgoing) = self.outgoing.get_mut(id) {
            outgoing.attempt = Some(attempt);
        }
        self.nodes[from].routers[service].dispatched(self.now, endpoint);
        self.transmit_attempt(id, execution, from, node);
    }

    /// Sends an attempt over the network, which may lose it.
    fn transmit_attempt(
        &mut self,
        outgoing: OutgoingId,
        execution: ExecutionId,
        from: usize,
        to: usize,
    ) {
        let at = self.now + self.layout.latency(from, to);
        if self.is_lost(self.settings.faults.lost_requests) {
            self.discard_execution(execution);
            let response = lost_response();
            let event = Event::Response {
                outgoing,
                execution,
                response,
            };
            self.events.add(at, event);
            return;
        }
        self.events.add(at, Event::ArriveAtDaemon { execution });
        if self.is_naive() {
            let timeout = self.hop_timeout(outgoing);
            let event = Event::AttemptTimeout {
                outgoing,
                execution,
            };
            self.events.add(self.now + timeout, event);
        }
    }

    fn hop_timeout(&self, id: OutgoingId) -> Duration {
        let request = self.outgoing.get(id).map(|outgoing| outgoing.request);
        let request = request.and_then(|request| self.requests.get(request));
        request.map_or(Duration::ZERO, |request| {
            self.layout.kinds[request.kind].deadline
        })
    }

    fn node_named(&self, service: usize, endpoint: &EndpointId) -> Option<usize> {
        let backends = &self.layout.services[service].backends;
        let named = |&&backend: &&usize| self.layout.backends[backend].id == *endpoint;
        let backend = backends.iter().find(named)?;
        Some(self.layout.node_of(*backend))
    }

    /// Applies `operation` to the ledger from which the retries of a call are taken: that of the parent
    /// execution or, at an edge, that of the request. If neither exists any more, it is an empty ledger.
    pub(super) fn with_retry_ledger<T>(
        &mut self,
        id: OutgoingId,
        operation: impl FnOnce(&mut Ledger) -> T,
    ) -> T {
        let outgoing = self.outgoing.get(id);
        let parent = outgoing.and_then(|outgoing| outgoing.parent);
        let request = outgoing.map(|outgoing| outgoing.request);
        let mut none = Ledger::new(RetryAllowance::NONE);
        let ledger = match (parent, request) {
            (Some(parent), _) => self
                .executions
                .get_mut(parent)
                .map(|parent| &mut parent.ledger),
            (None, Some(request)) => self
                .requests
                .get_mut(request)
                .map(|request| &mut request.ledger),
            (None, None) => None,
        };
        operation(ledger.unwrap_or(&mut none))
    }

    fn take_grant(&mut self, id: OutgoingId) -> Grant {
        self.with_retry_ledger(id, |ledger| ledger.grant(ALLOWANCE_PARTS))
    }

    /// Handles a response; one to an attempt that is no longer awaited is discarded.
    pub(super) fn response_arrives(
        &mut self,
        id: OutgoingId,
        execution: ExecutionId,
        response: Response,
    ) {
        let awaited = self.outgoing.get_mut(id).and_then(|outgoing| {
            outgoing
                .attempt
                .take_if(|attempt| attempt.execution == execution)
        });
        let Some(attempt) = awaited else {
            return;
        };
        self.check_response_origin(id, &response);
        self.apply_response(id, &attempt, &response);
        match response.result {
            AttemptResult::Complete => self.complete_call(id, CallResult::Complete),
            AttemptResult::DownstreamFailed if self.is_naive() => {
                self.retry_naively(id, ResultCode::Answered);
            }
            AttemptResult::DownstreamFailed => {
                let retry_after = response.retry_after;
                self.complete_call(id, CallResult::DownstreamFailed { retry_after });
            }
            AttemptResult::Failed(code) => {
                self.record_refusal(id, code, attempt.sent);
                self.attempt_failed(id, attempt, code, response.retry_after);
            }
        }
    }

    fn check_response_origin(&mut self, id: OutgoingId, response: &Response) {
        let request = self.outgoing.get(id).map(|outgoing| outgoing.request);
        let Some(request) = request.and_then(|request| self.requests.get(request)) else {
            return;
        };
        if response.metadata.is_some() && response.origin != request.origin {
            self.record.kinds[request.kind].misdelivered_responses += 1;
        }
    }

    /// Updates the ledger, the router, the retry budget and the path levels from a response.
    pub(super) fn apply_response(
        &mut self,
        id: OutgoingId,
        attempt: &Attempt,
        response: &Response,
    ) {
        let returned = response.metadata.map(|metadata| metadata.returned);
        self.with_retry_ledger(id, |ledger| match returned {
            Some(returned) => ledger.settle(attempt.grant, returned),
            None => ledger.settle_lost(attempt.grant),
        });
        let Some(outgoing) = self.outgoing.get(id) else {
            return;
        };
        let naive = self.settings.policy.is_naive();
        let metadata = response.metadata.filter(|_| !naive);
        let node = &mut self.nodes[outgoing.node];
        let router = &mut node.routers[outgoing.service];
        match response.result {
            // The call was not sent, which shows nothing else about the endpoint.
            AttemptResult::Failed(ResultCode::RateLimited) if !naive => {
                router.discard_attempt(&attempt.endpoint);
            }
            result => {
                let observation = observation(self.now, attempt, result, metadata);
                router.observe(self.now, &attempt.endpoint, observation);
            }
        }
        if let Some(metadata) = metadata {
            let limited_for = metadata.rate_limited_for;
            router.record_rate_limit(self.now, &attempt.endpoint, limited_for);
        }
        if response.result == AttemptResult::Failed(ResultCode::Draining) {
            router.refused_as_leaving(self.now, &attempt.endpoint);
        }
        if response.result == AttemptResult::Complete {
            node.budgets[outgoing.service].record_success(self.now);
        }
        if let (Some(metadata), Some(request)) = (metadata, self.requests.get(outgoing.request)) {
            let service = &self.layout.services[outgoing.service].name;
            let kind = &self.layout.kinds[request.kind].name;
            node.levels.observe_from(
                self.now,
                service,
                attempt.endpoint.as_str(),
                kind,
                metadata.path_level,
            );
        }
    }

    /// Completes a call without a response. A code for "not run" is replaced if an earlier attempt may have
    /// run.
    pub(super) fn fail_call(
        &mut self,
        id: OutgoingId,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) {
        let uncertain = self
            .outgoing
            .get(id)
            .and_then(|outgoing| outgoing.uncertain);
        let code = match uncertain {
            Some(uncertain) if code.outcome() == OutcomeClass::NotRun => uncertain,
            _ => code,
        };
        self.complete_call(id, CallResult::Failed { code, retry_after });
    }

    /// Completes a call and reports its result to the parent execution, or to the caller at the edge.
    pub(super) fn complete_call(&mut self, id: OutgoingId, call_result: CallResult) {
        let Some(outgoing) = self.outgoing.remove(id) else {
            return;
        };
        match outgoing.parent {
            Some(parent) => self.call_completed(parent, id, call_result),
            None => self.complete_request(outgoing.request, call_result),
        }
        self.drop_reference(outgoing.request);
    }

    /// Cancels a call together with its downstream calls.
    pub(super) fn cancel_call(&mut self, id: OutgoingId) {
        let Some(outgoing) = self.outgoing.remove(id) else {
            return;
        };
        if let Some(attempt) = outgoing.attempt {
            self.nodes[outgoing.node].routers[outgoing.service].discard_attempt(&attempt.endpoint);
            self.cancel_execution(attempt.execution);
        }
        self.drop_reference(outgoing.request);
    }

    /// Records a refusal of a request if the code means a lack of capacity. `sent` is the time at which the
    /// refused attempt was sent, or the current time if none was.
    fn record_refusal(&mut self, id: OutgoingId, code: ResultCode, sent: Timestamp) {
        if !is_capacity_refusal(code) {
            return;
        }
        let Some(outgoing) = self.outgoing.get(id) else {
            return;
        };
        if let Some(request) = self.requests.get_mut(outgoing.request) {
            request.last_refusal = Some(CapacityRefusal {
                service: outgoing.service,
                sent,
                at: self.now,
            });
        }
    }

    fn count_early_refusal(&mut self, service: usize, request: RequestId) {
        if let Some(record) = self.service_record(service, request) {
            record.refused_early += 1;
        }
    }

    fn count_early_refusal_of(&mut self, id: OutgoingId) {
        let outgoing = self.outgoing.get(id);
        if let Some((service, request)) =
            outgoing.map(|outgoing| (outgoing.service, outgoing.request))
        {
            self.count_early_refusal(service, request);
        }
    }

    /// Draws whether the network loses a message, with probability `share`.
    pub(super) fn is_lost(&mut self, share: f64) -> bool {
        share > 0.0 && self.fault_rng.random::<f64>() < share
    }

    /// Returns true if a request of this kind must not run more than once.
    pub(super) fn is_at_most_once(&self, kind: usize) -> bool {
        self.layout.kinds[kind].repeatability == Repeatability::AtMostOnce
    }
}

/// Returns true if a call was refused because other calls took the capacity, and not because the backend
/// had terminated or was unreachable.
const fn is_capacity_refusal(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::RefusedByLevel
            | ResultCode::RefusedQueueFull
            | ResultCode::DisplacedFromQueue
            | ResultCode::QueueTimeout
            | ResultCode::DeadlineUnreachable
            | ResultCode::ConnectionLimit
    )
}

/// Returns the result that a sender observes when its connection is lost.
pub(super) const fn lost_response() -> Response {
    Response {
        result: AttemptResult::Failed(ResultCode::ConnectionLost),
        metadata: None,
        retry_after: None,
        origin: 0,
    }
}

fn observation(
    now: Timestamp,
    attempt: &Attempt,
    result: AttemptResult,
    metadata: Option<Metadata>,
) -> Observation {
    let (outcome, overloaded) = match result {
        AttemptResult::Complete | AttemptResult::DownstreamFailed => (OutcomeClass::Run, false),
        AttemptResult::Failed(code) => {
            let outcome = code.outcome();
            let refused = outcome == OutcomeClass::NotRun && code != ResultCode::ConnectFailed;
            (outcome, refused)
        }
    };
    Observation {
        latency: now.saturating_since(attempt.sent),
        outcome,
        error_response: false,
        overloaded,
        load: metadata.map(|metadata| ReportedLoad {
            in_flight: metadata.load.in_flight,
            limit: metadata.load.limit,
            queued: metadata.load.queued,
            execution: None,
        }),
        level: metadata.map(|metadata| metadata.level),
    }
}

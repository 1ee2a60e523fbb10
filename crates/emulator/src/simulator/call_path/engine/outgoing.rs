//! Calls that a daemon makes: early refusal, choice of an endpoint, attempts and retries.

use std::time::Duration;

use rand::RngExt;
use wharfquay_core::call::{Repeatability, RetryAllowance};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::retry::{Grant, Ledger};
use wharfquay_core::routing::{EndpointId, Observation, Pick, PickRequest, ReportedLoad};
use wharfquay_core::time::Timestamp;

use super::Engine;
use crate::simulator::call_path::call::{
    Attempt, Execution, ExecutionId, Outgoing, OutgoingId, Refused, RequestId, Stage,
};
use crate::simulator::call_path::event::Event;
use crate::simulator::call_path::node::{Answer, AttemptResult, Metadata};

/// Parts into which a hop divides an allowance, as the daemon does: one for the call below and one
/// that stays.
const ALLOWANCE_PARTS: usize = 2;

/// How a call to a service ended, over all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEnd {
    /// The back end's whole answer.
    Whole,
    /// The back end answered that a deeper call failed.
    DeeperFailed { retry_after: Option<Duration> },
    /// No answer of a back end.
    Failed {
        code: ResultCode,
        retry_after: Option<Duration>,
    },
}

impl CallEnd {
    /// When the caller may come back.
    pub(super) const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Whole => None,
            Self::DeeperFailed { retry_after } | Self::Failed { retry_after, .. } => retry_after,
        }
    }
}

impl Engine<'_> {
    /// Starts a call of a node to a service.
    pub(super) fn start_outgoing(
        &mut self,
        request: RequestId,
        node: usize,
        service: usize,
        parent: Option<ExecutionId>,
    ) -> OutgoingId {
        self.retain_request(request);
        let id = self.outgoing.insert(Outgoing {
            request,
            node,
            service,
            parent,
            tried: Vec::new(),
            retries: 0,
            uncertain: None,
            attempt: None,
        });
        if let Some(parent) = parent.and_then(|parent| self.executions.get_mut(parent)) {
            parent.open_calls.push(id);
        }
        if let Some(refusal) = self.refused_early(id) {
            self.note_refused(id, ResultCode::RefusedByLevel, self.now);
            self.count_early(service, request);
            self.conclude(id, refusal);
        } else {
            self.try_outgoing(id);
        }
        id
    }

    /// The refusal that the levels heard from further down call for.
    fn refused_early(&self, id: OutgoingId) -> Option<CallEnd> {
        if self.is_naive() || !self.settings.mechanisms.folding {
            return None;
        }
        let outgoing = self.outgoing.get(id)?;
        let request = self.requests.get(outgoing.request)?;
        let key = self.key_at(request, outgoing.service);
        let service = &self.layout.services[outgoing.service].name;
        let kind = &self.layout.kinds[request.kind].name;
        let levels = &self.nodes[outgoing.node].levels;
        let refusal = levels.admits(self.now, service, kind, key).err()?;
        Some(CallEnd::Failed {
            code: ResultCode::RefusedByLevel,
            retry_after: Some(refusal.retry_after),
        })
    }

    /// Picks an endpoint and sends an attempt there.
    pub(super) fn try_outgoing(&mut self, id: OutgoingId) {
        let Some(outgoing) = self.outgoing.get(id) else {
            return;
        };
        let Some(request) = self.requests.get(outgoing.request) else {
            return;
        };
        let key = self.key_at(request, outgoing.service);
        let router = &self.nodes[outgoing.node].routers[outgoing.service];
        let excluded = if self.settings.policy.is_naive() {
            &[]
        } else {
            outgoing.tried.as_slice()
        };
        let question = PickRequest { key, excluded };
        let mut pick = router.pick(self.now, &mut self.routing_rng, &question);
        if matches!(pick, Pick::None { .. }) && outgoing.uncertain.is_some() {
            let question = PickRequest { key, excluded: &[] };
            pick = router.pick(self.now, &mut self.routing_rng, &question);
        }
        match pick {
            Pick::Endpoint(endpoint) => self.send_attempt(id, &endpoint),
            Pick::None {
                reason,
                retry_after,
            } => {
                self.note_refused(id, reason, self.now);
                self.count_early_of(id);
                self.fail(id, reason, Some(retry_after));
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
            stage: Stage::Travelling,
            offered: self.now,
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
        self.travel(id, execution, from, node);
    }

    /// Puts an attempt on the network, which may lose it.
    fn travel(&mut self, outgoing: OutgoingId, execution: ExecutionId, from: usize, to: usize) {
        let at = self.now + self.layout.latency(from, to);
        if self.is_lost(self.settings.faults.lost_requests) {
            self.discard_execution(execution);
            let answer = lost_answer();
            let event = Event::Answer {
                outgoing,
                execution,
                answer,
            };
            self.events.add(at, event);
            return;
        }
        self.events.add(at, Event::Reach { execution });
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

    /// The ledger that pays for a call: its parent's, or the request's at the edge.
    pub(super) fn with_ledger<T>(
        &mut self,
        id: OutgoingId,
        use_it: impl FnOnce(&mut Ledger) -> T,
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
        use_it(ledger.unwrap_or(&mut none))
    }

    fn take_grant(&mut self, id: OutgoingId) -> Grant {
        self.with_ledger(id, |ledger| ledger.grant(ALLOWANCE_PARTS))
    }

    /// An answer arrives; one to an attempt that was given up is discarded.
    pub(super) fn answer_arrives(
        &mut self,
        id: OutgoingId,
        execution: ExecutionId,
        answer: Answer,
    ) {
        let awaited = self.outgoing.get_mut(id).and_then(|outgoing| {
            outgoing
                .attempt
                .take_if(|attempt| attempt.execution == execution)
        });
        let Some(attempt) = awaited else {
            return;
        };
        self.check_owner(id, &answer);
        self.learn(id, &attempt, &answer);
        match answer.result {
            AttemptResult::Whole => self.conclude(id, CallEnd::Whole),
            AttemptResult::DeeperFailed if self.is_naive() => {
                self.retry_naively(id, ResultCode::Answered);
            }
            AttemptResult::DeeperFailed => {
                let retry_after = answer.retry_after;
                self.conclude(id, CallEnd::DeeperFailed { retry_after });
            }
            AttemptResult::Failed(code) => {
                self.note_refused(id, code, attempt.sent);
                self.attempt_failed(id, attempt, code, answer.retry_after);
            }
        }
    }

    fn check_owner(&mut self, id: OutgoingId, answer: &Answer) {
        let request = self.outgoing.get(id).map(|outgoing| outgoing.request);
        let Some(request) = request.and_then(|request| self.requests.get(request)) else {
            return;
        };
        if answer.metadata.is_some() && answer.origin != request.origin {
            self.record.kinds[request.kind].mixed_answers += 1;
        }
    }

    /// Takes in what an answer says about endpoint, path and allowance.
    pub(super) fn learn(&mut self, id: OutgoingId, attempt: &Attempt, answer: &Answer) {
        let returned = answer.metadata.map(|metadata| metadata.returned);
        self.with_ledger(id, |ledger| match returned {
            Some(returned) => ledger.settle(attempt.grant, returned),
            None => ledger.settle_lost(attempt.grant),
        });
        let Some(outgoing) = self.outgoing.get(id) else {
            return;
        };
        let naive = self.settings.policy.is_naive();
        let metadata = answer.metadata.filter(|_| !naive);
        let node = &mut self.nodes[outgoing.node];
        let observation = observation(self.now, attempt, answer.result, metadata);
        node.routers[outgoing.service].observe(self.now, &attempt.endpoint, observation);
        if answer.result == AttemptResult::Whole {
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
                metadata.folded,
            );
        }
    }

    /// Ends a call without an answer: "not run" only if that holds for every attempt.
    pub(super) fn fail(&mut self, id: OutgoingId, code: ResultCode, retry_after: Option<Duration>) {
        let uncertain = self
            .outgoing
            .get(id)
            .and_then(|outgoing| outgoing.uncertain);
        let code = match uncertain {
            Some(uncertain) if code.outcome() == OutcomeClass::NotRun => uncertain,
            _ => code,
        };
        self.conclude(id, CallEnd::Failed { code, retry_after });
    }

    /// Ends a call and tells its parent, or the caller.
    pub(super) fn conclude(&mut self, id: OutgoingId, end: CallEnd) {
        let Some(outgoing) = self.outgoing.remove(id) else {
            return;
        };
        match outgoing.parent {
            Some(parent) => self.call_completed(parent, id, end),
            None => self.request_ends(outgoing.request, end),
        }
        self.drop_reference(outgoing.request);
    }

    /// Gives a call up with everything below it.
    pub(super) fn cancel_outgoing(&mut self, id: OutgoingId) {
        let Some(outgoing) = self.outgoing.remove(id) else {
            return;
        };
        if let Some(attempt) = outgoing.attempt {
            self.nodes[outgoing.node].routers[outgoing.service].discard_attempt(&attempt.endpoint);
            self.cancel_execution(attempt.execution);
        }
        self.drop_reference(outgoing.request);
    }

    /// Notes where a request was refused, if it was for want of capacity.
    fn note_refused(&mut self, id: OutgoingId, code: ResultCode, since: Timestamp) {
        if !is_want_of_capacity(code) {
            return;
        }
        let Some(outgoing) = self.outgoing.get(id) else {
            return;
        };
        if let Some(request) = self.requests.get_mut(outgoing.request) {
            request.refused = Some(Refused {
                service: outgoing.service,
                since,
                at: self.now,
            });
        }
    }

    fn count_early(&mut self, service: usize, request: RequestId) {
        if let Some(record) = self.service_record(service, request) {
            record.refused_early += 1;
        }
    }

    fn count_early_of(&mut self, id: OutgoingId) {
        let outgoing = self.outgoing.get(id);
        if let Some((service, request)) =
            outgoing.map(|outgoing| (outgoing.service, outgoing.request))
        {
            self.count_early(service, request);
        }
    }

    /// Whether the network loses something that is lost in this share of cases.
    pub(super) fn is_lost(&mut self, share: f64) -> bool {
        share > 0.0 && self.fault_rng.random::<f64>() < share
    }

    /// Whether a request may run twice.
    pub(super) fn is_at_most_once(&self, kind: usize) -> bool {
        self.layout.kinds[kind].repeatability == Repeatability::AtMostOnce
    }
}

/// Whether a call was refused because others were served in its place; a back end that is gone or
/// can't be reached is another matter.
const fn is_want_of_capacity(code: ResultCode) -> bool {
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

/// What a sender sees of a lost connection.
pub(super) const fn lost_answer() -> Answer {
    Answer {
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
        AttemptResult::Whole | AttemptResult::DeeperFailed => (OutcomeClass::Run, false),
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
        }),
        level: metadata.map(|metadata| metadata.level),
    }
}

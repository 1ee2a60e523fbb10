//! Inbound calls at the daemon of a backend: admission and dispatch.

use std::time::Duration;

use wharfquay_core::admission::{AdmissionEffect, CallTicket, Load, OfferedCall, RequestProgress};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::AdmissionLevel;

use super::Engine;
use super::outgoing::lost_response;
use crate::simulator::call_path::backend::ConnectionOutcome;
use crate::simulator::call_path::call::{Execution, ExecutionId, Stage};
use crate::simulator::call_path::event::Event;
use crate::simulator::call_path::node::{AttemptResult, Metadata, Response};

/// Time to the deadline that a daemon assumes for a call without a propagated deadline.
const NO_DEADLINE: Duration = Duration::from_secs(3_600);

impl Engine<'_> {
    /// Handles the arrival of an attempt at the daemon of a backend.
    pub(super) fn arrive_at_daemon(&mut self, id: ExecutionId) {
        let Some(execution) = self.executions.get(id) else {
            return;
        };
        let node = execution.node;
        if !self.backend(node).alive {
            self.refuse(id, ResultCode::ConnectFailed, None);
            return;
        }
        let incarnation = self.backend(node).incarnation;
        if let Some(execution) = self.executions.get_mut(id) {
            execution.incarnation = incarnation;
            execution.arrived_at = self.now;
            execution.stage = Stage::Queued;
        }
        if self.refuse_for_downstream(id) {
            return;
        }
        if let Some((code, retry_after)) = self.check_announcements(id) {
            self.refuse(id, code, Some(retry_after));
            return;
        }
        let Some(call) = self.offered_call(id) else {
            return;
        };
        let now = self.now;
        match &mut self.nodes[node].admission {
            Some(admission) => {
                let effects = admission.offer(now, call);
                self.apply(node, effects);
            }
            None => self.dispatch(id),
        }
    }

    /// Refuses a call before admission if one of its downstream services would refuse it; returns true if
    /// it did.
    fn refuse_for_downstream(&mut self, id: ExecutionId) -> bool {
        if self.is_naive() || !self.settings.mechanisms.propagate_levels {
            return false;
        }
        let Some(execution) = self.executions.get(id) else {
            return false;
        };
        let Some(request) = self.requests.get(execution.request) else {
            return false;
        };
        let kind = &self.layout.kinds[request.kind];
        let Some(step) = &kind.steps[execution.service] else {
            return false;
        };
        let levels = &self.nodes[execution.node].levels;
        let refusal = step.calls.iter().find_map(|&callee| {
            let key = self.admission_key(request, callee);
            let service = &self.layout.services[callee].name;
            levels.admits(self.now, service, &kind.name, key).err()
        });
        let Some(refusal) = refusal else {
            return false;
        };
        self.refuse(id, ResultCode::RefusedByLevel, Some(refusal.retry_after));
        true
    }

    fn offered_call(&self, id: ExecutionId) -> Option<OfferedCall> {
        let execution = self.executions.get(id)?;
        let request = self.requests.get(execution.request)?;
        let deadline = if self.is_naive() {
            self.now + NO_DEADLINE
        } else {
            request.deadline
        };
        Some(OfferedCall {
            ticket: CallTicket(id.as_u64()),
            key: self.admission_key(request, execution.service),
            deadline,
            progress: RequestProgress::New,
            admitted_below: AdmissionLevel::OPEN,
        })
    }

    /// Applies the decisions of a node's admission controller and schedules its next wakeup.
    pub(super) fn apply(&mut self, node: usize, effects: Vec<AdmissionEffect>) {
        for effect in effects {
            match effect {
                AdmissionEffect::Dispatch(ticket) => self.dispatch(ExecutionId::from_u64(ticket.0)),
                AdmissionEffect::Refuse {
                    ticket,
                    code,
                    retry_after,
                } => self.refuse(ExecutionId::from_u64(ticket.0), code, Some(retry_after)),
            }
        }
        self.schedule_wake(node);
    }

    fn schedule_wake(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let Some(admission) = &state.admission else {
            return;
        };
        let Some(wakeup) = admission.next_wakeup() else {
            return;
        };
        if state.wake_at.is_none_or(|planned| wakeup < planned) {
            state.wake_at = Some(wakeup);
            self.events.add(wakeup.max(self.now), Event::Wake { node });
        }
    }

    /// Handles a wakeup that an admission controller requested.
    pub(super) fn wake(&mut self, node: usize) {
        let now = self.now;
        let state = &mut self.nodes[node];
        if state.wake_at.is_some_and(|planned| planned <= now) {
            state.wake_at = None;
        }
        if let Some(admission) = &mut state.admission {
            let effects = admission.advance(now);
            self.apply(node, effects);
        }
    }

    /// Dispatches a call to the backend, over an idle connection or a new one.
    fn dispatch(&mut self, id: ExecutionId) {
        if let Some((code, retry_after)) = self.admit_by_announcements(id) {
            self.refuse(id, code, Some(retry_after));
            return;
        }
        let now = self.now;
        let Some(execution) = self.executions.get_mut(id) else {
            return;
        };
        execution.stage = Stage::Dispatched;
        execution.dispatched_at = now;
        let (node, service) = (execution.node, execution.service);
        let (arrived_at, request) = (execution.arrived_at, execution.request);
        if let Some(request) = self.requests.get(request) {
            let priority = request.key.priority().index();
            self.last_dispatch[service][priority] = Some(self.now);
        }
        let waited = self.now.saturating_since(arrived_at);
        if let Some(record) = self.service_record(service, request) {
            record.dispatched += 1;
            record.waited += waited;
        }
        self.record_arrival(node);
        match self.backend_mut(node).acquire_connection() {
            ConnectionOutcome::Idle => self.connected(id),
            ConnectionOutcome::Opening => {
                let at = self.now + self.layout.services[service].connect;
                self.events.add(at, Event::Connected { execution: id });
            }
            ConnectionOutcome::LimitReached => self.refuse(id, ResultCode::ConnectionLimit, None),
        }
    }

    /// Responds to an attempt that does not run.
    fn refuse(&mut self, id: ExecutionId, code: ResultCode, retry_after: Option<Duration>) {
        let Some(mut execution) = self.executions.remove(id) else {
            return;
        };
        if let Some(record) = self.service_record(execution.service, execution.request) {
            *record.refused.entry(code).or_default() += 1;
        }
        let result = AttemptResult::Failed(code);
        self.send_response(id, &mut execution, result, retry_after);
        self.drop_reference(execution.request);
    }

    /// Sends the response to an attempt over the network, which may lose it.
    pub(super) fn send_response(
        &mut self,
        id: ExecutionId,
        execution: &mut Execution,
        result: AttemptResult,
        retry_after: Option<Duration>,
    ) {
        let outgoing = execution.outgoing;
        let at = self.now + self.layout.latency(execution.node, execution.from);
        let response = if self.is_lost(self.settings.faults.lost_responses) {
            lost_response()
        } else {
            let metadata = self.metadata(execution);
            let origin = self.requests.get(execution.request);
            Response {
                result,
                metadata,
                retry_after,
                origin: origin.map_or(0, |request| request.origin),
            }
        };
        let event = Event::Response {
            outgoing,
            execution: id,
            response,
        };
        self.events.add(at, event);
    }

    fn metadata(&mut self, execution: &mut Execution) -> Option<Metadata> {
        let request = self.requests.get(execution.request)?;
        let priority = request.key.priority();
        let limit = &mut self.nodes[execution.node].limit;
        let rate_limited_for = limit.exhausted_for(self.now, priority);
        let node = &self.nodes[execution.node];
        let returned = execution.ledger.close();
        let admission = node.admission.as_ref();
        let level = admission.map_or(AdmissionLevel::OPEN, |admission| admission.level());
        let load = admission.map_or_else(Load::default, |admission| admission.load());
        let kind = &self.layout.kinds[request.kind];
        let calls = kind.steps[execution.service]
            .iter()
            .flat_map(|step| &step.calls);
        let path_level = calls
            .map(|&callee| {
                let service = &self.layout.services[callee].name;
                node.levels.level(self.now, service, &kind.name)
            })
            .fold(level, AdmissionLevel::fold);
        Some(Metadata {
            returned,
            level,
            path_level,
            load,
            rate_limited_for,
        })
    }
}

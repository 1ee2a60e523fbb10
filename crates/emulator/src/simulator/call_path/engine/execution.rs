//! Executions at a back end: slot, work, deeper calls, answer and cancellation.

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::admission::{CallTicket, Cancellation, Completion};

use super::Engine;
use super::caller::mix;
use super::outgoing::CallEnd;
use crate::backend::speed::work_time;
use crate::simulator::call_path::backend::Backend;
use crate::simulator::call_path::call::{Execution, ExecutionId, OutgoingId, Stage};
use crate::simulator::call_path::event::Event;
use crate::simulator::call_path::layout::StepLayout;
use crate::simulator::call_path::node::AttemptResult;

impl Engine<'_> {
    pub(super) fn backend(&self, node: usize) -> &Backend {
        &self.backends[node - self.layout.zones.len()]
    }

    pub(super) fn backend_mut(&mut self, node: usize) -> &mut Backend {
        &mut self.backends[node - self.layout.zones.len()]
    }

    /// A dispatched call arrives at the back end.
    pub(super) fn connected(&mut self, id: ExecutionId) {
        let Some(execution) = self.executions.get(id) else {
            return;
        };
        let node = execution.node;
        if self.backend_mut(node).enter(id) {
            self.start(id);
        }
    }

    /// An execution has a slot: its work begins.
    fn start(&mut self, id: ExecutionId) {
        let now = self.now;
        let Some(work) = self.work_of(id) else {
            return;
        };
        let Some(execution) = self.executions.get_mut(id) else {
            return;
        };
        execution.stage = Stage::Running;
        execution.work_started = now;
        let entry = execution.from < self.layout.zones.len();
        if let Some(request) = self.requests.get_mut(execution.request)
            && entry
        {
            request.entry_executions += 1;
            if request.reported_not_run {
                self.record.kinds[request.kind].not_run_but_ran += 1;
            }
        }
        self.events
            .add(now + work, Event::WorkDone { execution: id });
    }

    /// Time in the slot without deeper calls: the same for every policy under one seed.
    fn work_of(&self, id: ExecutionId) -> Option<Duration> {
        let execution = self.executions.get(id)?;
        let request = self.requests.get(execution.request)?;
        let step = self.step(execution)?;
        let caller = self.layout.backend_of(execution.from);
        let caller = caller.map_or(0, |backend| self.layout.backends[backend].service + 1);
        let place = (caller as u64) << 8 | execution.service as u64;
        let seed = mix(self.settings.seed ^ mix((request.session as u64) << 16 | place));
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let work = work_time(step.work, &mut rng);
        let slow = if self.in_surge() {
            self.slow[execution.service]
        } else {
            1.0
        };
        let cold = self.backend(execution.node).work_factor(self.now);
        Some(work.mul_f64(slow * cold))
    }

    fn step(&self, execution: &Execution) -> Option<&StepLayout> {
        let request = self.requests.get(execution.request)?;
        self.layout.kinds[request.kind].steps[execution.service].as_ref()
    }

    /// The work is done: the deeper calls follow.
    pub(super) fn work_done(&mut self, id: ExecutionId) {
        let now = self.now;
        let Some(execution) = self.executions.get_mut(id) else {
            return;
        };
        execution.work_done = true;
        let work = now.saturating_since(execution.work_started);
        if let Some(request) = self.requests.get_mut(execution.request) {
            request.work += work;
        }
        self.next_calls(id);
    }

    /// Starts the next deeper call, or all that run at the same time; without any left, answers.
    fn next_calls(&mut self, id: ExecutionId) {
        let Some(execution) = self.executions.get(id) else {
            return;
        };
        let Some(step) = self.step(execution) else {
            return;
        };
        let (node, request, first) = (execution.node, execution.request, execution.next_call);
        let remaining = &step.calls[first..];
        let count = if step.concurrent {
            remaining.len()
        } else {
            remaining.len().min(1)
        };
        let callees: Vec<usize> = remaining[..count].to_vec();
        if callees.is_empty() {
            self.finish_execution(id, None);
            return;
        }
        if let Some(execution) = self.executions.get_mut(id) {
            execution.next_call += count;
        }
        for _ in &callees {
            self.downstream_call_started(id);
        }
        for callee in callees {
            if self.executions.get(id).is_none() {
                return;
            }
            self.start_outgoing(request, node, callee, Some(id));
        }
    }

    fn downstream_call_started(&mut self, id: ExecutionId) {
        let now = self.now;
        let Some(execution) = self.executions.get(id) else {
            return;
        };
        if let Some(admission) = &mut self.nodes[execution.node].admission {
            admission.downstream_call_started(now, CallTicket(id.as_u64()));
        }
    }

    /// A deeper call of an execution ended.
    pub(super) fn call_completed(&mut self, id: ExecutionId, call: OutgoingId, end: CallEnd) {
        let now = self.now;
        let Some(execution) = self.executions.get_mut(id) else {
            return;
        };
        execution.open_calls.retain(|open| *open != call);
        execution.failed |= end != CallEnd::Whole;
        let open = !execution.open_calls.is_empty();
        let failed = execution.failed;
        let node = execution.node;
        if let Some(admission) = &mut self.nodes[node].admission {
            admission.downstream_call_completed(now, CallTicket(id.as_u64()));
        }
        if failed {
            self.finish_execution(id, Some(end));
        } else if !open {
            self.next_calls(id);
        }
    }

    /// An execution ends with an answer; `failure` is the deeper call that failed.
    fn finish_execution(&mut self, id: ExecutionId, failure: Option<CallEnd>) {
        let Some(mut execution) = self.executions.remove(id) else {
            return;
        };
        for call in std::mem::take(&mut execution.open_calls) {
            self.cancel_outgoing(call);
        }
        if failure.is_none() {
            self.note_effect(&execution);
        }
        self.free_slot(id, &execution, Completion::Succeeded);
        let (result, retry_after) = match failure {
            None => (AttemptResult::Whole, None),
            Some(end) => (AttemptResult::DeeperFailed, end.retry_after()),
        };
        self.send_answer(id, &mut execution, result, retry_after);
        self.drop_reference(execution.request);
    }

    fn note_effect(&mut self, execution: &Execution) {
        let Some(request) = self.requests.get(execution.request) else {
            return;
        };
        let entry = execution.from < self.layout.zones.len();
        if entry && self.is_at_most_once(request.kind) {
            self.record.sessions[request.session].effects += 1;
        }
    }

    /// Gives slot and connection back, and lets admission and the back end's queue go on.
    fn free_slot(&mut self, id: ExecutionId, execution: &Execution, completion: Completion) {
        let node = execution.node;
        if execution.stage == Stage::Running {
            let held = self.now.saturating_since(execution.work_started);
            if let Some(record) = self.service_record(execution.service, execution.request) {
                record.held += held;
            }
        }
        let backend = self.backend_mut(node);
        backend.disconnect();
        if execution.stage == Stage::Running {
            backend.leave();
        }
        while let Some(waiting) = self.backend_mut(node).next_waiting() {
            if self.executions.get(waiting).is_some() {
                self.backend_mut(node).occupy();
                self.start(waiting);
            }
        }
        let now = self.now;
        if let Some(admission) = &mut self.nodes[node].admission {
            let effects = admission.complete(now, CallTicket(id.as_u64()), completion);
            self.apply(node, effects);
        }
    }

    /// The sender gave an attempt up.
    pub(super) fn cancel_execution(&mut self, id: ExecutionId) {
        let Some(mut execution) = self.executions.remove(id) else {
            return;
        };
        for call in std::mem::take(&mut execution.open_calls) {
            self.cancel_outgoing(call);
        }
        self.note_partial_work(&execution);
        self.withdraw(id, &execution);
        self.drop_reference(execution.request);
    }

    fn note_partial_work(&mut self, execution: &Execution) {
        if execution.stage != Stage::Running || execution.work_done {
            return;
        }
        let work = self.now.saturating_since(execution.work_started);
        if let Some(request) = self.requests.get_mut(execution.request) {
            request.work += work;
        }
    }

    fn withdraw(&mut self, id: ExecutionId, execution: &Execution) {
        if execution.stage == Stage::Travelling {
            return;
        }
        let now = self.now;
        let ticket = CallTicket(id.as_u64());
        let found = self.nodes[execution.node]
            .admission
            .as_mut()
            .map(|admission| admission.cancel(now, ticket));
        if found != Some(Cancellation::RemovedFromQueue) {
            self.free_slot(id, execution, Completion::Cancelled);
        }
    }

    /// Forgets an attempt that never arrived.
    pub(super) fn discard_execution(&mut self, id: ExecutionId) {
        if let Some(execution) = self.executions.remove(id) {
            self.drop_reference(execution.request);
        }
    }
}

//! Executions at a backend: slot, work, downstream calls, response and cancellation.

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::admission::{CallTicket, Cancellation, Completion};
use wharfquay_core::rate_limit::ResponseSource;

use super::Engine;
use super::caller::splitmix64;
use super::outgoing::CallResult;
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

    /// Handles the arrival of a dispatched call at the backend.
    pub(super) fn connected(&mut self, id: ExecutionId) {
        let Some(execution) = self.executions.get(id) else {
            return;
        };
        let node = execution.node;
        if self.backend_mut(node).start_or_queue(id) {
            self.start(id);
        }
    }

    /// Starts the work of an execution that holds a slot.
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

    /// Returns the execution time without downstream calls. The random part depends only on the seed, the
    /// session and the calling and called service: it is the same for every policy.
    fn work_of(&self, id: ExecutionId) -> Option<Duration> {
        let execution = self.executions.get(id)?;
        let request = self.requests.get(execution.request)?;
        let step = self.step(execution)?;
        let caller = self.layout.backend_of(execution.from);
        let caller = caller.map_or(0, |backend| self.layout.backends[backend].service + 1);
        let call_site = (caller as u64) << 8 | execution.service as u64;
        let seed =
            splitmix64(self.settings.seed ^ splitmix64((request.session as u64) << 16 | call_site));
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

    /// Records completed work and starts the downstream calls.
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
        self.start_downstream_calls(id);
    }

    /// Starts the next downstream call, or all of them if they are concurrent; responds if none is left.
    fn start_downstream_calls(&mut self, id: ExecutionId) {
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
            self.start_call(request, node, callee, Some(id));
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

    /// Handles the completion of a downstream call of an execution.
    pub(super) fn call_completed(
        &mut self,
        id: ExecutionId,
        call: OutgoingId,
        call_result: CallResult,
    ) {
        let now = self.now;
        let Some(execution) = self.executions.get_mut(id) else {
            return;
        };
        execution.open_calls.retain(|open| *open != call);
        execution.failed |= call_result != CallResult::Complete;
        let open = !execution.open_calls.is_empty();
        let failed = execution.failed;
        let node = execution.node;
        if let Some(admission) = &mut self.nodes[node].admission {
            admission.downstream_call_completed(now, CallTicket(id.as_u64()));
        }
        if failed {
            self.finish_execution(id, Some(call_result));
        } else if !open {
            self.start_downstream_calls(id);
        }
    }

    /// Completes an execution with a response; `failure` is the result of a failed downstream call.
    fn finish_execution(&mut self, id: ExecutionId, failure: Option<CallResult>) {
        let Some(mut execution) = self.executions.remove(id) else {
            return;
        };
        for call in std::mem::take(&mut execution.open_calls) {
            self.cancel_call(call);
        }
        if failure.is_none() {
            self.record_effect(&execution);
        }
        let (node, sent_at) = (execution.node, execution.dispatched_at);
        self.read_announcements(node, ResponseSource::Call, sent_at);
        self.release_resources(id, &execution, Completion::Succeeded);
        let (result, retry_after) = match failure {
            None => (AttemptResult::Complete, None),
            Some(call_result) => (AttemptResult::DownstreamFailed, call_result.retry_after()),
        };
        self.send_response(id, &mut execution, result, retry_after);
        self.drop_reference(execution.request);
    }

    fn record_effect(&mut self, execution: &Execution) {
        let Some(request) = self.requests.get(execution.request) else {
            return;
        };
        let entry = execution.from < self.layout.zones.len();
        if entry && self.is_at_most_once(request.kind) {
            self.record.sessions[request.session].effects += 1;
        }
    }

    /// Frees slot and connection, starts queued executions and reports the completion to admission
    /// control.
    fn release_resources(
        &mut self,
        id: ExecutionId,
        execution: &Execution,
        completion: Completion,
    ) {
        let node = execution.node;
        if execution.stage == Stage::Running {
            let held = self.now.saturating_since(execution.work_started);
            if let Some(record) = self.service_record(execution.service, execution.request) {
                record.held += held;
            }
        }
        let backend = self.backend_mut(node);
        backend.release_connection();
        if execution.stage == Stage::Running {
            backend.release_slot();
        }
        while let Some(waiting) = self.backend_mut(node).next_waiting() {
            if self.executions.get(waiting).is_some() {
                self.backend_mut(node).occupy_slot();
                self.start(waiting);
            }
        }
        let now = self.now;
        if let Some(admission) = &mut self.nodes[node].admission {
            let effects = admission.complete(now, CallTicket(id.as_u64()), completion);
            self.apply(node, effects);
        }
    }

    /// Cancels an attempt that its sender has abandoned.
    pub(super) fn cancel_execution(&mut self, id: ExecutionId) {
        let Some(mut execution) = self.executions.remove(id) else {
            return;
        };
        for call in std::mem::take(&mut execution.open_calls) {
            self.cancel_call(call);
        }
        self.record_partial_work(&execution);
        self.cancel_at_daemon(id, &execution);
        self.drop_reference(execution.request);
    }

    fn record_partial_work(&mut self, execution: &Execution) {
        if execution.stage != Stage::Running || execution.work_done {
            return;
        }
        let work = self.now.saturating_since(execution.work_started);
        if let Some(request) = self.requests.get_mut(execution.request) {
            request.work += work;
        }
    }

    fn cancel_at_daemon(&mut self, id: ExecutionId, execution: &Execution) {
        if execution.stage == Stage::InTransit {
            return;
        }
        let now = self.now;
        let ticket = CallTicket(id.as_u64());
        let found = self.nodes[execution.node]
            .admission
            .as_mut()
            .map(|admission| admission.cancel(now, ticket));
        if found != Some(Cancellation::RemovedFromQueue) {
            self.record_cancelled(execution);
            self.release_resources(id, execution, Completion::Cancelled);
        }
    }

    /// Removes an attempt that was lost on the network.
    pub(super) fn discard_execution(&mut self, id: ExecutionId) {
        if let Some(execution) = self.executions.remove(id) {
            self.drop_reference(execution.request);
        }
    }
}

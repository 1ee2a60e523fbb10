//! Backends that are killed and restarted.

use std::time::Duration;

use rand::RngExt;
use wharfquay_core::time::Timestamp;

use super::Engine;
use super::outgoing::lost_response;
use crate::simulator::call_path::call::{ExecutionId, Stage};
use crate::simulator::call_path::event::Event;

/// Time until a killed backend starts again.
const RESTART_AFTER: Duration = Duration::from_millis(500);

impl Engine<'_> {
    /// Schedules the kills of the run and the restarts that follow them.
    pub(super) fn schedule_kills(&mut self) {
        let total = self.settings.total().as_secs_f64();
        for _ in 0..self.settings.faults.kills {
            let backend = self.fault_rng.random_range(0..self.layout.backends.len());
            let node = self.layout.node_of(backend);
            let at = Duration::from_secs_f64(self.fault_rng.random::<f64>() * total);
            let at = Timestamp::ZERO + at;
            self.events.add(at, Event::Kill { node });
            self.events.add(at + RESTART_AFTER, Event::Restart { node });
        }
    }

    /// Terminates a backend together with its daemon; every sender with an attempt there observes a lost
    /// connection.
    pub(super) fn kill(&mut self, node: usize) {
        self.backend_mut(node).kill();
        for id in self.executions_at(node) {
            self.break_connection(id);
        }
    }

    fn executions_at(&self, node: usize) -> Vec<ExecutionId> {
        self.executions
            .iter()
            .filter(|(_, execution)| execution.node == node)
            .filter(|(_, execution)| execution.stage != Stage::InTransit)
            .map(|(id, _)| id)
            .collect()
    }

    fn break_connection(&mut self, id: ExecutionId) {
        let Some(mut execution) = self.executions.remove(id) else {
            return;
        };
        for call in std::mem::take(&mut execution.open_calls) {
            self.cancel_call(call);
        }
        let at = self.now + self.layout.latency(execution.node, execution.from);
        let event = Event::Response {
            outgoing: execution.outgoing,
            execution: id,
            response: lost_response(),
        };
        self.events.add(at, event);
        self.drop_reference(execution.request);
    }

    /// Starts a new backend process, cold, with a new daemon; the routers of all daemons receive its
    /// incarnation.
    pub(super) fn restart(&mut self, node: usize) {
        let now = self.now;
        if self.backend(node).alive {
            return;
        }
        self.backend_mut(node).restart(now);
        self.nodes[node] = self.new_node(node);
        let Some(backend) = self.layout.backend_of(node) else {
            return;
        };
        let service = self.layout.backends[backend].service;
        let endpoints = self.endpoints(service);
        for other in &mut self.nodes {
            other.routers[service].set_endpoints(now, endpoints.clone());
        }
    }
}

//! A simulated backend: slots, a first-in first-out queue, connections and cold start.

use std::collections::VecDeque;
use std::time::Duration;

use wharfquay_core::time::Timestamp;

use super::call::ExecutionId;
use crate::backend::speed::cold_factor;

/// State of a backend.
#[derive(Debug)]
pub(super) struct Backend {
    /// Number of requests that the backend executes concurrently.
    slots: u32,
    /// Number of connections that the backend accepts.
    connections: u32,
    cold_start: Duration,
    busy_slots: u32,
    /// Executions that wait for a slot.
    waiting: VecDeque<ExecutionId>,
    open_connections: u32,
    used_connections: u32,
    /// Start of the process; `None` if it was warm when the simulation started.
    started_at: Option<Timestamp>,
    /// Incremented by each restart.
    pub(super) incarnation: u64,
    /// True while the process runs.
    pub(super) alive: bool,
}

/// The result of a request for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionOutcome {
    /// An idle connection is reused.
    Idle,
    /// A new connection has to be opened first.
    Opening,
    /// The backend has reached its connection limit.
    LimitReached,
}

impl Backend {
    /// Creates a warm backend.
    pub(super) fn new(slots: u32, connections: u32, cold_start: Duration) -> Self {
        Self {
            slots,
            connections,
            cold_start,
            busy_slots: 0,
            waiting: VecDeque::new(),
            open_connections: 0,
            used_connections: 0,
            started_at: None,
            incarnation: 1,
            alive: true,
        }
    }

    /// Takes an idle connection for a call, or a new one while the limit allows it.
    pub(super) fn acquire_connection(&mut self) -> ConnectionOutcome {
        if self.used_connections >= self.connections {
            return ConnectionOutcome::LimitReached;
        }
        self.used_connections += 1;
        if self.used_connections <= self.open_connections {
            return ConnectionOutcome::Idle;
        }
        self.open_connections = self.used_connections;
        ConnectionOutcome::Opening
    }

    /// Returns a connection, which stays open and becomes idle.
    pub(super) fn release_connection(&mut self) {
        self.used_connections = self.used_connections.saturating_sub(1);
    }

    /// Takes a slot for an execution, or queues it; returns true if it got a slot.
    pub(super) fn start_or_queue(&mut self, execution: ExecutionId) -> bool {
        if self.busy_slots < self.slots {
            self.busy_slots += 1;
            return true;
        }
        self.waiting.push_back(execution);
        false
    }

    /// Frees a slot; the calling function starts the next queued execution that still exists.
    pub(super) fn release_slot(&mut self) {
        self.busy_slots = self.busy_slots.saturating_sub(1);
    }

    /// Removes and returns the first queued execution if a slot is free. The slot is taken by
    /// [`Self::occupy_slot`].
    pub(super) fn next_waiting(&mut self) -> Option<ExecutionId> {
        if self.busy_slots < self.slots {
            self.waiting.pop_front()
        } else {
            None
        }
    }

    /// Takes a slot for an execution that was queued.
    pub(super) fn occupy_slot(&mut self) {
        self.busy_slots += 1;
    }

    /// Returns the factor on execution time caused by the cold start; 1 for a warm backend.
    pub(super) fn work_factor(&self, now: Timestamp) -> f64 {
        self.started_at.map_or(1.0, |started_at| {
            cold_factor(now.saturating_since(started_at), self.cold_start)
        })
    }

    /// Terminates the process; every execution in it is lost.
    pub(super) fn kill(&mut self) {
        self.alive = false;
        self.busy_slots = 0;
        self.open_connections = 0;
        self.used_connections = 0;
        self.waiting.clear();
    }

    /// Starts a new process, cold.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.alive = true;
        self.incarnation += 1;
        self.started_at = Some(now);
    }

    /// Returns the start of the process; `None` if it was warm when the simulation started.
    pub(super) const fn started_at(&self) -> Option<Timestamp> {
        self.started_at
    }
}

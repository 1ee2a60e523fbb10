//! A back end: slots, its own queue in order of arrival, connections and cold start.

use std::collections::VecDeque;
use std::time::Duration;

use wharfquay_core::time::Timestamp;

use super::call::ExecutionId;
use crate::backend::speed::cold_factor;

/// A back end's own state.
#[derive(Debug)]
pub(super) struct Backend {
    slots: u32,
    connections: u32,
    cold_start: Duration,
    busy: u32,
    waiting: VecDeque<ExecutionId>,
    open: u32,
    used: u32,
    started_at: Option<Timestamp>,
    /// Grows with each restart.
    pub(super) incarnation: u64,
    /// Whether the process runs.
    pub(super) alive: bool,
}

/// What a call finds that needs a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    /// An idle connection.
    Idle,
    /// Room for another connection, to be opened first.
    Opens,
    /// The limit.
    Refused,
}

impl Backend {
    /// A warm back end.
    pub(super) fn new(slots: u32, connections: u32, cold_start: Duration) -> Self {
        Self {
            slots,
            connections,
            cold_start,
            busy: 0,
            waiting: VecDeque::new(),
            open: 0,
            used: 0,
            started_at: None,
            incarnation: 1,
            alive: true,
        }
    }

    /// Takes a connection for a call.
    pub(super) fn connect(&mut self) -> ConnectionUse {
        if self.used >= self.connections {
            return ConnectionUse::Refused;
        }
        self.used += 1;
        if self.used <= self.open {
            return ConnectionUse::Idle;
        }
        self.open = self.used;
        ConnectionUse::Opens
    }

    /// Gives a connection back.
    pub(super) fn disconnect(&mut self) {
        self.used = self.used.saturating_sub(1);
    }

    /// Takes a slot, or a place in the queue; returns whether the execution starts now.
    pub(super) fn enter(&mut self, execution: ExecutionId) -> bool {
        if self.busy < self.slots {
            self.busy += 1;
            return true;
        }
        self.waiting.push_back(execution);
        false
    }

    /// Gives a slot back; the caller starts the next execution that still exists.
    pub(super) fn leave(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    /// Takes the next waiting execution if a slot is free; the slot is taken by
    /// [`Self::occupy`].
    pub(super) fn next_waiting(&mut self) -> Option<ExecutionId> {
        if self.busy < self.slots {
            self.waiting.pop_front()
        } else {
            None
        }
    }

    /// Takes a slot for an execution from the queue.
    pub(super) fn occupy(&mut self) {
        self.busy += 1;
    }

    /// Factor on work from the cold start.
    pub(super) fn work_factor(&self, now: Timestamp) -> f64 {
        self.started_at.map_or(1.0, |started_at| {
            cold_factor(now.saturating_since(started_at), self.cold_start)
        })
    }

    /// The process ends; every execution in it is lost.
    pub(super) fn kill(&mut self) {
        self.alive = false;
        self.busy = 0;
        self.open = 0;
        self.used = 0;
        self.waiting.clear();
    }

    /// A new process starts, cold.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.alive = true;
        self.incarnation += 1;
        self.started_at = Some(now);
    }

    /// When the process started; `None` for one that was warm from the beginning.
    pub(super) const fn started_at(&self) -> Option<Timestamp> {
        self.started_at
    }
}

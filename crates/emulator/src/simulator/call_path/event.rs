//! Events of the simulation and the queue of those that are due in the future.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use wharfquay_core::time::Timestamp;

use super::call::{ExecutionId, OutgoingId, RequestId};
use super::node::Response;

/// An event at a point of virtual time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A caller's attempt arrives at the edge of its zone.
    CallerAttempt { session: usize },
    /// The deadline of a request expires.
    Deadline { request: RequestId },
    /// An attempt arrives at the daemon of a backend.
    ArriveAtDaemon { execution: ExecutionId },
    /// A dispatched call arrives at the backend, once its connection is open.
    Connected { execution: ExecutionId },
    /// The work of an execution completes; its downstream calls follow.
    WorkDone { execution: ExecutionId },
    /// A response arrives at the daemon that sent the attempt.
    Response {
        outgoing: OutgoingId,
        execution: ExecutionId,
        response: Response,
    },
    /// An attempt of a hop without deadline propagation times out.
    AttemptTimeout {
        outgoing: OutgoingId,
        execution: ExecutionId,
    },
    /// The backoff before a retry elapses.
    Retry { outgoing: OutgoingId },
    /// A wakeup that an admission controller requested is due.
    Wake { node: usize },
    /// A backend and its daemon are killed.
    Kill { node: usize },
    /// A killed backend starts again, cold.
    Restart { node: usize },
}

#[derive(Debug)]
struct Entry {
    at: Timestamp,
    sequence: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

impl Entry {
    const fn key(&self) -> (Timestamp, u64) {
        (self.at, self.sequence)
    }
}

/// Events ordered by time; events with the same time keep the order in which they were added.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<Entry>>,
    sequence: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub(super) fn add(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.heap.push(Reverse(Entry {
            at,
            sequence,
            event,
        }));
    }

    /// Removes and returns the earliest event.
    pub(super) fn next(&mut self) -> Option<(Timestamp, Event)> {
        self.heap
            .pop()
            .map(|Reverse(entry)| (entry.at, entry.event))
    }
}

//! The queue of future events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use wharfquay_core::time::Timestamp;

use super::call::{ExecutionId, OutgoingId, RequestId};
use super::node::Answer;

/// Something that happens at a point in virtual time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A caller's attempt arrives at its edge.
    Attempt { session: usize },
    /// The deadline of a request has come.
    Deadline { request: RequestId },
    /// An attempt arrives at the daemon of a back end.
    Reach { execution: ExecutionId },
    /// A dispatched call arrives at the back end over a connection that is open.
    Connected { execution: ExecutionId },
    /// The work of an execution is done.
    WorkDone { execution: ExecutionId },
    /// An answer arrives at the daemon that sent the attempt.
    Answer {
        outgoing: OutgoingId,
        execution: ExecutionId,
        answer: Answer,
    },
    /// A hop without deadline propagation gives up on an attempt.
    AttemptTimeout {
        outgoing: OutgoingId,
        execution: ExecutionId,
    },
    /// The wait before a retry is over.
    Retry { outgoing: OutgoingId },
    /// An admission controller asked to be called.
    Wake { node: usize },
    /// A back end is killed.
    Kill { node: usize },
    /// A killed back end starts again, cold.
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

/// Events in order of time; those of one time in the order in which they were added.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<Entry>>,
    sequence: u64,
}

impl EventQueue {
    /// Adds an event.
    pub(super) fn add(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.heap.push(Reverse(Entry {
            at,
            sequence,
            event,
        }));
    }

    /// Takes the next event.
    pub(super) fn next(&mut self) -> Option<(Timestamp, Event)> {
        self.heap
            .pop()
            .map(|Reverse(entry)| (entry.at, entry.event))
    }
}

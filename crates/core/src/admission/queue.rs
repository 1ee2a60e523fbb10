//! Bounded queue of calls that wait for a slot.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::admission::controller::{CallTicket, OfferedCall};
use crate::priority::Priority;
use crate::time::Timestamp;

/// Order in which waiting calls are served. The last call in that order is displaced when the queue
/// is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QueueDiscipline {
    /// By priority, then rank, then arrival.
    Priority,
    /// Oldest first; the newest is refused when the queue is full.
    Fifo,
    /// Newest first; the oldest is displaced when the queue is full.
    Lifo,
}

/// Position in the order of service; the smallest is served first.
type Position = (u64, u64);

/// A waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The call.
    pub call: OfferedCall,
    /// Time at which it joined the queue.
    pub since: Timestamp,
    /// Time at which it has to leave the queue: the end of its longest wait or the latest start
    /// that can meet its deadline, whichever is earlier.
    pub expires: Timestamp,
}

/// Result of adding a call to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushResult {
    /// The call waits.
    Queued,
    /// The call waits and displaced this one, which has to be refused.
    Displaced(Waiting),
    /// Every waiting call is served before it, so it has to be refused.
    Full,
}

/// Bounded queue with an order of service and an expiry time for each entry.
#[derive(Clone, Debug)]
pub struct WaitQueue {
    discipline: QueueDiscipline,
    capacity: usize,
    sequence: u64,
    order: BTreeMap<Position, Waiting>,
    positions: HashMap<CallTicket, Position>,
    expiries: BTreeSet<(Timestamp, CallTicket)>,
    by_priority: [usize; Priority::COUNT],
}

impl WaitQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(discipline: QueueDiscipline, capacity: usize) -> Self {
        Self {
            discipline,
            capacity,
            sequence: 0,
            order: BTreeMap::new(),
            positions: HashMap::new(),
            expiries: BTreeSet::new(),
            by_priority: [0; Priority::COUNT],
        }
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns the number of waiting calls of each priority.
    #[must_use]
    pub const fn by_priority(&self) -> &[usize; Priority::COUNT] {
        &self.by_priority
    }

    /// Returns true if no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Adds a call that may wait until `expires`. In a full queue it may displace a call that is
    /// served later.
    pub fn push(&mut self, now: Timestamp, call: OfferedCall, expires: Timestamp) -> PushResult {
        let waiting = Waiting {
            call,
            since: now,
            expires,
        };
        let position = self.next_position(&call);
        if self.order.len() < self.capacity {
            self.insert(position, waiting);
            return PushResult::Queued;
        }
        match self.order.last_key_value() {
            Some((&last, _)) if position < last => {
                let displaced = self.remove_at(last);
                self.insert(position, waiting);
                displaced.map_or(PushResult::Queued, PushResult::Displaced)
            }
            _ => PushResult::Full,
        }
    }

    /// Returns the call that is served next.
    #[must_use]
    pub fn first(&self) -> Option<&Waiting> {
        self.order.first_key_value().map(|(_, waiting)| waiting)
    }

    /// Removes the call that is served next.
    pub fn pop(&mut self) -> Option<Waiting> {
        let (&first, _) = self.order.first_key_value()?;
        self.remove_at(first)
    }

    /// Removes one call whose wait has expired, if there is one.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<Waiting> {
        let &(expires, ticket) = self.expiries.first()?;
        if expires > now {
            return None;
        }
        self.remove(ticket)
    }

    /// Removes the call with this ticket.
    pub fn remove(&mut self, ticket: CallTicket) -> Option<Waiting> {
        let position = *self.positions.get(&ticket)?;
        self.remove_at(position)
    }

    /// Returns the time at which the next wait expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.expiries.first().map(|&(expires, _)| expires)
    }

    /// Sets the capacity and removes the last call in order if the queue is longer. Must be called
    /// again until it returns `None`.
    pub fn shrink_to(&mut self, capacity: usize) -> Option<Waiting> {
        self.capacity = capacity;
        if self.order.len() <= capacity {
            return None;
        }
        let (&last, _) = self.order.last_key_value()?;
        self.remove_at(last)
    }

    /// Changes the order for calls that arrive from now on.
    pub fn set_discipline(&mut self, discipline: QueueDiscipline) {
        self.discipline = discipline;
    }

    fn next_position(&mut self, call: &OfferedCall) -> Position {
        self.sequence += 1;
        match self.discipline {
            QueueDiscipline::Priority => (u64::from(call.key.number()), self.sequence),
            QueueDiscipline::Fifo => (0, self.sequence),
            QueueDiscipline::Lifo => (0, u64::MAX - self.sequence),
        }
    }

    fn insert(&mut self, position: Position, waiting: Waiting) {
        self.by_priority[waiting.call.key.priority().index()] += 1;
        self.positions.insert(waiting.call.ticket, position);
        self.expiries.insert((waiting.expires, waiting.call.ticket));
        self.order.insert(position, waiting);
    }

    fn remove_at(&mut self, position: Position) -> Option<Waiting> {
        let waiting = self.order.remove(&position)?;
        self.by_priority[waiting.call.key.priority().index()] -= 1;
        self.positions.remove(&waiting.call.ticket);
        self.expiries
            .remove(&(waiting.expires, waiting.call.ticket));
        Some(waiting)
    }
}

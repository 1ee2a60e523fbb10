//! The bounded queue of calls that wait for a slot.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::admission::controller::{CallTicket, OfferedCall};
use crate::priority::Priority;
use crate::time::Timestamp;

/// Order in which waiting calls are served; the last in order is displaced when the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QueueDiscipline {
    /// By priority, then rank, then arrival.
    Priority,
    /// The oldest first; the newest is refused.
    Fifo,
    /// The newest first; the oldest is displaced.
    Lifo,
}

/// Position in the order of service; the smallest is served first.
type Position = (u64, u64);

/// A call that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The call.
    pub call: OfferedCall,
    /// When it joined the queue.
    pub since: Timestamp,
    /// When it must have left the queue: its longest wait or its last useful start.
    pub expires: Timestamp,
}

/// What became of a call that was pushed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushed {
    /// It waits.
    Queued,
    /// It waits in place of another one, which has to be refused.
    Displaced(Waiting),
    /// Every waiting call goes before it; it has to be refused.
    Full,
}

/// Bounded queue with an order of service and an expiry for each entry.
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
    /// An empty queue.
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

    /// Number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Number of waiting calls of each priority.
    #[must_use]
    pub const fn by_priority(&self) -> &[usize; Priority::COUNT] {
        &self.by_priority
    }

    /// Whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Adds a call that may wait until `expires`.
    pub fn push(&mut self, now: Timestamp, call: OfferedCall, expires: Timestamp) -> Pushed {
        let waiting = Waiting {
            call,
            since: now,
            expires,
        };
        let position = self.next_position(&call);
        if self.order.len() < self.capacity {
            self.insert(position, waiting);
            return Pushed::Queued;
        }
        match self.order.last_key_value() {
            Some((&last, _)) if position < last => {
                let displaced = self.remove_at(last);
                self.insert(position, waiting);
                displaced.map_or(Pushed::Queued, Pushed::Displaced)
            }
            _ => Pushed::Full,
        }
    }

    /// The call that is to be served next.
    #[must_use]
    pub fn first(&self) -> Option<&Waiting> {
        self.order.first_key_value().map(|(_, waiting)| waiting)
    }

    /// Takes the call that is to be served next.
    pub fn pop(&mut self) -> Option<Waiting> {
        let (&first, _) = self.order.first_key_value()?;
        self.remove_at(first)
    }

    /// Takes a call whose wait has expired, if there is one.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<Waiting> {
        let &(expires, ticket) = self.expiries.first()?;
        if expires > now {
            return None;
        }
        self.remove(ticket)
    }

    /// Takes a particular call.
    pub fn remove(&mut self, ticket: CallTicket) -> Option<Waiting> {
        let position = *self.positions.get(&ticket)?;
        self.remove_at(position)
    }

    /// When the next wait expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.expiries.first().map(|&(expires, _)| expires)
    }

    /// Takes the last in order while there are more calls than `capacity`; call it again until it
    /// returns `None`.
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

//! Properties of the bounded queue under arbitrary sequences of operations.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use wharfquay_core::admission::queue::{PushResult, WaitQueue};
use wharfquay_core::admission::{CallTicket, OfferedCall, QueueDiscipline, RequestProgress};
use wharfquay_core::priority::{AdmissionKey, AdmissionLevel, Priority, Rank};
use wharfquay_core::time::Timestamp;

const CAPACITY: usize = 5;

#[derive(Clone, Copy, Debug)]
enum Operation {
    Push { priority: u8, rank: u16, wait: u64 },
    Pop,
    Remove { ticket: u64 },
    Expire { after: u64 },
    Shrink { capacity: usize },
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => (0_u8..8, 0_u16..64, 1_u64..100)
            .prop_map(|(priority, rank, wait)| Operation::Push { priority, rank, wait }),
        2 => Just(Operation::Pop),
        1 => (0_u64..60).prop_map(|ticket| Operation::Remove { ticket }),
        1 => (0_u64..50).prop_map(|after| Operation::Expire { after }),
        1 => (0_usize..=CAPACITY).prop_map(|capacity| Operation::Shrink { capacity }),
    ]
}

fn discipline() -> impl Strategy<Value = QueueDiscipline> {
    prop_oneof![
        Just(QueueDiscipline::Priority),
        Just(QueueDiscipline::Fifo),
        Just(QueueDiscipline::Lifo),
    ]
}

fn offered(ticket: u64, priority: u8, rank: u16) -> OfferedCall {
    let priority = Priority::new(priority).expect("in range");
    OfferedCall {
        ticket: CallTicket(ticket),
        key: AdmissionKey::new(priority, Rank::from_number(rank)),
        deadline: Timestamp::from_millis(1_000_000),
        progress: RequestProgress::New,
        admitted_below: AdmissionLevel::OPEN,
    }
}

/// The queue together with the set of calls that it must contain.
struct CheckedQueue {
    discipline: QueueDiscipline,
    queue: WaitQueue,
    expected: BTreeSet<(AdmissionKey, u64)>,
    now: Timestamp,
    next_ticket: u64,
    capacity: usize,
}

impl CheckedQueue {
    fn apply(&mut self, operation: Operation) {
        match operation {
            Operation::Push {
                priority,
                rank,
                wait,
            } => self.push(priority, rank, wait),
            Operation::Pop => self.pop(),
            Operation::Remove { ticket } => self.remove(ticket),
            Operation::Expire { after } => self.expire(after),
            Operation::Shrink { capacity } => self.shrink(capacity),
        }
        assert_eq!(self.queue.len(), self.expected.len());
        assert!(self.queue.len() <= self.capacity);
    }

    fn by_priority(&self) -> bool {
        self.discipline == QueueDiscipline::Priority
    }

    fn push(&mut self, priority: u8, rank: u16, wait: u64) {
        let call = offered(self.next_ticket, priority, rank);
        self.next_ticket += 1;
        let full = self.expected.len() >= self.capacity;
        let expires = self.now + Duration::from_micros(wait);
        match self.queue.push(self.now, call, expires) {
            PushResult::Queued => assert!(!full),
            PushResult::Displaced(waiting) => {
                assert!(full);
                if self.by_priority() {
                    let last = self.expected.last().map(|&(key, _)| key);
                    assert!(
                        waiting.call.key > call.key,
                        "only a less important call is displaced"
                    );
                    assert_eq!(
                        Some(waiting.call.key),
                        last,
                        "the least important call is displaced"
                    );
                }
                self.take(waiting.call);
            }
            PushResult::Full => {
                assert!(full);
                let least = !self.expected.iter().any(|&(key, _)| key > call.key);
                assert!(least || !self.by_priority());
                return;
            }
        }
        self.expected.insert((call.key, call.ticket.0));
    }

    fn pop(&mut self) {
        let Some(waiting) = self.queue.pop() else {
            assert!(self.expected.is_empty());
            return;
        };
        if self.by_priority() {
            let first = self.expected.first().copied();
            assert_eq!(first, Some((waiting.call.key, waiting.call.ticket.0)));
        }
        self.take(waiting.call);
    }

    fn remove(&mut self, ticket: u64) {
        let expected = self
            .expected
            .iter()
            .any(|&(_, expected)| expected == ticket);
        let removed = self.queue.remove(CallTicket(ticket));
        assert_eq!(removed.is_some(), expected);
        if let Some(waiting) = removed {
            self.take(waiting.call);
        }
    }

    fn expire(&mut self, after: u64) {
        self.now = self.now + Duration::from_micros(after);
        while let Some(waiting) = self.queue.pop_expired(self.now) {
            assert!(waiting.expires <= self.now);
            self.take(waiting.call);
        }
        let next = self.queue.next_expiry();
        assert!(next.is_none_or(|expiry| expiry > self.now));
    }

    fn shrink(&mut self, capacity: usize) {
        while let Some(waiting) = self.queue.shrink_to(capacity) {
            self.take(waiting.call);
        }
        self.capacity = capacity;
    }

    /// Checks that a call leaves the queue exactly once.
    fn take(&mut self, call: OfferedCall) {
        assert!(self.expected.remove(&(call.key, call.ticket.0)));
    }
}

proptest! {
    #[test]
    fn order_capacity_and_displacement_hold(
        discipline in discipline(),
        operations in prop::collection::vec(operation(), 1..200),
    ) {
        let mut queue_under_test = CheckedQueue {
            discipline,
            queue: WaitQueue::new(discipline, CAPACITY),
            expected: BTreeSet::new(),
            now: Timestamp::ZERO,
            next_ticket: 0,
            capacity: CAPACITY,
        };
        for operation in operations {
            queue_under_test.apply(operation);
        }
    }
}

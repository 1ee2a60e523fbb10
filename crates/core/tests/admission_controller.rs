//! Invariants of the admission controller under arbitrary sequences of inputs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use wharfquay_core::admission::{
    AdmissionController, AdmissionEffect, AdmissionSettings, CallTicket, Cancellation, Completion,
    LimitAlgorithm, OfferedCall, RequestProgress,
};
use wharfquay_core::priority::{AdmissionKey, AdmissionLevel, Priority, Rank};
use wharfquay_core::time::Timestamp;

#[derive(Clone, Copy, Debug)]
enum Input {
    Offer {
        priority: u8,
        rank: u16,
        time_left: u64,
    },
    Complete {
        index: usize,
        failed: bool,
    },
    Cancel {
        ticket: u64,
    },
    Downstream {
        index: usize,
        started: bool,
    },
    Pass {
        micros: u64,
    },
    Wake,
    Drain,
}

fn input() -> impl Strategy<Value = Input> {
    prop_oneof![
        40 => (0_u8..8, 0_u16..4096, 1_u64..200_000)
            .prop_map(|(priority, rank, time_left)| Input::Offer { priority, rank, time_left }),
        30 => (0_usize..16, any::<bool>())
            .prop_map(|(index, failed)| Input::Complete { index, failed }),
        10 => (0_u64..200).prop_map(|ticket| Input::Cancel { ticket }),
        5 => (0_usize..16, any::<bool>())
            .prop_map(|(index, started)| Input::Downstream { index, started }),
        30 => (0_u64..20_000).prop_map(|micros| Input::Pass { micros }),
        10 => Just(Input::Wake),
        1 => Just(Input::Drain),
    ]
}

fn algorithm() -> impl Strategy<Value = LimitAlgorithm> {
    prop_oneof![
        Just(LimitAlgorithm::Fixed),
        Just(LimitAlgorithm::Aimd),
        Just(LimitAlgorithm::Gradient),
        Just(LimitAlgorithm::QueueDelay),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum CallState {
    Waiting,
    Executing,
    Concluded,
}

struct Driver {
    controller: AdmissionController,
    states: BTreeMap<u64, CallState>,
    now: Timestamp,
    draining: bool,
}

impl Driver {
    fn new(settings: AdmissionSettings) -> Self {
        Self {
            controller: AdmissionController::new(settings, Timestamp::ZERO),
            states: BTreeMap::new(),
            now: Timestamp::ZERO,
            draining: false,
        }
    }

    fn apply(&mut self, input: Input) {
        match input {
            Input::Offer {
                priority,
                rank,
                time_left,
            } => self.offer(priority, rank, time_left),
            Input::Complete { index, failed } => self.complete(index, failed),
            Input::Cancel { ticket } => self.cancel(ticket),
            Input::Downstream { index, started } => self.downstream(index, started),
            Input::Pass { micros } => self.now = self.now + Duration::from_micros(micros),
            Input::Wake => self.wake(),
            Input::Drain => self.drain(),
        }
        self.check();
    }

    fn offer(&mut self, priority: u8, rank: u16, time_left: u64) {
        let ticket = self.states.len() as u64;
        self.states.insert(ticket, CallState::Waiting);
        let priority = Priority::new(priority).expect("in range");
        let call = OfferedCall {
            ticket: CallTicket(ticket),
            key: AdmissionKey::new(priority, Rank::from_number(rank)),
            deadline: self.now + Duration::from_micros(time_left),
            progress: RequestProgress::New,
            admitted_below: AdmissionLevel::OPEN,
        };
        let effects = self.controller.offer(self.now, call);
        self.take(&effects);
        let concluded = self.states[&ticket] == CallState::Concluded;
        assert!(concluded || !self.draining, "no new work while draining");
    }

    /// Returns the ticket of one of the calls in execution.
    fn executing(&self, index: usize) -> Option<CallTicket> {
        let executing: Vec<_> = self
            .states
            .iter()
            .filter(|&(_, &state)| state == CallState::Executing)
            .map(|(&ticket, _)| CallTicket(ticket))
            .collect();
        executing.get(index % executing.len().max(1)).copied()
    }

    fn complete(&mut self, index: usize, failed: bool) {
        let Some(ticket) = self.executing(index) else {
            return;
        };
        self.states.insert(ticket.0, CallState::Concluded);
        let completion = if failed {
            Completion::Failed
        } else {
            Completion::Succeeded
        };
        let effects = self.controller.complete(self.now, ticket, completion);
        self.take(&effects);
    }

    fn cancel(&mut self, ticket: u64) {
        let expected = match self.states.get(&ticket) {
            Some(CallState::Waiting) => Cancellation::RemovedFromQueue,
            Some(CallState::Executing) => Cancellation::AlreadyDispatched,
            Some(CallState::Concluded) | None => Cancellation::NotFound,
        };
        let found = self.controller.cancel(self.now, CallTicket(ticket));
        assert_eq!(found, expected);
        if expected == Cancellation::RemovedFromQueue {
            self.states.insert(ticket, CallState::Concluded);
        }
    }

    fn downstream(&mut self, index: usize, started: bool) {
        let Some(ticket) = self.executing(index) else {
            return;
        };
        if started {
            self.controller.downstream_call_started(self.now, ticket);
        } else {
            self.controller.downstream_call_completed(self.now, ticket);
        }
    }

    fn wake(&mut self) {
        if let Some(wakeup) = self.controller.next_wakeup() {
            self.now = self.now.max(wakeup);
        }
        let effects = self.controller.advance(self.now);
        self.take(&effects);
        let next = self.controller.next_wakeup();
        assert!(next.is_none_or(|wakeup| wakeup > self.now));
    }

    fn drain(&mut self) {
        self.draining = true;
        let effects = self.controller.begin_drain(self.now);
        self.take(&effects);
        assert!(
            !self
                .states
                .values()
                .any(|&state| state == CallState::Waiting)
        );
    }

    /// Checks that each ticket gets exactly one effect, and only while it waits.
    fn take(&mut self, effects: &[AdmissionEffect]) {
        let mut seen = BTreeSet::new();
        for effect in effects {
            let (ticket, state) = match *effect {
                AdmissionEffect::Dispatch(ticket) => (ticket, CallState::Executing),
                AdmissionEffect::Refuse {
                    ticket,
                    retry_after,
                    ..
                } => {
                    assert!(retry_after > Duration::ZERO);
                    (ticket, CallState::Concluded)
                }
            };
            assert!(seen.insert(ticket), "two effects for one ticket");
            assert_eq!(
                self.states.insert(ticket.0, state),
                Some(CallState::Waiting)
            );
        }
    }

    fn check(&self) {
        let load = self.controller.load();
        let count = |wanted| {
            self.states
                .values()
                .filter(|&&state| state == wanted)
                .count()
        };
        assert_eq!(load.in_flight as usize, count(CallState::Executing));
        assert_eq!(load.queued as usize, count(CallState::Waiting));
    }
}

proptest! {
    #[test]
    fn every_ticket_gets_one_effect(
        algorithm in algorithm(),
        queue_capacity in 0_usize..6,
        inputs in prop::collection::vec(input(), 1..300),
    ) {
        let mut driver = Driver::new(AdmissionSettings {
            algorithm,
            initial_limit: 3,
            queue_capacity,
            ..AdmissionSettings::default()
        });
        for input in inputs {
            driver.apply(input);
        }
    }

    #[test]
    fn executions_stay_within_a_fixed_limit(
        limit in 1_u32..6,
        inputs in prop::collection::vec(input(), 1..300),
    ) {
        let mut driver = Driver::new(AdmissionSettings {
            algorithm: LimitAlgorithm::Fixed,
            initial_limit: limit,
            queue_capacity: 4,
            ..AdmissionSettings::default()
        });
        for input in inputs {
            driver.apply(input);
            prop_assert!(driver.controller.load().in_flight <= limit);
        }
    }
}

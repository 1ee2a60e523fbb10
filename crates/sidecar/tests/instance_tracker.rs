//! An acknowledged leaving binds: over schedules of late heartbeats, restarts, store outages and late
//! store writes no instance gets work after its leaving was acknowledged.

use std::collections::HashSet;
use std::time::Duration;

use proptest::prelude::*;
use wharfquay_core::time::Timestamp;
use wharfquay_sidecar::instance::{
    Heartbeat, InstanceId, InstanceStatus, InstanceTracker, ReportedState, TrackerDecision,
};

const INSTANCES: usize = 3;

/// One step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    /// The instance sends a heartbeat that says what holds now.
    Beat(usize),
    /// A heartbeat that was sent earlier arrives now.
    LateBeat(usize),
    /// The instance begins to leave; it says so with a heartbeat, or with a message that it goes.
    Leave { instance: usize, abruptly: bool },
    /// The sidecar's process is killed and started again with an empty memory.
    Restart,
    /// The store answers, or no longer does.
    Store { up: bool },
    /// Time passes and open verifications try again.
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..INSTANCES).prop_map(Step::Beat),
        3 => (0..INSTANCES).prop_map(Step::LateBeat),
        2 => (0..INSTANCES, any::<bool>())
            .prop_map(|(instance, abruptly)| Step::Leave { instance, abruptly }),
        2 => Just(Step::Restart),
        2 => any::<bool>().prop_map(|up| Step::Store { up }),
        4 => (0_u64..2_000).prop_map(Step::Wait),
    ]
}

#[derive(Clone, Debug, Default)]
struct Backend {
    is_leaving: bool,
    sequence: u64,
    /// Sequence of the last heartbeat that said ready.
    last_ready: u64,
}

/// The sidecar with its surroundings.
struct World {
    now: Timestamp,
    tracker: InstanceTracker,
    backends: Vec<Backend>,
    store_is_up: bool,
    durable: HashSet<usize>,
    acknowledged: HashSet<usize>,
    verifying: HashSet<usize>,
    /// The instance at the back end's address; each later one replaces the one before.
    present: usize,
}

fn id(instance: usize) -> InstanceId {
    InstanceId::from(format!("instance-{instance}").as_str())
}

impl World {
    fn new() -> Self {
        Self {
            now: Timestamp::ZERO,
            tracker: InstanceTracker::default(),
            backends: vec![Backend::default(); INSTANCES],
            store_is_up: true,
            durable: HashSet::new(),
            acknowledged: HashSet::new(),
            verifying: HashSet::new(),
            present: 0,
        }
    }

    fn heartbeat(&mut self, instance: usize, state: ReportedState, sequence: u64) {
        let heartbeat = Heartbeat {
            instance: id(instance),
            state,
            sequence,
            slots: 4,
            cold_left: Duration::ZERO,
        };
        let decision = self.tracker.heartbeat(self.now, &heartbeat);
        self.follow(instance, decision, state == ReportedState::Draining);
    }

    fn follow(&mut self, instance: usize, decision: TrackerDecision, says_leaving: bool) {
        match decision {
            TrackerDecision::Verify => {
                self.verifying.insert(instance);
            }
            TrackerDecision::RecordDeparture if self.store_is_up => {
                self.durable.insert(instance);
                self.tracker
                    .mark_departure_recorded(self.now, &id(instance));
                self.acknowledged.insert(instance);
            }
            TrackerDecision::RecordDeparture | TrackerDecision::Refuse => {}
            TrackerDecision::Acknowledge => {
                if says_leaving {
                    self.acknowledged.insert(instance);
                }
            }
        }
    }

    /// As the registry verifies: by the durable marks, or by heartbeats and health.
    fn verify(&mut self) {
        for instance in self.verifying.clone() {
            let id = id(instance);
            if self.tracker.status(&id) == InstanceStatus::Leaving {
                self.verifying.remove(&instance);
            } else if self.store_is_up {
                self.verifying.remove(&instance);
                if self.durable.contains(&instance) {
                    self.tracker.mark_departure_recorded(self.now, &id);
                } else {
                    self.tracker.mark_verified(self.now, &id);
                }
            } else {
                let is_healthy = self.present == instance && !self.backends[instance].is_leaving;
                if self.tracker.is_confirmed(&id) && is_healthy {
                    self.verifying.remove(&instance);
                    self.tracker.mark_verified(self.now, &id);
                }
            }
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Beat(instance) => {
                self.present = self.present.max(instance);
                let backend = &mut self.backends[instance];
                backend.sequence += 1;
                let (sequence, is_leaving) = (backend.sequence, backend.is_leaving);
                if is_leaving {
                    self.heartbeat(instance, ReportedState::Draining, sequence);
                } else {
                    self.backends[instance].last_ready = sequence;
                    self.heartbeat(instance, ReportedState::Ready, sequence);
                }
            }
            Step::LateBeat(instance) => {
                let sequence = self.backends[instance].last_ready;
                self.heartbeat(instance, ReportedState::Ready, sequence);
            }
            Step::Leave { instance, abruptly } => {
                let backend = &mut self.backends[instance];
                backend.is_leaving = true;
                backend.sequence += 1;
                let sequence = backend.sequence;
                if abruptly {
                    let decision = self.tracker.departure(self.now, &id(instance));
                    self.follow(instance, decision, true);
                } else {
                    self.heartbeat(instance, ReportedState::Draining, sequence);
                }
            }
            Step::Restart => {
                self.tracker = InstanceTracker::default();
                self.verifying.clear();
            }
            Step::Store { up } => self.store_is_up = up,
            Step::Wait(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                self.verify();
            }
        }
    }

    fn served(&self) -> Option<usize> {
        (0..INSTANCES).find(|&instance| {
            let id = id(instance);
            self.tracker.current() == Some(&id)
                && self.tracker.status(&id) == InstanceStatus::Serving
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn nothing_goes_to_an_instance_whose_leaving_was_acknowledged(
        schedule in proptest::collection::vec(steps(), 1..60),
    ) {
        let mut world = World::new();
        for step in &schedule {
            world.step(step);
            if let Some(served) = world.served() {
                prop_assert!(
                    !world.acknowledged.contains(&served),
                    "instance {served} gets work after {step:?}"
                );
            }
            for acknowledged in &world.acknowledged {
                prop_assert!(world.durable.contains(acknowledged), "not durable");
            }
        }
    }
}

#[test]
fn a_late_heartbeat_changes_nothing() {
    let mut world = World::new();
    world.step(&Step::Beat(0));
    world.step(&Step::Wait(10));
    assert_eq!(world.served(), Some(0));
    world.step(&Step::Leave {
        instance: 0,
        abruptly: false,
    });
    world.step(&Step::LateBeat(0));
    world.step(&Step::Wait(10));
    assert_eq!(world.served(), None);
    assert!(world.acknowledged.contains(&0));
}

#[test]
fn without_the_store_two_heartbeats_and_health_are_enough_and_one_is_not() {
    let mut world = World::new();
    world.step(&Step::Store { up: false });
    world.step(&Step::Beat(0));
    world.step(&Step::Wait(1_500));
    assert_eq!(world.served(), None);
    world.step(&Step::Beat(0));
    world.step(&Step::Wait(10));
    assert_eq!(world.served(), Some(0));
}

/// The durable marks were asked before the instance said that it leaves, and the answer comes after it.
#[test]
fn a_leaving_that_is_told_during_the_lookup_wins_over_its_answer() {
    let mut tracker = InstanceTracker::default();
    let heartbeat = Heartbeat {
        instance: id(0),
        state: ReportedState::Ready,
        sequence: 1,
        slots: 4,
        cold_left: Duration::ZERO,
    };
    let asked = tracker.heartbeat(Timestamp::ZERO, &heartbeat);
    assert_eq!(asked, TrackerDecision::Verify);
    let left = tracker.departure(Timestamp::ZERO, &id(0));
    assert_eq!(left, TrackerDecision::RecordDeparture);
    assert!(!tracker.mark_verified(Timestamp::ZERO, &id(0)));
    assert_eq!(tracker.status(&id(0)), InstanceStatus::Leaving);
    assert_eq!(tracker.current(), None);
}

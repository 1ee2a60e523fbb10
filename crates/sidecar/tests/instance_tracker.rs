//! No instance receives work after its departure was acknowledged: random schedules of late
//! heartbeats, restarts, store outages and late store writes.

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
    /// The instance sends a heartbeat with its current state.
    Heartbeat(usize),
    /// A heartbeat that was sent earlier arrives now.
    LateHeartbeat(usize),
    /// The instance begins to depart. It announces that with a heartbeat or, if `abruptly`, with a
    /// departure message.
    Leave { instance: usize, abruptly: bool },
    /// The sidecar's process is killed and restarted without its state.
    Restart,
    /// The store becomes available or unavailable.
    Store { up: bool },
    /// Time passes, and pending verifications are retried.
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..INSTANCES).prop_map(Step::Heartbeat),
        3 => (0..INSTANCES).prop_map(Step::LateHeartbeat),
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
    /// Sequence of the last heartbeat with the state ready.
    last_ready: u64,
}

/// The sidecar's tracker with simulated backends and store.
struct Simulation {
    now: Timestamp,
    tracker: InstanceTracker,
    backends: Vec<Backend>,
    store_is_up: bool,
    durable: HashSet<usize>,
    acknowledged: HashSet<usize>,
    verifying: HashSet<usize>,
    /// The instance at the backend's address. Each later one replaces the one before.
    present: usize,
}

fn id(instance: usize) -> InstanceId {
    InstanceId::from(format!("instance-{instance}").as_str())
}

impl Simulation {
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
            warm_up_left: Duration::ZERO,
        };
        let decision = self.tracker.heartbeat(self.now, &heartbeat);
        self.apply_decision(instance, decision, state == ReportedState::Draining);
    }

    fn apply_decision(
        &mut self,
        instance: usize,
        decision: TrackerDecision,
        announces_departure: bool,
    ) {
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
                if announces_departure {
                    self.acknowledged.insert(instance);
                }
            }
        }
    }

    /// Verifies as the registry does: by the departure records, or by heartbeats and health.
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
            Step::Heartbeat(instance) => {
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
            Step::LateHeartbeat(instance) => {
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
                    self.apply_decision(instance, decision, true);
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

    fn serving_instance(&self) -> Option<usize> {
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
    fn an_instance_with_an_acknowledged_departure_gets_no_work(
        schedule in proptest::collection::vec(steps(), 1..60),
    ) {
        let mut simulation = Simulation::new();
        for step in &schedule {
            simulation.step(step);
            if let Some(serving_instance) = simulation.serving_instance() {
                prop_assert!(
                    !simulation.acknowledged.contains(&serving_instance),
                    "instance {serving_instance} receives work after {step:?}"
                );
            }
            for acknowledged in &simulation.acknowledged {
                prop_assert!(simulation.durable.contains(acknowledged), "not durable");
            }
        }
    }
}

#[test]
fn a_late_heartbeat_changes_nothing() {
    let mut simulation = Simulation::new();
    simulation.step(&Step::Heartbeat(0));
    simulation.step(&Step::Wait(10));
    assert_eq!(simulation.serving_instance(), Some(0));
    simulation.step(&Step::Leave {
        instance: 0,
        abruptly: false,
    });
    simulation.step(&Step::LateHeartbeat(0));
    simulation.step(&Step::Wait(10));
    assert_eq!(simulation.serving_instance(), None);
    assert!(simulation.acknowledged.contains(&0));
}

#[test]
fn without_the_store_an_instance_needs_two_heartbeats_and_health() {
    let mut simulation = Simulation::new();
    simulation.step(&Step::Store { up: false });
    simulation.step(&Step::Heartbeat(0));
    simulation.step(&Step::Wait(1_500));
    assert_eq!(simulation.serving_instance(), None);
    simulation.step(&Step::Heartbeat(0));
    simulation.step(&Step::Wait(10));
    assert_eq!(simulation.serving_instance(), Some(0));
}

/// The departure records were queried before the instance announced its departure, and the reply
/// arrives afterwards.
#[test]
fn a_departure_during_the_lookup_overrides_its_reply() {
    let mut tracker = InstanceTracker::default();
    let heartbeat = Heartbeat {
        instance: id(0),
        state: ReportedState::Ready,
        sequence: 1,
        slots: 4,
        warm_up_left: Duration::ZERO,
    };
    let decision = tracker.heartbeat(Timestamp::ZERO, &heartbeat);
    assert_eq!(decision, TrackerDecision::Verify);
    let left = tracker.departure(Timestamp::ZERO, &id(0));
    assert_eq!(left, TrackerDecision::RecordDeparture);
    assert!(!tracker.mark_verified(Timestamp::ZERO, &id(0)));
    assert_eq!(tracker.status(&id(0)), InstanceStatus::Leaving);
    assert_eq!(tracker.current(), None);
}

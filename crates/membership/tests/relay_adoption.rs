//! Adoption never goes back, whatever order, duplication or loss the messages meet.

use std::time::Duration;

use proptest::prelude::*;
use wharfquay_core::time::Timestamp;
use wharfquay_membership::member::MemberId;
use wharfquay_membership::message::{Changes, Delta, Payload, Snapshot};
use wharfquay_membership::relay::{Relay, RelayEffect, StoreReport};
use wharfquay_membership::settings::Settings;

/// One input of the machine under test.
#[derive(Clone, Debug)]
enum Input {
    Changes(Changes),
    Store(StoreReport),
    Heard { peer: u8, revision: u64 },
    Compact,
    Wait(u64),
}

fn payload(revision: u64) -> Payload {
    Payload::from(revision.to_be_bytes().to_vec())
}

fn snapshots() -> impl Strategy<Value = Snapshot> {
    (1u64..30).prop_map(|revision| Snapshot {
        revision,
        payload: payload(revision),
    })
}

fn deltas() -> impl Strategy<Value = Delta> {
    (1u64..30, 1u64..4).prop_map(|(previous, step)| Delta {
        previous,
        revision: previous + step,
        payload: payload(previous + step),
    })
}

fn changes() -> impl Strategy<Value = Changes> {
    (
        proptest::option::of(snapshots()),
        proptest::collection::vec(deltas(), 0..5),
    )
        .prop_map(|(snapshot, deltas)| Changes { snapshot, deltas })
}

fn inputs() -> impl Strategy<Value = Input> {
    prop_oneof![
        4 => changes().prop_map(Input::Changes),
        1 => snapshots().prop_map(|snapshot| Input::Store(StoreReport::Snapshot(snapshot))),
        2 => deltas().prop_map(|delta| Input::Store(StoreReport::Delta(delta))),
        1 => (0u64..30).prop_map(|revision| Input::Store(StoreReport::Revision(revision))),
        2 => (0u8..4, 0u64..30).prop_map(|(peer, revision)| Input::Heard { peer, revision }),
        1 => Just(Input::Compact),
        1 => (0u64..2_000).prop_map(Input::Wait),
    ]
}

/// Follows the effects as a driver does and checks each one.
#[derive(Default)]
struct Driver {
    in_force: u64,
    ready_at: Option<u64>,
}

impl Driver {
    fn follow(&mut self, effects: &[RelayEffect]) -> Result<(), TestCaseError> {
        for effect in effects {
            match effect {
                RelayEffect::AdoptSnapshot(snapshot) => {
                    prop_assert!(snapshot.revision > self.in_force);
                    self.in_force = snapshot.revision;
                }
                RelayEffect::AdoptDelta(delta) => {
                    prop_assert!(delta.revision > self.in_force);
                    prop_assert!(delta.previous <= self.in_force, "a delta left a gap");
                    prop_assert!(self.in_force > 0, "a delta without a configuration");
                    self.in_force = delta.revision;
                }
                RelayEffect::Ready(revision) => {
                    prop_assert!(self.ready_at.is_none(), "ready twice");
                    prop_assert_eq!(*revision, self.in_force);
                    self.ready_at = Some(*revision);
                }
                RelayEffect::StoreOlder { store, held } => prop_assert!(store < held),
                _ => {}
            }
        }
        Ok(())
    }
}

proptest! {
    #[test]
    fn a_revision_in_force_never_goes_back(inputs in proptest::collection::vec(inputs(), 1..80)) {
        let mut now = Timestamp::ZERO;
        let mut relay = Relay::new(&Settings::default(), now);
        let mut driver = Driver::default();
        for input in inputs {
            let peer = MemberId::from("peer");
            let effects = match input {
                Input::Changes(changes) => relay.on_changes(now, &peer, &changes),
                Input::Store(report) => relay.on_store(now, &report),
                Input::Heard { peer, revision } => {
                    let peer = MemberId::from(format!("peer-{peer}").as_str());
                    relay.heard(now, &peer, revision, true)
                }
                Input::Compact => {
                    relay.compacted(driver.in_force, payload(driver.in_force));
                    Vec::new()
                }
                Input::Wait(millis) => {
                    now = now + Duration::from_millis(millis);
                    relay.advance(now)
                }
            };
            driver.follow(&effects)?;
            prop_assert_eq!(relay.revision(), driver.in_force);
        }
    }

    #[test]
    fn what_a_peer_is_sent_brings_it_to_the_same_revision(
        held in 0u64..40,
        first in 1u64..10,
        steps in proptest::collection::vec(1u64..4, 0..20),
    ) {
        let now = Timestamp::ZERO;
        let settings = Settings::default();
        let mut source = Relay::new(&settings, now);
        let peer = MemberId::from("peer");
        let snapshot = Snapshot { revision: first, payload: payload(first) };
        source.on_store(now, &StoreReport::Snapshot(snapshot));
        let mut revision = first;
        for step in steps {
            let delta = Delta { previous: revision, revision: revision + step, payload: payload(revision + step) };
            source.on_store(now, &StoreReport::Delta(delta));
            revision += step;
        }
        let mut receiver = Relay::new(&settings, now);
        if held > 0 {
            let snapshot = Snapshot { revision: held, payload: payload(held) };
            receiver.on_store(now, &StoreReport::Snapshot(snapshot));
        }
        for effect in source.on_pull(&peer, held) {
            if let RelayEffect::Reply(_, changes) = effect {
                receiver.on_changes(now, &peer, &changes);
            }
        }
        prop_assert_eq!(receiver.revision(), revision.max(held));
    }
}

/// One row: what a starting daemon hears, and when it may report ready.
struct ReadinessCase {
    name: &'static str,
    asked: usize,
    /// Revision and readiness that the first peers name.
    answers: &'static [(u64, bool)],
    store: Option<u64>,
    held: u64,
    members_known: bool,
    ready_after_settling: bool,
    ready_after_limit: bool,
}

const READINESS_CASES: &[ReadinessCase] = &[
    ReadinessCase {
        name: "nothing held is never ready",
        asked: 3,
        answers: &[(0, false), (0, false)],
        store: None,
        held: 0,
        members_known: true,
        ready_after_settling: false,
        ready_after_limit: false,
    },
    ReadinessCase {
        name: "a majority of ready peers names the held revision",
        asked: 3,
        answers: &[(7, true), (7, true)],
        store: None,
        held: 7,
        members_known: true,
        ready_after_settling: true,
        ready_after_limit: true,
    },
    ReadinessCase {
        name: "one peer names a newer revision",
        asked: 3,
        answers: &[(7, true), (7, true), (8, true)],
        store: None,
        held: 7,
        members_known: true,
        ready_after_settling: false,
        ready_after_limit: false,
    },
    ReadinessCase {
        name: "an older store does not lower the bar",
        asked: 3,
        answers: &[(8, true), (8, true)],
        store: Some(7),
        held: 7,
        members_known: true,
        ready_after_settling: false,
        ready_after_limit: false,
    },
    ReadinessCase {
        name: "the store names a newer revision than the peers",
        asked: 3,
        answers: &[(7, true), (7, true)],
        store: Some(9),
        held: 7,
        members_known: true,
        ready_after_settling: false,
        ready_after_limit: false,
    },
    ReadinessCase {
        name: "a minority answers: only after the bounded wait",
        asked: 5,
        answers: &[(7, true)],
        store: None,
        held: 7,
        members_known: true,
        ready_after_settling: false,
        ready_after_limit: true,
    },
    ReadinessCase {
        name: "starting peers know nothing without the store",
        asked: 2,
        answers: &[(7, false), (7, false)],
        store: None,
        held: 7,
        members_known: true,
        ready_after_settling: false,
        ready_after_limit: false,
    },
    ReadinessCase {
        name: "starting peers do not count beside those that know, as when a zone returns",
        asked: 5,
        answers: &[(0, false), (0, false), (0, false), (7, true), (7, true)],
        store: None,
        held: 7,
        members_known: true,
        ready_after_settling: true,
        ready_after_limit: true,
    },
    ReadinessCase {
        name: "a minority of those that may know answers",
        asked: 5,
        answers: &[(0, false), (0, false), (7, true)],
        store: None,
        held: 7,
        members_known: true,
        ready_after_settling: false,
        ready_after_limit: true,
    },
    ReadinessCase {
        name: "starting peers and the store, as at a cold start of everything",
        asked: 2,
        answers: &[(0, false), (7, false)],
        store: Some(7),
        held: 7,
        members_known: true,
        ready_after_settling: true,
        ready_after_limit: true,
    },
    ReadinessCase {
        name: "the first peers are no fair sample while the members are unknown",
        asked: 1,
        answers: &[(7, true)],
        store: None,
        held: 7,
        members_known: false,
        ready_after_settling: false,
        ready_after_limit: true,
    },
    ReadinessCase {
        name: "a daemon alone with the store",
        asked: 0,
        answers: &[],
        store: Some(3),
        held: 3,
        members_known: true,
        ready_after_settling: true,
        ready_after_limit: true,
    },
];

#[test]
fn a_starting_daemon_is_ready_by_the_rule() {
    let settings = Settings::default();
    for case in READINESS_CASES {
        let start = Timestamp::ZERO;
        let mut relay = Relay::new(&settings, start);
        if case.held > 0 {
            let snapshot = Snapshot {
                revision: case.held,
                payload: payload(case.held),
            };
            relay.on_changes(
                start,
                &MemberId::from("source"),
                &Changes {
                    snapshot: Some(snapshot),
                    deltas: Vec::new(),
                },
            );
        }
        let readiness = relay.readiness_mut();
        if case.members_known {
            readiness.members_known();
        }
        for peer in 0..case.asked {
            readiness.asked(MemberId::from(format!("peer-{peer}").as_str()));
        }
        for (peer, (revision, ready)) in case.answers.iter().enumerate() {
            let peer = MemberId::from(format!("peer-{peer}").as_str());
            readiness.answered(&peer, *revision, *ready);
        }
        if let Some(store) = case.store {
            readiness.store_answered(store);
        }
        assert!(
            relay.advance(start).is_empty(),
            "{}: ready before it listened",
            case.name
        );
        relay.advance(start + settings.settle_time);
        assert_eq!(
            relay.is_ready(),
            case.ready_after_settling,
            "{}: settled",
            case.name
        );
        relay.advance(start + settings.readiness_limit);
        assert_eq!(
            relay.is_ready(),
            case.ready_after_limit,
            "{}: at the limit",
            case.name
        );
    }
}

#[test]
fn a_store_that_went_back_is_ignored_until_a_newer_snapshot() {
    let now = Timestamp::ZERO;
    let mut relay = Relay::new(&Settings::default(), now);
    let snapshot = |revision| {
        StoreReport::Snapshot(Snapshot {
            revision,
            payload: payload(revision),
        })
    };
    let delta = |previous, revision| {
        StoreReport::Delta(Delta {
            previous,
            revision,
            payload: payload(revision),
        })
    };
    relay.on_store(now, &snapshot(9));
    let older = relay.on_store(now, &snapshot(4));
    assert_eq!(older, [RelayEffect::StoreOlder { store: 4, held: 9 }]);
    let diverged = relay.on_store(now, &delta(9, 10));
    assert_eq!(diverged, [RelayEffect::ReadSnapshot]);
    assert_eq!(relay.revision(), 9);
    relay.on_store(now, &snapshot(10));
    assert_eq!(relay.revision(), 10);
    relay.on_store(now, &delta(10, 11));
    assert_eq!(relay.revision(), 11);
}

#[test]
fn changes_that_leave_a_gap_start_one_pull() {
    let now = Timestamp::ZERO;
    let pushed = Changes {
        snapshot: None,
        deltas: vec![Delta {
            previous: 8,
            revision: 9,
            payload: payload(9),
        }],
    };
    for held in [0, 3] {
        let mut relay = Relay::new(&Settings::default(), now);
        if held > 0 {
            let snapshot = Snapshot {
                revision: held,
                payload: payload(held),
            };
            relay.on_store(now, &StoreReport::Snapshot(snapshot));
        }
        let mut pulls = 0;
        for peer in 0..5 {
            let peer = MemberId::from(format!("peer-{peer}").as_str());
            let effects = relay.on_changes(now, &peer, &pushed);
            let is_pull = |effect: &&RelayEffect| matches!(effect, RelayEffect::Pull(_));
            pulls += effects.iter().filter(is_pull).count();
        }
        // Without a configuration the source is chosen among the peers that answer.
        assert_eq!(pulls, usize::from(held > 0), "held {held}");
    }
}

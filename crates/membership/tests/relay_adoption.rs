//! The adopted revision never decreases, even if messages are reordered, duplicated or lost.

use std::time::Duration;

use proptest::prelude::*;
use wharfquay_core::time::Timestamp;
use wharfquay_membership::member::MemberId;
use wharfquay_membership::message::{Changes, Delta, Payload, Snapshot};
use wharfquay_membership::relay::{Relay, RelayEffect, StoreReport};
use wharfquay_membership::settings::Settings;

/// One input of the state machine under test.
#[derive(Clone, Debug)]
enum Input {
    Changes(Changes),
    Store(StoreReport),
    Header { peer: u8, revision: u64 },
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
        2 => (0u8..4, 0u64..30).prop_map(|(peer, revision)| Input::Header { peer, revision }),
        1 => Just(Input::Compact),
        1 => (0u64..2_000).prop_map(Input::Wait),
    ]
}

/// Applies the effects as a driver does and checks each one.
#[derive(Default)]
struct DriverModel {
    in_force: u64,
    ready_at: Option<u64>,
}

impl DriverModel {
    fn apply(&mut self, effects: &[RelayEffect]) -> Result<(), TestCaseError> {
        for effect in effects {
            match effect {
                RelayEffect::AdoptSnapshot(snapshot) => {
                    prop_assert!(snapshot.revision > self.in_force);
                    self.in_force = snapshot.revision;
                }
                RelayEffect::AdoptDelta(delta) => {
                    prop_assert!(delta.revision > self.in_force);
                    prop_assert!(
                        delta.previous <= self.in_force,
                        "adopted a delta across a gap"
                    );
                    prop_assert!(self.in_force > 0, "adopted a delta without a configuration");
                    self.in_force = delta.revision;
                }
                RelayEffect::Ready(revision) => {
                    prop_assert!(self.ready_at.is_none(), "became ready twice");
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
    fn revision_in_force_never_decreases(inputs in proptest::collection::vec(inputs(), 1..80)) {
        let mut now = Timestamp::ZERO;
        let mut relay = Relay::new(&Settings::default(), now);
        let mut driver = DriverModel::default();
        for input in inputs {
            let peer = MemberId::from("peer");
            let effects = match input {
                Input::Changes(changes) => relay.on_changes(now, &peer, &changes),
                Input::Store(report) => relay.on_store(now, &report),
                Input::Header { peer, revision } => {
                    let peer = MemberId::from(format!("peer-{peer}").as_str());
                    relay.on_header(now, &peer, revision, true)
                }
                Input::Compact => {
                    relay.provide_snapshot(driver.in_force, payload(driver.in_force));
                    Vec::new()
                }
                Input::Wait(millis) => {
                    now = now + Duration::from_millis(millis);
                    relay.advance(now)
                }
            };
            driver.apply(&effects)?;
            prop_assert_eq!(relay.revision(), driver.in_force);
        }
    }

    #[test]
    fn reply_to_a_pull_brings_the_peer_to_the_same_revision(
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

/// A test case: what a starting daemon receives, and when it may become ready.
struct ReadinessCase {
    name: &'static str,
    queried: usize,
    /// Revision and readiness reported by the first of the queried peers, in order.
    replies: &'static [(u64, bool)],
    store: Option<u64>,
    held: u64,
    members_known: bool,
    ready_after_min_wait: bool,
    ready_after_max_wait: bool,
}

const READINESS_CASES: &[ReadinessCase] = &[
    ReadinessCase {
        name: "a daemon without a configuration is never ready",
        queried: 3,
        replies: &[(0, false), (0, false)],
        store: None,
        held: 0,
        members_known: true,
        ready_after_min_wait: false,
        ready_after_max_wait: false,
    },
    ReadinessCase {
        name: "a majority of ready peers reports the held revision",
        queried: 3,
        replies: &[(7, true), (7, true)],
        store: None,
        held: 7,
        members_known: true,
        ready_after_min_wait: true,
        ready_after_max_wait: true,
    },
    ReadinessCase {
        name: "one peer reports a newer revision",
        queried: 3,
        replies: &[(7, true), (7, true), (8, true)],
        store: None,
        held: 7,
        members_known: true,
        ready_after_min_wait: false,
        ready_after_max_wait: false,
    },
    ReadinessCase {
        name: "an older store revision does not lower the required revision",
        queried: 3,
        replies: &[(8, true), (8, true)],
        store: Some(7),
        held: 7,
        members_known: true,
        ready_after_min_wait: false,
        ready_after_max_wait: false,
    },
    ReadinessCase {
        name: "the store reports a newer revision than the peers",
        queried: 3,
        replies: &[(7, true), (7, true)],
        store: Some(9),
        held: 7,
        members_known: true,
        ready_after_min_wait: false,
        ready_after_max_wait: false,
    },
    ReadinessCase {
        name: "a minority replies: ready only after the maximum wait",
        queried: 5,
        replies: &[(7, true)],
        store: None,
        held: 7,
        members_known: true,
        ready_after_min_wait: false,
        ready_after_max_wait: true,
    },
    ReadinessCase {
        name: "replies of starting peers are uninformed without the store",
        queried: 2,
        replies: &[(7, false), (7, false)],
        store: None,
        held: 7,
        members_known: true,
        ready_after_min_wait: false,
        ready_after_max_wait: false,
    },
    ReadinessCase {
        name: "starting peers do not count beside informed ones, as when a zone restarts",
        queried: 5,
        replies: &[(0, false), (0, false), (0, false), (7, true), (7, true)],
        store: None,
        held: 7,
        members_known: true,
        ready_after_min_wait: true,
        ready_after_max_wait: true,
    },
    ReadinessCase {
        name: "a minority of the possibly informed peers replies",
        queried: 5,
        replies: &[(0, false), (0, false), (7, true)],
        store: None,
        held: 7,
        members_known: true,
        ready_after_min_wait: false,
        ready_after_max_wait: true,
    },
    ReadinessCase {
        name: "starting peers and the store, as at a cold start of the whole deployment",
        queried: 2,
        replies: &[(0, false), (7, false)],
        store: Some(7),
        held: 7,
        members_known: true,
        ready_after_min_wait: true,
        ready_after_max_wait: true,
    },
    ReadinessCase {
        name: "the first peers are not representative while the members are unknown",
        queried: 1,
        replies: &[(7, true)],
        store: None,
        held: 7,
        members_known: false,
        ready_after_min_wait: false,
        ready_after_max_wait: true,
    },
    ReadinessCase {
        name: "a single daemon with the store",
        queried: 0,
        replies: &[],
        store: Some(3),
        held: 3,
        members_known: true,
        ready_after_min_wait: true,
        ready_after_max_wait: true,
    },
];

#[test]
fn starting_daemon_becomes_ready_as_specified() {
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
            readiness.record_members_known();
        }
        for peer in 0..case.queried {
            readiness.record_query(MemberId::from(format!("peer-{peer}").as_str()));
        }
        for (peer, (revision, ready)) in case.replies.iter().enumerate() {
            let peer = MemberId::from(format!("peer-{peer}").as_str());
            readiness.record_reply(&peer, *revision, *ready);
        }
        if let Some(store) = case.store {
            readiness.record_store_revision(store);
        }
        assert!(
            relay.advance(start).is_empty(),
            "{}: ready before the minimum wait",
            case.name
        );
        relay.advance(start + settings.min_readiness_wait);
        assert_eq!(
            relay.is_ready(),
            case.ready_after_min_wait,
            "{}: after the minimum wait",
            case.name
        );
        relay.advance(start + settings.max_readiness_wait);
        assert_eq!(
            relay.is_ready(),
            case.ready_after_max_wait,
            "{}: after the maximum wait",
            case.name
        );
    }
}

#[test]
fn store_with_a_lower_revision_is_ignored_until_a_newer_snapshot() {
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
    let after_regression = relay.on_store(now, &delta(9, 10));
    assert_eq!(after_regression, [RelayEffect::ReadSnapshot]);
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
            let is_pull_effect = |effect: &&RelayEffect| matches!(effect, RelayEffect::Pull(_));
            pulls += effects.iter().filter(is_pull_effect).count();
        }
        // Without a configuration the source is selected among the peers that reply.
        assert_eq!(pulls, usize::from(held > 0), "held {held}");
    }
}

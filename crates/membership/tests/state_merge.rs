//! Merging the states of one member gives the same result in any order.

use proptest::prelude::*;
use wharfquay_membership::member::{Incarnation, Liveness, VersionedState};

fn states() -> impl Strategy<Value = VersionedState> {
    let liveness = prop_oneof![
        Just(Liveness::Alive),
        Just(Liveness::Suspect),
        Just(Liveness::Dead)
    ];
    (0u64..3, 0u8..3, liveness, any::<bool>()).prop_map(
        |(start, refutations, liveness, leaving)| {
            let started = Incarnation::started_at(start);
            let incarnation =
                (0..refutations).fold(started, |incarnation, _| incarnation.refuted());
            VersionedState {
                incarnation,
                liveness,
                leaving,
            }
        },
    )
}

proptest! {
    #[test]
    fn merge_is_commutative(one in states(), other in states()) {
        prop_assert_eq!(one.merge(other), other.merge(one));
    }

    #[test]
    fn merge_is_associative(one in states(), two in states(), three in states()) {
        prop_assert_eq!(one.merge(two).merge(three), one.merge(two.merge(three)));
    }

    #[test]
    fn merge_is_idempotent(one in states(), other in states()) {
        let merged = one.merge(other);
        prop_assert_eq!(merged.merge(one), merged);
        prop_assert_eq!(merged.merge(merged), merged);
    }

    #[test]
    fn leaving_flag_is_kept_within_the_same_process(
        one in states(),
        other in states(),
    ) {
        let leaving_state = VersionedState { leaving: true, ..one };
        let merged = leaving_state.merge(other);
        let later_process = other.incarnation.process() > one.incarnation.process();
        prop_assert!(merged.leaving || later_process);
    }
}

//! Reports about one member merge to the same record in any order.

use proptest::prelude::*;
use wharfquay_membership::member::{Claim, Incarnation, Liveness};

fn claims() -> impl Strategy<Value = Claim> {
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
            Claim {
                incarnation,
                liveness,
                leaving,
            }
        },
    )
}

proptest! {
    #[test]
    fn merge_is_commutative(one in claims(), other in claims()) {
        prop_assert_eq!(one.merge(other), other.merge(one));
    }

    #[test]
    fn merge_is_associative(one in claims(), two in claims(), three in claims()) {
        prop_assert_eq!(one.merge(two).merge(three), one.merge(two.merge(three)));
    }

    #[test]
    fn merge_is_idempotent(one in claims(), other in claims()) {
        let merged = one.merge(other);
        prop_assert_eq!(merged.merge(one), merged);
        prop_assert_eq!(merged.merge(merged), merged);
    }

    #[test]
    fn a_leaving_mark_outlives_every_report_about_the_same_process(
        one in claims(),
        other in claims(),
    ) {
        let marked = Claim { leaving: true, ..one };
        let merged = marked.merge(other);
        let later_process = other.incarnation.process() > one.incarnation.process();
        prop_assert!(merged.leaving || later_process);
    }
}

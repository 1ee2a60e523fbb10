//! Invariants of the claim protocol under arbitrary schedules and faults.

mod idempotency_support;

use idempotency_support::{Action, CallState, Deployment, EDGES, POOL, SKEW_MILLIS, ZONES};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const KEYS: usize = 3;
const SEED: u64 = 0x00c1_a115;

fn message_actions() -> impl Strategy<Value = Action> {
    prop_oneof![
        10 => any::<usize>().prop_map(Action::Deliver),
        8 => (1_usize..20).prop_map(Action::DeliverOldest),
        1 => any::<usize>().prop_map(Action::Lose),
        1 => any::<usize>().prop_map(Action::Duplicate),
    ]
}

fn request_actions() -> impl Strategy<Value = Action> {
    let call = (
        0..EDGES,
        0..KEYS,
        prop_oneof![9 => Just(0_u8), 1 => Just(1_u8)],
    );
    let completion = (any::<usize>(), 0_u8..4);
    prop_oneof![
        5 => call.prop_map(|(edge, key, variant)| Action::Call { edge, key, variant }),
        2 => completion.prop_map(|(dispatch, outcome)| Action::Complete { dispatch, outcome }),
        3 => (1_u64..60).prop_map(Action::Advance),
        1 => (100_u64..2_000).prop_map(Action::Advance),
    ]
}

fn clock_offset() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(SKEW_MILLIS), 0..=SKEW_MILLIS]
}

fn fault_actions() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (0..POOL, clock_offset())
            .prop_map(|(replica, offset)| Action::RestartReplica { replica, offset }),
        1 => (0..EDGES).prop_map(Action::RestartEdge),
        1 => (0..POOL).prop_map(Action::PauseReplica),
        2 => (0..POOL).prop_map(Action::ResumeReplica),
        1 => (0..EDGES).prop_map(Action::PauseEdge),
        2 => (0..EDGES).prop_map(Action::ResumeEdge),
        2 => (0..ZONES, 0..ZONES).prop_map(|(first, second)| Action::PartitionZones(first, second)),
        2 => Just(Action::EndPartitions),
        1 => (0..POOL, clock_offset())
            .prop_map(|(replica, offset)| Action::SetReplicaClock { replica, offset }),
        1 => (0..EDGES, clock_offset())
            .prop_map(|(edge, offset)| Action::SetEdgeClock { edge, offset }),
    ]
}

fn epoch_actions() -> impl Strategy<Value = Action> {
    prop_oneof![
        1 => (0..POOL, 0_usize..4).prop_map(|(first, size)| Action::ReplaceGroup { first, size }),
        4 => (0..POOL).prop_map(Action::ConfigureReplica),
        2 => (0..EDGES).prop_map(Action::ConfigureEdge),
    ]
}

fn schedule(epoch_changes: bool) -> impl Strategy<Value = Vec<Action>> {
    let epoch_weight = u32::from(epoch_changes) * 2;
    let action = prop_oneof![
        12 => message_actions(),
        6 => request_actions(),
        2 => fault_actions(),
        epoch_weight => epoch_actions(),
    ];
    prop::collection::vec(action, 1..250)
}

fn config(cases: u32) -> Config {
    let cases = std::env::var("WHARFQUAY_CLAIM_CASES")
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(cases);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(1_000))]

    /// No schedule leads to two effects, a false "not run" or the response of another request.
    #[test]
    fn invariants_hold_in_one_group(
        seed in any::<u64>(),
        members in prop_oneof![Just(1_usize), Just(3), Just(5)],
        actions in schedule(false),
    ) {
        let mut deployment = Deployment::new(seed, members);
        actions.iter().for_each(|action| deployment.apply(action));
    }

    /// The same while the group is replaced repeatedly.
    #[test]
    fn invariants_hold_over_epoch_changes(seed in any::<u64>(), actions in schedule(true)) {
        let mut deployment = Deployment::new(seed, 3);
        actions.iter().for_each(|action| deployment.apply(action));
    }
}

proptest! {
    #![proptest_config(config(200))]

    /// After any history, once faults have ended, a new key is dispatched and its repeat is
    /// replayed from the record.
    #[test]
    fn serves_a_fresh_key_after_any_history(seed in any::<u64>(), actions in schedule(false)) {
        let mut deployment = Deployment::new(seed, 3);
        actions.iter().for_each(|action| deployment.apply(action));
        deployment.end_faults();
        deployment.create_key(KEYS);
        let first = deployment.call(0, KEYS, 0);
        deployment.run_without_faults(200);
        prop_assert_eq!(deployment.state(first), &CallState::Dispatched);
        deployment.complete_all(2);
        let repeat = deployment.call(1, KEYS, 0);
        deployment.run_without_faults(500);
        prop_assert!(matches!(deployment.state(repeat), CallState::Replayed(_)));
    }
}

//! The retry limit of whole call trees.

#[path = "retry_support/call_tree.rs"]
mod call_tree;

use call_tree::{CallTree, TreeReport, TreeSettings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wharfquay_core::retry::AllowanceSplit;

const SEED: u64 = 40;
const RANDOM_TREES: u64 = 10_000;

fn split() -> impl Strategy<Value = AllowanceSplit> {
    prop::sample::select(&AllowanceSplit::ALL[..])
}

prop_compose! {
    fn tree()(
        allowance in 0..12_u16,
        split in split(),
        depth in 0..8_usize,
        fan_out in 1..3_usize,
        refused in 0..60_u32,
        lost in 0..60_u32,
        duplicated in 0..60_u32,
        crashed in 0..10_u32,
        timed_out in 0..30_u32,
    ) -> TreeSettings {
        TreeSettings { allowance, split, depth, fan_out, refused, lost, duplicated, crashed, timed_out }
    }
}

fn check(settings: TreeSettings, seed: u64) -> TreeReport {
    let allowance = usize::from(settings.allowance);
    let shown = format!("seed {seed}, {settings:?}");
    let report = CallTree::new(settings, Pcg64Mcg::seed_from_u64(seed)).run();
    assert!(report.retries <= allowance, "{shown}: {report:?}");
    assert!(report.most_units <= allowance, "{shown}: {report:?}");
    report
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_tree_never_exceeds_its_allowance(settings in tree(), seed in any::<u64>()) {
        check(settings, seed);
    }
}

#[test]
fn ten_thousand_random_trees_stay_within_their_allowance() {
    let mut retries = 0;
    let mut exhausted = 0;
    for seed in 0..RANDOM_TREES {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ SEED);
        let settings = random_settings(&mut rng);
        let allowance = usize::from(settings.allowance);
        let report = check(settings, seed);
        retries += report.retries;
        exhausted += usize::from(allowance > 0 && report.retries == allowance);
    }
    println!("{RANDOM_TREES} trees: {retries} retries, {exhausted} spent their whole allowance");
    assert!(
        exhausted > 1_000,
        "too few trees reach the bound: {exhausted}"
    );
}

fn random_settings(rng: &mut Pcg64Mcg) -> TreeSettings {
    TreeSettings {
        allowance: rng.random_range(0..8),
        split: AllowanceSplit::ALL[rng.random_range(0..AllowanceSplit::ALL.len())],
        depth: rng.random_range(1..7),
        fan_out: rng.random_range(1..4),
        refused: rng.random_range(0..60),
        lost: rng.random_range(0..25),
        duplicated: rng.random_range(0..50),
        crashed: rng.random_range(0..3),
        timed_out: rng.random_range(0..6),
    }
}

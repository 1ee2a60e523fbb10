//! The conserved allowance under every order of grants, responses and losses.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wharfquay_core::call::RetryAllowance;
use wharfquay_core::retry::{AllowanceSplit, Grant, Ledger, Settlement};

#[derive(Clone, Debug)]
enum Step {
    Grant(usize),
    Settle { grant: usize, returned: u16 },
    Lose(usize),
    Spend,
    Close,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..5_usize).prop_map(Step::Grant),
        4 => (0..20_usize, 0..20_u16).prop_map(|(grant, returned)| Step::Settle { grant, returned }),
        2 => (0..20_usize).prop_map(Step::Lose),
        4 => Just(Step::Spend),
        1 => Just(Step::Close),
    ]
}

fn split() -> impl Strategy<Value = AllowanceSplit> {
    prop::sample::select(&AllowanceSplit::ALL[..])
}

fn assert_conserved(ledger: &Ledger) {
    let parts = [
        ledger.spent(),
        ledger.outstanding(),
        ledger.remaining(),
        ledger.returned(),
    ];
    let sum: u16 = parts.iter().map(|part| part.count()).sum();
    assert_eq!(sum, ledger.initial().count(), "{ledger:?}");
}

const SEED: u64 = 4;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_unit_is_accounted_for(
        initial in 0..64_u16,
        split in split(),
        steps in prop::collection::vec(step(), 0..60),
    ) {
        let mut ledger = Ledger::with_split(RetryAllowance::new(initial), split);
        let mut grants: Vec<(Grant, bool)> = Vec::new();
        let mut closed = false;
        for step in steps {
            match step {
                Step::Grant(children) => grants.push((ledger.grant(children), !closed)),
                Step::Settle { grant, returned } if grant < grants.len() => {
                    let (open_grant, open) = grants[grant];
                    let settlement = ledger.settle(open_grant, RetryAllowance::new(returned));
                    let expected = returned.min(open_grant.allowance().count());
                    let expected = match open {
                        true => Settlement::Settled(RetryAllowance::new(expected)),
                        false => Settlement::Ignored,
                    };
                    prop_assert_eq!(settlement, expected);
                    grants[grant].1 = false;
                }
                Step::Lose(grant) if grant < grants.len() => {
                    ledger.settle_lost(grants[grant].0);
                    grants[grant].1 = false;
                }
                Step::Settle { .. } | Step::Lose(_) => {}
                Step::Spend => {
                    let before = ledger.remaining().count();
                    prop_assert_eq!(ledger.try_spend_retry(), before > 0);
                }
                Step::Close => {
                    ledger.close();
                    closed = true;
                    grants.iter_mut().for_each(|grant| grant.1 = false);
                }
            }
            assert_conserved(&ledger);
        }
    }
}

#[test]
fn splits_divide_as_described() {
    // Allowance, concurrent children, their grants in order.
    let cases: [(AllowanceSplit, u16, usize, &[u16]); 18] = [
        (AllowanceSplit::FirstRequester, 3, 3, &[3, 0, 0]),
        (AllowanceSplit::FirstRequester, 0, 2, &[0, 0]),
        (AllowanceSplit::Half, 8, 3, &[4, 2, 1]),
        (AllowanceSplit::Half, 3, 3, &[2, 1, 0]),
        (AllowanceSplit::FairShare, 3, 3, &[1, 1, 1]),
        (AllowanceSplit::FairShare, 3, 2, &[2, 1]),
        (AllowanceSplit::FairShare, 8, 3, &[3, 3, 2]),
        (AllowanceSplit::FairShare, 1, 3, &[1, 0, 0]),
        (AllowanceSplit::FairShare, 5, 1, &[5]),
        (AllowanceSplit::FairShareWithCaller, 5, 1, &[3]),
        (AllowanceSplit::FairShareWithCaller, 3, 2, &[1, 1]),
        (AllowanceSplit::FairShareWithCaller, 1, 1, &[1]),
        (AllowanceSplit::FairShareWithReserve, 5, 1, &[4]),
        (AllowanceSplit::FairShareWithReserve, 3, 2, &[1, 1]),
        (
            AllowanceSplit::FairShareWithReserve,
            3,
            6,
            &[1, 1, 1, 0, 0, 0],
        ),
        (AllowanceSplit::FairShareWithReserve, 8, 2, &[4, 3]),
        (AllowanceSplit::FairShareWithReserve, 2, 1, &[2]),
        (AllowanceSplit::FairShareWithReserve, 1, 1, &[1]),
    ];
    for (split, allowance, children, expected) in cases {
        let mut ledger = Ledger::with_split(RetryAllowance::new(allowance), split);
        let shares: Vec<u16> = (0..children)
            .map(|granted| ledger.grant(children - granted).allowance().count())
            .collect();
        assert_eq!(shares, expected, "{split:?} of {allowance}");
    }
}

#[test]
fn late_and_duplicated_responses_change_nothing() {
    let mut ledger = Ledger::with_split(RetryAllowance::new(4), AllowanceSplit::FairShare);
    let lost = ledger.grant(2);
    let responded = ledger.grant(1);
    ledger.settle_lost(lost);
    assert_eq!(ledger.settle(lost, lost.allowance()), Settlement::Ignored);
    let result = ledger.settle(responded, RetryAllowance::new(u16::MAX));
    assert_eq!(result, Settlement::Settled(RetryAllowance::new(2)));
    assert_eq!(
        ledger.settle(responded, responded.allowance()),
        Settlement::Ignored
    );
    assert_eq!(ledger.remaining(), RetryAllowance::new(2));
    assert_eq!(ledger.spent(), RetryAllowance::new(2));
}

#[test]
fn a_closed_ledger_grants_nothing() {
    let mut ledger = Ledger::new(RetryAllowance::new(4));
    let outstanding = ledger.grant(2);
    assert_eq!(ledger.close(), RetryAllowance::new(2));
    assert!(!ledger.try_spend_retry());
    assert_eq!(ledger.grant(1).allowance(), RetryAllowance::NONE);
    assert_eq!(
        ledger.settle(outstanding, outstanding.allowance()),
        Settlement::Ignored
    );
    assert_eq!(ledger.close(), RetryAllowance::NONE);
}

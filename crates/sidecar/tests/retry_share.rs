//! The repeats of all sidecars together stay within the deployment's bound, for any number of
//! sidecars and any spread of requests over them and over time.

use std::time::Duration;

use proptest::prelude::*;
use wharfquay_core::retry::DestinationBudget;
use wharfquay_core::time::Timestamp;
use wharfquay_sidecar::outbound::routing::retry_share;
use wharfquay_sidecar::settings::RetryBounds;

/// Hops of a chain at whose end repeats add up.
const HOPS: f64 = 5.0;
const STEP: Duration = Duration::from_millis(100);

/// What one sidecar does in one step: requests that succeed, and repeats that it would like to send.
type Activity = (u8, u8);

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn repeats_stay_within_the_bound_in_every_window(
        sidecars in 1_usize..60,
        activity in proptest::collection::vec((0_u8..6, 0_u8..6), 50..400),
        shift in 0_usize..1_000,
    ) {
        let bounds = RetryBounds::default();
        let mut budgets: Vec<DestinationBudget> = (0..sidecars)
            .map(|_| DestinationBudget::with_settings(retry_share(&bounds, sidecars), Timestamp::ZERO))
            .collect();
        let mut history: Vec<(f64, f64)> = Vec::new();
        let mut now = Timestamp::ZERO;
        for step in 0..activity.len() {
            now = now + STEP;
            let (mut requests, mut repeats) = (0.0, 0.0);
            for (number, budget) in budgets.iter_mut().enumerate() {
                let (successes, wanted): Activity =
                    activity[(step + number * shift) % activity.len()];
                for _ in 0..successes {
                    budget.record_success(now);
                    requests += 1.0;
                }
                for _ in 0..wanted {
                    repeats += f64::from(u8::from(budget.try_withdraw(now)));
                }
            }
            history.push((requests, repeats));
        }
        let window = (bounds.window.as_millis() / STEP.as_millis()) as usize;
        for end in 0..history.len() {
            let start = (end + 1).saturating_sub(window);
            let before = start.saturating_sub(window);
            let sum = |part: &[(f64, f64)], pick: fn(&(f64, f64)) -> f64| -> f64 {
                part.iter().map(pick).sum()
            };
            let repeats = sum(&history[start..=end], |step| step.1);
            let current = sum(&history[start..=end], |step| step.0);
            let earlier = sum(&history[before..start], |step| step.0);
            let allowed = bounds.ratio / HOPS * current.max(earlier) + bounds.extra;
            // Where the extra does not give each sidecar one retry, each may still have saved up one.
            let saved = (sidecars as f64 - bounds.extra).max(0.0);
            prop_assert!(
                repeats <= allowed + saved + 1.0,
                "{repeats} repeats of {current} and {earlier} requests"
            );
        }
    }
}

/// After a long time without a failure, what all sidecars have saved up is spent at once.
#[test]
fn what_all_sidecars_have_saved_up_stays_within_the_extra() {
    const SUCCESSES: usize = 5_000;
    let bounds = RetryBounds::default();
    for sidecars in [1, 2, 12, 17, 50, 100, 300] {
        let share = retry_share(&bounds, sidecars);
        let mut spent = 0;
        for _ in 0..sidecars {
            let mut budget = DestinationBudget::with_settings(share, Timestamp::ZERO);
            for _ in 0..SUCCESSES {
                budget.record_success(Timestamp::ZERO);
            }
            while budget.try_withdraw(Timestamp::ZERO) {
                spent += 1;
            }
        }
        // Where the extra does not give each sidecar one retry, each may still have saved up one.
        let allowed = (bounds.extra as usize).max(sidecars);
        assert!(spent <= allowed, "{spent} retries of {sidecars} sidecars");
    }
}

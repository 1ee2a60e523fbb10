//! The budget of a destination and the delays before retries.

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::retry::{Backoff, BudgetSettings, DestinationBudget};
use wharfquay_core::time::Timestamp;

const SEED: u64 = 7;

fn withdrawals(budget: &mut DestinationBudget, now: Timestamp) -> u32 {
    let mut count = 0;
    while budget.try_withdraw(now) {
        count += 1;
    }
    count
}

#[test]
fn retries_follow_successes_within_floor_and_capacity() {
    // Ratio, floor per second, capacity, successes, seconds, retries paid.
    let cases = [
        (0.1, 0.0, 100, 0, 10, 0),
        (0.1, 0.0, 100, 9, 10, 0),
        (0.1, 0.0, 100, 10, 10, 1),
        (0.1, 0.0, 100, 305, 10, 30),
        (0.1, 0.0, 5, 1_000, 10, 5),
        (0.0, 2.0, 100, 1_000, 3, 8),
        (0.1, 1.0, 100, 100, 0, 11),
        (0.1, 1.0, 0, 100, 10, 0),
        (7.0, 0.0, 100, 10, 1, 10),
        (-1.0, -1.0, 100, 10, 1, 0),
        (f64::NAN, f64::NAN, 100, 10, 1, 0),
    ];
    for (ratio, floor_per_second, capacity, successes, seconds, expected) in cases {
        let settings = BudgetSettings {
            ratio,
            floor_per_second,
            capacity,
        };
        let mut budget = DestinationBudget::with_settings(settings, Timestamp::ZERO);
        let now = Timestamp::ZERO + Duration::from_secs(seconds);
        (0..successes).for_each(|_| budget.record_success(now));
        let case = format!("{settings:?}, {successes} successes in {seconds} s");
        assert_eq!(withdrawals(&mut budget, now), expected, "{case}");
    }
}

#[test]
fn frequent_withdrawals_lose_nothing_of_the_floor() {
    let settings = BudgetSettings {
        ratio: 0.0,
        floor_per_second: 0.1,
        capacity: 10,
    };
    let mut budget = DestinationBudget::with_settings(settings, Timestamp::ZERO);
    let mut paid = 0;
    for micros in (0..50_000_000).step_by(7) {
        paid += u32::from(budget.try_withdraw(Timestamp::from_micros(micros)));
    }
    assert!(
        (4..=5).contains(&paid),
        "{paid} retries in 50 s at a floor of 0.1 per second"
    );
}

#[test]
fn changed_settings_keep_accumulated_tokens() {
    let mut budget = DestinationBudget::new(0.5, Timestamp::ZERO);
    (0..20).for_each(|_| budget.record_success(Timestamp::ZERO));
    let smaller = BudgetSettings {
        ratio: 0.5,
        floor_per_second: 1.0,
        capacity: 4,
    };
    budget.reconfigure(smaller, Timestamp::ZERO);
    assert_eq!(withdrawals(&mut budget, Timestamp::ZERO), 4);
}

#[test]
fn delays_are_spread_below_a_doubling_limit() {
    let backoff = Backoff {
        base: Duration::from_millis(5),
        maximum: Duration::from_millis(100),
    };
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let cases = [
        (0, 5),
        (1, 10),
        (2, 20),
        (4, 80),
        (5, 100),
        (31, 100),
        (32, 100),
        (99, 100),
    ];
    for (retry_number, limit) in cases {
        let limit = Duration::from_millis(limit);
        assert_eq!(backoff.limit(retry_number), limit, "retry {retry_number}");
        let delays: Vec<Duration> = (0..1_000)
            .map(|_| backoff.delay(retry_number, &mut rng))
            .collect();
        assert!(delays.iter().all(|delay| *delay <= limit), "seed {SEED}");
        assert!(
            delays.iter().any(|delay| *delay < limit / 10),
            "seed {SEED}"
        );
        assert!(
            delays.iter().any(|delay| *delay > limit * 9 / 10),
            "seed {SEED}"
        );
    }
    let none = Backoff {
        base: Duration::ZERO,
        maximum: Duration::ZERO,
    };
    assert_eq!(none.delay(3, &mut rng), Duration::ZERO);
}

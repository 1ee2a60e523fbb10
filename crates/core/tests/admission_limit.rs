//! Adaptive limits with steady, slowing and failing backends.

use std::time::Duration;

use proptest::prelude::*;
use wharfquay_core::admission::LimitAlgorithm;
use wharfquay_core::admission::limit::{Limit, LimitBounds, LimitSample};
use wharfquay_core::time::Timestamp;

const BOUNDS: LimitBounds = LimitBounds {
    initial: 16,
    minimum: 4,
    maximum: 64,
};

const ALGORITHMS: [LimitAlgorithm; 4] = [
    LimitAlgorithm::Fixed,
    LimitAlgorithm::Aimd,
    LimitAlgorithm::Gradient,
    LimitAlgorithm::QueueDelay,
];

/// Feeds one second of samples whose latency is a function of the limit.
fn feed(limit: &mut Limit, start: Timestamp, latency: impl Fn(u32) -> Duration, failed: bool) {
    for step in 0..2_000 {
        let now = start + Duration::from_micros(step * 500);
        let in_flight = limit.current();
        let latency = latency(in_flight);
        limit.observe(
            now,
            LimitSample {
                latency,
                in_flight,
                failed,
            },
        );
    }
}

#[test]
fn limits_adapt_to_backend_latency() {
    let flat = |_: u32| Duration::from_millis(10);
    let slower = |_: u32| Duration::from_millis(40);
    // Algorithm, whether it grows at constant latency while in use, whether it shrinks on a jump.
    let cases = [
        (LimitAlgorithm::Fixed, false, false),
        (LimitAlgorithm::Aimd, true, true),
        (LimitAlgorithm::Gradient, true, true),
        (LimitAlgorithm::QueueDelay, true, true),
    ];
    for (algorithm, grows, shrinks) in cases {
        let mut limit = Limit::new(algorithm, BOUNDS, Timestamp::ZERO);
        feed(&mut limit, Timestamp::ZERO, flat, false);
        let grown = limit.current();
        assert_eq!(grown > BOUNDS.initial, grows, "{algorithm:?} at {grown}");
        feed(&mut limit, Timestamp::from_millis(1_000), slower, false);
        let shrunk = limit.current();
        assert_eq!(shrunk < grown, shrinks, "{algorithm:?} {grown} to {shrunk}");
    }
}

#[test]
fn aimd_shrinks_on_failures() {
    let mut limit = Limit::new(LimitAlgorithm::Aimd, BOUNDS, Timestamp::ZERO);
    feed(
        &mut limit,
        Timestamp::ZERO,
        |_| Duration::from_millis(10),
        true,
    );
    assert!(limit.current() < BOUNDS.initial);
}

proptest! {
    #[test]
    fn limits_stay_within_bounds_for_any_samples(
        samples in prop::collection::vec((0_u64..5_000_000, 0_u32..100, any::<bool>()), 1..2_000),
    ) {
        for algorithm in ALGORITHMS {
            let mut limit = Limit::new(algorithm, BOUNDS, Timestamp::ZERO);
            for (step, &(micros, in_flight, failed)) in samples.iter().enumerate() {
                let now = Timestamp::from_millis(step as u64 * 3);
                let latency = Duration::from_micros(micros);
                limit.observe(now, LimitSample { latency, in_flight, failed });
                prop_assert!((BOUNDS.minimum..=BOUNDS.maximum).contains(&limit.current()));
            }
        }
    }
}

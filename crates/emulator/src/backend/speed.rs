//! Service time: the step's distribution, cold start and the slow fault.

use std::time::Duration;

use rand::{Rng, RngExt};

/// How many times longer work takes at the start of a cold back end.
const COLD_FACTOR: f64 = 3.0;

/// Time of one execution without its deeper calls: half the mean is certain, the rest is
/// exponentially distributed.
#[must_use]
pub fn work_time(mean: Duration, rng: &mut impl Rng) -> Duration {
    let certain = mean / 2;
    let uniform: f64 = rng.random();
    let exponential = -(1.0 - uniform).ln();
    certain + (mean - certain).mul_f64(exponential)
}

/// Factor on the work of a back end that started `age` ago: falls in a line from three to one
/// over the cold start.
#[must_use]
pub fn cold_factor(age: Duration, cold_start: Duration) -> f64 {
    if age >= cold_start {
        return 1.0;
    }
    let progress = age.as_secs_f64() / cold_start.as_secs_f64();
    COLD_FACTOR - (COLD_FACTOR - 1.0) * progress
}

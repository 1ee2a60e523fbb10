//! Service time of an execution and its increase during the cold start.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Factor on the service time of a backend that has just started cold.
const COLD_FACTOR: f64 = 3.0;

/// Returns a random service time with this mean, without the time of outbound calls: half of the
/// mean is fixed, the other half is the mean of an exponential distribution.
#[must_use]
pub fn work_time(mean: Duration, rng: &mut impl Rng) -> Duration {
    let fixed = mean / 2;
    let uniform: f64 = rng.random();
    let exponential = -(1.0 - uniform).ln();
    fixed + (mean - fixed).mul_f64(exponential)
}

/// Returns the factor on the service time of a backend that started `age` ago. It falls linearly
/// from three to one during the cold start.
#[must_use]
pub fn cold_factor(age: Duration, cold_start: Duration) -> f64 {
    if age >= cold_start {
        return 1.0;
    }
    let progress = age.as_secs_f64() / cold_start.as_secs_f64();
    COLD_FACTOR - (COLD_FACTOR - 1.0) * progress
}

//! Exponential backoff with full jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Maximum exponent; larger ones would overflow the factor, and the wait reaches its maximum before.
const MAX_DOUBLINGS: u32 = 20;

/// Waits between attempts to reach the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Longest wait before the first retry.
    pub base: Duration,
    /// Longest wait before any retry.
    pub maximum: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(50),
            maximum: Duration::from_secs(5),
        }
    }
}

impl Backoff {
    /// Returns the longest wait before the retry after `failures` consecutive failures.
    #[must_use]
    pub fn ceiling(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
        self.base.saturating_mul(1 << doublings).min(self.maximum)
    }

    /// Returns a random wait between zero and [`Self::ceiling`].
    pub fn delay(&self, failures: u32, random: &mut impl Rng) -> Duration {
        self.ceiling(failures).mul_f64(random.random::<f64>())
    }
}

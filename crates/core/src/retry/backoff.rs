//! Delays before retries: exponential backoff with full jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Exponential backoff; each delay is uniformly distributed between zero and a limit that doubles
/// per retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Limit of the first delay.
    pub base: Duration,
    /// Upper bound of every delay.
    pub maximum: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(5),
            maximum: Duration::from_millis(100),
        }
    }
}

impl Backoff {
    /// Returns the largest delay before the retry with this number, counted from zero.
    #[must_use]
    pub fn limit(&self, retry_number: u32) -> Duration {
        let factor = 1_u32.checked_shl(retry_number).unwrap_or(u32::MAX);
        self.base.saturating_mul(factor).min(self.maximum)
    }

    /// Draws the delay before the retry with this number, counted from zero.
    pub fn delay(&self, retry_number: u32, rng: &mut impl Rng) -> Duration {
        let limit = u64::try_from(self.limit(retry_number).as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(rng.random_range(0..=limit))
    }
}

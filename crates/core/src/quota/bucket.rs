//! Token bucket, for example of one owner of a share of a tenant's rate limit.

use std::time::Duration;

use crate::time::Timestamp;

/// Refill rate and capacity of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenRate {
    /// Tokens per second, above zero.
    pub per_second: f64,
    /// Maximum number of tokens in the bucket.
    pub capacity: f64,
}

/// Token bucket that refills at a steady rate up to its capacity.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: TokenRate,
    tokens: f64,
    updated: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub const fn full(now: Timestamp, rate: TokenRate) -> Self {
        Self {
            rate,
            tokens: rate.capacity,
            updated: now,
        }
    }

    /// Creates a bucket that was empty at `since` and has refilled until `now`.
    #[must_use]
    pub fn filled_since(now: Timestamp, since: Timestamp, rate: TokenRate) -> Self {
        let mut bucket = Self {
            rate,
            tokens: 0.0,
            updated: since,
        };
        bucket.refill(now);
        bucket
    }

    /// Applies another rate; tokens above the new capacity are dropped.
    pub fn set_rate(&mut self, now: Timestamp, rate: TokenRate) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(rate.capacity);
    }

    /// Takes up to `wanted` whole tokens and returns how many were available.
    pub fn take(&mut self, now: Timestamp, wanted: u32) -> u32 {
        self.refill(now);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "tokens are never negative, and a cast of a larger number saturates"
        )]
        let whole = self.tokens.floor() as u32;
        let taken = whole.min(wanted);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Returns the rate and capacity in force.
    #[must_use]
    pub const fn rate(&self) -> TokenRate {
        self.rate
    }

    /// Returns the time until a whole token is available.
    #[must_use]
    pub fn until_next(&self) -> Duration {
        self.until_filled(1.0)
    }

    /// Returns the time until this many tokens are available; zero if they are now.
    pub fn until(&mut self, now: Timestamp, tokens: f64) -> Duration {
        self.refill(now);
        self.until_filled(tokens)
    }

    fn until_filled(&self, tokens: f64) -> Duration {
        let missing = (tokens - self.tokens).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate.per_second).unwrap_or(Duration::MAX)
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let filled = elapsed.mul_add(self.rate.per_second, self.tokens);
        self.tokens = filled.min(self.rate.capacity);
    }
}

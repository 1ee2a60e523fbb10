//! Retry budget of one destination: a token bucket filled by successful calls.

use std::time::Duration;

use crate::time::Timestamp;

/// Millionths of a token in one token; one retry costs one token.
const MICRO_TOKENS_PER_TOKEN: u64 = 1_000_000;
const MICROS_PER_SECOND: u128 = 1_000_000;

/// Refill rates and capacity of a [`DestinationBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries per success, 0.0 to 1.0; other values are clamped.
    pub ratio: f64,
    /// Retries per second that are allowed regardless of the rate of successes, for destinations
    /// that get few calls.
    pub floor_per_second: f64,
    /// Maximum number of retries that can accumulate; limits the burst when a destination starts to
    /// fail.
    pub capacity: u32,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            floor_per_second: 1.0,
            capacity: 20,
        }
    }
}

/// Retry budget towards one destination, a fraction of its recent successes.
#[derive(Clone, Debug)]
pub struct DestinationBudget {
    /// Available millionths of a token, without those that have accrued since the last refill.
    micro_tokens: u64,
    /// Maximum number of millionths of a token that can accumulate.
    capacity: u64,
    micro_tokens_per_success: u64,
    micro_tokens_per_second: u64,
    refilled_at: Timestamp,
}

impl DestinationBudget {
    /// Creates a budget with this ratio and the default floor and capacity. It starts with the
    /// tokens that the floor adds in one second.
    #[must_use]
    pub fn new(ratio: f64, now: Timestamp) -> Self {
        let settings = BudgetSettings {
            ratio,
            ..BudgetSettings::default()
        };
        Self::with_settings(settings, now)
    }

    /// Creates a budget that starts with the tokens that the floor adds in one second, up to the
    /// capacity.
    #[must_use]
    pub fn with_settings(settings: BudgetSettings, now: Timestamp) -> Self {
        let capacity = u64::from(settings.capacity) * MICRO_TOKENS_PER_TOKEN;
        let micro_tokens_per_second = to_micro_tokens(settings.floor_per_second.max(0.0));
        Self {
            micro_tokens: micro_tokens_per_second.min(capacity),
            capacity,
            micro_tokens_per_success: to_micro_tokens(settings.ratio.clamp(0.0, 1.0)),
            micro_tokens_per_second,
            refilled_at: now,
        }
    }

    /// Applies changed settings; accumulated tokens are kept up to the new capacity.
    pub fn reconfigure(&mut self, settings: BudgetSettings, now: Timestamp) {
        self.refill(now);
        let saved = self.micro_tokens;
        *self = Self::with_settings(settings, now);
        self.micro_tokens = saved.min(self.capacity);
    }

    /// Records a call to which the destination responded.
    pub fn record_success(&mut self, now: Timestamp) {
        self.refill(now);
        self.add(self.micro_tokens_per_success);
    }

    /// Takes the token for one retry; returns false if the budget is exhausted.
    #[must_use]
    pub fn try_withdraw(&mut self, now: Timestamp) -> bool {
        if !self.available(now) {
            return false;
        }
        self.micro_tokens -= MICRO_TOKENS_PER_TOKEN;
        true
    }

    /// Returns true if one retry could be paid now.
    #[must_use]
    pub fn available(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.micro_tokens >= MICRO_TOKENS_PER_TOKEN
    }

    /// Returns the number of whole retries that could be paid now.
    #[must_use]
    pub fn tokens(&mut self, now: Timestamp) -> u64 {
        self.refill(now);
        self.micro_tokens / MICRO_TOKENS_PER_TOKEN
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_since(self.refilled_at).as_micros();
        let rate = u128::from(self.micro_tokens_per_second);
        let grown = elapsed * rate / MICROS_PER_SECOND;
        if grown == 0 {
            // Leave `refilled_at` unchanged: the elapsed time counts in a later refill, and
            // frequent calls lose nothing to rounding.
            return;
        }
        self.add(u64::try_from(grown).unwrap_or(u64::MAX));
        let counted = (grown * MICROS_PER_SECOND).div_ceil(rate);
        self.refilled_at = self.refilled_at + micros(counted);
    }

    fn add(&mut self, micro_tokens: u64) {
        self.micro_tokens = self
            .micro_tokens
            .saturating_add(micro_tokens)
            .min(self.capacity);
    }
}

fn micros(count: u128) -> Duration {
    Duration::from_micros(u64::try_from(count).unwrap_or(u64::MAX))
}

/// Converts tokens to millionths of a token, the unit in which the budget counts, rounding to the
/// nearest.
fn to_micro_tokens(tokens: f64) -> u64 {
    (tokens * MICRO_TOKENS_PER_TOKEN as f64).round() as u64
}

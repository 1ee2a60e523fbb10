//! The retry budget of one destination: a token bucket that successes fill.

use std::time::Duration;

use crate::time::Timestamp;

/// Token parts in one token; one retry costs one token.
const PARTS_PER_TOKEN: u64 = 1_000_000;
const MICROS_PER_SECOND: u128 = 1_000_000;

/// How a [`DestinationBudget`] fills.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries per success, 0.0 to 1.0; values outside are clamped.
    pub ratio: f64,
    /// Retries per second that are allowed at any rate of successes, for destinations that get few
    /// calls.
    pub floor_per_second: f64,
    /// Most retries that can be saved up; bounds the burst when a destination starts to fail.
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

/// Allowance of retries towards one destination, a fraction of its recent successes.
#[derive(Clone, Debug)]
pub struct DestinationBudget {
    parts: u64,
    capacity: u64,
    parts_per_success: u64,
    parts_per_second: u64,
    refilled_at: Timestamp,
}

impl DestinationBudget {
    /// A budget with this ratio and the default floor and capacity, full from the start.
    #[must_use]
    pub fn new(ratio: f64, now: Timestamp) -> Self {
        let settings = BudgetSettings {
            ratio,
            ..BudgetSettings::default()
        };
        Self::with_settings(settings, now)
    }

    /// A budget that starts with what the floor gives in one second, and never below one retry
    /// where the floor is above zero.
    #[must_use]
    pub fn with_settings(settings: BudgetSettings, now: Timestamp) -> Self {
        let capacity = u64::from(settings.capacity) * PARTS_PER_TOKEN;
        let parts_per_second = parts(settings.floor_per_second.max(0.0));
        Self {
            parts: parts_per_second.min(capacity),
            capacity,
            parts_per_success: parts(settings.ratio.clamp(0.0, 1.0)),
            parts_per_second,
            refilled_at: now,
        }
    }

    /// Takes over changed settings; what is saved up stays, within the new capacity.
    pub fn reconfigure(&mut self, settings: BudgetSettings, now: Timestamp) {
        self.refill(now);
        let saved = self.parts;
        *self = Self::with_settings(settings, now);
        self.parts = saved.min(self.capacity);
    }

    /// Notes a call that the destination answered.
    pub fn record_success(&mut self, now: Timestamp) {
        self.refill(now);
        self.add(self.parts_per_success);
    }

    /// Takes the token for one retry; false when the budget is exhausted.
    #[must_use]
    pub fn try_withdraw(&mut self, now: Timestamp) -> bool {
        if !self.available(now) {
            return false;
        }
        self.parts -= PARTS_PER_TOKEN;
        true
    }

    /// Whether one retry could be paid now.
    #[must_use]
    pub fn available(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.parts >= PARTS_PER_TOKEN
    }

    /// Whole retries that could be paid now.
    #[must_use]
    pub fn tokens(&mut self, now: Timestamp) -> u64 {
        self.refill(now);
        self.parts / PARTS_PER_TOKEN
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_since(self.refilled_at).as_micros();
        let rate = u128::from(self.parts_per_second);
        let grown = elapsed * rate / MICROS_PER_SECOND;
        if grown == 0 {
            // The time counts with the next refill, so that frequent questions lose nothing.
            return;
        }
        self.add(u64::try_from(grown).unwrap_or(u64::MAX));
        let counted = (grown * MICROS_PER_SECOND).div_ceil(rate);
        self.refilled_at = self.refilled_at + micros(counted);
    }

    fn add(&mut self, parts: u64) {
        self.parts = self.parts.saturating_add(parts).min(self.capacity);
    }
}

fn micros(count: u128) -> Duration {
    Duration::from_micros(u64::try_from(count).unwrap_or(u64::MAX))
}

/// Converts tokens to token parts.
fn parts(tokens: f64) -> u64 {
    (tokens * PARTS_PER_TOKEN as f64).round() as u64
}

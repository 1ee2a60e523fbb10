//! Additive increase, multiplicative decrease.

use crate::admission::limit::window::{BaseLatency, WindowSummary};

/// Latency above this multiple of the base latency is treated as overload.
const TOLERANCE: f64 = 2.0;
/// Factor by which the limit decreases.
const DECREASE: f64 = 0.9;
/// Number of calls by which the limit increases.
const INCREASE: f64 = 1.0;
/// Share of failed calls above which the limit decreases.
const FAILED_SHARE: f64 = 0.1;
/// Fraction of the distance to a higher window by which the base latency rises.
const BASE_RISE: f64 = 0.05;

/// State of the AIMD algorithm.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Aimd {
    base: BaseLatency,
}

impl Aimd {
    /// Returns the limit that follows a window of samples.
    pub(super) fn next(&mut self, limit: f64, window: &WindowSummary) -> f64 {
        let base = self.base.observe(window.mean_latency, BASE_RISE);
        if window.mean_latency > base * TOLERANCE || window.failed_share > FAILED_SHARE {
            return limit * DECREASE;
        }
        if window.in_use {
            return limit + INCREASE;
        }
        limit
    }
}

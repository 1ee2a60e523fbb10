//! Queue delay: the limit follows the estimated number of calls that queue inside the backend.

use crate::admission::limit::window::{BaseLatency, WindowSummary};

/// Share of the limit that may queue inside the backend before the limit decreases.
const UPPER_SHARE: f64 = 0.35;
/// Share of queued calls below which the limit increases.
const LOWER_SHARE: f64 = 0.15;
/// Fraction of the distance to a higher window by which the base latency rises.
const BASE_RISE: f64 = 0.1;

/// State of the queue delay algorithm.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct QueueDelay {
    base: BaseLatency,
}

impl QueueDelay {
    /// Returns the limit that follows a window of samples.
    pub(super) fn next(&mut self, limit: f64, window: &WindowSummary) -> f64 {
        let base = self.base.observe(window.mean_latency, BASE_RISE);
        let queued_share = 1.0 - base / window.mean_latency.max(base);
        if queued_share > UPPER_SHARE {
            return limit - 1.0;
        }
        if queued_share < LOWER_SHARE && window.in_use {
            return limit + 1.0;
        }
        limit
    }
}

//! Queue delay: the limit is steered by the number of calls that queue inside the back end.

use crate::admission::limit::window::{BaseLatency, WindowSummary};

/// Share of the limit that may queue inside the back end before the limit shrinks.
const UPPER_SHARE: f64 = 0.35;
/// Share of the limit below which the limit grows.
const LOWER_SHARE: f64 = 0.15;
/// Share by which the base latency follows a higher window.
const BASE_RISE: f64 = 0.1;

/// State of the algorithm.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct QueueDelay {
    base: BaseLatency,
}

impl QueueDelay {
    /// The next limit.
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

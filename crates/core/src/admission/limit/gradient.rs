//! Latency gradient: the limit follows the ratio of base and recent latency.

use crate::admission::limit::window::{BaseLatency, WindowSummary};

/// Latency up to this multiple of the base latency is treated as noise.
const TOLERANCE: f64 = 1.5;
/// Lower bound on the latency ratio in one step.
const MIN_RATIO: f64 = 0.5;
/// Weight of the target in one step towards it.
const SMOOTHING: f64 = 0.2;
/// Fraction of the distance to a higher window by which the base latency rises.
const BASE_RISE: f64 = 0.05;

/// State of the gradient algorithm.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Gradient {
    base: BaseLatency,
}

impl Gradient {
    /// Returns the limit that follows a window of samples.
    pub(super) fn next(&mut self, limit: f64, window: &WindowSummary) -> f64 {
        let base = self.base.observe(window.mean_latency, BASE_RISE);
        let ratio = (base * TOLERANCE / window.mean_latency).clamp(MIN_RATIO, 1.0);
        let headroom = limit.sqrt();
        let target = limit * ratio + headroom;
        if !window.in_use && target > limit {
            return limit;
        }
        limit + (target - limit) * SMOOTHING
    }
}

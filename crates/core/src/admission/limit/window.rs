//! Samples collected between two adaptations of a limit.

use std::time::Duration;

use crate::admission::limit::LimitSample;
use crate::time::Timestamp;

/// Minimum number of samples in a window, per call of the limit.
const SAMPLES_PER_LIMIT: u32 = 4;
/// Minimum number of samples in a window, independent of the limit.
const MIN_SAMPLES: u32 = 32;
/// Minimum duration of a window.
const MIN_WINDOW_LENGTH: Duration = Duration::from_millis(50);
/// Share of the limit that the calls in execution must reach for the limit to count as in use.
const IN_USE_SHARE: f64 = 0.9;

/// Aggregated samples of a window.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowSummary {
    /// Mean latency, in microseconds.
    pub(super) mean_latency: f64,
    /// True if the limit was in use; otherwise raising it would have no effect.
    pub(super) in_use: bool,
    /// Share of failed calls.
    pub(super) failed_share: f64,
}

/// Collects samples until a window is full.
#[derive(Clone, Copy, Debug)]
pub(super) struct SampleWindow {
    started: Timestamp,
    count: u32,
    failed: u32,
    total_micros: f64,
    peak_in_flight: u32,
}

impl SampleWindow {
    pub(super) const fn new(started: Timestamp) -> Self {
        Self {
            started,
            count: 0,
            failed: 0,
            total_micros: 0.0,
            peak_in_flight: 0,
        }
    }

    /// Adds a sample. When the window is full, returns its summary and starts the next window.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        sample: LimitSample,
        limit: u32,
    ) -> Option<WindowSummary> {
        self.count += 1;
        self.failed += u32::from(sample.failed);
        self.total_micros += sample.latency.as_secs_f64() * 1e6;
        self.peak_in_flight = self.peak_in_flight.max(sample.in_flight);
        let required = limit.saturating_mul(SAMPLES_PER_LIMIT).max(MIN_SAMPLES);
        if self.count < required || now.saturating_since(self.started) < MIN_WINDOW_LENGTH {
            return None;
        }
        let summary = WindowSummary {
            mean_latency: self.total_micros / f64::from(self.count),
            in_use: f64::from(self.peak_in_flight) >= f64::from(limit) * IN_USE_SHARE,
            failed_share: f64::from(self.failed) / f64::from(self.count),
        };
        *self = Self::new(now);
        Some(summary)
    }
}

/// Estimated latency without queueing: falls with lower windows, rises slowly with higher ones.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BaseLatency {
    micros: Option<f64>,
}

impl BaseLatency {
    /// Records the mean latency of a window and returns the base latency, both in microseconds.
    pub(super) fn observe(&mut self, mean: f64, rise: f64) -> f64 {
        let next = match self.micros {
            Some(base) if mean > base => base + (mean - base) * rise,
            _ => mean,
        };
        self.micros = Some(next);
        next.max(1.0)
    }
}

//! Expected execution time of a call at a backend that reports its slowdown.

use std::time::Duration;

use crate::time::Timestamp;

/// Weight of one execution in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Executions required before the estimate is used.
const MIN_SAMPLES: u32 = 5;
/// Time without an execution after which the estimate is unknown. An estimate that refuses every
/// call gets no further samples and would otherwise stay in force after the cause has ended.
const FORGET_AFTER: Duration = Duration::from_secs(2);

/// Measurements of one completed execution.
#[derive(Clone, Copy, Debug)]
pub struct ExecutionSample {
    /// Time in the backend, without waiting for calls to other services.
    pub own: Duration,
    /// Time for which the execution waited for calls to other services.
    pub downstream: Duration,
    /// Mean slowdown factor of the backend during the execution.
    pub mean_factor: f64,
}

/// Moving averages of recent execution times, normalized by the slowdown that held during each.
///
/// The time for which an execution waits for calls to other services does not depend on the
/// slowdown of this backend and is averaged separately.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutionEstimate {
    usual_seconds: f64,
    /// Variance of the normalized times, in square seconds.
    variance: f64,
    downstream_seconds: f64,
    samples: u32,
    sampled_at: Timestamp,
}

impl ExecutionEstimate {
    /// Records an execution that completed at `now`.
    pub fn observe(&mut self, now: Timestamp, sample: &ExecutionSample) {
        if self.is_forgotten(now) {
            self.samples = 0;
        }
        self.samples = self.samples.saturating_add(1);
        self.sampled_at = now;
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let usual = sample.own.as_secs_f64() / sample.mean_factor.max(f64::MIN_POSITIVE);
        let difference = usual - self.usual_seconds;
        self.usual_seconds += difference * weight;
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference);
        let downstream = sample.downstream.as_secs_f64();
        self.downstream_seconds += (downstream - self.downstream_seconds) * weight;
    }

    /// Returns the expected execution time at a slowdown factor; `None` if there were too few
    /// executions recently.
    #[must_use]
    pub fn expected(&self, now: Timestamp, factor: f64) -> Option<Duration> {
        self.at_factor(now, factor, self.usual_seconds)
    }

    /// Returns an execution time at a slowdown factor that few calls undercut: the expected one less
    /// a standard deviation. `None` if there were too few executions recently.
    ///
    /// Refusing by the expected time itself would also refuse calls that end in time.
    #[must_use]
    pub fn likely_minimum(&self, now: Timestamp, factor: f64) -> Option<Duration> {
        let usual = (self.usual_seconds - self.variance.sqrt()).max(0.0);
        self.at_factor(now, factor, usual)
    }

    fn at_factor(&self, now: Timestamp, factor: f64, usual_seconds: f64) -> Option<Duration> {
        if self.samples < MIN_SAMPLES || self.is_forgotten(now) {
            return None;
        }
        let seconds = usual_seconds * factor + self.downstream_seconds;
        Duration::try_from_secs_f64(seconds).ok()
    }

    fn is_forgotten(&self, now: Timestamp) -> bool {
        now.saturating_since(self.sampled_at) >= FORGET_AFTER
    }
}

//! Adaptive limits on the calls that a backend executes at a time.
//!
//! Each algorithm only uses the time that calls spend in the backend itself. Time spent waiting for
//! calls to other services is subtracted first; otherwise a slow service deep in the call tree
//! would shrink the limits of the services above it.

mod aimd;
mod gradient;
mod queue_delay;
mod window;

use std::time::Duration;

use crate::time::Timestamp;

/// Algorithm that adapts a concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LimitAlgorithm {
    /// Keeps the initial limit.
    Fixed,
    /// Additive increase, multiplicative decrease if latency exceeds a multiple of the base
    /// latency.
    Aimd,
    /// Scales the limit by the ratio of base latency and recent latency.
    Gradient,
    /// Keeps the estimated number of calls that queue inside the backend between two bounds.
    QueueDelay,
}

/// Measurements of one completed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSample {
    /// Time in the backend, without waiting for calls to other services.
    pub latency: Duration,
    /// Calls in execution when this one was dispatched, itself included.
    pub in_flight: u32,
    /// True if the backend failed to respond.
    pub failed: bool,
}

/// Bounds of a limit, in calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitBounds {
    /// Initial concurrency limit, in calls.
    pub initial: u32,
    /// Minimum concurrency limit, in calls.
    pub minimum: u32,
    /// Maximum concurrency limit, in calls.
    pub maximum: u32,
}

impl LimitBounds {
    fn clamp(self, value: f64) -> f64 {
        let minimum = f64::from(self.minimum.max(1));
        let maximum = f64::from(self.maximum).max(minimum);
        value.clamp(minimum, maximum)
    }
}

/// A concurrency limit with the algorithm that adapts it.
#[derive(Clone, Debug)]
pub struct Limit {
    bounds: LimitBounds,
    value: f64,
    window: window::SampleWindow,
    state: State,
}

#[derive(Clone, Debug)]
enum State {
    Fixed,
    Aimd(aimd::Aimd),
    Gradient(gradient::Gradient),
    QueueDelay(queue_delay::QueueDelay),
}

impl Limit {
    /// Creates a limit at its initial value.
    #[must_use]
    pub fn new(algorithm: LimitAlgorithm, bounds: LimitBounds, now: Timestamp) -> Self {
        let state = match algorithm {
            LimitAlgorithm::Fixed => State::Fixed,
            LimitAlgorithm::Aimd => State::Aimd(aimd::Aimd::default()),
            LimitAlgorithm::Gradient => State::Gradient(gradient::Gradient::default()),
            LimitAlgorithm::QueueDelay => State::QueueDelay(queue_delay::QueueDelay::default()),
        };
        Self {
            bounds,
            value: bounds.clamp(f64::from(bounds.initial)),
            window: window::SampleWindow::new(now),
            state,
        }
    }

    /// Returns the limit in force, in calls.
    #[must_use]
    pub fn current(&self) -> u32 {
        self.value as u32
    }

    /// Records a completed call and adapts the limit when a window of samples is full.
    pub fn observe(&mut self, now: Timestamp, sample: LimitSample) {
        let Some(summary) = self.window.observe(now, sample, self.current()) else {
            return;
        };
        let next = match &mut self.state {
            State::Fixed => self.value,
            State::Aimd(aimd) => aimd.next(self.value, &summary),
            State::Gradient(gradient) => gradient.next(self.value, &summary),
            State::QueueDelay(queue_delay) => queue_delay.next(self.value, &summary),
        };
        self.value = self.bounds.clamp(next);
    }
}

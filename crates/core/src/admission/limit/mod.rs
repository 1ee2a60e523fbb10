//! Adaptive limits on the calls that a back end executes at a time.
//!
//! Each algorithm sees only the time that calls spend in the back end itself: time spent waiting
//! for calls further down is taken off first, so that a slow deep service does not shrink the limits
//! of the services above it.

mod aimd;
mod gradient;
mod queue_delay;
mod window;

use std::time::Duration;

use crate::time::Timestamp;

/// How a concurrency limit adapts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LimitAlgorithm {
    /// It does not: the initial limit stays.
    Fixed,
    /// Additive increase, multiplicative decrease on latency above a multiple of the base.
    Aimd,
    /// Scaled by the ratio of base latency and recent latency.
    Gradient,
    /// Keeps the estimated number of calls that queue inside the back end between two bounds.
    QueueDelay,
}

/// One finished call, as a limit sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSample {
    /// Time in the back end, without waiting for calls further down.
    pub latency: Duration,
    /// Calls in execution when this one was dispatched, itself included.
    pub in_flight: u32,
    /// Whether the back end failed to answer.
    pub failed: bool,
}

/// Bounds of a limit, in calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitBounds {
    /// Start.
    pub initial: u32,
    /// Least.
    pub minimum: u32,
    /// Most.
    pub maximum: u32,
}

impl LimitBounds {
    fn clamp(self, value: f64) -> f64 {
        let minimum = f64::from(self.minimum.max(1));
        let maximum = f64::from(self.maximum).max(minimum);
        value.clamp(minimum, maximum)
    }
}

/// A concurrency limit with its algorithm.
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
    /// A limit at its initial value.
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

    /// The limit in force, in calls.
    #[must_use]
    pub fn current(&self) -> u32 {
        self.value as u32
    }

    /// Takes in a finished call and adapts when a window of samples is full.
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

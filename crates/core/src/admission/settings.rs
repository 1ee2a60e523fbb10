//! What an operator or the configuration sets of an admission controller.

use std::time::Duration;

use crate::admission::limit::LimitAlgorithm;
use crate::admission::queue::QueueDiscipline;

/// Settings of an [`crate::admission::AdmissionController`].
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// How the concurrency limit adapts.
    pub algorithm: LimitAlgorithm,
    /// Concurrency limit at the start, in calls; usually the slots that the service declares.
    pub initial_limit: u32,
    /// Concurrency limit that is never gone below, in calls; at least 1.
    pub minimum_limit: u32,
    /// Concurrency limit that is never exceeded, in calls.
    pub maximum_limit: u32,
    /// Calls that may wait.
    pub queue_capacity: usize,
    /// Longest time that a call may wait.
    pub maximum_queue_wait: Duration,
    /// Order in which waiting calls are served.
    pub discipline: QueueDiscipline,
    /// Whether the admission level adapts; otherwise it stays open.
    pub adaptive_level: bool,
    /// Whether slots are kept free for calls that are refused elsewhere on their path.
    pub reserve: bool,
    /// Time between two adjustments of the admission level.
    pub level_interval: Duration,
    /// Shortest Retry-After in a refusal.
    pub minimum_retry_after: Duration,
    /// Longest Retry-After in a refusal.
    pub maximum_retry_after: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            algorithm: LimitAlgorithm::Fixed,
            initial_limit: 16,
            minimum_limit: 1,
            maximum_limit: 1_024,
            queue_capacity: 64,
            maximum_queue_wait: Duration::from_millis(50),
            discipline: QueueDiscipline::Priority,
            adaptive_level: true,
            reserve: true,
            level_interval: Duration::from_millis(50),
            minimum_retry_after: Duration::from_millis(100),
            maximum_retry_after: Duration::from_secs(5),
        }
    }
}

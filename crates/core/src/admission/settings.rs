//! Settings of an admission controller, from the operator or the configuration.

use std::time::Duration;

use crate::admission::level::ExpiryCount;
use crate::admission::limit::LimitAlgorithm;
use crate::admission::queue::QueueDiscipline;

/// Settings of an [`crate::admission::AdmissionController`].
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Algorithm that adapts the concurrency limit.
    pub algorithm: LimitAlgorithm,
    /// Initial concurrency limit, in calls; usually the number of slots that the service declares.
    pub initial_limit: u32,
    /// Minimum concurrency limit, in calls; at least 1.
    pub minimum_limit: u32,
    /// Maximum concurrency limit, in calls.
    pub maximum_limit: u32,
    /// Number of calls that may wait.
    pub queue_capacity: usize,
    /// Maximum time that a call may wait in the queue.
    pub maximum_queue_wait: Duration,
    /// Order in which waiting calls are served.
    pub discipline: QueueDiscipline,
    /// True if the admission level adapts to the load; otherwise it stays open.
    pub adaptive_level: bool,
    /// How the admission level counts calls of requests in execution whose wait expires.
    pub expiry_count: ExpiryCount,
    /// True if slots are reserved for calls whose kind is refused elsewhere on its path.
    pub reserve: bool,
    /// Interval between two adjustments of the admission level.
    pub level_interval: Duration,
    /// Lower bound of Retry-After in a refusal.
    pub minimum_retry_after: Duration,
    /// Upper bound of Retry-After in a refusal.
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
            expiry_count: ExpiryCount::Ignored,
            reserve: true,
            level_interval: Duration::from_millis(50),
            minimum_retry_after: Duration::from_millis(100),
            maximum_retry_after: Duration::from_secs(5),
        }
    }
}

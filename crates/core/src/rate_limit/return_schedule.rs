//! Times at which refused calls are asked to return.

use std::time::Duration;

use crate::time::Timestamp;

/// Longest time after which a refused call is asked to return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Number of refused calls that have not returned yet, estimated from the rate at which they may.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReturnSchedule {
    returning: f64,
    updated: Timestamp,
}

impl ReturnSchedule {
    /// Adds a refused call and returns the time after which it should return. `position` from 0.0
    /// to 1.0 is its position in the time that all refused calls need at this rate.
    pub(super) fn add(&mut self, now: Timestamp, per_second: f64, position: f64) -> Duration {
        let elapsed = now.saturating_since(self.updated).as_secs_f64();
        self.updated = now;
        let left = (self.returning - elapsed * per_second).max(0.0);
        let most = per_second * MAX_RETRY_AFTER.as_secs_f64();
        self.returning = (left + 1.0).min(most);
        MAX_RETRY_AFTER.min(Duration::from_secs_f64(
            self.returning / per_second * position.clamp(0.0, 1.0),
        ))
    }
}

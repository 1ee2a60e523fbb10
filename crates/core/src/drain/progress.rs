//! Progress of the drain of one endpoint.

use std::time::Duration;

use crate::time::Timestamp;

/// State of a drain at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// Calls are in flight and the time limit has not been reached.
    Draining {
        /// Calls that have not completed.
        in_flight: u64,
        /// Time left until the limit.
        remaining: Duration,
    },
    /// The last call in flight has completed.
    Finished,
    /// The time limit has passed with calls still in flight.
    PastLimit {
        /// Calls that have not completed.
        in_flight: u64,
    },
}

/// Progress of one endpoint's drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainProgress {
    since: Timestamp,
    limit: Duration,
    in_flight: u64,
}

impl DrainProgress {
    /// Starts a drain with the calls that are in flight at `now`, including queued ones.
    #[must_use]
    pub const fn begin(now: Timestamp, limit: Duration, in_flight: u64) -> Self {
        Self {
            since: now,
            limit,
            in_flight,
        }
    }

    /// Sets the number of calls that are still in flight.
    pub const fn set_in_flight(&mut self, in_flight: u64) {
        self.in_flight = in_flight;
    }

    /// Records the completion of one call.
    pub const fn call_completed(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Applies a changed time limit, counted from the start of the drain.
    pub const fn set_limit(&mut self, limit: Duration) {
        self.limit = limit;
    }

    /// Returns the time at which the drain began.
    #[must_use]
    pub const fn since(&self) -> Timestamp {
        self.since
    }

    /// Returns the number of calls that have not completed.
    #[must_use]
    pub const fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Returns the time at which the limit is reached.
    #[must_use]
    pub fn limit_at(&self) -> Timestamp {
        self.since + self.limit
    }

    /// Returns the state at `now`.
    #[must_use]
    pub fn state(&self, now: Timestamp) -> DrainState {
        if self.in_flight == 0 {
            return DrainState::Finished;
        }
        let limit_at = self.limit_at();
        if now >= limit_at {
            return DrainState::PastLimit {
                in_flight: self.in_flight,
            };
        }
        DrainState::Draining {
            in_flight: self.in_flight,
            remaining: limit_at.saturating_since(now),
        }
    }
}

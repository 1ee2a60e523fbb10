//! How far the drain of one endpoint has come.

use std::time::Duration;

use crate::time::Timestamp;

/// State of a drain at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// Calls are in flight and the limit has not been reached.
    Draining {
        /// Calls that have not ended.
        in_flight: u64,
        /// Time left until the limit.
        remaining: Duration,
    },
    /// The last call in flight has ended.
    Finished,
    /// The limit has passed with calls still in flight.
    PastLimit {
        /// Calls that have not ended.
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
    /// Starts a drain with the calls that are in flight at `now`, queued ones included.
    #[must_use]
    pub const fn begin(now: Timestamp, limit: Duration, in_flight: u64) -> Self {
        Self {
            since: now,
            limit,
            in_flight,
        }
    }

    /// Notes the calls that are still in flight.
    pub const fn set_in_flight(&mut self, in_flight: u64) {
        self.in_flight = in_flight;
    }

    /// Notes the end of one call.
    pub const fn call_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes over a changed limit; it counts from the start of the drain.
    pub const fn set_limit(&mut self, limit: Duration) {
        self.limit = limit;
    }

    /// When the drain began.
    #[must_use]
    pub const fn since(&self) -> Timestamp {
        self.since
    }

    /// Calls that have not ended.
    #[must_use]
    pub const fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// When the limit is reached.
    #[must_use]
    pub fn limit_at(&self) -> Timestamp {
        self.since + self.limit
    }

    /// The state at `now`.
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

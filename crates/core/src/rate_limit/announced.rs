//! The rate limit that a backend announces in its responses.
//!
//! A stricter rate applies at once. A looser one, or none, applies only if the request of its
//! response was sent after the stricter one had been received: responses on different connections
//! may overtake each other.

use std::time::Duration;

use crate::admission::RequestProgress;
use crate::priority::{AdmissionKey, Priority, Rank};
use crate::time::Timestamp;

use super::ArrivalLimit;

/// Rate for a backend whose announcements are not known, in calls per second. It admits enough calls
/// to learn them from the first response.
const UNKNOWN_RATE: f64 = 2.0;

/// Times of the request and the response that contain an announcement.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTimes {
    /// Time at which the request was sent.
    pub sent_at: Timestamp,
    /// Time at which the response was received.
    pub received_at: Timestamp,
}

/// Limit on the arrivals at one backend, from what it announced last.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedLimit {
    /// Limit in force, from the announced rate or because the announcements are unknown.
    limit: Option<ArrivalLimit>,
    rate: Option<f64>,
    /// Time at which the rate in force was last received.
    confirmed_at: Timestamp,
}

impl AnnouncedLimit {
    /// Creates the limit of a backend that may have announced one to an earlier process. It gets few
    /// calls until its first response.
    #[must_use]
    pub fn unknown(now: Timestamp) -> Self {
        Self {
            limit: Some(ArrivalLimit::with_burst(now, UNKNOWN_RATE)),
            ..Self::default()
        }
    }

    /// Returns the announced rate in calls per second; `None` if there is none.
    #[must_use]
    pub const fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Records the rate that a response announces; `None` if it announces none.
    pub fn record(&mut self, times: ExchangeTimes, rate: Option<f64>) {
        let is_looser = rate.unwrap_or(f64::INFINITY) > self.rate.unwrap_or(f64::INFINITY);
        if is_looser && times.sent_at < self.confirmed_at {
            return;
        }
        let now = times.received_at;
        self.rate = rate;
        self.confirmed_at = now;
        match (rate, &mut self.limit) {
            (None, limit) => *limit = None,
            (Some(rate), Some(limit)) => limit.set_rate(now, rate),
            (Some(rate), limit) => *limit = Some(ArrivalLimit::new(now, rate)),
        }
    }

    /// Records a response whose announcement is malformed: the last valid one stays in force, because
    /// a backend that announces anything is in need.
    pub fn record_malformed(&mut self, times: ExchangeTimes) {
        self.record(times, self.rate);
    }

    /// Returns true if the limit leaves no room for a call.
    pub fn is_exhausted(
        &mut self,
        now: Timestamp,
        key: AdmissionKey,
        progress: RequestProgress,
    ) -> bool {
        let limit = self.limit.as_mut();
        limit.is_some_and(|limit| !limit.wait(now, key, progress).is_zero())
    }

    /// Admits and counts a call that is about to be sent. Returns false if the limit leaves no room
    /// for it.
    #[must_use]
    pub fn admit(&mut self, now: Timestamp, key: AdmissionKey, progress: RequestProgress) -> bool {
        let limit = self.limit.as_mut();
        limit.is_none_or(|limit| limit.admit(now, key, progress))
    }

    /// Counts a refused call and returns its Retry-After; see [`ArrivalLimit::refuse`].
    pub fn refuse(&mut self, now: Timestamp, key: AdmissionKey, position: f64) -> Duration {
        let limit = self.limit.as_mut();
        limit.map_or(Duration::ZERO, |limit| limit.refuse(now, key, position))
    }

    /// Returns the time for which the limit leaves no room for the calls of a priority; zero without a
    /// limit.
    pub fn exhausted_for(&mut self, now: Timestamp, priority: Priority) -> Duration {
        let key = AdmissionKey::new(priority, Rank::LAST);
        let limit = self.limit.as_mut();
        limit.map_or(Duration::ZERO, |limit| {
            limit.wait(now, key, RequestProgress::New)
        })
    }
}

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
/// Time for which malformed announcements leave the limit of a backend unknown. Afterwards it counts as
/// unlimited: a backend that announces nothing valid would otherwise get few calls for good.
const MALFORMED_HOLD: Duration = Duration::from_secs(4);
/// Time without a confirmation after which the backend is asked whether the limit still holds, and
/// minimum time between two such questions.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(400);

/// Origin of a response of the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseSource {
    /// A call that was sent to the backend.
    Call,
    /// A check of the backend's health endpoint, which may announce no limits.
    HealthEndpoint,
}

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
    /// Time since which the announcements are unknown; `None` if they are known.
    unknown_since: Option<Timestamp>,
    /// True if the health endpoint has announced a rate, so that its silence lifts an announced limit.
    is_in_health: bool,
    /// Time at which the rate in force was last received.
    confirmed_at: Timestamp,
    /// Time at which the backend was last asked whether the limit still holds.
    asked_at: Timestamp,
}

impl AnnouncedLimit {
    /// Creates the limit of a backend that may have announced one to an earlier process. It gets few
    /// calls until its first response, to a call or a health check.
    #[must_use]
    pub fn unknown(now: Timestamp) -> Self {
        Self {
            limit: Some(ArrivalLimit::with_burst(now, UNKNOWN_RATE)),
            unknown_since: Some(now),
            ..Self::default()
        }
    }

    /// Returns the announced rate in calls per second; `None` if there is none.
    #[must_use]
    pub const fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Records the rate that a response announces; `None` if it announces none.
    pub fn record(&mut self, source: ResponseSource, times: ExchangeTimes, rate: Option<f64>) {
        let is_health = source == ResponseSource::HealthEndpoint;
        self.is_in_health |= is_health && rate.is_some();
        let is_silent = is_health && rate.is_none() && !self.is_in_health;
        if is_silent && self.rate.is_some() {
            // The endpoint announces no limits, so its silence doesn't lift the one of a call.
            return;
        }
        let is_looser = rate.unwrap_or(f64::INFINITY) > self.rate.unwrap_or(f64::INFINITY);
        if is_looser && times.sent_at < self.confirmed_at {
            return;
        }
        let now = times.received_at;
        let had_rate = self.rate.is_some();
        self.rate = rate;
        self.unknown_since = None;
        self.confirmed_at = now;
        match (rate, &mut self.limit) {
            (None, limit) => *limit = None,
            (Some(rate), Some(limit)) if had_rate => limit.set_rate(now, rate),
            (Some(rate), Some(limit)) => limit.start_rate(now, rate),
            (Some(rate), limit) => *limit = Some(ArrivalLimit::new(now, rate)),
        }
    }

    /// Records a response whose announcement is malformed: the last valid one stays in force, because
    /// a backend that announces anything is in need. If none is known, the limit stays unknown for up
    /// to [`MALFORMED_HOLD`].
    pub fn record_malformed(&mut self, source: ResponseSource, times: ExchangeTimes) {
        let is_held = |since: Timestamp| times.received_at < since + MALFORMED_HOLD;
        if self.unknown_since.is_some_and(is_held) {
            return;
        }
        self.record(source, times, self.rate);
    }

    /// Returns true if the backend should be asked whether the limit still holds: no response showed it
    /// lately, and it was not asked lately either. The caller then asks. At a low rate responses
    /// are rare, and a limit that was lifted would stay in force until the next one.
    #[must_use]
    pub fn begin_confirmation(&mut self, now: Timestamp) -> bool {
        let known_at = self.confirmed_at.max(self.asked_at);
        let is_due = self.limit.is_some() && now >= known_at + CONFIRMATION_INTERVAL;
        if is_due {
            self.asked_at = now;
        }
        is_due
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

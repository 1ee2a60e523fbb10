//! What an instance of the backend announces about itself in its responses: a rate limit, and that
//! it is leaving.
//!
//! A stricter rate limit applies at once. A looser one, or none, applies only if the request of the
//! response was sent after the stricter one had been received: responses on different connections
//! may overtake each other. A malformed value is ignored, and the last valid one stays in force,
//! because a backend that announces anything is in need.

#[cfg(test)]
mod tests;

use std::sync::Mutex;
use std::time::Duration;

use http::HeaderMap;
use wharfquay_core::admission::RequestProgress;
use wharfquay_core::priority::AdmissionKey;
use wharfquay_core::rate_limit::ArrivalLimit;
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::sync::lock;

use crate::dialect::{Announcement, Dialect};
use crate::events::Event;
use crate::instance::InstanceId;
use crate::log_event;

/// Rate for an instance whose announcements are not known, in calls per second. It admits enough
/// calls to learn them from the first response.
const UNKNOWN_RATE: f64 = 2.0;
/// Minimum time between two log lines about a changed rate limit.
const CHANGE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time and origin of a response that is read.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseOrigin<'response> {
    pub(super) instance: &'response InstanceId,
    /// Time at which the request was sent.
    pub(super) sent_at: Timestamp,
    pub(super) received_at: Timestamp,
}

/// The announcements of one instance.
#[derive(Debug)]
pub(crate) struct Announcements {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Limit in force, from the announced rate or because the announcements are unknown.
    limit: Option<ArrivalLimit>,
    /// Announced rate limit in requests per second; `None` if there is none.
    announced_rate: Option<f64>,
    /// Time at which the rate in force was last received.
    confirmed_at: Timestamp,
    log: LoggedState,
}

/// What was logged last.
#[derive(Debug, Default)]
struct LoggedState {
    rate_limit: Option<f64>,
    changed_at: Timestamp,
    is_malformed: bool,
}

impl Announcements {
    /// Creates the announcements of an instance that has made none.
    pub(super) fn none() -> Self {
        Self {
            state: Mutex::default(),
        }
    }

    /// Creates the announcements of an instance that may have made some to an earlier process. It
    /// gets few calls until its first response.
    pub(super) fn unknown(now: Timestamp) -> Self {
        let state = State {
            limit: Some(ArrivalLimit::with_burst(now, UNKNOWN_RATE)),
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Returns the announced rate limit in requests per second; `None` if there is none.
    pub(crate) fn rate_limit(&self) -> Option<f64> {
        lock(&self.state).announced_rate
    }

    /// Returns whether a limit applies and leaves no room for a call.
    pub(super) fn is_limited(
        &self,
        now: Timestamp,
        key: AdmissionKey,
        progress: RequestProgress,
    ) -> bool {
        let mut state = lock(&self.state);
        let limit = state.limit.as_mut();
        limit.is_some_and(|limit| !limit.wait(now, key, progress).is_zero())
    }

    /// Admits and counts a call that is about to be sent. Returns false if the limit leaves no room
    /// for it.
    pub(super) fn admit(
        &self,
        now: Timestamp,
        key: AdmissionKey,
        progress: RequestProgress,
    ) -> bool {
        let mut state = lock(&self.state);
        let limit = state.limit.as_mut();
        limit.is_none_or(|limit| limit.admit(now, key, progress))
    }

    /// Counts a call that the limit refused and returns its Retry-After.
    pub(super) fn refuse(&self, now: Timestamp, key: AdmissionKey) -> Duration {
        let mut state = lock(&self.state);
        let limit = state.limit.as_mut();
        limit.map_or(Duration::ZERO, |limit| {
            limit.refuse(now, key, rand::random())
        })
    }

    /// Returns the time for which the limit leaves no room for any call; zero without a limit.
    pub(super) fn limited_for(&self, now: Timestamp) -> Duration {
        let mut state = lock(&self.state);
        let limit = state.limit.as_mut();
        limit.map_or(Duration::ZERO, |limit| {
            limit.wait(now, AdmissionKey::FIRST, RequestProgress::InProgress)
        })
    }

    /// Reads the headers of a response of the instance. Returns true if it announces that it is
    /// leaving.
    pub(super) fn read(
        &self,
        origin: ResponseOrigin<'_>,
        dialect: &Dialect,
        headers: &HeaderMap,
    ) -> bool {
        let mut state = lock(&self.state);
        match dialect.rate_limit(headers) {
            Announcement::Absent => state.record_rate(origin, None),
            Announcement::Valid(rate) => {
                state.record_rate(origin, Some(rate));
                state.log.is_malformed = false;
            }
            Announcement::Malformed(value) => {
                let last_valid = state.announced_rate;
                state.record_rate(origin, last_valid);
                state.log_malformed(origin.instance, dialect.rate_limit.as_str(), &value);
            }
        }
        let leaving = dialect.leaving(headers);
        if let Announcement::Malformed(value) = &leaving {
            state.log_malformed(origin.instance, dialect.leaving.as_str(), value);
        }
        leaving == Announcement::Valid(())
    }
}

impl State {
    fn record_rate(&mut self, origin: ResponseOrigin<'_>, rate: Option<f64>) {
        let is_looser =
            rate.unwrap_or(f64::INFINITY) > self.announced_rate.unwrap_or(f64::INFINITY);
        if is_looser && origin.sent_at < self.confirmed_at {
            return;
        }
        self.announced_rate = rate;
        self.confirmed_at = origin.received_at;
        self.apply_rate(origin.received_at);
        self.log_rate(origin);
    }

    fn apply_rate(&mut self, now: Timestamp) {
        match (self.announced_rate, &mut self.limit) {
            (None, limit) => *limit = None,
            (Some(rate), Some(limit)) => limit.set_rate(now, rate),
            (Some(rate), limit) => *limit = Some(ArrivalLimit::new(now, rate)),
        }
    }

    fn log_rate(&mut self, origin: ResponseOrigin<'_>) {
        let (rate, previous) = (self.announced_rate, self.log.rate_limit);
        let is_change_of_value = previous.is_some() && rate.is_some();
        let is_too_early = origin.received_at < self.log.changed_at + CHANGE_LOG_INTERVAL;
        if previous == rate || (is_change_of_value && is_too_early) {
            return;
        }
        self.log.rate_limit = rate;
        self.log.changed_at = origin.received_at;
        log_event!(
            Event::RateLimitAnnounced,
            "instance={} per_second={} previous={}",
            origin.instance,
            rate_text(rate),
            rate_text(previous),
        );
    }

    fn log_malformed(&mut self, instance: &InstanceId, header: &str, value: &str) {
        if !std::mem::replace(&mut self.log.is_malformed, true) {
            log_event!(
                Event::AnnouncementMalformed,
                "instance={instance} header={header} value={value:?}"
            );
        }
    }
}

/// Returns a rate limit as it is logged.
pub(super) fn rate_text(rate_limit: Option<f64>) -> String {
    rate_limit.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}

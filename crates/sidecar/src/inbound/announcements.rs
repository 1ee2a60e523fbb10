//! What an instance of the backend announces about itself in its responses: a rate limit, and that
//! it is leaving.

#[cfg(test)]
mod tests;

use std::sync::Mutex;
use std::time::Duration;

use http::HeaderMap;
use wharfquay_core::admission::RequestProgress;
use wharfquay_core::priority::{AdmissionKey, Priority};
use wharfquay_core::rate_limit::{AnnouncedLimit, ExchangeTimes, ResponseSource};
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::sync::lock;
use wharfquay_protocol::announcement::Announcement;

use crate::dialect::Dialect;
use crate::events::Event;
use crate::instance::InstanceId;
use crate::log_event;

/// Minimum time between two log lines about a changed rate limit.
const CHANGE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The announcements of one instance.
#[derive(Debug)]
pub(crate) struct Announcements {
    instance: InstanceId,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    limit: AnnouncedLimit,
    log: LoggedState,
}

/// What was logged last.
#[derive(Debug, Default)]
struct LoggedState {
    rate: Option<f64>,
    changed_at: Timestamp,
    is_malformed: bool,
}

impl Announcements {
    /// Creates the announcements of an instance that has made none.
    pub(super) fn none(instance: InstanceId) -> Self {
        Self::with_limit(instance, AnnouncedLimit::default())
    }

    /// Creates the announcements of an instance that may have made some to an earlier process.
    pub(super) fn unknown(instance: InstanceId, now: Timestamp) -> Self {
        Self::with_limit(instance, AnnouncedLimit::unknown(now))
    }

    fn with_limit(instance: InstanceId, limit: AnnouncedLimit) -> Self {
        let state = State {
            limit,
            ..State::default()
        };
        Self {
            instance,
            state: Mutex::new(state),
        }
    }

    /// Returns the announced rate limit in requests per second; `None` if there is none.
    pub(crate) fn rate_limit(&self) -> Option<f64> {
        lock(&self.state).limit.rate()
    }

    /// Returns true if the rate limit leaves no room for a call.
    pub(super) fn is_exhausted(
        &self,
        now: Timestamp,
        key: AdmissionKey,
        progress: RequestProgress,
    ) -> bool {
        lock(&self.state).limit.is_exhausted(now, key, progress)
    }

    /// Admits and counts a call that is about to be sent. Returns false if the rate limit leaves no
    /// room for it.
    pub(super) fn admit(
        &self,
        now: Timestamp,
        key: AdmissionKey,
        progress: RequestProgress,
    ) -> bool {
        lock(&self.state).limit.admit(now, key, progress)
    }

    /// Counts a call that the rate limit refused and returns its Retry-After.
    pub(super) fn refuse(&self, now: Timestamp, key: AdmissionKey) -> Duration {
        lock(&self.state).limit.refuse(now, key, rand::random())
    }

    /// Returns the time for which the rate limit leaves no room for the calls of a priority.
    pub(super) fn exhausted_for(&self, now: Timestamp, priority: Priority) -> Duration {
        lock(&self.state).limit.exhausted_for(now, priority)
    }

    /// Returns true if the caller should ask the health endpoint whether the rate limit still holds;
    /// see [`AnnouncedLimit::begin_confirmation`].
    pub(super) fn begin_confirmation(&self, now: Timestamp) -> bool {
        lock(&self.state).limit.begin_confirmation(now)
    }

    /// Reads the headers of a response of the instance. Returns true if it announces that it is
    /// leaving.
    pub(super) fn read(
        &self,
        source: ResponseSource,
        times: ExchangeTimes,
        dialect: &Dialect,
        headers: &HeaderMap,
    ) -> bool {
        let mut state = lock(&self.state);
        match dialect.rate_limit(headers) {
            Announcement::Absent => state.limit.record(source, times, None),
            Announcement::Valid(rate) => {
                state.limit.record(source, times, Some(rate));
                state.log.is_malformed = false;
            }
            Announcement::Malformed(value) => {
                state.limit.record_malformed(source, times);
                self.log_malformed(&mut state.log, dialect.rate_limit.as_str(), &value);
            }
        }
        let leaving = dialect.leaving(headers);
        if let Announcement::Malformed(value) = &leaving {
            self.log_malformed(&mut state.log, dialect.leaving.as_str(), value);
        }
        self.log_rate(&mut state, times.received_at);
        leaving == Announcement::Valid(())
    }

    fn log_rate(&self, state: &mut State, now: Timestamp) {
        let (rate, previous) = (state.limit.rate(), state.log.rate);
        let is_change_of_value = previous.is_some() && rate.is_some();
        let is_too_early = now < state.log.changed_at + CHANGE_LOG_INTERVAL;
        if previous == rate || (is_change_of_value && is_too_early) {
            return;
        }
        state.log.rate = rate;
        state.log.changed_at = now;
        log_event!(
            Event::RateLimitAnnounced,
            "instance={} per_second={} previous={}",
            self.instance,
            rate_text(rate),
            rate_text(previous),
        );
    }

    fn log_malformed(&self, log: &mut LoggedState, header: &str, value: &str) {
        if !std::mem::replace(&mut log.is_malformed, true) {
            let instance = &self.instance;
            log_event!(
                Event::AnnouncementMalformed,
                "instance={instance} header={header} value={value:?}"
            );
        }
    }
}

/// Returns a rate limit as it is logged.
fn rate_text(rate: Option<f64>) -> String {
    rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string())
}

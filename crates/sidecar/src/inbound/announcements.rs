//! What an instance of the backend announces about itself in its responses.

use std::sync::Mutex;
use std::time::Duration;

use http::HeaderMap;
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::sync::lock;

use crate::dialect::{Announcement, Dialect};
use crate::events::Event;
use crate::instance::InstanceId;
use crate::log_event;

/// Minimum time between two log lines about a changed rate limit.
const CHANGE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The announcements of one instance.
#[derive(Debug, Default)]
pub(crate) struct Announcements {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Announced rate limit in requests per second; `None` if there is none.
    rate_limit: Option<f64>,
    is_leaving: bool,
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
    /// Returns the announced rate limit in requests per second; `None` if there is none.
    pub(crate) fn rate_limit(&self) -> Option<f64> {
        lock(&self.state).rate_limit
    }

    /// Reads the headers of a response of the instance.
    pub(super) fn read(
        &self,
        now: Timestamp,
        instance: &InstanceId,
        dialect: &Dialect,
        headers: &HeaderMap,
    ) {
        let mut state = lock(&self.state);
        match dialect.rate_limit(headers) {
            Announcement::Absent => state.rate_limit = None,
            Announcement::Valid(rate) => {
                state.rate_limit = Some(rate);
                state.log.is_malformed = false;
            }
            Announcement::Malformed(value) => {
                state.log_malformed(instance, dialect.rate_limit.as_str(), &value);
            }
        }
        match dialect.leaving(headers) {
            Announcement::Absent => {}
            Announcement::Valid(()) => state.record_leaving(instance),
            Announcement::Malformed(value) => {
                state.log_malformed(instance, dialect.leaving.as_str(), &value);
            }
        }
        state.log_rate_limit(now, instance);
    }
}

impl State {
    fn record_leaving(&mut self, instance: &InstanceId) {
        if !std::mem::replace(&mut self.is_leaving, true) {
            log_event!(Event::LeavingAnnounced, "instance={instance}");
        }
    }

    fn log_rate_limit(&mut self, now: Timestamp, instance: &InstanceId) {
        let previous = self.log.rate_limit;
        let is_change_of_value = previous.is_some() && self.rate_limit.is_some();
        let is_too_early = now < self.log.changed_at + CHANGE_LOG_INTERVAL;
        if previous == self.rate_limit || (is_change_of_value && is_too_early) {
            return;
        }
        self.log.rate_limit = self.rate_limit;
        self.log.changed_at = now;
        log_event!(
            Event::RateLimitAnnounced,
            "instance={instance} per_second={} previous={}",
            rate_text(self.rate_limit),
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

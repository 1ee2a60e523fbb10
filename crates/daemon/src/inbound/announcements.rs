//! What the local backend announces in its responses: a rate limit, and that it is leaving.

use std::sync::Mutex;
use std::time::Duration;

use http::HeaderMap;
use tokio::sync::watch;
use wharfquay_core::call::CallContext;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::Priority;
use wharfquay_core::rate_limit::{AnnouncedLimit, ExchangeTimes, ResponseSource};
use wharfquay_core::time::Timestamp;
use wharfquay_protocol::announcement::{self, Announcement};
use wharfquay_protocol::headers as names;

use super::handler::UNAVAILABLE_RETRY_AFTER;
use crate::clock::Clock;
use crate::events::{Event, Quoted, log_event};
use crate::response::Failure;
use crate::sync::lock;

/// Time for which an announced leaving holds although the health endpoint does not show it. Ends so
/// that a backend that stays, or another one at its address, gets calls again.
const LEAVING_HOLD: Duration = Duration::from_secs(5);

/// Keeps the calls to the local backend within what it announces.
#[derive(Debug)]
pub(crate) struct BackendAnnouncements {
    clock: Clock,
    state: Mutex<State>,
    leaving: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct State {
    limit: AnnouncedLimit,
    /// Time at which the backend last announced that it is leaving.
    leaving_at: Timestamp,
    /// True if the health endpoint has announced a leaving, so that its silence withdraws one.
    is_leaving_in_health: bool,
    is_malformed: bool,
}

impl BackendAnnouncements {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
            leaving: watch::Sender::new(false),
        }
    }

    /// Returns the current time of the clock by which responses are read.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns a receiver that is true while the backend announces that it is leaving.
    pub(crate) fn leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// Refuses a call for which the limit leaves no room.
    ///
    /// # Errors
    /// The refusal, with a Retry-After that spreads the return of refused calls.
    pub(crate) fn check(&self, context: &CallContext) -> Result<(), Failure> {
        let (now, key) = (self.clock.now(), context.admission_key());
        let mut state = lock(&self.state);
        if state.limit.is_exhausted(now, key, context.progress()) {
            return Err(refusal(&mut state, now, context));
        }
        Ok(())
    }

    /// Counts a call that is about to be sent, and returns the time.
    ///
    /// # Errors
    /// The refusal if the backend is leaving or the limit leaves no room for the call.
    pub(super) fn admit(&self, context: &CallContext) -> Result<Timestamp, Failure> {
        if *self.leaving.borrow() {
            let code = ResultCode::Draining;
            return Err(Failure::with_retry_after(code, UNAVAILABLE_RETRY_AFTER));
        }
        let (now, key) = (self.clock.now(), context.admission_key());
        let mut state = lock(&self.state);
        if state.limit.admit(now, key, context.progress()) {
            Ok(now)
        } else {
            Err(refusal(&mut state, now, context))
        }
    }

    /// Returns the announced rate in requests per second; `None` if there is none.
    pub(crate) fn rate(&self) -> Option<f64> {
        lock(&self.state).limit.rate()
    }

    /// Returns the time for which the limit leaves no room for the calls of a priority.
    pub(crate) fn exhausted_for(&self, priority: Priority) -> Duration {
        let now = self.clock.now();
        lock(&self.state).limit.exhausted_for(now, priority)
    }

    /// Reads the headers of a response to a request that was sent at `sent_at`.
    pub(crate) fn read(&self, source: ResponseSource, sent_at: Timestamp, headers: &HeaderMap) {
        let times = ExchangeTimes {
            sent_at,
            received_at: self.clock.now(),
        };
        let mut state = lock(&self.state);
        read_rate_limit(&mut state, source, times, headers);
        self.read_leaving(&mut state, source, times, headers);
    }

    /// Reads whether the backend is leaving.
    fn read_leaving(
        &self,
        state: &mut State,
        source: ResponseSource,
        times: ExchangeTimes,
        headers: &HeaderMap,
    ) {
        let is_leaving = match announcement::leaving(headers, &names::LEAVING) {
            Announcement::Valid(()) => {
                state.leaving_at = times.received_at;
                state.is_leaving_in_health |= source == ResponseSource::HealthEndpoint;
                true
            }
            Announcement::Absent if state.is_withdrawn_by(source, times) => false,
            Announcement::Absent => return,
            Announcement::Malformed(value) => {
                log_malformed(state, &value);
                return;
            }
        };
        if self.leaving.send_replace(is_leaving) != is_leaving {
            log_event!(Event::BackendLeavingAnnounced, "leaving={is_leaving}");
        }
    }
}

impl State {
    /// Returns true if a response without the announcement shows that the backend is not leaving. Its
    /// request must have been sent after the last announcement. A health endpoint that never
    /// announced a leaving may not know of one that responses to calls announced.
    fn is_withdrawn_by(&self, source: ResponseSource, times: ExchangeTimes) -> bool {
        let is_informed = source == ResponseSource::Call || self.is_leaving_in_health;
        let is_held = times.sent_at < self.leaving_at + LEAVING_HOLD;
        times.sent_at >= self.leaving_at && (is_informed || !is_held)
    }
}

fn read_rate_limit(
    state: &mut State,
    source: ResponseSource,
    times: ExchangeTimes,
    headers: &HeaderMap,
) {
    let previous = state.limit.rate();
    match announcement::rate_limit(headers, &names::RATE_LIMIT) {
        Announcement::Absent => state.limit.record(source, times, None),
        Announcement::Valid(rate) => {
            state.limit.record(source, times, Some(rate));
            state.is_malformed = false;
        }
        Announcement::Malformed(value) => {
            state.limit.record_malformed(source, times);
            log_malformed(state, &value);
        }
    }
    let rate = state.limit.rate();
    if previous.is_some() != rate.is_some() {
        let per_second = rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        log_event!(Event::BackendRateLimited, "per_second={per_second}");
    }
}

/// Logs a malformed announcement, once until the next valid one.
fn log_malformed(state: &mut State, value: &str) {
    if !std::mem::replace(&mut state.is_malformed, true) {
        log_event!(
            Event::BackendAnnouncementMalformed,
            "value={}",
            Quoted(value)
        );
    }
}

fn refusal(state: &mut State, now: Timestamp, context: &CallContext) -> Failure {
    let key = context.admission_key();
    let retry_after = state.limit.refuse(now, key, rand::random());
    Failure::with_retry_after(ResultCode::RateLimited, retry_after)
}

//! The rate limit that the local backend announces in its responses.

use std::sync::Mutex;
use std::time::Duration;

use http::HeaderMap;
use wharfquay_core::call::CallContext;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::Priority;
use wharfquay_core::rate_limit::{AnnouncedLimit, ExchangeTimes, ResponseSource};
use wharfquay_core::time::Timestamp;
use wharfquay_protocol::announcement::{self, Announcement};
use wharfquay_protocol::headers as names;

use crate::clock::Clock;
use crate::events::{Event, Quoted, log_event};
use crate::response::Failure;
use crate::sync::lock;

/// Keeps the calls to the local backend within the rate limit that it announces.
#[derive(Debug)]
pub(crate) struct BackendRateLimit {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    limit: AnnouncedLimit,
    is_malformed: bool,
}

impl BackendRateLimit {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Mutex::default(),
        }
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
    /// The refusal if the limit leaves no room for it.
    pub(super) fn admit(&self, context: &CallContext) -> Result<Timestamp, Failure> {
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
    pub(super) fn read(&self, sent_at: Timestamp, headers: &HeaderMap) {
        let times = ExchangeTimes {
            sent_at,
            received_at: self.clock.now(),
        };
        let source = ResponseSource::Call;
        let mut state = lock(&self.state);
        let previous = state.limit.rate();
        match announcement::rate_limit(headers, &names::RATE_LIMIT) {
            Announcement::Absent => state.limit.record(source, times, None),
            Announcement::Valid(rate) => {
                state.limit.record(source, times, Some(rate));
                state.is_malformed = false;
            }
            Announcement::Malformed(value) => {
                state.limit.record_malformed(source, times);
                if !std::mem::replace(&mut state.is_malformed, true) {
                    log_event!(Event::BackendRateLimitMalformed, "value={}", Quoted(value));
                }
            }
        }
        let rate = state.limit.rate();
        if previous.is_some() != rate.is_some() {
            let per_second = rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
            log_event!(Event::BackendRateLimited, "per_second={per_second}");
        }
    }
}

fn refusal(state: &mut State, now: Timestamp, context: &CallContext) -> Failure {
    let key = context.admission_key();
    let retry_after = state.limit.refuse(now, key, rand::random());
    Failure::with_retry_after(ResultCode::RateLimited, retry_after)
}

//! A rate limit for log events.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::sync::lock;

/// Minimum time between two log lines of one rate-limited event.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Allows one event per second and counts the suppressed ones.
#[derive(Debug, Default)]
pub struct RateLimit {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    last: Option<Instant>,
    suppressed: u64,
}

impl RateLimit {
    /// Returns `None` if an event at `now` must be suppressed; otherwise the number of events that
    /// were suppressed since the last allowed one.
    pub fn allow(&self, now: Instant) -> Option<u64> {
        let mut state = lock(&self.state);
        let too_early = state
            .last
            .is_some_and(|last| now.saturating_duration_since(last) < LINE_INTERVAL);
        if too_early {
            state.suppressed += 1;
            return None;
        }
        state.last = Some(now);
        Some(std::mem::take(&mut state.suppressed))
    }
}

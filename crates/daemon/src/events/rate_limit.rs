//! A bound on how often an event is written.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::sync::lock;

/// Shortest time between two lines of one rate-limited event.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Lets one event through per interval and counts those that it holds back.
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
    /// Whether an event at `now` may be written; if so, how many were held back since the last one.
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

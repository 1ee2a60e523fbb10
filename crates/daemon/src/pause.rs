//! Detects pauses of this process: it was stopped by a signal or got no processor time.
//!
//! A deadline crosses a hop as the remaining time, which counts from the moment when the receiver
//! reads the call. If a call waits in a socket buffer while the receiver is paused, that time is
//! not counted, and its caller may be gone. Calls that are read shortly after a pause are therefore
//! assumed to have waited for the length of the pause.

use std::sync::Mutex;
use std::time::Duration;

use wharfquay_core::time::Timestamp;

use crate::sync::lock;

/// Time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time without a tick that counts as a pause.
pub const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Time after a pause in which calls that waited during the pause may still be read.
pub const POST_PAUSE_WINDOW: Duration = Duration::from_millis(50);

/// Detects pauses by late timer ticks.
#[derive(Debug)]
pub struct PauseDetector {
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug)]
struct State {
    last_tick: Timestamp,
    pause_ended: Option<Timestamp>,
    pause_length: Duration,
}

impl PauseDetector {
    /// Creates a detector that has detected no pause.
    #[must_use]
    pub const fn new(now: Timestamp) -> Self {
        Self {
            state: Mutex::new(State {
                last_tick: now,
                pause_ended: None,
                pause_length: Duration::ZERO,
            }),
        }
    }

    /// Records a tick and returns the length of the pause that it ends, if any.
    pub fn tick(&self, now: Timestamp) -> Option<Duration> {
        let mut state = lock(&self.state);
        let gap = now.saturating_since(state.last_tick);
        state.last_tick = now;
        if gap < MIN_PAUSE {
            return None;
        }
        state.pause_ended = Some(now);
        state.pause_length = gap;
        Some(gap)
    }

    /// Returns the longest time for which a message that is read at `now` may have waited unread.
    #[must_use]
    pub fn possible_wait(&self, now: Timestamp) -> Duration {
        let state = *lock(&self.state);
        let gap = now.saturating_since(state.last_tick);
        if gap >= MIN_PAUSE {
            return gap;
        }
        match state.pause_ended {
            Some(ended) if now.saturating_since(ended) < POST_PAUSE_WINDOW => state.pause_length,
            _ => Duration::ZERO,
        }
    }
}

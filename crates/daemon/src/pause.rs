//! Notices that this process was paused: frozen by a signal, or starved of processor time.
//!
//! A deadline crosses a hop as the time that remains, counted from when the receiver reads it. A call
//! that lay in a socket buffer while the receiver was paused has used up that time unnoticed, and its
//! caller may be gone. Calls that are read right after a pause are therefore taken to have waited for
//! as long as the pause lasted.

use std::sync::Mutex;
use std::time::Duration;

use wharfquay_core::time::Timestamp;

use crate::sync::lock;

/// Time between two beats.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time without a beat that counts as a pause.
pub const SHORTEST_PAUSE: Duration = Duration::from_millis(100);
/// Time after a pause in which calls that waited through it may still be read.
pub const AFTERMATH: Duration = Duration::from_millis(50);

/// Notices pauses from beats that come late.
#[derive(Debug)]
pub struct PauseDetector {
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug)]
struct State {
    last_beat: Timestamp,
    pause_ended: Option<Timestamp>,
    pause_length: Duration,
}

impl PauseDetector {
    /// A detector that has seen no pause.
    #[must_use]
    pub const fn new(now: Timestamp) -> Self {
        Self {
            state: Mutex::new(State {
                last_beat: now,
                pause_ended: None,
                pause_length: Duration::ZERO,
            }),
        }
    }

    /// Takes in a beat; gives the length of the pause that it ends, if any.
    pub fn beat(&self, now: Timestamp) -> Option<Duration> {
        let mut state = lock(&self.state);
        let gap = now.saturating_since(state.last_beat);
        state.last_beat = now;
        if gap < SHORTEST_PAUSE {
            return None;
        }
        state.pause_ended = Some(now);
        state.pause_length = gap;
        Some(gap)
    }

    /// Longest time that a message which is read at `now` may have waited unread.
    #[must_use]
    pub fn suspected_wait(&self, now: Timestamp) -> Duration {
        let state = *lock(&self.state);
        let gap = now.saturating_since(state.last_beat);
        if gap >= SHORTEST_PAUSE {
            return gap;
        }
        match state.pause_ended {
            Some(ended) if now.saturating_since(ended) < AFTERMATH => state.pause_length,
            _ => Duration::ZERO,
        }
    }
}

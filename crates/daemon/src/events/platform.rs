//! Tracks whether the platform responds and logs changes.

use std::fmt::Display;
use std::sync::Mutex;
use std::time::Instant;

use crate::events::{Event, Quoted, log_event};
use crate::sync::lock;

/// Whether the platform responded to the last read. Before the first read it counts as available.
#[derive(Debug, Default)]
pub struct PlatformHealth {
    unavailable_since: Mutex<Option<Instant>>,
}

impl PlatformHealth {
    /// Returns true if the platform responded to the last read.
    #[must_use]
    pub fn is_available(&self) -> bool {
        lock(&self.unavailable_since).is_none()
    }

    /// Records a read to which the platform responded.
    pub fn record_success(&self) {
        let since = lock(&self.unavailable_since).take();
        if let Some(since) = since {
            let after_ms = since.elapsed().as_millis();
            log_event!(Event::PlatformAvailable, "after_ms={after_ms}");
        }
    }

    /// Records a read without a response.
    pub fn record_failure(&self, error: &dyn Display) {
        let mut since = lock(&self.unavailable_since);
        if since.is_none() {
            *since = Some(Instant::now());
            log_event!(Event::PlatformUnavailable, "error={}", Quoted(error));
        }
    }
}

//! Whether the platform answers, written to the log when that changes.

use std::fmt::Display;
use std::sync::Mutex;
use std::time::Instant;

use crate::events::{Event, Quoted, log_event};
use crate::sync::lock;

/// Whether the platform answered last time; it counts as available before the first attempt.
#[derive(Debug, Default)]
pub struct PlatformHealth {
    unavailable_since: Mutex<Option<Instant>>,
}

impl PlatformHealth {
    /// Whether the last attempt was answered.
    #[must_use]
    pub fn is_available(&self) -> bool {
        lock(&self.unavailable_since).is_none()
    }

    /// Notes an attempt that the platform answered.
    pub fn answered(&self) {
        let since = lock(&self.unavailable_since).take();
        if let Some(since) = since {
            let after_ms = since.elapsed().as_millis();
            log_event!(Event::PlatformAvailable, "after_ms={after_ms}");
        }
    }

    /// Notes an attempt without an answer.
    pub fn failed(&self, error: &dyn Display) {
        let mut since = lock(&self.unavailable_since);
        if since.is_none() {
            *since = Some(Instant::now());
            log_event!(Event::PlatformUnavailable, "error={}", Quoted(error));
        }
    }
}

//! The monotonic clock that feeds the decision logic.

use std::time::Instant;

use wharfquay_core::time::Timestamp;

/// Maps the process's monotonic clock to [`Timestamp`]s and back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let elapsed = self.origin.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// The instant at which `timestamp` is reached, for use in timers.
    #[must_use]
    pub fn instant(&self, timestamp: Timestamp) -> tokio::time::Instant {
        let since_origin = timestamp.saturating_since(Timestamp::ZERO);
        let instant = self.origin.checked_add(since_origin);
        tokio::time::Instant::from_std(instant.unwrap_or(self.origin))
    }
}

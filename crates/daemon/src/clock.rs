//! The monotonic clock that feeds the decision logic.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use wharfquay_core::idempotency::clock::UnixMillis;
use wharfquay_core::time::Timestamp;

/// Maps the process's monotonic clock to [`Timestamp`]s and back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    started_at: UnixMillis,
}

impl Clock {
    /// A clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
            started_at: wall_clock(),
        }
    }

    /// Wall-clock time of the origin, which tells this process from an earlier one of the same id:
    /// the daemon's incarnation.
    #[must_use]
    pub const fn started_at(&self) -> UnixMillis {
        self.started_at
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

    /// Sleeps until a time; for ever when there is none.
    pub async fn sleep_until(&self, time: Option<Timestamp>) {
        match time {
            Some(time) => tokio::time::sleep_until(self.instant(time)).await,
            None => std::future::pending().await,
        }
    }
}

/// This machine's wall clock; the Unix epoch when it is set before that.
#[must_use]
pub fn wall_clock() -> UnixMillis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = elapsed.unwrap_or_default().as_millis();
    UnixMillis::new(u64::try_from(millis).unwrap_or(u64::MAX))
}

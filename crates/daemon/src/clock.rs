//! The clock that feeds the decision logic.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use wharfquay_clock::{DeadlinePassed, TimeSource, since_boot};
use wharfquay_core::idempotency::clock::UnixMillis;
use wharfquay_core::time::Timestamp;

/// The process's clock, with the time of day at which it was started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    steady: wharfquay_clock::Clock,
    started_at: UnixMillis,
}

impl Clock {
    /// A clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self::from_source(since_boot)
    }

    /// As [`Self::start`], on another source of time.
    #[must_use]
    pub fn from_source(source: TimeSource) -> Self {
        Self {
            steady: wharfquay_clock::Clock::from_source(source),
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
        self.steady.now()
    }

    /// The instant at which `timestamp` is reached, for timers that start now.
    #[must_use]
    pub fn instant(&self, timestamp: Timestamp) -> tokio::time::Instant {
        self.steady.instant(timestamp)
    }

    /// Sleeps until a time; for ever when there is none.
    pub async fn sleep_until(&self, time: Option<Timestamp>) {
        self.steady.sleep_until(time).await;
    }

    /// Waits for a future until a deadline.
    ///
    /// # Errors
    /// [`DeadlinePassed`], after which the future is dropped.
    pub async fn timeout_at<F: Future>(
        &self,
        deadline: Timestamp,
        future: F,
    ) -> Result<F::Output, DeadlinePassed> {
        self.steady.timeout_at(deadline, future).await
    }

    /// Wakes what waits for deadlines when the machine was suspended, and tells for how long; never ends.
    pub async fn watch_suspensions(self, observe: impl Fn(Duration)) {
        wharfquay_clock::watch_suspensions(self.steady, observe).await;
    }
}

/// This machine's wall clock; the Unix epoch when it is set before that.
#[must_use]
pub fn wall_clock() -> UnixMillis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = elapsed.unwrap_or_default().as_millis();
    UnixMillis::new(u64::try_from(millis).unwrap_or(u64::MAX))
}

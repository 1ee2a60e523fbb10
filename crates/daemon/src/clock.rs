//! The clock that provides timestamps to the decision logic.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use wharfquay_clock::{DeadlinePassed, TimeSource, since_boot};
use wharfquay_core::idempotency::clock::UnixMillis;
use wharfquay_core::time::Timestamp;

/// Monotonic clock of this process, which also counts the time during which the machine is
/// suspended, with the wall-clock time at which it was started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    monotonic: wharfquay_clock::Clock,
    started_at: UnixMillis,
}

impl Clock {
    /// Creates a clock that counts from the current time.
    #[must_use]
    pub fn start() -> Self {
        Self::from_source(since_boot)
    }

    /// Creates a clock like [`Self::start`] from another time source.
    #[must_use]
    pub fn from_source(source: TimeSource) -> Self {
        Self {
            monotonic: wharfquay_clock::Clock::from_source(source),
            started_at: wall_clock(),
        }
    }

    /// Returns the wall-clock time at which the clock was started. As the daemon's incarnation, it
    /// distinguishes this process from earlier ones with the same id.
    #[must_use]
    pub const fn started_at(&self) -> UnixMillis {
        self.started_at
    }

    /// Returns the time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.monotonic.now()
    }

    /// Returns the tokio instant at which `timestamp` is reached, for timers that start now.
    #[must_use]
    pub fn instant(&self, timestamp: Timestamp) -> tokio::time::Instant {
        self.monotonic.instant(timestamp)
    }

    /// Sleeps until a time; never returns if there is none.
    pub async fn sleep_until(&self, time: Option<Timestamp>) {
        self.monotonic.sleep_until(time).await;
    }

    /// Runs a future until a deadline.
    ///
    /// # Errors
    /// [`DeadlinePassed`] if the future is not ready by then; it is dropped.
    pub async fn timeout_at<F: Future>(
        &self,
        deadline: Timestamp,
        future: F,
    ) -> Result<F::Output, DeadlinePassed> {
        self.monotonic.timeout_at(deadline, future).await
    }

    /// Wakes the tasks that wait for deadlines after the machine was suspended, and calls `observe`
    /// with the length of the suspension; never returns.
    pub async fn watch_suspensions(self, observe: impl Fn(Duration)) {
        wharfquay_clock::watch_suspensions(self.monotonic, observe).await;
    }
}

/// Returns the time of this machine's wall clock, or the Unix epoch if the clock is set to an
/// earlier time.
#[must_use]
pub fn wall_clock() -> UnixMillis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = elapsed.unwrap_or_default().as_millis();
    UnixMillis::new(u64::try_from(millis).unwrap_or(u64::MAX))
}

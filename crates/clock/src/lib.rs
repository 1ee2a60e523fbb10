//! Monotonic time that includes the time during which the machine is suspended.
//!
//! The monotonic clock of the standard library, and with it every timer, stops while the machine is
//! suspended. For other machines that time has passed: leases have expired and callers have given
//! up. [`Clock`] therefore measures ages and deadlines, and tasks that wait for a deadline check it
//! again when the process detects a suspension.

mod source;
mod suspension;

use std::time::Duration;

use wharfquay_core::time::Timestamp;

pub use source::{TimeSource, since_boot};
pub use suspension::{SUSPENSION_CHECK_INTERVAL, watch_suspensions};

/// Clock that maps the time since boot to [`Timestamp`]s, and these to timer instants.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: TimeSource,
    origin: Duration,
}

/// An error that occurs when a deadline passes before a future completes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeadlinePassed;

impl Clock {
    /// Creates a clock whose origin is the current time.
    #[must_use]
    pub fn start() -> Self {
        Self::from_source(since_boot)
    }

    /// Creates a clock whose origin is the current time of another time source.
    #[must_use]
    pub fn from_source(source: TimeSource) -> Self {
        Self {
            source,
            origin: source(),
        }
    }

    /// Returns the current time, counted from the clock's origin.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + (self.source)().saturating_sub(self.origin)
    }

    /// Returns the timer instant that corresponds to `timestamp`. It is valid for timers that start
    /// now, and only until the machine is suspended.
    #[must_use]
    pub fn instant(&self, timestamp: Timestamp) -> tokio::time::Instant {
        let (steady, now) = (tokio::time::Instant::now(), self.now());
        let passed = now.saturating_since(timestamp);
        let passed_at = steady.checked_sub(passed).unwrap_or(steady);
        passed_at + timestamp.saturating_since(now)
    }

    /// Sleeps until `time`, or forever if it is `None`.
    pub async fn sleep_until(&self, time: Option<Timestamp>) {
        let Some(time) = time else {
            return std::future::pending().await;
        };
        let mut suspensions = suspension::subscribe_suspensions();
        while self.now() < time {
            tokio::select! {
                () = tokio::time::sleep_until(self.instant(time)) => {}
                () = suspension::next_suspension(&mut suspensions) => {}
            }
        }
    }

    /// Waits for a future until a deadline. A future that completes at the deadline takes
    /// precedence.
    ///
    /// # Errors
    /// Returns [`DeadlinePassed`] if the deadline passes first. The future is then dropped.
    pub async fn timeout_at<F: Future>(
        &self,
        deadline: Timestamp,
        future: F,
    ) -> Result<F::Output, DeadlinePassed> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.sleep_until(Some(deadline)) => Err(DeadlinePassed),
        }
    }
}

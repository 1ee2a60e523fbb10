//! Time that never jumps and counts the time for which the machine is suspended.
//!
//! The steady clock of the standard library, and with it every timer, stands still while the machine is suspended. To
//! the others that time has passed: leases have run out, callers have given up. So ages and deadlines are reckoned by
//! [`Clock`], and what waits for a deadline looks at it again when the process learns that it was suspended.

mod resume;
mod source;

use std::time::Duration;

use wharfquay_core::time::Timestamp;

pub use resume::{SUSPENSION_CHECK_INTERVAL, watch_suspensions};
pub use source::{TimeSource, since_boot};

/// Maps the time since the machine's boot to [`Timestamp`]s, and these to timers.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: TimeSource,
    origin: Duration,
}

/// The deadline passed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeadlinePassed;

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
            source,
            origin: source(),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + (self.source)().saturating_sub(self.origin)
    }

    /// The instant at which `timestamp` is reached, unless the machine is suspended before: for timers that start now.
    #[must_use]
    pub fn instant(&self, timestamp: Timestamp) -> tokio::time::Instant {
        let (steady, now) = (tokio::time::Instant::now(), self.now());
        let passed = now.saturating_since(timestamp);
        let passed_at = steady.checked_sub(passed).unwrap_or(steady);
        passed_at + timestamp.saturating_since(now)
    }

    /// Sleeps until a time; for ever when there is none.
    pub async fn sleep_until(&self, time: Option<Timestamp>) {
        let Some(time) = time else {
            return std::future::pending().await;
        };
        let mut resumes = resume::subscribe();
        while self.now() < time {
            tokio::select! {
                () = tokio::time::sleep_until(self.instant(time)) => {}
                () = resume::next(&mut resumes) => {}
            }
        }
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
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.sleep_until(Some(deadline)) => Err(DeadlinePassed),
        }
    }
}

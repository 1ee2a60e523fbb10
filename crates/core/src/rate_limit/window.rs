//! Sliding window over the arrivals at one backend.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Length of the window over which arrivals are compared with the announced rate.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Minimum time between two recorded rates; of those that follow faster, the last one counts.
const RATE_INTERVAL: Duration = Duration::from_millis(20);
/// Arrivals allowed beyond what the rates add up to. A rate below one call per window needs it.
const EXTRA_ARRIVALS: f64 = 1.0;
/// Tolerance for rounding errors when arrivals are compared with a sum of rates.
const ROUNDING: f64 = 1e-6;

/// A rate and the time from which it applied.
#[derive(Clone, Copy, Debug)]
struct RatePeriod {
    since: Timestamp,
    per_second: f64,
}

/// Arrivals in the last window and the rates that applied there, the oldest first.
#[derive(Clone, Debug)]
pub(super) struct ArrivalWindow {
    arrivals: VecDeque<Timestamp>,
    rates: VecDeque<RatePeriod>,
}

impl ArrivalWindow {
    /// Creates a window in which no arrivals are allowed before `now`.
    pub(super) fn new(now: Timestamp, per_second: f64) -> Self {
        Self {
            arrivals: VecDeque::new(),
            rates: VecDeque::from([RatePeriod {
                since: now,
                per_second,
            }]),
        }
    }

    /// Applies another rate from `now` on.
    pub(super) fn set_rate(&mut self, now: Timestamp, per_second: f64) {
        self.drop_outdated(now);
        match self.rates.back_mut() {
            Some(last) if now < last.since + RATE_INTERVAL => last.per_second = per_second,
            _ => self.rates.push_back(RatePeriod {
                since: now,
                per_second,
            }),
        }
    }

    /// Counts an arrival.
    pub(super) fn record_arrival(&mut self, now: Timestamp) {
        self.arrivals.push_back(now);
    }

    /// Returns the time until `wanted` further arrivals are allowed; zero if they are now.
    pub(super) fn until_room(&mut self, now: Timestamp, wanted: f64) -> Duration {
        self.drop_outdated(now);
        let missing = wanted - self.room(now);
        if missing <= ROUNDING {
            return Duration::ZERO;
        }
        self.until_allowed(now, missing)
            .min(self.until_left(now, missing))
    }

    /// Returns the number of further arrivals that are allowed now.
    fn room(&self, now: Timestamp) -> f64 {
        let start = now - WINDOW;
        let mut allowed = EXTRA_ARRIVALS;
        let mut end = now;
        for period in self.rates.iter().rev() {
            let length = end.saturating_since(period.since.max(start));
            allowed += period.per_second * length.as_secs_f64();
            end = period.since;
        }
        allowed - self.arrivals.len() as f64
    }

    /// Returns the time until the current rate allows `missing` further arrivals. The sum no longer
    /// grows once the rate has applied for a whole window.
    fn until_allowed(&self, now: Timestamp, missing: f64) -> Duration {
        let Some(last) = self.rates.back() else {
            return Duration::MAX;
        };
        let wait = Duration::try_from_secs_f64(missing / last.per_second);
        let wait = wait.unwrap_or(Duration::MAX);
        let applied = now.saturating_since(last.since);
        if applied.saturating_add(wait) <= WINDOW {
            wait
        } else {
            Duration::MAX
        }
    }

    /// Returns the time until `missing` arrivals have left the window.
    fn until_left(&self, now: Timestamp, missing: f64) -> Duration {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "`missing` is above zero, and a cast of a larger number saturates"
        )]
        let count = (missing - ROUNDING).ceil() as usize;
        let last = self.arrivals.get(count.saturating_sub(1));
        last.map_or(WINDOW, |arrived| (*arrived + WINDOW).saturating_since(now))
    }

    fn drop_outdated(&mut self, now: Timestamp) {
        let start = now - WINDOW;
        while self.arrivals.front().is_some_and(|at| *at <= start) {
            self.arrivals.pop_front();
        }
        while self
            .rates
            .get(1)
            .is_some_and(|second| second.since <= start)
        {
            self.rates.pop_front();
        }
    }
}

//! Slowdown of a backend and its mean over the time of an execution.

use std::time::Duration;

use crate::time::Timestamp;

use super::REPORT_LIFETIME;

/// Share of an execution for which the slowdown must be known for its mean to be used.
const MIN_KNOWN_SHARE: f64 = 0.5;

/// Time that work takes at the moment, in percent of the usual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slowdown(u16);

impl Slowdown {
    /// Work takes the usual time.
    pub const USUAL: Self = Self(100);
    /// Largest valid value: work takes a hundred times as long as usual.
    pub const MAX_PERCENT: u16 = 10_000;

    /// Creates a slowdown; `None` if the value is zero or larger than [`Self::MAX_PERCENT`].
    #[must_use]
    pub const fn from_percent(percent: u16) -> Option<Self> {
        if percent == 0 || percent > Self::MAX_PERCENT {
            return None;
        }
        Some(Self(percent))
    }

    /// Returns the value in percent.
    #[must_use]
    pub const fn percent(self) -> u16 {
        self.0
    }

    /// Returns the factor by which the usual time is multiplied.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// Slowdown of one backend over time. Each report holds from its reception to the next one, and no
/// longer than [`REPORT_LIFETIME`].
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowdownHistory {
    current: Option<Current>,
    updated_at: Timestamp,
    /// Integral of the slowdown factor over the time for which it was known, in seconds.
    weighted: f64,
    /// Time for which the slowdown was known, in seconds.
    known: f64,
}

#[derive(Clone, Copy, Debug)]
struct Current {
    slowdown: Slowdown,
    expires: Timestamp,
}

/// State of a [`SlowdownHistory`] at the start of an execution.
#[derive(Clone, Copy, Debug)]
pub struct SlowdownMark {
    at: Timestamp,
    weighted: f64,
    known: f64,
}

impl SlowdownHistory {
    /// Records a report that was received at `now`; `None` if it has no slowdown.
    pub fn record(&mut self, now: Timestamp, slowdown: Option<Slowdown>) {
        self.advance(now);
        let expires = now + REPORT_LIFETIME;
        self.current = slowdown.map(|slowdown| Current { slowdown, expires });
    }

    /// Returns the slowdown at `now`; `None` if it is unknown.
    #[must_use]
    pub fn present(&self, now: Timestamp) -> Option<Slowdown> {
        let current = self.current.filter(|current| now < current.expires);
        current.map(|current| current.slowdown)
    }

    /// Returns a mark from which [`Self::mean_since`] computes the mean.
    pub fn mark(&mut self, now: Timestamp) -> SlowdownMark {
        self.advance(now);
        SlowdownMark {
            at: now,
            weighted: self.weighted,
            known: self.known,
        }
    }

    /// Returns the mean factor from `mark` to `now`; `None` if it was unknown for too much of that
    /// time.
    pub fn mean_since(&mut self, mark: &SlowdownMark, now: Timestamp) -> Option<f64> {
        self.advance(now);
        let elapsed = now.saturating_since(mark.at).as_secs_f64();
        let known = self.known - mark.known;
        let is_known = known > 0.0 && known >= elapsed * MIN_KNOWN_SHARE;
        is_known.then(|| (self.weighted - mark.weighted) / known)
    }

    fn advance(&mut self, now: Timestamp) {
        if let Some(current) = self.current {
            let until = now.min(current.expires);
            let elapsed: Duration = until.saturating_since(self.updated_at);
            self.known += elapsed.as_secs_f64();
            self.weighted += elapsed.as_secs_f64() * current.slowdown.factor();
        }
        self.updated_at = self.updated_at.max(now);
    }
}

//! The bound on repeats as a back end's own side keeps it: a sliding window over what arrived there.
//!
//! The deployment bounds the repeats that a service bears, from all callers together. Each sidecar admits
//! repeats to its back end in proportion to the first arrivals there, so the sum holds for any number of
//! callers, any spread of requests, and restarts, without a message.

use std::collections::VecDeque;
use std::time::Duration;

use crate::priority::Priority;
use crate::time::Timestamp;

/// Parts into which a window is cut.
const BINS: u64 = 40;
/// Part of the ratio that is used. Windows of any phase count, and this one moves by whole bins.
const SAFETY_SHARE: f64 = 0.85;
/// Part of the bound that calls below the highest priority may use.
const LOWER_PRIORITY_SHARE: f64 = 0.6;

/// Arrivals in one part of the window.
#[derive(Clone, Copy, Debug)]
struct Bin {
    number: u64,
    first: u64,
    repeated: u64,
}

/// Counts the arrivals at one back end and tells which repeats it may get.
#[derive(Clone, Debug)]
pub struct RepeatWindow {
    ratio: f64,
    bin_length: Duration,
    bins: VecDeque<Bin>,
}

impl RepeatWindow {
    /// A window in which nothing arrived. `ratio` is the number of repeats for each first arrival in any
    /// window of length `window`.
    #[must_use]
    pub fn new(ratio: f64, window: Duration) -> Self {
        Self {
            ratio,
            bin_length: (window / BINS as u32).max(Duration::from_millis(1)),
            bins: VecDeque::new(),
        }
    }

    /// Counts a call that is sent to the back end for the first time.
    pub fn first_arrival(&mut self, now: Timestamp) {
        self.current(now).first += 1;
    }

    /// Counts a repeat and lets it pass, if the bound leaves room for one of this priority.
    #[must_use]
    pub fn admit_repeat(&mut self, now: Timestamp, priority: Priority) -> bool {
        let share = if priority == Priority::HIGHEST {
            1.0
        } else {
            LOWER_PRIORITY_SHARE
        };
        let fits = (self.repeated(now) + 1) as f64 <= self.allowed(now) * share;
        if fits {
            self.current(now).repeated += 1;
        }
        fits
    }

    /// Repeats of the highest priority that would be let pass now.
    #[must_use]
    pub fn left(&mut self, now: Timestamp) -> u64 {
        (self.allowed(now) as u64).saturating_sub(self.repeated(now))
    }

    /// Repeats that the first arrivals of the last window allow. The part of the window that is cut by its
    /// beginning does not count.
    fn allowed(&mut self, now: Timestamp) -> f64 {
        let newest = self.current(now).number;
        let whole = self.bins.iter().filter(|bin| bin.number + BINS > newest);
        let first: u64 = whole.map(|bin| bin.first).sum();
        first as f64 * self.ratio * SAFETY_SHARE
    }

    /// Repeats of the last window, with the part that is cut by its beginning.
    fn repeated(&mut self, now: Timestamp) -> u64 {
        self.current(now);
        self.bins.iter().map(|bin| bin.repeated).sum()
    }

    /// The part of the window that `now` lies in, after those that have left the window are gone.
    fn current(&mut self, now: Timestamp) -> &mut Bin {
        let number = now.as_micros() / self.bin_length.as_micros() as u64;
        while self
            .bins
            .front()
            .is_some_and(|bin| bin.number + BINS < number)
        {
            self.bins.pop_front();
        }
        let is_known = self.bins.back().is_some_and(|bin| bin.number >= number);
        if !is_known {
            self.bins.push_back(Bin {
                number,
                first: 0,
                repeated: 0,
            });
        }
        let last = self.bins.len() - 1;
        &mut self.bins[last]
    }
}

//! Limit on repeats at one backend: a sliding window over the arrivals there.
//!
//! The deployment limits the repeats that a service accepts from all callers together. Each sidecar
//! admits repeats to its backend in proportion to the first arrivals there. The sum over all
//! backends therefore stays within the limit for any number of callers, any distribution of
//! requests and across restarts, without messages between sidecars.

use std::collections::VecDeque;
use std::time::Duration;

use crate::priority::Priority;
use crate::time::Timestamp;

/// Number of bins in a window.
const BINS: u64 = 40;
/// Share of the ratio that is used. The limit applies to windows at any offset, whereas this window
/// moves by whole bins.
const SAFETY_SHARE: f64 = 0.85;
/// Share of the limit that calls below the highest priority may use.
const LOWER_PRIORITY_SHARE: f64 = 0.6;

/// Arrivals in one bin of the window.
#[derive(Clone, Copy, Debug)]
struct Bin {
    /// Start of the bin as a multiple of the bin length.
    number: u64,
    /// Calls that arrived for the first time.
    originals: u64,
    /// Admitted repeats of calls that had arrived before.
    repeats: u64,
}

/// Counts the arrivals at one backend and decides which repeats it may get.
#[derive(Clone, Debug)]
pub struct RepeatWindow {
    ratio: f64,
    bin_length: Duration,
    bins: VecDeque<Bin>,
}

impl RepeatWindow {
    /// Creates an empty window. `ratio` is the number of repeats allowed for each first arrival in
    /// any window of length `window`.
    #[must_use]
    pub fn new(ratio: f64, window: Duration) -> Self {
        Self {
            ratio,
            bin_length: (window / BINS as u32).max(Duration::from_millis(1)),
            bins: VecDeque::new(),
        }
    }

    /// Counts a call that is sent to the backend for the first time.
    pub fn first_arrival(&mut self, now: Timestamp) {
        self.current(now).originals += 1;
    }

    /// Admits and counts a repeat if the limit leaves room for one of this priority.
    #[must_use]
    pub fn admit_repeat(&mut self, now: Timestamp, priority: Priority) -> bool {
        let share = if priority == Priority::HIGHEST {
            1.0
        } else {
            LOWER_PRIORITY_SHARE
        };
        let fits = (self.repeats(now) + 1) as f64 <= self.allowed(now) * share;
        if fits {
            self.current(now).repeats += 1;
        }
        fits
    }

    /// Returns the number of repeats of the highest priority that would be admitted now.
    #[must_use]
    pub fn remaining(&mut self, now: Timestamp) -> u64 {
        (self.allowed(now) as u64).saturating_sub(self.repeats(now))
    }

    /// Returns the number of repeats allowed by the calls that arrived for the first time within
    /// the last window. The oldest bin, only partly in the window, is not counted, so this errs
    /// downwards.
    fn allowed(&mut self, now: Timestamp) -> f64 {
        let newest = self.current(now).number;
        let complete_bins = self.bins.iter().filter(|bin| bin.number + BINS > newest);
        let originals: u64 = complete_bins.map(|bin| bin.originals).sum();
        originals as f64 * self.ratio * SAFETY_SHARE
    }

    /// Returns the number of repeats within the last window. The oldest bin, only partly in the
    /// window, is counted, so this errs upwards.
    fn repeats(&mut self, now: Timestamp) -> u64 {
        self.current(now);
        self.bins.iter().map(|bin| bin.repeats).sum()
    }

    /// Returns the bin that contains `now`, after removing those that have left the window.
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
                originals: 0,
                repeats: 0,
            });
        }
        let last = self.bins.len() - 1;
        &mut self.bins[last]
    }
}

//! The controller that sets a back end's admission level.
//!
//! Calls are counted by key. The queue may refuse a small share of what is offered to it, so that it
//! never runs dry. Above that share the level closes so far that fewer calls arrive; below it the
//! level reopens over as many calls as there is headroom for, counted by key as they arrived of
//! late. Since keys are ordered by priority and then by rank, the least important calls are the
//! first to be closed out and the last to be let in again.

use std::time::Duration;

use crate::priority::{AdmissionKey, AdmissionLevel};
use crate::time::Timestamp;

/// Keys in one bucket of the histogram.
const KEYS_PER_BUCKET: u16 = 64;
/// Buckets of the histogram.
const BUCKETS: usize = (AdmissionKey::COUNT / KEYS_PER_BUCKET) as usize;
/// Share of the offered calls that the queue may refuse.
const TARGET_REFUSED_SHARE: f64 = 0.05;
/// Weight of past intervals in the shares of refused calls and of used slots.
const SHARE_MEMORY: f64 = 0.7;
/// Weight of past intervals in the histogram of keys.
const HISTOGRAM_MEMORY: f64 = 0.9;
/// Part of the distance to the target by which the level closes in one interval.
const CLOSING_GAIN: f64 = 0.5;
/// Share of the admitted calls by which the level reopens at no refusals and no free slot.
const REOPENING_GAIN: f64 = 0.05;
/// Keys by which the level reopens at most in an interval without a free slot.
const SMALLEST_STEP: f64 = 256.0;
/// Keys by which the level reopens at most in an interval without load.
const LARGEST_STEP: f64 = 8_192.0;

/// Sets the admission level from what the queue had to refuse and from the use of the limit.
#[derive(Clone, Debug)]
pub struct LevelController {
    interval: Duration,
    next_adjustment: Timestamp,
    level: AdmissionLevel,
    arrivals: Vec<f64>,
    refused: f64,
    dispatched: f64,
    utilisation: f64,
    utilisation_samples: f64,
}

impl LevelController {
    /// An open level, adjusted once per `interval`.
    #[must_use]
    pub fn new(interval: Duration, now: Timestamp) -> Self {
        Self {
            interval,
            next_adjustment: now + interval,
            level: AdmissionLevel::OPEN,
            arrivals: vec![0.0; BUCKETS],
            refused: 0.0,
            dispatched: 0.0,
            utilisation: 0.0,
            utilisation_samples: 0.0,
        }
    }

    /// The level in force.
    #[must_use]
    pub const fn level(&self) -> AdmissionLevel {
        self.level
    }

    /// When the level is to be adjusted next.
    #[must_use]
    pub const fn next_adjustment(&self) -> Timestamp {
        self.next_adjustment
    }

    /// Counts an arrival, whether the level admits it or not.
    pub fn arrived(&mut self, key: AdmissionKey) {
        self.arrivals[bucket_of(key.number())] += 1.0;
    }

    /// Counts a call that the queue refused, displaced or dropped.
    pub fn refused(&mut self) {
        self.refused += 1.0;
    }

    /// Counts a dispatched call.
    pub fn dispatched(&mut self) {
        self.dispatched += 1.0;
    }

    /// Takes in the use of the concurrency limit, 0 to 1.
    pub fn utilisation(&mut self, share: f64) {
        self.utilisation += share;
        self.utilisation_samples += 1.0;
    }

    /// Adjusts the level when its time has come.
    pub fn advance(&mut self, now: Timestamp) {
        if now < self.next_adjustment {
            return;
        }
        self.next_adjustment = now + self.interval;
        let offered = self.refused + self.dispatched;
        let refused = if offered > 0.0 {
            self.refused / offered
        } else {
            0.0
        };
        if refused > TARGET_REFUSED_SHARE {
            self.close((refused - TARGET_REFUSED_SHARE) * CLOSING_GAIN);
        } else {
            self.reopen(1.0 - refused / TARGET_REFUSED_SHARE);
        }
        self.fade();
    }

    /// Lowers the level so that this share of the recently admitted arrivals lies above it.
    fn close(&mut self, share: f64) {
        let mut surplus = self.admitted() * share;
        let mut bucket = bucket_of(self.level.number().saturating_sub(1));
        while bucket > 0 {
            surplus -= self.arrivals[bucket];
            if surplus < 0.0 {
                break;
            }
            bucket -= 1;
        }
        let number = (bucket as u16 + 1) * KEYS_PER_BUCKET;
        self.level = self.level.min(AdmissionLevel::new(number));
    }

    /// Raises the level over as many recent arrivals as there is headroom for. `slack` is 1 when
    /// nothing was refused and 0 at the target.
    fn reopen(&mut self, slack: f64) {
        if self.level == AdmissionLevel::OPEN {
            return;
        }
        let headroom = self.headroom();
        let mut room = self.admitted() * (REOPENING_GAIN * slack + headroom);
        let step = SMALLEST_STEP + (LARGEST_STEP - SMALLEST_STEP) * headroom * headroom;
        let farthest = f64::from(self.level.number()) + step.max(f64::from(KEYS_PER_BUCKET));
        let last = bucket_of(farthest.min(f64::from(AdmissionKey::COUNT)) as u16 - 1);
        let mut bucket = bucket_of(self.level.number());
        while bucket < last {
            room -= self.arrivals[bucket];
            if room < 0.0 {
                break;
            }
            bucket += 1;
        }
        let number = (bucket as u16 + 1) * KEYS_PER_BUCKET;
        self.level = self.level.max(AdmissionLevel::new(number));
    }

    /// Recent arrivals below the level.
    fn admitted(&self) -> f64 {
        let buckets = usize::from(self.level.number() / KEYS_PER_BUCKET);
        self.arrivals[..buckets].iter().sum()
    }

    /// Share of the limit that was free, 0 to 1.
    fn headroom(&self) -> f64 {
        if self.utilisation_samples <= 0.0 {
            return 1.0;
        }
        (1.0 - self.utilisation / self.utilisation_samples).clamp(0.0, 1.0)
    }

    fn fade(&mut self) {
        self.refused *= SHARE_MEMORY;
        self.dispatched *= SHARE_MEMORY;
        self.utilisation *= SHARE_MEMORY;
        self.utilisation_samples *= SHARE_MEMORY;
        for count in &mut self.arrivals {
            *count *= HISTOGRAM_MEMORY;
        }
    }
}

const fn bucket_of(number: u16) -> usize {
    (number / KEYS_PER_BUCKET) as usize
}

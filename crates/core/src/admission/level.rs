//! The controller that sets a back end's admission level.
//!
//! Calls are counted by key. When calls had to be refused from the queue, the level closes so far
//! that the calls below it are about those that were dispatched; while there is headroom it reopens
//! by a share that grows with the headroom.

use std::time::Duration;

use crate::priority::{AdmissionKey, AdmissionLevel};
use crate::time::Timestamp;

/// Keys in one bucket of the histogram.
const KEYS_PER_BUCKET: u16 = 64;
/// Buckets of the histogram.
const BUCKETS: usize = (AdmissionKey::COUNT / KEYS_PER_BUCKET) as usize;
/// Share of the arrivals that may be refused by the queue, so that it never runs dry.
const TARGET_REFUSED_SHARE: f64 = 0.05;
/// Weight of past intervals in the histogram.
const MEMORY: f64 = 0.7;
/// Keys by which the level reopens in an interval without load.
const LARGEST_STEP: f64 = 4_096.0;
/// Keys by which the level reopens in an interval with hardly any headroom.
const SMALLEST_STEP: f64 = 64.0;

/// Sets the admission level from what the queue had to refuse and from the use of the limit.
#[derive(Clone, Debug)]
pub struct LevelController {
    interval: Duration,
    next_adjustment: Timestamp,
    level: AdmissionLevel,
    arrivals: Vec<f64>,
    refused: f64,
    dispatched: f64,
    busy_share: f64,
    busy_samples: f64,
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
            busy_share: 0.0,
            busy_samples: 0.0,
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

    /// Counts an arrival that the level admitted.
    pub fn arrived(&mut self, key: AdmissionKey) {
        self.arrivals[usize::from(key.number() / KEYS_PER_BUCKET)] += 1.0;
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
        self.busy_share += share;
        self.busy_samples += 1.0;
    }

    /// Adjusts the level when its time has come.
    pub fn advance(&mut self, now: Timestamp) {
        if now < self.next_adjustment {
            return;
        }
        self.next_adjustment = now + self.interval;
        let offered = self.refused + self.dispatched;
        if offered > 0.0 && self.refused > offered * TARGET_REFUSED_SHARE {
            self.close(1.0 - self.refused / offered + TARGET_REFUSED_SHARE);
        } else {
            self.reopen();
        }
        self.fade();
    }

    /// Lowers the level so that this share of the recent arrivals lies below it.
    fn close(&mut self, share: f64) {
        let total: f64 = self.arrivals.iter().sum();
        let wanted = total * share;
        let mut sum = 0.0;
        for (bucket, count) in self.arrivals.iter().enumerate() {
            sum += count;
            if sum >= wanted {
                let number = (bucket as u16 + 1) * KEYS_PER_BUCKET;
                self.level = self.level.min(AdmissionLevel::new(number));
                return;
            }
        }
    }

    /// Raises the level by a step that grows with the headroom.
    fn reopen(&mut self) {
        if self.level == AdmissionLevel::OPEN {
            return;
        }
        let busy = if self.busy_samples > 0.0 {
            self.busy_share / self.busy_samples
        } else {
            0.0
        };
        let headroom = (1.0 - busy).clamp(0.0, 1.0);
        let step = SMALLEST_STEP + (LARGEST_STEP - SMALLEST_STEP) * headroom * headroom;
        let number = f64::from(self.level.number()) + step;
        self.level = AdmissionLevel::new(number.min(f64::from(AdmissionKey::COUNT)) as u16);
    }

    /// Forgets the interval and fades the histogram.
    fn fade(&mut self) {
        self.refused = 0.0;
        self.dispatched = 0.0;
        self.busy_share = 0.0;
        self.busy_samples = 0.0;
        for count in &mut self.arrivals {
            *count *= MEMORY;
        }
    }
}

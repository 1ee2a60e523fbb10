//! The controller that sets a back end's admission level.
//!
//! It computes how many calls per second the back end can take: the rate at which it takes calls
//! now, over the used share of its limit, corrected so that the queue comes to a small length at
//! which it never runs dry. The level is then placed so that the calls below it arrive at that
//! rate. Ranks are spread evenly over the calls of a priority, so what arrives below the level tells
//! how many calls of that priority there are in all, even when callers refuse the rest early.

use std::time::Duration;

use crate::admission::controller::{OfferedCall, Standing};
use crate::priority::{AdmissionKey, AdmissionLevel, Priority, Rank};
use crate::time::Timestamp;

/// Weight of past intervals in rates and shares.
const MEMORY: f64 = 0.7;
/// Weight of past intervals in the rate of a priority of which hardly any call is admitted.
const UNSEEN_MEMORY: f64 = 0.95;
/// Admitted share of a priority below which its rate can't be told.
const SMALLEST_SEEN_SHARE: f64 = 0.05;
/// Length of the queue that is aimed at, as a share of the concurrency limit.
const QUEUE_SHARE: f64 = 1.5;
/// Intervals in which the queue is brought to the length that is aimed at.
const CORRECTION_INTERVALS: f64 = 4.0;
/// Share by which the capacity is overestimated, so that free slots are found.
const PROBE_SHARE: f64 = 0.05;
/// Keys by which the level rises at most in an interval, without headroom.
const SMALLEST_STEP: f64 = 256.0;
/// Keys by which the level rises at most in an interval with everything free.
const LARGEST_STEP: f64 = 8_192.0;
/// Used share below which the capacity is not extrapolated further.
const SMALLEST_UTILISATION: f64 = 0.05;

/// Sets the admission level from arrivals, dispatches, the queue and the use of the limit.
#[derive(Clone, Debug)]
pub struct LevelController {
    interval: Duration,
    next_adjustment: Timestamp,
    /// The level with a fraction, so that small steps add up.
    level: f64,
    /// Calls that arrived in this interval by priority, each counted together with those like it that were
    /// turned away on the path.
    arrived: [f64; Priority::COUNT],
    /// Calls per interval of each priority, those included that callers refuse early.
    offered: [f64; Priority::COUNT],
    dispatched: f64,
    samples: f64,
    utilisation: f64,
    queued: [f64; Priority::COUNT],
    limit: f64,
}

impl LevelController {
    /// An open level, adjusted once per `interval`.
    #[must_use]
    pub fn new(interval: Duration, now: Timestamp) -> Self {
        Self {
            interval,
            next_adjustment: now + interval,
            level: f64::from(AdmissionKey::COUNT),
            arrived: [0.0; Priority::COUNT],
            offered: [0.0; Priority::COUNT],
            dispatched: 0.0,
            samples: 0.0,
            utilisation: 0.0,
            queued: [0.0; Priority::COUNT],
            limit: 1.0,
        }
    }

    /// The level in force.
    #[must_use]
    pub fn level(&self) -> AdmissionLevel {
        AdmissionLevel::new(self.level as u16)
    }

    /// When the level is to be adjusted next.
    #[must_use]
    pub const fn next_adjustment(&self) -> Timestamp {
        self.next_adjustment
    }

    /// Counts a call that passed the level, or that it does not apply to.
    ///
    /// Where a share of the requests like it was turned away, at its edge or here, it stands for those too:
    /// so the estimate of the demand does not depend on how long ago the edge decided.
    pub fn arrived(&mut self, call: &OfferedCall) {
        let priority = call.key.priority();
        let admitted_below = match call.standing {
            Standing::New => call.admitted_below.fold(self.level()),
            Standing::InProgress => call.admitted_below,
        };
        let share = admitted_below.admitted_share(priority);
        self.arrived[priority.index()] += 1.0 / share.max(SMALLEST_SEEN_SHARE);
    }

    /// Counts a dispatched call.
    pub fn dispatched(&mut self) {
        self.dispatched += 1.0;
    }

    /// Takes in the calls in execution, the limit on them and the calls of each priority that wait.
    pub fn sample(&mut self, in_flight: u32, limit: u32, queued: &[usize; Priority::COUNT]) {
        self.limit = f64::from(limit.max(1));
        self.samples += 1.0;
        // Slots that stay free while calls wait are kept for others.
        let used = if queued.iter().any(|&count| count > 0) {
            limit
        } else {
            in_flight
        };
        self.utilisation += (f64::from(used) / self.limit).min(1.0);
        for (sum, &count) in self.queued.iter_mut().zip(queued) {
            *sum += count as f64;
        }
    }

    /// Adjusts the level when its time has come.
    pub fn advance(&mut self, now: Timestamp) {
        if now < self.next_adjustment {
            return;
        }
        self.next_adjustment = now + self.interval;
        self.estimate_offered();
        let wanted = self.position();
        let headroom = 1.0 - self.mean_utilisation();
        let step = SMALLEST_STEP + (LARGEST_STEP - SMALLEST_STEP) * headroom * headroom;
        self.level = wanted.min(self.level + step);
        self.fade();
    }

    /// Takes the calls of this interval into the rate of each priority.
    fn estimate_offered(&mut self) {
        let level = self.level();
        let priorities = (0..).map_while(Priority::new);
        for ((offered, &seen), priority) in
            self.offered.iter_mut().zip(&self.arrived).zip(priorities)
        {
            let is_shut_out = level.admitted_share(priority) < SMALLEST_SEEN_SHARE;
            if is_shut_out && seen == 0.0 {
                *offered *= UNSEEN_MEMORY;
            } else {
                *offered = *offered * MEMORY + seen * (1.0 - MEMORY);
            }
        }
    }

    /// Calls per interval that the back end can take.
    fn capacity(&self) -> f64 {
        let dispatched = self.dispatched * (1.0 - MEMORY);
        let used = self.mean_utilisation().max(SMALLEST_UTILISATION);
        dispatched / used * (1.0 + PROBE_SHARE)
    }

    /// The level below which as many calls arrive as the back end can take. A priority answers for
    /// the calls that wait before it, but not for less important ones: these don't delay it.
    fn position(&self) -> f64 {
        let width = f64::from(Rank::COUNT);
        let aim = self.limit * QUEUE_SHARE;
        let mut room = self.capacity() + aim / CORRECTION_INTERVALS;
        for (priority, offered) in self.offered.iter().enumerate() {
            let queued = self.queued[priority] / self.samples.max(1.0);
            room -= queued / CORRECTION_INTERVALS;
            if *offered > room {
                return (priority as f64 + room.max(0.0) / offered) * width;
            }
            room -= offered;
        }
        f64::from(AdmissionKey::COUNT)
    }

    /// Used share of the limit; zero when nothing happened.
    fn mean_utilisation(&self) -> f64 {
        if self.samples <= 0.0 {
            return 0.0;
        }
        self.utilisation / self.samples
    }

    fn fade(&mut self) {
        self.arrived = [0.0; Priority::COUNT];
        self.dispatched *= MEMORY;
        self.samples *= MEMORY;
        self.utilisation *= MEMORY;
        for queued in &mut self.queued {
            *queued *= MEMORY;
        }
    }
}

//! Controller that sets a backend's admission level.
//!
//! It estimates how many calls per second the backend can take: the current dispatch rate divided
//! by the used share of the limit, corrected to bring the queue to a small length at which it never
//! runs dry. It then sets the level at which the admitted calls arrive at that rate. Ranks are
//! uniformly distributed over the calls of a priority, so the calls that arrive below the level
//! show how many calls of that priority there are in total, even when callers refuse the rest
//! early.

use std::time::Duration;

use crate::admission::controller::{OfferedCall, RequestProgress};
use crate::priority::{AdmissionKey, AdmissionLevel, Priority, Rank};
use crate::time::Timestamp;

/// Weight of past intervals in the moving averages of rates and shares.
const DECAY: f64 = 0.7;
/// Factor by which the estimated arrival rate of a priority decays in an interval in which no call
/// of it arrived and the level admits less than [`MIN_ADMITTED_SHARE`] of it. Callers then refuse
/// most of its calls early, so a count of zero says little about the offered rate.
const UNSEEN_DECAY: f64 = 0.95;
/// Admitted share of a priority below which its rate can't be estimated.
const MIN_ADMITTED_SHARE: f64 = 0.05;
/// Target queue length, as a share of the concurrency limit.
const QUEUE_SHARE: f64 = 1.5;
/// Number of intervals over which the queue is brought to its target length.
const CORRECTION_INTERVALS: f64 = 4.0;
/// Share by which the capacity is overestimated, in order to discover free slots.
const PROBE_SHARE: f64 = 0.05;
/// Maximum rise of the level per interval when the limit is entirely used, in keys.
const MAX_RISE_WITHOUT_HEADROOM: f64 = 256.0;
/// Maximum rise of the level per interval when the limit is entirely unused, in keys.
const MAX_RISE_WHEN_UNUSED: f64 = 8_192.0;
/// Lower bound on the used share when the capacity is extrapolated from it.
const MIN_UTILISATION: f64 = 0.05;

/// How calls on behalf of requests in execution are counted whose wait expires. Such a call left the
/// queue without using capacity, which makes the queue look short. The others than
/// [`Self::Ignored`] are for comparison: with the limit at the edge they change little.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExpiryCount {
    /// Only as the arrival that it was.
    Ignored,
    /// As a second arrival: the request would have made further calls.
    Demand,
    /// As capacity that is missing: an execution of an earlier call of the request was wasted.
    Capacity,
}

/// Sets the admission level from arrivals, dispatches, queue lengths and the use of the limit.
#[derive(Clone, Debug)]
pub struct LevelController {
    interval: Duration,
    next_adjustment: Timestamp,
    /// The level with a fraction, which lets small steps accumulate.
    level: f64,
    /// Calls that arrived in this interval, by priority. Each is weighted to represent the similar
    /// calls that were refused on its path.
    arrived: [f64; Priority::COUNT],
    /// Calls per interval of each priority, including those that callers refuse early.
    offered: [f64; Priority::COUNT],
    dispatched: f64,
    samples: f64,
    utilisation: f64,
    queued: [f64; Priority::COUNT],
    limit: f64,
    expiry_count: ExpiryCount,
    /// Calls of requests in execution whose wait expired, by priority.
    expired: [f64; Priority::COUNT],
}

impl LevelController {
    /// Creates a controller with an open level that is adjusted once per `interval`.
    #[must_use]
    pub fn new(interval: Duration, expiry_count: ExpiryCount, now: Timestamp) -> Self {
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
            expiry_count,
            expired: [0.0; Priority::COUNT],
        }
    }

    /// Returns the level in force.
    #[must_use]
    pub fn level(&self) -> AdmissionLevel {
        AdmissionLevel::new(self.level as u16)
    }

    /// Returns the time of the next adjustment.
    #[must_use]
    pub const fn next_adjustment(&self) -> Timestamp {
        self.next_adjustment
    }

    /// Counts a call that passed the level or is exempt from it.
    ///
    /// If a share of the similar requests was refused, at the edge or here, the call is weighted to
    /// represent those too. This keeps the estimate of the demand independent of how long ago the
    /// edge made its decision.
    pub fn arrived(&mut self, call: &OfferedCall) {
        self.arrived[call.key.priority().index()] += self.represented(call);
    }

    /// Returns the number of similar calls that a call represents, those included that were refused
    /// on its path.
    fn represented(&self, call: &OfferedCall) -> f64 {
        let admitted_below = match call.progress {
            RequestProgress::New => call.admitted_below.fold(self.level()),
            RequestProgress::InProgress => call.admitted_below,
        };
        let share = admitted_below.admitted_share(call.key.priority());
        1.0 / share.max(MIN_ADMITTED_SHARE)
    }

    /// Counts a call whose wait has expired.
    pub fn expired(&mut self, call: &OfferedCall) {
        if call.progress == RequestProgress::New {
            return;
        }
        let priority = call.key.priority().index();
        match self.expiry_count {
            ExpiryCount::Ignored => {}
            ExpiryCount::Demand => self.arrived[priority] += self.represented(call),
            ExpiryCount::Capacity => self.expired[priority] += 1.0,
        }
    }

    /// Counts a dispatched call.
    pub fn dispatched(&mut self) {
        self.dispatched += 1.0;
    }

    /// Records the calls in execution, their limit and the number of waiting calls of each
    /// priority.
    pub fn sample(&mut self, in_flight: u32, limit: u32, queued: &[usize; Priority::COUNT]) {
        self.limit = f64::from(limit.max(1));
        self.samples += 1.0;
        // Slots that stay free while calls wait are reserved for other calls.
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

    /// Adjusts the level if the interval has passed.
    pub fn advance(&mut self, now: Timestamp) {
        if now < self.next_adjustment {
            return;
        }
        self.next_adjustment = now + self.interval;
        self.estimate_offered();
        let target = self.target_level();
        let headroom = 1.0 - self.mean_utilisation();
        let step = MAX_RISE_WITHOUT_HEADROOM
            + (MAX_RISE_WHEN_UNUSED - MAX_RISE_WITHOUT_HEADROOM) * headroom * headroom;
        self.level = target.min(self.level + step);
        self.apply_decay();
    }

    /// Updates the rate of each priority with the calls of this interval.
    fn estimate_offered(&mut self) {
        let level = self.level();
        let priorities = (0..).map_while(Priority::new);
        for ((offered, &arrived), priority) in
            self.offered.iter_mut().zip(&self.arrived).zip(priorities)
        {
            let is_refused = level.admitted_share(priority) < MIN_ADMITTED_SHARE;
            if is_refused && arrived == 0.0 {
                *offered *= UNSEEN_DECAY;
            } else {
                *offered = *offered * DECAY + arrived * (1.0 - DECAY);
            }
        }
    }

    /// Returns the calls per interval that the backend can take.
    fn capacity(&self) -> f64 {
        let dispatched = self.dispatched * (1.0 - DECAY);
        let used = self.mean_utilisation().max(MIN_UTILISATION);
        dispatched / used * (1.0 + PROBE_SHARE)
    }

    /// Returns the level below which calls arrive at the rate that the backend can take. The calls
    /// waiting at a priority reduce the capacity left for it and for lower priorities. Waiting
    /// calls of lower priorities don't count against it, because they don't delay it.
    fn target_level(&self) -> f64 {
        let width = f64::from(Rank::COUNT);
        let target_queue = self.limit * QUEUE_SHARE;
        let mut remaining = self.capacity() + target_queue / CORRECTION_INTERVALS;
        for (priority, offered) in self.offered.iter().enumerate() {
            let queued = self.queued[priority] / self.samples.max(1.0);
            remaining -= queued / CORRECTION_INTERVALS;
            remaining -= self.expired[priority] * (1.0 - DECAY);
            if *offered > remaining {
                return (priority as f64 + remaining.max(0.0) / offered) * width;
            }
            remaining -= offered;
        }
        f64::from(AdmissionKey::COUNT)
    }

    /// Returns the mean used share of the limit; zero without samples.
    fn mean_utilisation(&self) -> f64 {
        if self.samples <= 0.0 {
            return 0.0;
        }
        self.utilisation / self.samples
    }

    fn apply_decay(&mut self) {
        self.arrived = [0.0; Priority::COUNT];
        self.dispatched *= DECAY;
        self.samples *= DECAY;
        self.utilisation *= DECAY;
        for sum in self.queued.iter_mut().chain(&mut self.expired) {
            *sum *= DECAY;
        }
    }
}

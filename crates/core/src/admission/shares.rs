//! Ranks that divide scarce capacity among callers by max-min fairness.
//!
//! If the requests of caller c are spread evenly over the positions [0, r_c / w_c), where r_c is its
//! rate and w_c its weight, a threshold T admits min(r_c, T w_c) of them per second, which is its
//! max-min fair share. The level controller expects uniformly distributed ranks, so a position is
//! mapped through the distribution of the demand. Every edge does this with the rates that it sees
//! itself; the threshold is the admission level, which all edges receive anyway.

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::estimate::unit_hash;
use crate::call::OriginId;
use crate::priority::Rank;
use crate::time::Timestamp;

/// Maximum number of callers whose rates are kept.
pub const MAX_CALLERS: usize = 256;
/// Time after the creation during which every caller counts as equal.
pub const LEARNING_TIME: Duration = Duration::from_secs(2);
/// Share of the ranks below a level that a caller gets at least, relative to all callers together.
/// With this value, a caller is served at least a quarter as often as all: the guarantee itself
/// admits up to a third more requests than the level.
const GUARANTEED_SHARE: f64 = 1.0 / 3.0;
/// Time constant of the rate that shows a change of a caller's demand, in seconds.
const FAST_SECONDS: f64 = 2.0;
/// Time constant of the rate that is used while the fast one doesn't contradict it, in seconds. An
/// edge sees few requests of most callers, so a short average is mostly noise.
const SLOW_SECONDS: f64 = 10.0;
/// Number of standard deviations between the slow and the fast rate at which both count equally.
const ACCEPTED_DEVIATIONS: f64 = 1.5;
/// Number of standard deviations of the slow rate that are subtracted from it for a caller's
/// positions. Noise in the rate would otherwise refuse requests of callers below their share.
const TOLERATED_DEVIATIONS: f64 = 1.5;
/// Smallest part of a rate that remains after the tolerance.
const MIN_TOLERATED_PART: f64 = 0.25;
/// Probability that a request of an unlisted caller replaces the smallest one in a full table. If each
/// did, a flood of new names would evict every other caller before its second request.
const REPLACEMENT_PROBABILITY: f64 = 1.0 / 64.0;
/// Number of requests that stands for a caller without recent ones.
const MIN_REQUESTS: f64 = 0.25;
/// Mean value of one request in a decaying count. It is left out of the reach in the distribution:
/// callers whose rate is overestimated would otherwise count too much there, and ranks would not be
/// uniform.
const MEAN_DECAYED_REQUEST: f64 = 0.5;
/// Time for which the distribution of the demand is used before it is computed again.
const DISTRIBUTION_INTERVAL: Duration = Duration::from_millis(50);

/// Returns a number in [0, 1) that all attempts of an originating request have in common.
#[must_use]
pub fn draw_of(origin: OriginId) -> f64 {
    let value = origin.as_u128();
    unit_hash((value as u64) ^ ((value >> 64) as u64))
}

/// Use of a priority by one caller, as this edge sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallerUse {
    /// Requests per second.
    pub per_second: f64,
    /// The caller's part of all requests, 0 to 1.
    pub part: f64,
    /// The caller's part of all weights, 0 to 1.
    pub entitled_part: f64,
}

/// Exponentially decaying counts of a caller's requests.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    fast: f64,
    slow: f64,
    /// Requests among those in `slow` that returned at their promised time.
    returned: f64,
    updated: Timestamp,
}

impl Counts {
    fn at(self, now: Timestamp) -> Self {
        let elapsed = now.saturating_since(self.updated).as_secs_f64();
        if elapsed <= 0.0 {
            return self;
        }
        let slow = (-elapsed / SLOW_SECONDS).exp();
        Self {
            fast: self.fast * (-elapsed / FAST_SECONDS).exp(),
            slow: self.slow * slow,
            returned: self.returned * slow,
            updated: now,
        }
    }

    /// Returns the counts as an average one among their requests saw them, without itself.
    fn seen_by_own_requests(self) -> Self {
        Self {
            fast: (self.fast - MEAN_DECAYED_REQUEST).max(0.0),
            slow: (self.slow - MEAN_DECAYED_REQUEST).max(0.0),
            ..self
        }
    }

    fn add(&mut self, other: Self) {
        self.fast += other.fast;
        self.slow += other.slow;
        self.returned += other.returned;
    }

    /// Number that orders counts by their slow value at any common time.
    fn order(&self) -> f64 {
        self.slow.ln() + self.updated.as_micros() as f64 / 1e6 / SLOW_SECONDS
    }
}

/// Time spans that the decaying counts represent, which are shorter after a start.
#[derive(Clone, Copy, Debug)]
struct Spans {
    fast: f64,
    slow: f64,
}

impl Spans {
    fn after(age: f64) -> Self {
        let span = |constant: f64| constant * (1.0 - (-age / constant).exp());
        Self {
            fast: span(FAST_SECONDS).max(f64::MIN_POSITIVE),
            slow: span(SLOW_SECONDS).max(f64::MIN_POSITIVE),
        }
    }

    /// Returns the rate of a caller: the slow one, or the fast one to the degree that it contradicts
    /// the slow one.
    fn rate(self, counts: Counts) -> f64 {
        let slow = counts.slow / self.slow;
        let fast = counts.fast / self.fast;
        // The variance of a decaying count is half its mean.
        let deviation = ((counts.fast + 1.0) / 2.0).sqrt() / self.fast;
        let contradiction = ((fast - slow) / deviation / ACCEPTED_DEVIATIONS).powi(4);
        fast + (slow - fast) / (1.0 + contradiction)
    }

    /// Returns the end of the positions of a caller's requests.
    fn reach(self, counts: Counts, weight: f64) -> f64 {
        let rate = self.rate(counts);
        let requests = (rate * self.slow).max(MIN_REQUESTS);
        let tolerated = TOLERATED_DEVIATIONS * (0.5 / requests).sqrt();
        let part = (1.0 - tolerated).max(MIN_TOLERATED_PART);
        requests / self.slow * part / weight
    }
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    weight: f64,
    counts: Counts,
}

/// One caller in the distribution of the demand.
#[derive(Clone, Copy, Debug)]
struct Demand {
    reach: f64,
    rate: f64,
}

/// Distribution of the positions of all requests.
#[derive(Clone, Debug, Default)]
struct Distribution {
    /// Callers by increasing reach.
    demands: Vec<Demand>,
    /// Rate of the callers before each one, and of all at the end.
    rates_before: Vec<f64>,
    /// Requests per unit of position of the callers from each one on, and zero at the end.
    densities: Vec<f64>,
}

impl Distribution {
    fn new(mut demands: Vec<Demand>) -> Self {
        demands.retain(|demand| demand.rate > 0.0);
        demands.sort_unstable_by(|one, other| one.reach.total_cmp(&other.reach));
        let mut rates_before = Vec::with_capacity(demands.len() + 1);
        let mut sum = 0.0;
        rates_before.push(sum);
        for demand in &demands {
            sum += demand.rate;
            rates_before.push(sum);
        }
        let mut densities = vec![0.0; demands.len() + 1];
        for (index, demand) in demands.iter().enumerate().rev() {
            densities[index] = densities[index + 1] + demand.rate / demand.reach;
        }
        Self {
            demands,
            rates_before,
            densities,
        }
    }

    fn total(&self) -> f64 {
        self.rates_before.last().copied().unwrap_or(0.0)
    }

    /// Returns the index of the first caller whose positions end after `position`.
    fn first_beyond(&self, position: f64) -> usize {
        self.demands
            .partition_point(|demand| demand.reach <= position)
    }

    /// Returns the part of the requests with a position below `position`.
    fn below(&self, position: f64) -> f64 {
        let index = self.first_beyond(position);
        (self.rates_before[index] + position * self.densities[index]) / self.total()
    }

    /// Returns the position below which `part` of the requests are.
    fn position(&self, part: f64) -> f64 {
        let wanted = part * self.total();
        let (mut index, mut end) = (0, self.demands.len());
        while index < end {
            let middle = index.midpoint(end);
            let reach = self.demands[middle].reach;
            if self.rates_before[middle] + reach * self.densities[middle] <= wanted {
                index = middle + 1;
            } else {
                end = middle;
            }
        }
        if self.densities[index] <= 0.0 {
            return self.demands.last().map_or(0.0, |demand| demand.reach);
        }
        (wanted - self.rates_before[index]) / self.densities[index]
    }

    /// Returns the rank, from 0 to 1, of a request with this position and draw.
    fn rank(&self, position: f64, draw: f64) -> f64 {
        let by_share = self.below(position);
        let by_guarantee = draw / GUARANTEED_SHARE;
        let (level, position) = if by_share <= by_guarantee {
            (by_share, position)
        } else {
            (by_guarantee, self.position(by_guarantee))
        };
        self.admitted_at(level, position)
    }

    /// Returns the part of the requests that is admitted at a level: of every caller those below the
    /// position, or the guaranteed part if that is more.
    fn admitted_at(&self, level: f64, position: f64) -> f64 {
        if level <= 0.0 {
            return 0.0;
        }
        let end = self.demands.len();
        let guaranteed_from = position / (level * GUARANTEED_SHARE);
        let partial = self.first_beyond(position);
        let guaranteed = self.first_beyond(guaranteed_from).clamp(partial, end);
        let shared = position * (self.densities[partial] - self.densities[guaranteed]);
        let rest = self.total() - self.rates_before[guaranteed];
        let admitted = self.rates_before[partial] + shared + level * GUARANTEED_SHARE * rest;
        admitted / self.total()
    }
}

/// Assigns ranks to the requests of one priority that callers send to this edge.
#[derive(Clone, Debug)]
pub struct CallerShares {
    started: Timestamp,
    callers: HashMap<Box<str>, Caller>,
    /// Requests of callers that were evicted or not listed.
    others: Counts,
    /// Number of requests of callers that were not listed when the table was full.
    unlisted: u64,
    distribution: Distribution,
    distribution_until: Timestamp,
}

impl CallerShares {
    /// Creates an instance that knows no rate.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            started: now,
            callers: HashMap::new(),
            others: Counts::default(),
            unlisted: 0,
            distribution: Distribution::default(),
            distribution_until: now,
        }
    }

    /// Counts a new request of a caller. [`Self::rank`] is called before: a request doesn't count in
    /// its own rank.
    pub fn record(&mut self, now: Timestamp, caller: &str, weight: f64) {
        self.add(now, caller, weight, 0.0);
    }

    /// Counts a request that returned at its promised time.
    pub fn record_returned(&mut self, now: Timestamp, caller: &str, weight: f64) {
        self.add(now, caller, weight, 1.0);
    }

    /// Returns the rank of a new request. `draw` is a uniform number from 0 to 1 that all attempts
    /// of the request have in common.
    pub fn rank(&mut self, now: Timestamp, caller: &str, weight: f64, draw: f64) -> Rank {
        let returned = self.returned_part(now, caller);
        self.rank_at(now, caller, weight, returned + draw * (1.0 - returned))
    }

    /// Returns the rank of a request that returned at its promised time, which is ahead of the new
    /// requests of its caller.
    pub fn rank_returned(&mut self, now: Timestamp, caller: &str, weight: f64, draw: f64) -> Rank {
        let returned = self.returned_part(now, caller);
        self.rank_at(now, caller, weight, draw * returned)
    }

    /// Returns the use of a caller.
    #[must_use]
    pub fn caller_use(&self, now: Timestamp, caller: &str, weight: f64) -> CallerUse {
        let spans = self.spans(now);
        let rate = |known: &Caller| spans.rate(known.counts.at(now));
        let per_second = self.callers.get(caller).map_or(0.0, rate);
        let total = self.callers.values().map(rate).sum::<f64>();
        let total = total + spans.rate(self.others.at(now));
        let is_known = self.callers.contains_key(caller);
        let weights = self.callers.values().map(|known| known.weight).sum::<f64>();
        let weights = if is_known { weights } else { weights + weight };
        Some(CallerUse {
            per_second,
            part: per_second / total,
            entitled_part: weight / weights,
        })
        .filter(|seen| seen.part.is_finite() && seen.entitled_part.is_finite())
        .unwrap_or_default()
    }

    /// Returns the number of callers whose rates are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Returns true if no caller's rate is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }

    fn add(&mut self, now: Timestamp, caller: &str, weight: f64, returned: f64) {
        let weight = valid_weight(weight);
        let one = Counts {
            fast: 1.0,
            slow: 1.0,
            returned,
            updated: now,
        };
        if let Some(known) = self.callers.get_mut(caller) {
            known.weight = weight;
            known.counts = known.counts.at(now);
            known.counts.add(one);
            return;
        }
        if self.callers.len() >= MAX_CALLERS {
            self.unlisted += 1;
            if unit_hash(self.unlisted) >= REPLACEMENT_PROBABILITY {
                self.others = self.others.at(now);
                self.others.add(one);
                return;
            }
            self.evict_smallest(now);
        }
        let counts = one;
        self.callers
            .insert(caller.into(), Caller { weight, counts });
    }

    fn evict_smallest(&mut self, now: Timestamp) {
        let smallest = self.callers.iter().min_by(|(_, one), (_, other)| {
            let (one, other) = (one.counts.order(), other.counts.order());
            one.total_cmp(&other)
        });
        let Some(name) = smallest.map(|(name, _)| name.clone()) else {
            return;
        };
        if let Some(evicted) = self.callers.remove(&name) {
            self.others = self.others.at(now);
            self.others.add(evicted.counts.at(now));
        }
    }

    fn rank_at(&mut self, now: Timestamp, caller: &str, weight: f64, draw: f64) -> Rank {
        self.update_distribution(now);
        let draw = draw.clamp(0.0, 1.0);
        let is_learning = now.saturating_since(self.started) < LEARNING_TIME;
        if is_learning || self.distribution.total() <= 0.0 {
            return rank_number(draw);
        }
        let spans = self.spans(now);
        let counts = self.callers.get(caller).map(|known| known.counts.at(now));
        let counts = counts.unwrap_or_default();
        let others = self.others.at(now);
        // Callers without an established rate rank together with the evicted ones, as one caller.
        // Otherwise a new name for each request would give all of them the first ranks.
        let reach = if counts.slow < 1.0 && spans.rate(others) > spans.rate(counts) {
            spans.reach(others, 1.0)
        } else {
            spans.reach(counts, valid_weight(weight))
        };
        rank_number(self.distribution.rank(draw * reach, draw))
    }

    /// Returns the part of a caller's requests that returned at their promised time.
    fn returned_part(&self, now: Timestamp, caller: &str) -> f64 {
        let counts = self.callers.get(caller).map(|known| known.counts.at(now));
        counts
            .filter(|counts| counts.slow > 0.0)
            .map_or(0.0, |counts| (counts.returned / counts.slow).min(1.0))
    }

    fn update_distribution(&mut self, now: Timestamp) {
        if now < self.distribution_until {
            return;
        }
        self.distribution_until = now + DISTRIBUTION_INTERVAL;
        let spans = self.spans(now);
        let demand = |counts: Counts, weight: f64| Demand {
            reach: spans.reach(counts.seen_by_own_requests(), weight),
            rate: spans.rate(counts),
        };
        let callers = self.callers.values();
        let callers = callers.map(|known| demand(known.counts.at(now), known.weight));
        let others = demand(self.others.at(now), 1.0);
        self.distribution = Distribution::new(callers.chain([others]).collect());
    }

    fn spans(&self, now: Timestamp) -> Spans {
        Spans::after(now.saturating_since(self.started).as_secs_f64())
    }
}

fn valid_weight(weight: f64) -> f64 {
    if weight.is_finite() && weight > 0.0 {
        weight
    } else {
        1.0
    }
}

fn rank_number(part: f64) -> Rank {
    let number = (part * f64::from(Rank::COUNT)) as u16;
    Rank::from_number(number.min(Rank::LAST.number()))
}

//! Arrival times: a Poisson process per request kind, with a surge.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenario::Scenario;

/// A period of higher demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    /// Factor on every rate.
    pub factor: f64,
    /// Start, from the start of the load.
    pub start: Duration,
    /// Length.
    pub length: Duration,
}

impl Surge {
    /// End, from the start of the load.
    #[must_use]
    pub fn end(&self) -> Duration {
        self.start + self.length
    }

    /// Whether the surge lasts at this time.
    #[must_use]
    pub fn covers(&self, at: Duration) -> bool {
        (self.start..self.end()).contains(&at)
    }
}

/// One originating request to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When, from the start of the load.
    pub at: Duration,
    /// Index of the request kind in the scenario.
    pub kind: usize,
}

/// The arrivals of all request kinds in order of time.
#[derive(Clone, Debug)]
pub struct Arrivals {
    kinds: Vec<KindArrivals>,
    end: Duration,
}

#[derive(Clone, Debug)]
struct KindArrivals {
    rate: f64,
    surge: Option<Surge>,
    rng: Pcg64Mcg,
    next: Duration,
}

impl Arrivals {
    /// The arrivals of a scenario from zero to `end`; `rate_factor` scales every rate.
    #[must_use]
    pub fn new(
        scenario: &Scenario,
        end: Duration,
        surge: Option<Surge>,
        rate_factor: f64,
        seed: u64,
    ) -> Self {
        let kinds = scenario.requests.iter().zip(0_u64..);
        let kinds = kinds.map(|(model, index)| {
            let rng = Pcg64Mcg::seed_from_u64(seed.wrapping_add(index.wrapping_mul(0x9E37_79B9)));
            KindArrivals::new(model.rate * rate_factor, surge, rng)
        });
        Self {
            kinds: kinds.collect(),
            end,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let kinds = self.kinds.iter().enumerate();
        let (kind, earliest) = kinds.min_by_key(|(_, arrivals)| arrivals.next)?;
        let at = earliest.next;
        if at >= self.end {
            return None;
        }
        self.kinds[kind].advance();
        Some(Arrival { at, kind })
    }
}

impl KindArrivals {
    fn new(rate: f64, surge: Option<Surge>, rng: Pcg64Mcg) -> Self {
        let mut arrivals = Self {
            rate,
            surge,
            rng,
            next: Duration::ZERO,
        };
        arrivals.advance();
        arrivals
    }

    /// Moves on to the next arrival. The exponential distribution has no memory, so a wait that
    /// crosses a change of the rate is drawn anew from there.
    fn advance(&mut self) {
        let mut from = self.next;
        loop {
            let rate = self.rate_at(from);
            let wait = exponential(rate, &mut self.rng);
            let arrival = from.saturating_add(wait);
            match self.next_change(from) {
                Some(change) if arrival >= change => from = change,
                _ => {
                    self.next = arrival;
                    return;
                }
            }
        }
    }

    fn rate_at(&self, at: Duration) -> f64 {
        match self.surge {
            Some(surge) if surge.covers(at) => self.rate * surge.factor,
            _ => self.rate,
        }
    }

    fn next_change(&self, from: Duration) -> Option<Duration> {
        let surge = self.surge?;
        [surge.start, surge.end()]
            .into_iter()
            .find(|change| *change > from)
    }
}

fn exponential(rate: f64, rng: &mut impl Rng) -> Duration {
    if rate <= 0.0 {
        return Duration::MAX;
    }
    let uniform: f64 = rng.random();
    let seconds = -(1.0 - uniform).ln() / rate;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

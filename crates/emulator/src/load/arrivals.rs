//! Arrival times of originating requests: a Poisson process per request kind, with a surge.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenario::Scenario;

/// A period with increased arrival rates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    /// Factor on every arrival rate.
    pub factor: f64,
    /// Time from the start of the load to the start of the surge.
    pub start: Duration,
    /// Duration of the surge.
    pub length: Duration,
}

impl Surge {
    /// Returns the time from the start of the load to the end of the surge.
    #[must_use]
    pub fn end(&self) -> Duration {
        self.start + self.length
    }

    /// Returns true if `at`, a time since the start of the load, is within the surge.
    #[must_use]
    pub fn covers(&self, at: Duration) -> bool {
        (self.start..self.end()).contains(&at)
    }
}

/// Arrival of one originating request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start of the load.
    pub at: Duration,
    /// Index of the request kind in [`Scenario::requests`].
    pub kind: usize,
}

/// Iterator over the arrivals of all request kinds, ordered by time.
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
    /// Creates the arrivals of a scenario from zero to `end`; `rate_factor` multiplies every rate.
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

    /// Advances to the next arrival. Because the exponential distribution is memoryless, a wait that
    /// crosses a change of the rate is drawn again from the time of that change.
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

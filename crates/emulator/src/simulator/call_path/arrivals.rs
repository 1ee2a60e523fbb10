//! Arrivals of originating requests. They depend on the seed but not on the policy: all policies are
//! compared under the same load.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wharfquay_core::time::Timestamp;

use super::layout::Layout;
use super::settings::RunSettings;

/// The first attempt of a session: one caller with one originating request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// Time at which the caller sends the attempt.
    pub(super) at: Timestamp,
    /// Index of the request kind.
    pub(super) kind: usize,
    /// Index of the zone whose edge receives the session's attempts.
    pub(super) zone: usize,
    /// True if the caller repeats the request after a fixed wait and ignores `retry_after`.
    pub(super) impatient: bool,
}

/// Generates Poisson arrivals of every request kind, ordered by time.
pub(super) fn arrivals(layout: &Layout, settings: &RunSettings) -> Vec<Arrival> {
    let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
    let mut arrivals = Vec::new();
    let phases = [
        (Duration::ZERO, settings.before, 1.0),
        (settings.before, settings.surge, settings.factor),
        (settings.before + settings.surge, settings.after, 1.0),
    ];
    for (kind, model) in layout.kinds.iter().enumerate() {
        for (start, length, factor) in phases {
            let rate = model.rate * factor;
            let mut at = exponential(rate, &mut rng);
            while at < length.as_secs_f64() {
                arrivals.push(Arrival {
                    at: Timestamp::ZERO + start + Duration::from_secs_f64(at),
                    kind,
                    zone: rng.random_range(0..layout.zones.len()),
                    impatient: rng.random::<f64>() < layout.impatient_share,
                });
                at += exponential(rate, &mut rng);
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Returns the number of arrivals by bin and request kind, for `bins` bins of width `bin` from `start` on.
#[must_use]
pub fn arrival_counts(
    layout: &Layout,
    settings: &RunSettings,
    start: Timestamp,
    bin: Duration,
    bins: usize,
) -> Vec<Vec<u32>> {
    let mut counts = vec![vec![0; layout.kinds.len()]; bins];
    for arrival in arrivals(layout, settings) {
        if arrival.at < start {
            continue;
        }
        let index = arrival.at.saturating_since(start).as_micros() / bin.as_micros().max(1);
        if let Some(kinds) = counts.get_mut(index as usize) {
            kinds[arrival.kind] += 1;
        }
    }
    counts
}

/// Returns an exponentially distributed time in seconds for `rate` events per second; `f64::MAX` if the
/// rate is zero.
fn exponential(rate: f64, rng: &mut Pcg64Mcg) -> f64 {
    if rate <= 0.0 {
        return f64::MAX;
    }
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln() / rate
}

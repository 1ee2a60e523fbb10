//! The oracle: an upper bound of goodput from a fluid model that knows the capacity.
//!
//! Time is divided into bins. In each bin the kinds are served in order of priority, each up to the
//! arrivals not served yet, and up to the remaining capacity of the most loaded service on its path. A
//! request takes from each service exactly the time for which its executions hold a slot there: the mean
//! work, and the wait for downstream calls with the shortest network latency and without queueing.
//! Arrivals wait without a deadline. A real system can only do worse: it serves indivisible requests,
//! waits in queues while it holds slots upstream, and has callers with deadlines. A measured value can
//! exceed the bound for two reasons only: the sampled work may be below its mean, and a kind may gain
//! capacity that a more important one lost.

use std::time::Duration;

use wharfquay_core::time::Timestamp;

use crate::simulator::call_path::settings::RunSettings;
use crate::simulator::call_path::{KindLayout, Layout, arrival_counts};

/// Width of a bin.
const BIN_WIDTH: Duration = Duration::from_millis(100);

/// Number of complete responses of each kind during the surge, according to the oracle.
#[derive(Clone, Debug, PartialEq)]
pub struct OracleGoodput {
    /// Upper bound of the number of complete responses during the surge, by index of the request kind.
    /// Fractional because it is computed, not simulated.
    pub completed: Vec<f64>,
}

/// Computes the upper bound of goodput during the surge.
#[must_use]
pub fn oracle_goodput(layout: &Layout, settings: &RunSettings) -> OracleGoodput {
    let start = Timestamp::ZERO + settings.before;
    let bins = bins(settings.surge);
    let arrivals = arrival_counts(layout, settings, start, BIN_WIDTH, bins);
    let slow = slow_factors(layout, settings);
    let hold_times: Vec<Vec<f64>> = layout
        .kinds
        .iter()
        .map(|kind| slot_seconds(layout, kind, &slow))
        .collect();
    let order = by_priority(layout);
    let mut waiting = vec![0.0; layout.kinds.len()];
    let mut completed = vec![0.0; layout.kinds.len()];
    for counts in arrivals {
        let mut free = capacity(layout);
        for &kind in &order {
            waiting[kind] += f64::from(counts[kind]);
            let served = serve(waiting[kind], &hold_times[kind], &mut free);
            waiting[kind] -= served;
            completed[kind] += served;
        }
    }
    OracleGoodput { completed }
}

fn bins(length: Duration) -> usize {
    length.as_millis().div_ceil(BIN_WIDTH.as_millis().max(1)) as usize
}

fn by_priority(layout: &Layout) -> Vec<usize> {
    let mut order: Vec<usize> = (0..layout.kinds.len()).collect();
    order.sort_by_key(|&kind| layout.kinds[kind].priority);
    order
}

/// Returns the slot seconds that each service has in one bin.
fn capacity(layout: &Layout) -> Vec<f64> {
    layout
        .services
        .iter()
        .map(|service| {
            f64::from(service.slots) * service.backends.len() as f64 * BIN_WIDTH.as_secs_f64()
        })
        .collect()
}

/// Serves as many requests of a kind as the services on its path allow, takes their slot seconds from
/// `free`, and returns their number.
fn serve(demand: f64, hold_times: &[f64], free: &mut [f64]) -> f64 {
    let served = hold_times
        .iter()
        .zip(free.iter())
        .filter(|&(&hold, _)| hold > 0.0)
        .map(|(&hold, &free)| free / hold)
        .fold(demand, f64::min);
    for (free, hold) in free.iter_mut().zip(hold_times) {
        *free -= hold * served;
    }
    served
}

/// Returns the slot seconds that one request of a kind takes from each service.
fn slot_seconds(layout: &Layout, kind: &KindLayout, slow: &[f64]) -> Vec<f64> {
    let mut hold_times = vec![0.0; layout.services.len()];
    add_call(layout, kind, slow, kind.entry, &mut hold_times);
    hold_times
}

/// Adds the slot seconds of one call to a service and its downstream calls to `hold_times`; returns the
/// duration of the call in seconds.
fn add_call(
    layout: &Layout,
    kind: &KindLayout,
    slow: &[f64],
    service: usize,
    hold_times: &mut [f64],
) -> f64 {
    let Some(step) = &kind.steps[service] else {
        return 0.0;
    };
    let round_trip = 2.0 * layout.same_zone.as_secs_f64();
    let mut downstream = 0.0_f64;
    for &callee in &step.calls {
        let time = round_trip + add_call(layout, kind, slow, callee, hold_times);
        downstream = if step.concurrent {
            downstream.max(time)
        } else {
            downstream + time
        };
    }
    let time = step.work.as_secs_f64() * slow[service] + downstream;
    hold_times[service] += time;
    time
}

fn slow_factors(layout: &Layout, settings: &RunSettings) -> Vec<f64> {
    let factor_of = |name: &str| {
        let slow = settings.slow.iter().find(|slow| slow.service == name);
        slow.map_or(1.0, |slow| slow.factor)
    };
    layout
        .services
        .iter()
        .map(|service| factor_of(&service.name))
        .collect()
}

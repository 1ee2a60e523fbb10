//! Upper bound of goodput: a fluid that knows the capacity.
//!
//! Time is cut into bins. In each bin the kinds are served in order of importance, each up to what
//! has arrived and has not been served, and up to what the least free service on its path can still
//! execute. A request takes from each service exactly the time that its executions hold a slot
//! there: mean work, and the wait for deeper calls with the shortest network latency and without any
//! queueing. Arrivals wait without losing patience. A real system can only do worse: it has whole
//! requests in place of a fluid, waits in queues while it holds slots further up, and callers whose
//! patience ends. Only two things can lift a measured figure above the bound: the sampled work may
//! lie below its mean, and a kind may gain what a more important one lost.

use std::time::Duration;

use wharfquay_core::time::Timestamp;

use crate::simulator::call_path::settings::RunSettings;
use crate::simulator::call_path::{KindLayout, Layout, arrival_counts};

/// Width of a bin.
const BIN: Duration = Duration::from_millis(100);

/// Whole answers of each kind during the surge.
#[derive(Clone, Debug, PartialEq)]
pub struct OracleGoodput {
    /// By request kind.
    pub whole: Vec<f64>,
}

/// Computes the bound for the time of the surge.
#[must_use]
pub fn oracle_goodput(layout: &Layout, settings: &RunSettings) -> OracleGoodput {
    let start = Timestamp::ZERO + settings.before;
    let bins = bins(settings.surge);
    let arrivals = arrival_counts(layout, settings, start, BIN, bins);
    let slow = slow_factors(layout, settings);
    let holds: Vec<Vec<f64>> = layout
        .kinds
        .iter()
        .map(|kind| slot_seconds(layout, kind, &slow))
        .collect();
    let order = by_importance(layout);
    let mut waiting = vec![0.0; layout.kinds.len()];
    let mut whole = vec![0.0; layout.kinds.len()];
    for counts in arrivals {
        let mut free = capacity(layout);
        for &kind in &order {
            waiting[kind] += f64::from(counts[kind]);
            let served = serve(waiting[kind], &holds[kind], &mut free);
            waiting[kind] -= served;
            whole[kind] += served;
        }
    }
    OracleGoodput { whole }
}

fn bins(length: Duration) -> usize {
    length.as_millis().div_ceil(BIN.as_millis().max(1)) as usize
}

fn by_importance(layout: &Layout) -> Vec<usize> {
    let mut order: Vec<usize> = (0..layout.kinds.len()).collect();
    order.sort_by_key(|&kind| layout.kinds[kind].priority);
    order
}

/// Slot seconds of each service in one bin.
fn capacity(layout: &Layout) -> Vec<f64> {
    layout
        .services
        .iter()
        .map(|service| f64::from(service.slots) * service.backends.len() as f64 * BIN.as_secs_f64())
        .collect()
}

/// Serves as much of a kind as the services on its path allow.
fn serve(wanted: f64, holds: &[f64], free: &mut [f64]) -> f64 {
    let possible = holds
        .iter()
        .zip(free.iter())
        .filter(|&(&hold, _)| hold > 0.0)
        .map(|(&hold, &free)| free / hold)
        .fold(wanted, f64::min);
    for (free, hold) in free.iter_mut().zip(holds) {
        *free -= hold * possible;
    }
    possible
}

/// Slot seconds that one request of a kind takes from each service.
fn slot_seconds(layout: &Layout, kind: &KindLayout, slow: &[f64]) -> Vec<f64> {
    let mut holds = vec![0.0; layout.services.len()];
    visit(layout, kind, slow, kind.entry, &mut holds);
    holds
}

/// Adds one call of a service with everything below it; returns how long it takes.
fn visit(
    layout: &Layout,
    kind: &KindLayout,
    slow: &[f64],
    service: usize,
    holds: &mut [f64],
) -> f64 {
    let Some(step) = &kind.steps[service] else {
        return 0.0;
    };
    let round_trip = 2.0 * layout.same_zone.as_secs_f64();
    let mut below = 0.0_f64;
    for &callee in &step.calls {
        let time = round_trip + visit(layout, kind, slow, callee, holds);
        below = if step.concurrent {
            below.max(time)
        } else {
            below + time
        };
    }
    let time = step.work.as_secs_f64() * slow[service] + below;
    holds[service] += time;
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

//! Sharing of scarce slots: the most important requests first, those of one priority evenly.

use std::collections::BTreeMap;

use super::load::SlotsByService;

/// What is left of a service below this many slots counts as nothing.
const EXHAUSTED_SLOTS: f64 = 1e-9;

/// Demand of one request kind.
#[derive(Clone, Debug)]
pub(super) struct KindDemand {
    /// Name of the request kind.
    pub(super) kind: String,
    /// Importance: 0 is served first.
    pub(super) priority: u8,
    /// Requests per second.
    pub(super) rate: f64,
    /// Slots that all its requests keep busy, by service.
    pub(super) slots: SlotsByService,
}

/// The share of each kind's requests that fits, from 0 to 1, by name of the kind.
///
/// A request that is refused takes no slot anywhere, as with admission levels that are heard at the
/// edge.
pub(super) fn share_slots(
    demands: &[KindDemand],
    capacity: &BTreeMap<String, f64>,
) -> BTreeMap<String, f64> {
    let mut left = capacity.clone();
    let mut shares = BTreeMap::new();
    let mut priorities: Vec<u8> = demands.iter().map(|demand| demand.priority).collect();
    priorities.sort_unstable();
    priorities.dedup();
    for priority in priorities {
        let equals = demands
            .iter()
            .filter(|demand| demand.priority == priority)
            .collect();
        share_evenly(equals, &mut left, &mut shares);
    }
    shares
}

/// Raises the share of all kinds together; those that need an exhausted service stop.
fn share_evenly(
    mut growing: Vec<&KindDemand>,
    left: &mut BTreeMap<String, f64>,
    shares: &mut BTreeMap<String, f64>,
) {
    let mut share = 0.0;
    while !growing.is_empty() && share < 1.0 {
        let step = largest_step(&growing, left).min(1.0 - share);
        share += step;
        for demand in &growing {
            take(demand, step, left);
            shares.insert(demand.kind.clone(), share);
        }
        let count = growing.len();
        growing.retain(|demand| !needs_exhausted(demand, left));
        if step <= 0.0 && growing.len() == count {
            return;
        }
    }
}

/// The largest step for which no service runs short.
fn largest_step(growing: &[&KindDemand], left: &BTreeMap<String, f64>) -> f64 {
    let mut needed: BTreeMap<&str, f64> = BTreeMap::new();
    for demand in growing {
        for (service, slots) in &demand.slots {
            *needed.entry(service).or_default() += slots;
        }
    }
    let steps = needed.iter().map(|(service, slots)| {
        let available = left.get(*service).copied().unwrap_or_default();
        if *slots > 0.0 { available / slots } else { 1.0 }
    });
    steps.fold(1.0, f64::min).max(0.0)
}

fn take(demand: &KindDemand, step: f64, left: &mut BTreeMap<String, f64>) {
    for (service, slots) in &demand.slots {
        if let Some(available) = left.get_mut(service) {
            *available = (*available - slots * step).max(0.0);
        }
    }
}

fn needs_exhausted(demand: &KindDemand, left: &BTreeMap<String, f64>) -> bool {
    let mut needed = demand.slots.iter().filter(|(_, slots)| **slots > 0.0);
    needed.any(|(service, _)| left.get(service).copied().unwrap_or_default() <= EXHAUSTED_SLOTS)
}

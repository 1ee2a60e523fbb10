//! Shares scarce slots among request kinds: by priority, and evenly within one priority.

use std::collections::BTreeMap;

use super::load::SlotsByService;

/// Fewer remaining slots of a service than this count as none; allows for rounding errors.
const EXHAUSTED_SLOTS: f64 = 1e-9;

/// Demand of one request kind.
#[derive(Clone, Debug)]
pub(super) struct KindDemand {
    /// Name of the request kind.
    pub(super) kind: String,
    /// Priority; 0 is served first.
    pub(super) priority: u8,
    /// Requests per second.
    pub(super) rate: f64,
    /// Slots that all its requests keep busy, by service.
    pub(super) slots: SlotsByService,
}

/// Returns the share of each kind's requests that fits, from 0 to 1, by name of the kind. A refused
/// request takes no slot at any service: the edge refuses it under the admission level that it has
/// received.
pub(super) fn share_slots(
    demands: &[KindDemand],
    capacity: &BTreeMap<String, f64>,
) -> BTreeMap<String, f64> {
    let mut remaining = capacity.clone();
    let mut shares = BTreeMap::new();
    let mut priorities: Vec<u8> = demands.iter().map(|demand| demand.priority).collect();
    priorities.sort_unstable();
    priorities.dedup();
    for priority in priorities {
        let same_priority = demands
            .iter()
            .filter(|demand| demand.priority == priority)
            .collect();
        share_evenly(same_priority, &mut remaining, &mut shares);
    }
    shares
}

/// Raises the share of all kinds together until each is complete or needs an exhausted service.
/// `growing` has the kinds whose share can still be raised.
fn share_evenly(
    mut growing: Vec<&KindDemand>,
    remaining: &mut BTreeMap<String, f64>,
    shares: &mut BTreeMap<String, f64>,
) {
    let mut share = 0.0;
    while !growing.is_empty() && share < 1.0 {
        let step = largest_step(&growing, remaining).min(1.0 - share);
        share += step;
        for demand in &growing {
            consume(demand, step, remaining);
            shares.insert(demand.kind.clone(), share);
        }
        let count = growing.len();
        growing.retain(|demand| !needs_exhausted(demand, remaining));
        if step <= 0.0 && growing.len() == count {
            return;
        }
    }
}

/// Returns the largest increase of the share for which every service has enough slots.
fn largest_step(growing: &[&KindDemand], remaining: &BTreeMap<String, f64>) -> f64 {
    let mut needed: BTreeMap<&str, f64> = BTreeMap::new();
    for demand in growing {
        for (service, slots) in &demand.slots {
            *needed.entry(service).or_default() += slots;
        }
    }
    let steps = needed.iter().map(|(service, slots)| {
        let available = remaining.get(*service).copied().unwrap_or_default();
        if *slots > 0.0 { available / slots } else { 1.0 }
    });
    steps.fold(1.0, f64::min).max(0.0)
}

fn consume(demand: &KindDemand, step: f64, remaining: &mut BTreeMap<String, f64>) {
    for (service, slots) in &demand.slots {
        if let Some(available) = remaining.get_mut(service) {
            *available = (*available - slots * step).max(0.0);
        }
    }
}

fn needs_exhausted(demand: &KindDemand, remaining: &BTreeMap<String, f64>) -> bool {
    let mut needed = demand.slots.iter().filter(|(_, slots)| **slots > 0.0);
    needed
        .any(|(service, _)| remaining.get(service).copied().unwrap_or_default() <= EXHAUSTED_SLOTS)
}

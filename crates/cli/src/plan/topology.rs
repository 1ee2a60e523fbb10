//! Backends of a plan, and the ones that remain after a change.

use std::collections::BTreeMap;

use wharfquay_emulator::scenario::Scenario;
use wharfquay_platform::wire::{Machine, MachineState};
use wharfquay_resources::kinds::DrainTarget;

/// A backend that can serve before the change.
#[derive(Clone, Debug)]
pub(super) struct PlannedBackend {
    pub(super) id: String,
    pub(super) zone: String,
    pub(super) service: String,
    pub(super) slots: u32,
}

/// Returns the backends of a scenario: those of each service are numbered from 1 and assigned to
/// the zones in turn.
pub(super) fn from_scenario(scenario: &Scenario) -> Vec<PlannedBackend> {
    let mut backends = Vec::new();
    for service in &scenario.services {
        let zones = scenario.zones.iter().cycle();
        for (number, zone) in (1..=service.backends).zip(zones) {
            backends.push(PlannedBackend {
                id: format!("{}-{number}", service.name),
                zone: zone.clone(),
                service: service.name.clone(),
                slots: service.slots,
            });
        }
    }
    backends
}

/// Returns the live backends of a machine list; the scenario specifies the slots of each.
pub(super) fn from_machines(scenario: &Scenario, machines: &[Machine]) -> Vec<PlannedBackend> {
    let live = machines
        .iter()
        .filter(|machine| machine.state == MachineState::Live);
    live.filter_map(|machine| {
        let service = scenario.service(machine.service.as_deref()?)?;
        Some(PlannedBackend {
            id: machine.id.clone(),
            zone: machine.zone.clone(),
            service: service.name.clone(),
            slots: service.slots,
        })
    })
    .collect()
}

/// Returns the backends that no target covers.
pub(super) fn without_targets(
    backends: &[PlannedBackend],
    targets: &[DrainTarget],
) -> Vec<PlannedBackend> {
    let is_covered = |backend: &PlannedBackend| {
        let service = Some(backend.service.as_str());
        let mut targets = targets.iter();
        targets.any(|target| target.covers(&backend.id, &backend.zone, service))
    };
    let remaining = backends.iter().filter(|backend| !is_covered(backend));
    remaining.cloned().collect()
}

/// Number of backends and slots of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ServiceCapacity {
    pub(super) backends: u32,
    pub(super) slots: u32,
}

/// Returns the capacity of each service that has a backend.
pub(super) fn capacities(backends: &[PlannedBackend]) -> BTreeMap<String, ServiceCapacity> {
    let mut capacities: BTreeMap<String, ServiceCapacity> = BTreeMap::new();
    for backend in backends {
        let capacity = capacities.entry(backend.service.clone()).or_default();
        capacity.backends += 1;
        capacity.slots = capacity.slots.saturating_add(backend.slots);
    }
    capacities
}

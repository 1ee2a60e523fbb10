//! The endpoints of each service, from the machine list and the leaving marks of every source.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wharfquay_core::drain::{LeavingSet, LeavingSource};
use wharfquay_core::routing::{EndpointId, EndpointState, Zone};
use wharfquay_platform::wire::{Machine, MachineState};
use wharfquay_resources::kinds::DrainTarget;
use wharfquay_resources::snapshot::Snapshot;

/// Incarnation of an endpoint that only the machine list tells of.
const UNKNOWN_INCARNATION: u64 = 0;

/// One back end, reached through its daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Id of the daemon beside the back end.
    pub id: EndpointId,
    /// Zone that it runs in.
    pub zone: Zone,
    /// Number that grows with each restart.
    pub incarnation: u64,
    /// Whether it may get new work.
    pub state: EndpointState,
    /// Where its daemon takes calls.
    pub call_address: SocketAddr,
}

/// The endpoints of each service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointTable {
    services: BTreeMap<String, Vec<EndpointRecord>>,
}

impl EndpointTable {
    /// The endpoints of a service; empty for one that is not known.
    #[must_use]
    pub fn of_service(&self, service: &str) -> &[EndpointRecord] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Every endpoint with the name of its service.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &EndpointRecord)> {
        self.services.iter().flat_map(|(service, records)| {
            let service = service.as_str();
            records.iter().map(move |record| (service, record))
        })
    }

    /// Adds an endpoint.
    pub fn insert(&mut self, service: &str, record: EndpointRecord) {
        let records = self.services.entry(service.to_owned()).or_default();
        records.push(record);
    }
}

/// Where a machine stands, as far as drains are concerned.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placement<'a> {
    pub(super) id: &'a EndpointId,
    pub(super) zone: &'a str,
    pub(super) service: Option<&'a str>,
}

/// Brings the marks of the configuration's drains up to date for one machine.
pub(super) fn mark_drains(leaving: &mut LeavingSet, snapshot: &Snapshot, placement: Placement<'_>) {
    let covered = snapshot
        .drains
        .values()
        .any(|drain| covers(&drain.target, placement));
    if covered {
        leaving.mark(placement.id, UNKNOWN_INCARNATION, LeavingSource::Resource);
    } else {
        leaving.unmark(placement.id, LeavingSource::Resource);
    }
}

fn covers(target: &DrainTarget, placement: Placement<'_>) -> bool {
    match target {
        DrainTarget::Backend(id) => placement.id.as_str() == id,
        DrainTarget::Service(service) => placement.service == Some(service.as_str()),
        DrainTarget::Zone(zone) => placement.service.is_some() && placement.zone == zone,
    }
}

/// Brings the mark of the machine list up to date for one machine.
pub(super) fn mark_machine(leaving: &mut LeavingSet, id: &EndpointId, state: MachineState) {
    match state {
        MachineState::Leaving => {
            leaving.mark(id, UNKNOWN_INCARNATION, LeavingSource::MachineList);
        }
        MachineState::Live => leaving.unmark(id, LeavingSource::MachineList),
    }
}

/// Brings the mark of the local back end's health endpoint up to date.
pub(super) fn mark_health(leaving: &mut LeavingSet, id: &EndpointId, is_leaving: bool) {
    if is_leaving {
        leaving.mark(id, UNKNOWN_INCARNATION, LeavingSource::HealthEndpoint);
    } else {
        leaving.unmark(id, LeavingSource::HealthEndpoint);
    }
}

/// Whether a machine must get no new work.
pub(super) fn is_leaving(leaving: &LeavingSet, id: &EndpointId) -> bool {
    leaving.is_leaving(id, UNKNOWN_INCARNATION)
}

/// The table that follows from the machine list, the drains and the marks so far.
pub(super) fn build(
    leaving: &mut LeavingSet,
    snapshot: &Snapshot,
    machines: &[Machine],
) -> EndpointTable {
    let mut table = EndpointTable::default();
    for machine in machines {
        let Some(service) = &machine.service else {
            continue;
        };
        let id = EndpointId::from(machine.id.as_str());
        let placement = Placement {
            id: &id,
            zone: &machine.zone,
            service: Some(service),
        };
        mark_machine(leaving, &id, machine.state);
        mark_drains(leaving, snapshot, placement);
        let state = if is_leaving(leaving, &id) {
            EndpointState::Leaving
        } else {
            EndpointState::Live
        };
        let record = EndpointRecord {
            id,
            zone: Zone::from(machine.zone.as_str()),
            incarnation: UNKNOWN_INCARNATION,
            state,
            call_address: machine.call_address,
        };
        table.insert(service, record);
    }
    table
}

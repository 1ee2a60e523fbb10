//! Builds the endpoint table from gossip membership, the machine list and the leaving marks of all
//! sources.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use wharfquay_core::drain::{LeavingSet, LeavingSource};
use wharfquay_core::routing::{EndpointId, EndpointState, UNKNOWN_INCARNATION, Zone};
use wharfquay_membership::member::{Member, MemberId, ZoneName};
use wharfquay_membership::table::MemberTable;
use wharfquay_platform::wire::{Machine, MachineState};
use wharfquay_resources::kinds::DrainTarget;
use wharfquay_resources::snapshot::Snapshot;

/// A backend, which is called through its daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Id of the daemon beside the backend.
    pub id: EndpointId,
    /// Zone that the backend runs in.
    pub zone: Zone,
    /// Start time of the daemon in Unix milliseconds, which grows with each restart;
    /// [`UNKNOWN_INCARNATION`] if the daemon is no member.
    pub incarnation: u64,
    /// Whether the backend gets new calls.
    pub state: EndpointState,
    /// Address at which the backend's daemon accepts calls.
    pub call_address: SocketAddr,
}

/// The endpoints of each service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointTable {
    services: BTreeMap<String, Vec<EndpointRecord>>,
    /// Ids of the daemons without a backend.
    edges: BTreeSet<EndpointId>,
}

impl EndpointTable {
    /// Returns the endpoints of a service; empty for an unknown service.
    #[must_use]
    pub fn of_service(&self, service: &str) -> &[EndpointRecord] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all endpoints, each with the name of its service.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &EndpointRecord)> {
        self.services.iter().flat_map(|(service, records)| {
            let service = service.as_str();
            records.iter().map(move |record| (service, record))
        })
    }

    /// Returns the number of daemons that call a service: all edges, and the daemons beside a
    /// backend whose service declares to call it.
    #[must_use]
    pub fn callers_of(&self, service: &str, snapshot: &Snapshot) -> usize {
        let calling = snapshot.services.values().filter(|caller| {
            let mut calls = caller.calls.iter();
            calls.any(|called| called == service)
        });
        let beside_back_ends = calling.map(|caller| self.of_service(&caller.name).len());
        self.edges.len() + beside_back_ends.sum::<usize>()
    }

    /// Adds an endpoint to those of its service.
    pub fn insert(&mut self, service: &str, record: EndpointRecord) {
        let records = self.services.entry(service.to_owned()).or_default();
        records.push(record);
    }
}

/// The properties of a machine that decide which drains cover it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placement<'a> {
    pub(super) id: &'a EndpointId,
    pub(super) zone: &'a str,
    pub(super) service: Option<&'a str>,
}

/// Sets or clears the leaving mark of one machine by the drains of the configuration.
pub(super) fn mark_drains(
    leaving: &mut LeavingSet,
    snapshot: &Snapshot,
    placement: Placement<'_>,
    incarnation: u64,
) {
    let covered = snapshot
        .drains
        .values()
        .any(|drain| covers(&drain.target, placement));
    if covered {
        leaving.mark(placement.id, incarnation, LeavingSource::Resource);
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

/// Sets or clears the leaving mark of one machine by its state on the machine list.
pub(super) fn mark_machine(
    leaving: &mut LeavingSet,
    id: &EndpointId,
    state: MachineState,
    incarnation: u64,
) {
    match state {
        MachineState::Leaving => {
            leaving.mark(id, incarnation, LeavingSource::MachineList);
        }
        MachineState::Live => leaving.unmark(id, LeavingSource::MachineList),
    }
}

/// Sets or clears the leaving mark of the local backend by what the backend itself reports, at its
/// health endpoint or in its responses.
pub(super) fn mark_backend(
    leaving: &mut LeavingSet,
    id: &EndpointId,
    source: LeavingSource,
    is_leaving: bool,
    incarnation: u64,
) {
    if is_leaving {
        leaving.mark(id, incarnation, source);
    } else {
        leaving.unmark(id, source);
    }
}

/// Marks a daemon as leaving because it is stopping; this mark is never withdrawn.
pub(super) fn mark_shutdown(leaving: &mut LeavingSet, id: &EndpointId, incarnation: u64) {
    leaving.mark(id, incarnation, LeavingSource::Shutdown);
}

/// Marks a member as leaving if it announced its stop through gossip.
fn mark_if_leaving(leaving: &mut LeavingSet, id: &EndpointId, member: &Member) {
    if member.leaving {
        let incarnation = member.incarnation.process();
        mark_shutdown(leaving, id, incarnation);
    }
}

/// Returns the incarnation of a member, or [`UNKNOWN_INCARNATION`] without a member.
pub(super) fn incarnation_of(member: Option<&Member>) -> u64 {
    member.map_or(UNKNOWN_INCARNATION, |member| member.incarnation.process())
}

/// The inputs of the endpoint table.
#[derive(Clone, Copy)]
pub(super) struct Sources<'a> {
    /// The configuration in force.
    pub(super) snapshot: &'a Snapshot,
    /// The platform's machine list.
    pub(super) machines: &'a [Machine],
    /// The members known from gossip.
    pub(super) members: &'a MemberTable,
}

/// Builds the endpoint table from members, machine list, drains and the leaving marks so far.
///
/// Live members take precedence; the machine list adds machines that are no members. A machine
/// whose member is dead is left out unless its service has no other endpoint: the machine list may
/// lag, but the failure detector may also be wrong.
pub(super) fn build(leaving: &mut LeavingSet, sources: Sources<'_>) -> EndpointTable {
    let mut table = EndpointTable::default();
    let mut suspected_dead = Vec::new();
    for machine in sources.machines {
        let Some(service) = &machine.service else {
            let id = EndpointId::from(machine.id.as_str());
            table.edges.insert(id);
            continue;
        };
        let zone = ZoneName::from(machine.zone.as_str());
        let member = sources
            .members
            .get(&zone, &MemberId::from(machine.id.as_str()));
        let id = EndpointId::from(machine.id.as_str());
        mark_machine(leaving, &id, machine.state, incarnation_of(member));
        let address = match member {
            Some(member) if member.is_live() => continue,
            Some(_) | None => machine.call_address,
        };
        let placement = Placement {
            id: &id,
            zone: &machine.zone,
            service: Some(service),
        };
        let record = record(leaving, sources.snapshot, placement, member, address);
        if member.is_some() {
            suspected_dead.push((service.as_str(), record));
        } else {
            table.insert(service, record);
        }
    }
    insert_members(&mut table, leaving, sources);
    for (service, record) in suspected_dead {
        if table.of_service(service).is_empty() {
            table.insert(service, record);
        }
    }
    table
}

fn insert_members(table: &mut EndpointTable, leaving: &mut LeavingSet, sources: Sources<'_>) {
    for member in sources.members.members().filter(|member| member.is_live()) {
        let profile = &member.profile;
        let Some(service) = &profile.service else {
            let id = EndpointId::from(profile.id.as_str());
            table.edges.insert(id);
            continue;
        };
        let id = EndpointId::from(profile.id.as_str());
        mark_if_leaving(leaving, &id, member);
        let placement = Placement {
            id: &id,
            zone: profile.zone.as_str(),
            service: Some(service),
        };
        let address = profile.call_address;
        let record = record(leaving, sources.snapshot, placement, Some(member), address);
        table.insert(service, record);
    }
}

fn record(
    leaving: &mut LeavingSet,
    snapshot: &Snapshot,
    placement: Placement<'_>,
    member: Option<&Member>,
    call_address: SocketAddr,
) -> EndpointRecord {
    let incarnation = incarnation_of(member);
    mark_drains(leaving, snapshot, placement, incarnation);
    let state = if leaving.is_leaving(placement.id, incarnation) {
        EndpointState::Leaving
    } else {
        EndpointState::Live
    };
    EndpointRecord {
        id: placement.id.clone(),
        zone: Zone::from(placement.zone),
        incarnation,
        state,
        call_address,
    }
}

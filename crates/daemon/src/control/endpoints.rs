//! The endpoints of each service, from gossip membership, the machine list and the leaving marks of
//! every source.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use wharfquay_core::drain::{LeavingSet, LeavingSource};
use wharfquay_core::routing::{EndpointId, EndpointState, UNKNOWN_INCARNATION, Zone};
use wharfquay_membership::member::{Member, MemberId, ZoneName};
use wharfquay_membership::table::MemberTable;
use wharfquay_platform::wire::{Machine, MachineState};
use wharfquay_resources::kinds::DrainTarget;
use wharfquay_resources::snapshot::Snapshot;

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
    /// Daemons that stand beside no back end.
    edges: BTreeSet<EndpointId>,
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

    /// Number of daemons that call a service: those beside a back end whose service declares to call
    /// it, and every edge.
    #[must_use]
    pub fn callers_of(&self, service: &str, snapshot: &Snapshot) -> usize {
        let calling = snapshot.services.values().filter(|caller| {
            let mut calls = caller.calls.iter();
            calls.any(|called| called == service)
        });
        let beside_back_ends = calling.map(|caller| self.of_service(&caller.name).len());
        self.edges.len() + beside_back_ends.sum::<usize>()
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

/// Brings the mark of the machine list up to date for one machine.
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

/// Brings the mark of the local back end's health endpoint up to date.
pub(super) fn mark_health(
    leaving: &mut LeavingSet,
    id: &EndpointId,
    is_leaving: bool,
    incarnation: u64,
) {
    if is_leaving {
        leaving.mark(id, incarnation, LeavingSource::HealthEndpoint);
    } else {
        leaving.unmark(id, LeavingSource::HealthEndpoint);
    }
}

/// Marks a daemon that was told to stop, which can't be taken back.
pub(super) fn mark_shutdown(leaving: &mut LeavingSet, id: &EndpointId, incarnation: u64) {
    leaving.mark(id, incarnation, LeavingSource::Shutdown);
}

/// Brings the mark that a daemon has spread about itself up to date.
fn mark_member(leaving: &mut LeavingSet, id: &EndpointId, member: &Member) {
    if member.leaving {
        let incarnation = member.incarnation.process();
        mark_shutdown(leaving, id, incarnation);
    }
}

/// The incarnation of a member, or the one of an endpoint that is no member.
pub(super) fn incarnation_of(member: Option<&Member>) -> u64 {
    member.map_or(UNKNOWN_INCARNATION, |member| member.incarnation.process())
}

/// What the endpoints follow from.
#[derive(Clone, Copy)]
pub(super) struct Sources<'a> {
    /// The configuration in force.
    pub(super) snapshot: &'a Snapshot,
    /// The platform's machine list.
    pub(super) machines: &'a [Machine],
    /// The members that gossip knows.
    pub(super) members: &'a MemberTable,
}

/// The table that follows from members, machine list, drains and the marks so far.
///
/// Members come first; the machine list adds machines that are no members. A machine whose member
/// record is dead is left out unless its service has no other endpoint, since a lagging list and a
/// wrong suspicion are both possible.
pub(super) fn build(leaving: &mut LeavingSet, sources: Sources<'_>) -> EndpointTable {
    let mut table = EndpointTable::default();
    let mut doubtful = Vec::new();
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
            doubtful.push((service.as_str(), record));
        } else {
            table.insert(service, record);
        }
    }
    insert_members(&mut table, leaving, sources);
    for (service, record) in doubtful {
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
        mark_member(leaving, &id, member);
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

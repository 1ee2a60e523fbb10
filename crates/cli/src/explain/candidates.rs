//! Backends of a service, and why each may or may not be chosen.

use serde::Serialize;
use wharfquay_platform::wire::{Machine, MachineState};
use wharfquay_resources::snapshot::Snapshot;

/// A backend of the service.
#[derive(Debug, Serialize)]
pub(super) struct Candidate {
    /// Id of the backend's daemon.
    pub(super) id: String,
    /// Zone of the backend.
    pub(super) zone: String,
    /// Address at which the backend's daemon accepts calls.
    pub(super) address: String,
    /// True if new requests may be sent to it.
    pub(super) usable: bool,
    /// Why it is usable or not.
    pub(super) reason: String,
}

/// Returns the service's backends in order of preference: usable ones of the edge's zone first.
pub(super) fn list_candidates(
    snapshot: &Snapshot,
    service: &str,
    zone: Option<&str>,
    machines: &[Machine],
) -> Vec<Candidate> {
    let machines = machines.iter();
    let mut candidates: Vec<Candidate> = machines
        .filter(|machine| machine.service.as_deref() == Some(service))
        .map(|machine| evaluate_candidate(snapshot, service, zone, machine))
        .collect();
    candidates.sort_by_key(|candidate| {
        let is_remote = Some(candidate.zone.as_str()) != zone;
        (!candidate.usable, is_remote, candidate.id.clone())
    });
    candidates
}

fn evaluate_candidate(
    snapshot: &Snapshot,
    service: &str,
    zone: Option<&str>,
    machine: &Machine,
) -> Candidate {
    let leaving = leaving_reason(snapshot, service, machine);
    let usable = leaving.is_none();
    let reason = leaving.unwrap_or_else(|| zone_preference(zone, &machine.zone));
    Candidate {
        id: machine.id.clone(),
        zone: machine.zone.clone(),
        address: machine.call_address.to_string(),
        usable,
        reason,
    }
}

/// Returns why the backend is leaving; `None` when it is not.
fn leaving_reason(snapshot: &Snapshot, service: &str, machine: &Machine) -> Option<String> {
    if machine.state == MachineState::Leaving {
        return Some("leaving by the machine list".to_owned());
    }
    let mut drains = snapshot.drains.values();
    let drain = drains.find(|drain| {
        let target = &drain.target;
        target.covers(&machine.id, &machine.zone, Some(service))
    })?;
    Some(format!("leaving by drain {}", drain.name))
}

/// Describes the preference for a live backend by its zone and that of the edge.
fn zone_preference(zone: Option<&str>, machine_zone: &str) -> String {
    match zone {
        Some(zone) if zone == machine_zone => "in the edge's zone, preferred",
        Some(_) => "in another zone, used when the edge's zone is loaded",
        None => "live",
    }
    .to_owned()
}

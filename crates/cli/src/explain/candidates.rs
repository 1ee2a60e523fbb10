//! Backends of a service, and why each may or may not be chosen.

use serde::Serialize;
use wharfquay_platform::wire::{Machine, MachineState};
use wharfquay_resources::snapshot::Snapshot;

use crate::daemon_status::DaemonStatus;
use crate::status::daemons::DaemonView;

/// What decides about the candidates.
#[derive(Clone, Copy)]
pub(super) struct Found<'a> {
    /// The configuration.
    pub(super) snapshot: &'a Snapshot,
    /// The machine list.
    pub(super) machines: &'a [Machine],
    /// Status of some daemons.
    pub(super) daemons: &'a [DaemonView],
}

impl Found<'_> {
    /// Returns the status of the daemon on a machine; `None` if it was not read.
    fn status(&self, machine: &Machine) -> Option<&DaemonStatus> {
        let statuses = self.daemons.iter().filter_map(|view| view.status.as_ref());
        statuses.into_iter().find(|status| status.id == machine.id)
    }
}

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
    found: &Found<'_>,
    service: &str,
    zone: Option<&str>,
) -> Vec<Candidate> {
    let machines = found.machines.iter();
    let mut candidates: Vec<Candidate> = machines
        .filter(|machine| machine.service.as_deref() == Some(service))
        .map(|machine| evaluate_candidate(found, service, zone, machine))
        .collect();
    candidates.sort_by_key(|candidate| {
        let is_remote = Some(candidate.zone.as_str()) != zone;
        (!candidate.usable, is_remote, candidate.id.clone())
    });
    candidates
}

fn evaluate_candidate(
    found: &Found<'_>,
    service: &str,
    zone: Option<&str>,
    machine: &Machine,
) -> Candidate {
    let status = found.status(machine);
    let leaving = leaving_reason(found.snapshot, service, machine).or_else(|| {
        let is_leaving = status.is_some_and(|status| status.leaving);
        is_leaving.then(|| "leaving by its daemon".to_owned())
    });
    let usable = leaving.is_none();
    let mut reason = leaving.unwrap_or_else(|| zone_preference(zone, &machine.zone));
    let admission = status.and_then(|status| status.admission);
    if let Some(rate) = admission.and_then(|admission| admission.rate_limit) {
        reason.push_str(&format!(
            "; announces a limit of {rate} requests a second, refuses others (3022)"
        ));
    }
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

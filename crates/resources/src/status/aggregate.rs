//! Computes statuses from the acceptance of a revision and the reports of daemons.
//!
//! The revision of a zone is capped at the version that a status is about. A status is therefore
//! final once its version is in force everywhere, and later revisions of other resources cause no
//! further writes.

use std::collections::BTreeMap;

use crate::acceptance::Acceptance;
use crate::kinds::{DrainTarget, ResourceId, ResourceKind};
use crate::snapshot::{Revision, Snapshot};
use crate::status::{Status, ZoneStatus, verdicts};

/// State of one live daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonReport {
    /// Id of the daemon.
    pub id: String,
    /// Zone of the daemon.
    pub zone: String,
    /// Service of the backend beside the daemon; `None` for an edge.
    pub service: Option<String>,
    /// Revision in force at the daemon; `None` until it reports one.
    pub revision: Option<Revision>,
    /// Number of calls that are running or queued at the backend beside the daemon.
    pub calls_in_flight: u64,
}

/// A pending write to the status keyspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusChange {
    /// Writes the status of this resource.
    Put(ResourceId, Status),
    /// Deletes the status of this resource, which no longer exists.
    Delete(ResourceId),
}

/// Returns the status of every resource that was accepted or rejected.
#[must_use]
pub fn build_statuses(
    acceptance: &Acceptance,
    reports: &[DaemonReport],
) -> BTreeMap<ResourceId, Status> {
    let zones = ReportsByZone::of(reports);
    let verdicts = verdicts(acceptance).into_iter();
    verdicts
        .map(|(id, (version, verdict))| {
            let status = Status {
                observed_version: version,
                zones: zones.statuses_for(version, drain_target(&acceptance.snapshot, &id)),
                verdict,
            };
            (id, status)
        })
        .collect()
}

/// Returns the writes that bring the stored statuses (`written`) up to date with `wanted`.
///
/// When a version is in force everywhere in both, a different number of daemons causes no write.
#[must_use]
pub fn status_changes(
    written: &BTreeMap<ResourceId, Status>,
    wanted: &BTreeMap<ResourceId, Status>,
) -> Vec<StatusChange> {
    let gone = written.keys().filter(|id| !wanted.contains_key(id));
    let deletions = gone.map(|id| StatusChange::Delete(id.clone()));
    let outdated = wanted.iter().filter(|(id, status)| {
        let written = written.get(id);
        written.is_none_or(|written| !is_equivalent(written, status))
    });
    let puts = outdated.map(|(id, status)| StatusChange::Put(id.clone(), status.clone()));
    deletions.chain(puts).collect()
}

fn is_equivalent(written: &Status, wanted: &Status) -> bool {
    if written == wanted {
        return true;
    }
    let is_final = |status: &Status| status.is_in_force_everywhere() && status.in_flight() == 0;
    let has_same_zones = written.zones.keys().eq(wanted.zones.keys());
    written.observed_version == wanted.observed_version
        && has_same_zones
        && is_final(written)
        && is_final(wanted)
}

fn drain_target<'a>(snapshot: &'a Snapshot, id: &ResourceId) -> Option<&'a DrainTarget> {
    if id.kind != ResourceKind::Drain {
        return None;
    }
    let drain = snapshot.drains.get(&id.name)?;
    Some(&drain.target)
}

/// The reports of one zone, with the values that all statuses share.
struct ZoneReports<'a> {
    reports: Vec<&'a DaemonReport>,
    /// Lowest revision that a daemon of the zone reported; zero when none reported one.
    lowest: Revision,
    /// Number of the zone's daemons that reported a revision.
    reported: u32,
}

impl<'a> ZoneReports<'a> {
    fn new(reports: Vec<&'a DaemonReport>) -> Self {
        let revisions = reports.iter().filter_map(|report| report.revision);
        Self {
            lowest: revisions.clone().min().unwrap_or_default(),
            reported: count(revisions.count()),
            reports,
        }
    }

    /// Returns the status of the zone for a version, with the calls in flight that the drain covers.
    fn status_for(&self, version: Revision, drain: Option<&DrainTarget>) -> ZoneStatus {
        ZoneStatus {
            revision: self.lowest.min(version),
            daemons: count(self.reports.len()),
            reported: self.reported,
            in_flight: drain.map_or(0, |target| self.calls_covered_by(target)),
        }
    }

    fn calls_covered_by(&self, target: &DrainTarget) -> u64 {
        let covered = self
            .reports
            .iter()
            .filter(|report| target.covers(&report.id, &report.zone, report.service.as_deref()));
        covered.map(|report| report.calls_in_flight).sum()
    }
}

/// The reports grouped by zone.
struct ReportsByZone<'a> {
    zones: BTreeMap<&'a str, ZoneReports<'a>>,
}

impl<'a> ReportsByZone<'a> {
    fn of(reports: &'a [DaemonReport]) -> Self {
        let mut by_zone: BTreeMap<&str, Vec<&DaemonReport>> = BTreeMap::new();
        for report in reports {
            by_zone.entry(&report.zone).or_default().push(report);
        }
        let zones = by_zone.into_iter();
        Self {
            zones: zones
                .map(|(name, reports)| (name, ZoneReports::new(reports)))
                .collect(),
        }
    }

    fn statuses_for(
        &self,
        version: Revision,
        drain: Option<&DrainTarget>,
    ) -> BTreeMap<String, ZoneStatus> {
        let zones = self.zones.iter();
        zones
            .map(|(name, zone)| ((*name).to_owned(), zone.status_for(version, drain)))
            .collect()
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

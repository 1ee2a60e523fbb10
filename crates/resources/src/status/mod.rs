//! Status of a resource: whether its latest version was accepted and where it is in force.
//!
//! A status is stored in the platform's status keyspace under the kind and name of the resource.
//! Writing one creates no new configuration revision.

mod aggregate;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::acceptance::{Acceptance, Rejection};
use crate::kinds::ResourceId;
use crate::snapshot::Revision;

pub use aggregate::{DaemonReport, StatusChange, build_statuses, status_changes};

/// Status of one resource.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Version of the object that was last accepted or rejected.
    pub observed_version: Revision,
    /// Whether `observed_version` was accepted or rejected; pending before either.
    pub verdict: Verdict,
    /// Progress of the rollout in each zone, by zone name.
    #[serde(default)]
    pub zones: BTreeMap<String, ZoneStatus>,
}

/// Result of the acceptance of a version of a resource.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Verdict {
    /// The version was neither accepted nor rejected yet.
    #[default]
    Pending,
    /// The version is accepted.
    Accepted,
    /// The version was rejected and is not in force.
    Rejected {
        /// Number of the first problem's code.
        code: u16,
        /// Text of every problem, joined by semicolons.
        reason: String,
        /// True if an earlier version stays in force.
        last_good_in_force: bool,
    },
}

/// Progress of the rollout at the daemons of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Lowest revision in force among the daemons that reported one, capped at the observed version.
    pub revision: Revision,
    /// Number of live daemons in the zone.
    pub daemons: u32,
    /// Number of live daemons that reported their revision.
    pub reported: u32,
    /// Number of calls in flight at the backends that a drain covers; zero for other resources.
    #[serde(default)]
    pub in_flight: u64,
}

impl Status {
    /// Returns the number of calls in flight at the backends that a drain covers, in all zones.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.zones.values().map(|zone| zone.in_flight).sum()
    }

    /// Returns true if the observed version is accepted and in force at every daemon of every zone.
    #[must_use]
    pub fn is_in_force_everywhere(&self) -> bool {
        let is_in_force = |zone: &ZoneStatus| {
            zone.revision >= self.observed_version && zone.reported == zone.daemons
        };
        self.verdict == Verdict::Accepted
            && !self.zones.is_empty()
            && self.zones.values().all(is_in_force)
    }
}

/// Returns the result for each accepted or rejected resource, with its version. For a rejected
/// deletion the version is the revision of the snapshot.
#[must_use]
pub fn verdicts(acceptance: &Acceptance) -> BTreeMap<ResourceId, (Revision, Verdict)> {
    let accepted = acceptance.accepted.iter();
    let accepted = accepted.map(|(id, version)| (id.clone(), (*version, Verdict::Accepted)));
    let rejected = acceptance.rejections.iter().map(|rejection| {
        let version = rejection.version.unwrap_or(acceptance.snapshot.revision);
        (rejection.id.clone(), (version, rejected(rejection)))
    });
    accepted.chain(rejected).collect()
}

fn rejected(rejection: &Rejection) -> Verdict {
    let findings = &rejection.findings;
    let reasons: Vec<String> = findings.iter().map(ToString::to_string).collect();
    Verdict::Rejected {
        code: findings.first().map_or(0, |finding| finding.code.number()),
        reason: reasons.join("; "),
        last_good_in_force: rejection.is_last_good_in_force,
    }
}

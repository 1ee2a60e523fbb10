//! Status of a resource: what became of the version that was written.
//!
//! A status is stored beside the resource in the platform's status keyspace, under the resource's
//! kind and name. Writing one makes no new configuration revision.

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
    /// Version of the object that was last judged.
    pub observed_version: Revision,
    /// What was decided about that version.
    pub verdict: Verdict,
    /// How far each zone is, by zone.
    #[serde(default)]
    pub zones: BTreeMap<String, ZoneStatus>,
}

/// What was decided about a version of a resource.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Verdict {
    /// Nothing yet.
    #[default]
    Pending,
    /// The version is accepted.
    Accepted,
    /// The version is not in force.
    Rejected {
        /// Number of the first problem's code.
        code: u16,
        /// Every problem, in words.
        reason: String,
        /// Whether an earlier version stays in force.
        last_good_in_force: bool,
    },
}

/// How far the daemons of one zone are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Lowest revision in force among the daemons that reported one, up to the observed version.
    pub revision: Revision,
    /// Live daemons of the zone.
    pub daemons: u32,
    /// Live daemons whose revision is known.
    pub reported: u32,
    /// Calls in flight at the back ends that a drain covers; zero for other resources.
    #[serde(default)]
    pub in_flight: u64,
}

impl Status {
    /// Calls in flight at the back ends that a drain covers, in all zones.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.zones.values().map(|zone| zone.in_flight).sum()
    }

    /// Whether the observed version is accepted and in force at every daemon of every zone.
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

/// The verdict on each judged resource, with the version that was judged.
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

//! Checks of resources against each other.

mod references;
mod risks;
mod transition;

pub(crate) use references::ambiguous_match;
pub use transition::find_transition_errors;

use std::collections::BTreeSet;

use crate::kinds::{Resource, ResourceId, ResourceKind};
use crate::problem::Finding;
use crate::snapshot::Snapshot;
use crate::spec::{read_spec, to_spec};

/// Identities that references may name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownResources {
    ids: BTreeSet<ResourceId>,
}

impl KnownResources {
    /// The identities of a snapshot's resources.
    #[must_use]
    pub fn of(snapshot: &Snapshot) -> Self {
        Self {
            ids: snapshot.ids().collect(),
        }
    }

    /// Adds identities, such as those of resources that are present but broken.
    pub fn extend(&mut self, ids: impl IntoIterator<Item = ResourceId>) {
        self.ids.extend(ids);
    }

    /// Whether a reference may name this resource.
    #[must_use]
    pub fn contains(&self, kind: ResourceKind, name: &str) -> bool {
        let name = name.to_owned();
        self.ids.contains(&ResourceId { kind, name })
    }

    /// The names of one kind.
    pub(crate) fn names(&self, kind: ResourceKind) -> impl Iterator<Item = &str> {
        let ids = self.ids.iter().filter(move |id| id.kind == kind);
        ids.map(|id| id.name.as_str())
    }
}

/// Everything between resources that keeps one of them from being accepted.
#[must_use]
pub fn find_errors(snapshot: &Snapshot, known: &KnownResources) -> Vec<Finding> {
    references::find_errors(snapshot, known)
}

/// Everything between resources that is legal but risky.
#[must_use]
pub fn find_warnings(snapshot: &Snapshot) -> Vec<Finding> {
    risks::find_warnings(snapshot)
}

/// Every error of one resource by itself, without the others.
#[must_use]
pub fn validate_resource(resource: &Resource) -> Vec<Finding> {
    read_spec(resource.id().kind, &to_spec(resource))
        .err()
        .unwrap_or_default()
}

/// Every error and warning of a whole snapshot: each resource by itself, then all together.
#[must_use]
pub fn validate_snapshot(snapshot: &Snapshot) -> Vec<Finding> {
    let own = snapshot
        .resources()
        .flat_map(|resource| validate_resource(&resource));
    let mut findings: Vec<Finding> = own.collect();
    findings.extend(find_errors(snapshot, &KnownResources::of(snapshot)));
    findings.extend(find_warnings(snapshot));
    findings
}

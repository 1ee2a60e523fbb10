//! Validation of resources against each other.

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

/// Identities of the resources that references may name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownResources {
    ids: BTreeSet<ResourceId>,
}

impl KnownResources {
    /// Returns the identities of the resources of a snapshot.
    #[must_use]
    pub fn of(snapshot: &Snapshot) -> Self {
        Self {
            ids: snapshot.ids().collect(),
        }
    }

    /// Adds identities, such as those of resources that exist but are not valid.
    pub fn extend(&mut self, ids: impl IntoIterator<Item = ResourceId>) {
        self.ids.extend(ids);
    }

    /// Returns true if a reference may name this resource.
    #[must_use]
    pub fn contains(&self, kind: ResourceKind, name: &str) -> bool {
        let name = name.to_owned();
        self.ids.contains(&ResourceId { kind, name })
    }

    /// Returns the names of the resources of one kind.
    pub(crate) fn names(&self, kind: ResourceKind) -> impl Iterator<Item = &str> {
        let ids = self.ids.iter().filter(move |id| id.kind == kind);
        ids.map(|id| id.name.as_str())
    }
}

/// Returns the errors between resources, each of which prevents the acceptance of one of them.
#[must_use]
pub fn find_errors(snapshot: &Snapshot, known: &KnownResources) -> Vec<Finding> {
    references::find_errors(snapshot, known)
}

/// Returns the warnings about combinations of resources that are valid but risky.
#[must_use]
pub fn find_warnings(snapshot: &Snapshot) -> Vec<Finding> {
    risks::find_warnings(snapshot)
}

/// Returns the errors of one resource, without checks against others.
#[must_use]
pub fn validate_resource(resource: &Resource) -> Vec<Finding> {
    read_spec(resource.id().kind, &to_spec(resource))
        .err()
        .unwrap_or_default()
}

/// Returns every error and warning of a snapshot: those of each resource, then those between
/// resources.
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

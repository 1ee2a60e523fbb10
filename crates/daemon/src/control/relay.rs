//! The configuration on the wire between daemons: snapshots, and deltas between two of them.

use serde::{Deserialize, Serialize};
use wharfquay_membership::message::Payload;
use wharfquay_resources::kinds::{Resource, ResourceId};
use wharfquay_resources::snapshot::{Revision, Snapshot};

/// What changed between two accepted configurations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct ConfigurationDelta {
    /// New and changed resources.
    pub(super) put: Vec<Resource>,
    /// Resources that are gone.
    pub(super) deleted: Vec<ResourceId>,
}

impl ConfigurationDelta {
    /// What leads from one configuration to another.
    pub(super) fn between(before: &Snapshot, after: &Snapshot) -> Self {
        let changed = |resource: &Resource| before.get(&resource.id()).as_ref() != Some(resource);
        let gone = |id: &ResourceId| after.get(id).is_none();
        Self {
            put: resources(after).filter(changed).collect(),
            deleted: resources(before)
                .map(|resource| resource.id())
                .filter(gone)
                .collect(),
        }
    }

    /// Applies the change and sets the revision.
    pub(super) fn apply(self, snapshot: &mut Snapshot, revision: Revision) {
        for id in &self.deleted {
            snapshot.remove(id);
        }
        for resource in self.put {
            snapshot.insert(resource);
        }
        snapshot.revision = revision;
    }
}

/// Every resource of a configuration.
pub(super) fn resources(snapshot: &Snapshot) -> impl Iterator<Item = Resource> {
    let services = snapshot.services.values().cloned().map(Resource::Service);
    let kinds = snapshot.request_kinds.values().cloned();
    let budgets = snapshot.retry_budgets.values().cloned();
    let drains = snapshot.drains.values().cloned();
    let groups = snapshot.claim_groups.values().cloned();
    services
        .chain(kinds.map(Resource::RequestKind))
        .chain(budgets.map(Resource::RetryBudget))
        .chain(drains.map(Resource::Drain))
        .chain(groups.map(Resource::ClaimGroup))
}

/// Encodes a configuration or a change of it.
///
/// # Errors
/// A text that says what CBOR can't express.
pub(super) fn encode<T: Serialize>(value: &T) -> Result<Payload, String> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|error| error.to_string())?;
    Ok(Payload::from(bytes))
}

/// Decodes what [`encode`] made.
///
/// # Errors
/// A text that says what does not fit.
pub(super) fn decode<T: for<'de> Deserialize<'de>>(payload: &Payload) -> Result<T, String> {
    ciborium::from_reader(payload.as_bytes()).map_err(|error| error.to_string())
}

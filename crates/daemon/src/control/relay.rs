//! Encoding of the configuration that daemons relay to each other: snapshots, and deltas between
//! two of them.

use serde::{Deserialize, Serialize};
use wharfquay_membership::message::Payload;
use wharfquay_resources::kinds::{Resource, ResourceId};
use wharfquay_resources::snapshot::{Revision, Snapshot};

/// The difference between two accepted configurations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct ConfigurationDelta {
    /// New and changed resources.
    pub(super) put: Vec<Resource>,
    /// Ids of the resources that no longer exist.
    pub(super) deleted: Vec<ResourceId>,
}

impl ConfigurationDelta {
    /// Computes the delta that turns `before` into `after`.
    pub(super) fn between(before: &Snapshot, after: &Snapshot) -> Self {
        let changed = |resource: &Resource| before.get(&resource.id()).as_ref() != Some(resource);
        let deleted_id = |id: &ResourceId| after.get(id).is_none();
        Self {
            put: resources(after).filter(changed).collect(),
            deleted: resources(before)
                .map(|resource| resource.id())
                .filter(deleted_id)
                .collect(),
        }
    }

    /// Applies the delta to a configuration and sets its revision.
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

/// Returns all resources of a configuration.
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

/// Encodes a configuration or a delta as CBOR.
///
/// # Errors
/// The message of the CBOR encoder.
pub(super) fn encode<T: Serialize>(value: &T) -> Result<Payload, String> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|error| error.to_string())?;
    Ok(Payload::from(bytes))
}

/// Decodes the output of [`encode`].
///
/// # Errors
/// The message of the CBOR decoder.
pub(super) fn decode<T: for<'de> Deserialize<'de>>(payload: &Payload) -> Result<T, String> {
    ciborium::from_reader(payload.as_bytes()).map_err(|error| error.to_string())
}

//! The configuration that a hollow daemon holds, in the encoding that daemons relay.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wharfquay_membership::message::{Delta, Payload, Snapshot as RelayedSnapshot};
use wharfquay_resources::kinds::{Resource, ResourceId};
use wharfquay_resources::snapshot::{Revision, Snapshot};

/// What changed between two configurations, as it travels between daemons.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct ConfigurationDelta {
    /// New and changed resources.
    pub(super) put: Vec<Resource>,
    /// Resources that are gone.
    pub(super) deleted: Vec<ResourceId>,
}

impl ConfigurationDelta {
    fn apply(self, snapshot: &mut Snapshot) {
        for id in &self.deleted {
            snapshot.remove(id);
        }
        for resource in self.put {
            snapshot.insert(resource);
        }
    }
}

/// A decoded configuration.
#[derive(Debug, Default)]
pub(super) struct HeldConfiguration {
    snapshot: Snapshot,
}

impl HeldConfiguration {
    /// Revision held; zero before the first one.
    pub(super) const fn revision(&self) -> u64 {
        self.snapshot.revision.number()
    }

    /// Replaces the whole configuration; returns whether it could be decoded.
    pub(super) fn replace(&mut self, relayed: &RelayedSnapshot) -> bool {
        let Some(mut snapshot) = decode::<Snapshot>(&relayed.payload) else {
            return false;
        };
        snapshot.revision = Revision::new(relayed.revision);
        self.snapshot = snapshot;
        true
    }

    /// Applies a change; returns whether it could be decoded.
    pub(super) fn apply(&mut self, relayed: &Delta) -> bool {
        let Some(delta) = decode::<ConfigurationDelta>(&relayed.payload) else {
            return false;
        };
        delta.apply(&mut self.snapshot);
        self.snapshot.revision = Revision::new(relayed.revision);
        true
    }

    /// The whole configuration, encoded.
    pub(super) fn encoded(&self) -> Option<Payload> {
        encode(&self.snapshot)
    }
}

/// Encodes a configuration or a change; nothing when CBOR can't express it.
pub(super) fn encode<T: Serialize>(value: &T) -> Option<Payload> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).ok()?;
    Some(Payload::from(bytes))
}

fn decode<T: DeserializeOwned>(payload: &Payload) -> Option<T> {
    ciborium::from_reader(payload.as_bytes()).ok()
}

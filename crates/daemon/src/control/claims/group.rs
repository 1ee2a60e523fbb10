//! Conversion of the configured claim group.

use std::time::Duration;

use wharfquay_core::idempotency::claim::group::{Epoch, Group, Predecessor, ReplicaId};
use wharfquay_core::idempotency::clock::KeyWindow;
use wharfquay_resources::kinds::ClaimGroup;
use wharfquay_resources::snapshot::{CLAIM_GROUP_NAME, Snapshot};

/// Returns the claim group in force, or `None` if none is configured.
pub(super) fn in_force(snapshot: &Snapshot) -> Option<Group> {
    snapshot.claim_groups.get(CLAIM_GROUP_NAME).map(group)
}

fn group(resource: &ClaimGroup) -> Group {
    let epoch = Epoch::new(resource.epoch);
    Group {
        epoch,
        replicas: replica_ids(&resource.replicas),
        predecessor: match &resource.previous_replicas {
            _ if epoch == Epoch::FIRST => Predecessor::None,
            None => Predecessor::Unknown,
            Some(replicas) if replicas.is_empty() => Predecessor::None,
            Some(replicas) => Predecessor::Members(replica_ids(replicas)),
        },
        window: KeyWindow {
            clock_skew: Duration::from_millis(u64::from(resource.clock_skew_ms)),
            retention: Duration::from_millis(u64::from(resource.retention_ms)),
        },
    }
}

fn replica_ids(ids: &[String]) -> Vec<ReplicaId> {
    ids.iter().map(ReplicaId::new).collect()
}

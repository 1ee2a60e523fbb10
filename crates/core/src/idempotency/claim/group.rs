//! The replica group in force.

use serde::{Deserialize, Serialize};

use crate::idempotency::clock::KeyWindow;

/// Number of a claim group; grows with each change of its members. The first group has number 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(u64);

impl Epoch {
    /// Epoch of the first group.
    pub const FIRST: Self = Self(1);

    /// Wraps an epoch number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The epoch after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The epoch number.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// Id of the daemon that holds a replica.
///
/// At most one living process bears an id at a time. A machine that takes the place of one which
/// may still be running needs an id of its own, and so a new epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(String);

impl ReplicaId {
    /// The replica in the daemon with this id.
    #[must_use]
    pub fn new(daemon: impl Into<String>) -> Self {
        Self(daemon.into())
    }

    /// Id of the daemon.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The group whose votes a new group takes over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// No earlier group can still vote: this is the first one, or the operator states that every
    /// replica of the earlier ones has stopped.
    None,
    /// The members of the epoch before.
    Members(Vec<ReplicaId>),
    /// The configuration doesn't say; the group never votes.
    Unknown,
}

/// A replica group as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Number of the group.
    pub epoch: Epoch,
    /// Its members.
    pub replicas: Vec<ReplicaId>,
    /// The group before it.
    pub predecessor: Predecessor,
    /// Bounds on the keys that may be claimed.
    pub window: KeyWindow,
}

impl Group {
    /// Whether the group names this replica.
    #[must_use]
    pub fn contains(&self, replica: &ReplicaId) -> bool {
        self.replicas.contains(replica)
    }

    /// Smallest number of members that is a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        majority(self.replicas.len())
    }
}

/// Smallest majority of `members`.
#[must_use]
pub const fn majority(members: usize) -> usize {
    members / 2 + 1
}

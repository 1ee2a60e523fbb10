//! Replica group of the claim protocol.

use serde::{Deserialize, Serialize};

use crate::idempotency::clock::KeyWindow;

/// Number of a claim group, incremented with each change of its members. The first group has number
/// 1.
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

    /// Returns the epoch after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns the epoch number.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// Id of the daemon that hosts a replica.
///
/// At most one running process may have an id at a time. A machine that replaces one which may
/// still be running needs a new id, and therefore a new epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(String);

impl ReplicaId {
    /// Creates the id of the replica in the daemon `daemon`.
    #[must_use]
    pub fn new(daemon: impl Into<String>) -> Self {
        Self(daemon.into())
    }

    /// Returns the id of the daemon.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The group whose votes a new group takes over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// No earlier group can still vote: this is the first one, or the operator asserts that every
    /// replica of the earlier ones has stopped.
    None,
    /// The members of the previous epoch.
    Members(Vec<ReplicaId>),
    /// Not specified in the configuration; the group never votes.
    Unknown,
}

/// A replica group as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Epoch of the group.
    pub epoch: Epoch,
    /// Members of the group.
    pub replicas: Vec<ReplicaId>,
    /// The group whose votes this one takes over.
    pub predecessor: Predecessor,
    /// Limits on the keys that may be claimed.
    pub window: KeyWindow,
}

impl Group {
    /// Returns true if the replica is a member of the group.
    #[must_use]
    pub fn contains(&self, replica: &ReplicaId) -> bool {
        self.replicas.contains(replica)
    }

    /// Returns the smallest number of members that is a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        majority(self.replicas.len())
    }
}

/// Returns the smallest majority of `members`.
#[must_use]
pub const fn majority(members: usize) -> usize {
    members / 2 + 1
}

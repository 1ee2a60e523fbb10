//! The simulated configuration store of the platform: revisions, watches and faults.

use std::collections::BTreeSet;
use std::time::Duration;

use wharfquay_core::time::Timestamp;
use wharfquay_membership::message::{Delta, Payload, Snapshot};

/// Mean one-way latency to the store.
const LATENCY: Duration = Duration::from_millis(1);
/// Size of one resource in a snapshot, in bytes.
const RESOURCE_BYTES: usize = 200;

/// An accepted configuration change.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedChange {
    /// Revision that the change produced.
    pub revision: u64,
    /// Time of acceptance.
    pub at: Timestamp,
}

/// The simulated store. Payloads have a realistic size but no content.
#[derive(Clone, Debug)]
pub struct Store {
    changes: Vec<AcceptedChange>,
    revision: u64,
    snapshot: Payload,
    delta: Payload,
    /// True while the store does not reply to any reader.
    pub down: bool,
    /// Additional delay of each reply.
    pub delay: Duration,
    /// Number of revisions by which replies are older than the newest state.
    pub revisions_behind: u64,
    unreachable_zones: BTreeSet<usize>,
    watchers: BTreeSet<usize>,
    peak_watchers: usize,
    list_requests: u64,
}

impl Store {
    /// Creates a store at revision 1. A snapshot has the size of `resources` resources, a delta that of
    /// `delta_bytes` bytes.
    #[must_use]
    pub fn new(resources: usize, delta_bytes: usize) -> Self {
        Self {
            changes: Vec::new(),
            revision: 1,
            snapshot: Payload::from(vec![0; resources * RESOURCE_BYTES]),
            delta: Payload::from(vec![0; delta_bytes]),
            down: false,
            delay: Duration::ZERO,
            revisions_behind: 0,
            unreachable_zones: BTreeSet::new(),
            watchers: BTreeSet::new(),
            peak_watchers: 0,
            list_requests: 0,
        }
    }

    /// Returns the newest revision.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the changes after the revision `held`, up to and including `adopted`.
    pub fn changes_between(&self, held: u64, adopted: u64) -> &[AcceptedChange] {
        let from = self
            .changes
            .partition_point(|change| change.revision <= held);
        let to = self
            .changes
            .partition_point(|change| change.revision <= adopted);
        &self.changes[from..to.max(from)]
    }

    /// Accepts a change and returns its revision.
    pub fn accept(&mut self, at: Timestamp) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        self.changes.push(AcceptedChange { revision, at });
        revision
    }

    /// Sets whether a zone can reach the store.
    pub fn set_reachable(&mut self, zone: usize, reachable: bool) {
        if reachable {
            self.unreachable_zones.remove(&zone);
        } else {
            self.unreachable_zones.insert(zone);
        }
    }

    /// Returns true if a reader in this zone gets replies.
    #[must_use]
    pub fn replies_to(&self, zone: usize) -> bool {
        !self.down && !self.unreachable_zones.contains(&zone)
    }

    /// Returns the time that a reply or a watch event takes to a reader.
    #[must_use]
    pub fn reply_time(&self) -> Duration {
        LATENCY + self.delay
    }

    /// Counts a list request that is served.
    pub const fn count_list_request(&mut self) {
        self.list_requests += 1;
    }

    /// Returns the whole configuration at the revision that the store replies with.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.snapshot_at(self.revision.saturating_sub(self.revisions_behind).max(1))
    }

    /// Returns the whole configuration at a revision.
    #[must_use]
    pub fn snapshot_at(&self, revision: u64) -> Snapshot {
        Snapshot {
            revision,
            payload: self.snapshot.clone(),
        }
    }

    /// Returns the change from the revision `previous` to `revision`.
    #[must_use]
    pub fn delta(&self, previous: u64, revision: u64) -> Delta {
        Delta {
            previous,
            revision,
            payload: self.delta.clone(),
        }
    }

    /// Opens a watch for a reader.
    pub fn watch(&mut self, reader: usize) {
        self.watchers.insert(reader);
        self.peak_watchers = self.peak_watchers.max(self.watchers.len());
    }

    /// Closes the watch of a reader.
    pub fn unwatch(&mut self, reader: usize) {
        self.watchers.remove(&reader);
    }

    /// Returns the readers that have a watch.
    #[must_use]
    pub fn watchers(&self) -> Vec<usize> {
        self.watchers.iter().copied().collect()
    }

    /// Returns the largest number of concurrent watches.
    #[must_use]
    pub const fn peak_watchers(&self) -> usize {
        self.peak_watchers
    }

    /// Returns the number of list requests served.
    #[must_use]
    pub const fn list_requests(&self) -> u64 {
        self.list_requests
    }
}

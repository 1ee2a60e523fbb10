//! The simulated store of the platform: revisions, watchers and faults.

use std::collections::BTreeSet;
use std::time::Duration;

use wharfquay_core::time::Timestamp;
use wharfquay_membership::message::{Delta, Payload, Snapshot};

/// Mean one-way latency to the store.
const LATENCY: Duration = Duration::from_millis(1);
/// Size of a resource in a snapshot, in bytes.
const RESOURCE_BYTES: usize = 200;

/// One accepted change.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedChange {
    /// Its revision.
    pub revision: u64,
    /// When it was accepted.
    pub at: Timestamp,
}

/// The store.
#[derive(Clone, Debug)]
pub struct Store {
    changes: Vec<AcceptedChange>,
    revision: u64,
    snapshot: Payload,
    delta: Payload,
    /// Whether it answers at all.
    pub down: bool,
    /// What is added to each answer.
    pub delay: Duration,
    /// Revisions by which it answers from an older state.
    pub behind: u64,
    unreachable_zones: BTreeSet<usize>,
    watchers: BTreeSet<usize>,
    most_watchers: usize,
    lists: u64,
}

impl Store {
    /// A store with one revision.
    #[must_use]
    pub fn new(resources: usize, change_bytes: usize) -> Self {
        Self {
            changes: Vec::new(),
            revision: 1,
            snapshot: Payload::from(vec![0; resources * RESOURCE_BYTES]),
            delta: Payload::from(vec![0; change_bytes]),
            down: false,
            delay: Duration::ZERO,
            behind: 0,
            unreachable_zones: BTreeSet::new(),
            watchers: BTreeSet::new(),
            most_watchers: 0,
            lists: 0,
        }
    }

    /// The newest revision.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Accepted changes after `held`, up to `adopted`.
    pub fn changes_between(&self, held: u64, adopted: u64) -> &[AcceptedChange] {
        let from = self
            .changes
            .partition_point(|change| change.revision <= held);
        let to = self
            .changes
            .partition_point(|change| change.revision <= adopted);
        &self.changes[from..to.max(from)]
    }

    /// Accepts a change.
    pub fn accept(&mut self, at: Timestamp) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        self.changes.push(AcceptedChange { revision, at });
        revision
    }

    /// Lets a zone reach the store, or not.
    pub fn set_reachable(&mut self, zone: usize, reachable: bool) {
        if reachable {
            self.unreachable_zones.remove(&zone);
        } else {
            self.unreachable_zones.insert(zone);
        }
    }

    /// Whether a reader in this zone gets an answer.
    #[must_use]
    pub fn answers(&self, zone: usize) -> bool {
        !self.down && !self.unreachable_zones.contains(&zone)
    }

    /// Time for an answer or an event of a watch.
    #[must_use]
    pub fn answer_time(&self) -> Duration {
        LATENCY + self.delay
    }

    /// The whole configuration, as a list answers it.
    pub const fn count_list(&mut self) {
        self.lists += 1;
    }

    /// The whole configuration at the revision that the store shows.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.snapshot_at(self.revision.saturating_sub(self.behind).max(1))
    }

    /// The whole configuration at some revision.
    #[must_use]
    pub fn snapshot_at(&self, revision: u64) -> Snapshot {
        Snapshot {
            revision,
            payload: self.snapshot.clone(),
        }
    }

    /// The change between two revisions.
    #[must_use]
    pub fn delta(&self, previous: u64, revision: u64) -> Delta {
        Delta {
            previous,
            revision,
            payload: self.delta.clone(),
        }
    }

    /// Opens a watch.
    pub fn watch(&mut self, reader: usize) {
        self.watchers.insert(reader);
        self.most_watchers = self.most_watchers.max(self.watchers.len());
    }

    /// Ends a watch.
    pub fn unwatch(&mut self, reader: usize) {
        self.watchers.remove(&reader);
    }

    /// The readers that watch.
    #[must_use]
    pub fn watchers(&self) -> Vec<usize> {
        self.watchers.iter().copied().collect()
    }

    /// Most readers that watched at the same time.
    #[must_use]
    pub const fn most_watchers(&self) -> usize {
        self.most_watchers
    }

    /// Lists answered.
    #[must_use]
    pub const fn lists(&self) -> u64 {
        self.lists
    }
}

//! Configuration held by a daemon: a snapshot and the deltas after it, opaque to this crate.

use std::collections::VecDeque;

use crate::message::{Changes, Delta, Snapshot};

/// Maximum number of deltas retained for peers that lag behind.
const MAX_RETAINED_DELTAS: usize = 128;
/// Maximum size of the retained deltas, in bytes.
const MAX_RETAINED_DELTA_BYTES: usize = 256 * 1_024;

/// Result of applying a snapshot or a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The change is now in force.
    Applied,
    /// The revision in force is the same or newer.
    NotNewer,
    /// The change is newer, but changes before it are missing.
    Gap,
}

/// Snapshot and the deltas that follow it. Its revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    base: Option<Snapshot>,
    deltas: VecDeque<Delta>,
    delta_bytes: usize,
    revision: u64,
}

impl ChangeLog {
    /// Returns the revision in force; 0 while no configuration is held.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a snapshot if it is newer than the revision in force.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot) -> ApplyResult {
        if snapshot.revision <= self.revision {
            return ApplyResult::NotNewer;
        }
        self.revision = snapshot.revision;
        self.base = Some(snapshot.clone());
        self.deltas.clear();
        self.delta_bytes = 0;
        ApplyResult::Applied
    }

    /// Applies a delta if it is newer than the revision in force and leaves no gap.
    pub fn apply_delta(&mut self, delta: &Delta) -> ApplyResult {
        if delta.revision <= self.revision {
            return ApplyResult::NotNewer;
        }
        if self.revision == 0 || delta.previous > self.revision {
            return ApplyResult::Gap;
        }
        self.revision = delta.revision;
        self.delta_bytes += delta.payload.as_bytes().len();
        self.deltas.push_back(delta.clone());
        ApplyResult::Applied
    }

    /// Returns the changes that a peer at revision `held` lacks: deltas if the retained ones reach
    /// back to `held`, otherwise a snapshot and the deltas after it.
    #[must_use]
    pub fn changes_since(&self, held: u64) -> Changes {
        let covers_held = self
            .deltas
            .front()
            .is_some_and(|oldest| oldest.previous <= held);
        let after = if held > 0 && covers_held {
            held
        } else {
            self.base.as_ref().map_or(0, |base| base.revision)
        };
        let newer = self.deltas.iter().filter(|delta| delta.revision > after);
        Changes {
            snapshot: (after != held).then(|| self.base.clone()).flatten(),
            deltas: newer.cloned().collect(),
        }
    }

    /// Returns true if the driver should provide a snapshot of the revision in force, which allows
    /// older deltas to be dropped.
    #[must_use]
    pub fn needs_compaction(&self) -> bool {
        self.deltas.len() > MAX_RETAINED_DELTAS || self.delta_bytes > MAX_RETAINED_DELTA_BYTES
    }

    /// Replaces the base with a snapshot of the revision in force. Up to half of the retained
    /// deltas are kept for peers that lag behind.
    pub fn compact(&mut self, snapshot: Snapshot) {
        if snapshot.revision != self.revision {
            return;
        }
        self.base = Some(snapshot);
        while self.deltas.len() > MAX_RETAINED_DELTAS / 2
            || self.delta_bytes > MAX_RETAINED_DELTA_BYTES / 2
        {
            let Some(dropped) = self.deltas.pop_front() else {
                return;
            };
            self.delta_bytes -= dropped.payload.as_bytes().len();
        }
    }

    /// Returns the size of the held configuration, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let base = self
            .base
            .as_ref()
            .map_or(0, |base| base.payload.as_bytes().len());
        base + self.delta_bytes + self.deltas.len() * size_of::<Delta>()
    }
}

//! The configuration that a daemon holds: a snapshot and the deltas after it, opaque to this crate.

use std::collections::VecDeque;

use crate::message::{Changes, Delta, Snapshot};

/// Deltas kept for peers that lag.
const KEPT_DELTAS: usize = 128;
/// Bytes of deltas kept for peers that lag.
const KEPT_DELTA_BYTES: usize = 256 * 1_024;

/// What came of an offered change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// It is in force now.
    Adopted,
    /// The revision in force is the same or newer.
    NotNewer,
    /// It is newer, but changes between are missing.
    Gap,
}

/// A snapshot and what came after it. The revision only grows.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    base: Option<Snapshot>,
    deltas: VecDeque<Delta>,
    delta_bytes: usize,
    revision: u64,
}

impl ChangeLog {
    /// Revision in force; zero when nothing is held.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes a snapshot when it is newer.
    pub fn offer_snapshot(&mut self, snapshot: &Snapshot) -> Adoption {
        if snapshot.revision <= self.revision {
            return Adoption::NotNewer;
        }
        self.revision = snapshot.revision;
        self.base = Some(snapshot.clone());
        self.deltas.clear();
        self.delta_bytes = 0;
        Adoption::Adopted
    }

    /// Takes a delta when it is newer and leaves no gap.
    pub fn offer_delta(&mut self, delta: &Delta) -> Adoption {
        if delta.revision <= self.revision {
            return Adoption::NotNewer;
        }
        if self.revision == 0 || delta.previous > self.revision {
            return Adoption::Gap;
        }
        self.revision = delta.revision;
        self.delta_bytes += delta.payload.as_bytes().len();
        self.deltas.push_back(delta.clone());
        Adoption::Adopted
    }

    /// What a peer that holds `held` lacks: deltas where they reach back far enough, else a
    /// snapshot and the deltas after it.
    #[must_use]
    pub fn since(&self, held: u64) -> Changes {
        let reaches_back = self
            .deltas
            .front()
            .is_some_and(|oldest| oldest.previous <= held);
        let after = if held > 0 && reaches_back {
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

    /// Whether the driver should hand in a snapshot of the revision in force, so that the deltas
    /// before it can be dropped.
    #[must_use]
    pub fn wants_compaction(&self) -> bool {
        self.deltas.len() > KEPT_DELTAS || self.delta_bytes > KEPT_DELTA_BYTES
    }

    /// Takes a snapshot of the revision in force in place of the deltas. Half of the kept deltas
    /// stay for peers that lag.
    pub fn compact(&mut self, snapshot: Snapshot) {
        if snapshot.revision != self.revision {
            return;
        }
        self.base = Some(snapshot);
        while self.deltas.len() > KEPT_DELTAS / 2 || self.delta_bytes > KEPT_DELTA_BYTES / 2 {
            let Some(dropped) = self.deltas.pop_front() else {
                return;
            };
            self.delta_bytes -= dropped.payload.as_bytes().len();
        }
    }

    /// Bytes held.
    #[must_use]
    pub fn memory(&self) -> usize {
        let base = self
            .base
            .as_ref()
            .map_or(0, |base| base.payload.as_bytes().len());
        base + self.delta_bytes + self.deltas.len() * size_of::<Delta>()
    }
}

//! Configuration relay: distributes every accepted revision to every daemon and never reverts one.
//!
//! Adoption is monotonic by revision, no matter who sends a change. A reader that was paused or
//! replaced therefore does no harm, and no lease is needed for safety. Daemons push a change to a
//! few peers when they adopt it, carry their revision in every message header, and pull the changes
//! that they lack from any peer with a newer revision.

pub mod log;
pub mod readiness;
pub mod reports;

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use wharfquay_core::time::Timestamp;

use crate::member::MemberId;
use crate::message::{Changes, Delta, Payload, Snapshot};
use crate::settings::Settings;

use log::{ApplyResult, ChangeLog};
use readiness::Readiness;
use reports::RevisionReports;

/// Time to wait for the reply to a pull before another peer is queried.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time to wait for the reply to a pull that has to return a snapshot.
const SNAPSHOT_PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Data that a reader got from the store, already validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReport {
    /// The whole accepted configuration.
    Snapshot(Snapshot),
    /// Changes since this reader's previous report.
    Delta(Delta),
    /// The store's revision without content, from a bookmark or a health check.
    Revision(u64),
}

/// An action for the driver or for the [`crate::node::Node`] that owns this relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayEffect {
    /// Put a whole configuration in force.
    AdoptSnapshot(Snapshot),
    /// Apply a delta to the configuration in force.
    AdoptDelta(Delta),
    /// Send changes to peers that may lack them.
    Push(Changes),
    /// Announce the revision in force to some peers.
    Announce,
    /// Request all changes after the revision in force from this peer.
    Pull(MemberId),
    /// Send this peer the changes that it lacks.
    Reply(MemberId, Changes),
    /// The daemon became ready with this configuration revision.
    Ready(u64),
    /// The store is older than the configuration in force and is ignored until it is newer.
    StoreOlder {
        /// The store's revision.
        store: u64,
        /// The revision in force.
        held: u64,
    },
    /// Pass a snapshot of this revision, the one in force, to [`Relay::provide_snapshot`].
    Compact(u64),
    /// Read a whole snapshot from the store. Requested when the store's changes leave a gap, and
    /// when its revision decreased, since its deltas may then not apply to the configuration in
    /// force.
    ReadSnapshot,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingPull {
    requested_at: Timestamp,
    timeout: Duration,
}

/// Configuration relay of one daemon, a state machine.
#[derive(Clone, Debug)]
pub struct Relay {
    announcement_delay: Duration,
    log: ChangeLog,
    readiness: Readiness,
    revision_reports: RevisionReports,
    /// Peers known to hold the revision in force or a newer one.
    holders: BTreeSet<MemberId>,
    pull: Option<PendingPull>,
    announce_at: Option<Timestamp>,
    store_regressed: bool,
    compaction_requested: bool,
}

impl Relay {
    /// Creates the relay of a starting daemon that holds no configuration.
    #[must_use]
    pub fn new(settings: &Settings, now: Timestamp) -> Self {
        Self {
            announcement_delay: settings.announcement_delay,
            log: ChangeLog::default(),
            readiness: Readiness::new(
                now,
                settings.min_readiness_wait,
                settings.max_readiness_wait,
            ),
            revision_reports: RevisionReports::default(),
            holders: BTreeSet::new(),
            pull: None,
            announce_at: None,
            store_regressed: false,
            compaction_requested: false,
        }
    }

    /// Returns the revision in force; 0 while no configuration is held.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.log.revision()
    }

    /// Returns true once the daemon has reported ready.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Returns true if a reader may read the store; see [`Readiness::may_read_store`].
    #[must_use]
    pub fn may_read_store(&self, now: Timestamp) -> bool {
        self.readiness.may_read_store(now, self.revision())
    }

    /// Returns the readiness state, for recording queries and replies.
    pub const fn readiness_mut(&mut self) -> &mut Readiness {
        &mut self.readiness
    }

    /// Returns the configuration revisions that members and zones have reported to be in force.
    #[must_use]
    pub const fn revision_reports(&self) -> &RevisionReports {
        &self.revision_reports
    }

    /// Returns the configuration revisions that members and zones have reported to be in force, for
    /// recording further reports.
    pub const fn revision_reports_mut(&mut self) -> &mut RevisionReports {
        &mut self.revision_reports
    }

    /// Returns true if this peer is known to hold the revision in force or a newer one.
    #[must_use]
    pub fn is_holder(&self, peer: &MemberId) -> bool {
        self.holders.contains(peer)
    }

    /// Returns the size of the configuration held for peers, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.log.memory_bytes()
    }

    /// Processes data that this daemon, as a reader, got from the store.
    pub fn on_store(&mut self, now: Timestamp, report: &StoreReport) -> Vec<RelayEffect> {
        let store = match report {
            StoreReport::Snapshot(snapshot) => snapshot.revision,
            StoreReport::Delta(delta) => delta.revision,
            StoreReport::Revision(revision) => *revision,
        };
        self.readiness.record_store_revision(store);
        let mut effects = Vec::new();
        if store < self.revision() {
            self.store_regressed = true;
            let held = self.revision();
            effects.push(RelayEffect::StoreOlder { store, held });
            return effects;
        }
        let result = match report {
            StoreReport::Snapshot(snapshot) => self.adopt_snapshot(now, snapshot, &mut effects),
            StoreReport::Delta(_) if self.store_regressed => ApplyResult::Gap,
            StoreReport::Delta(delta) => self.adopt_delta(now, delta, &mut effects),
            StoreReport::Revision(revision) if *revision > self.revision() => ApplyResult::Gap,
            StoreReport::Revision(_) => ApplyResult::NotNewer,
        };
        if result == ApplyResult::Gap {
            effects.push(RelayEffect::ReadSnapshot);
        }
        self.after_adoption(now, &mut effects);
        effects
    }

    /// Processes changes received from a peer.
    pub fn on_changes(
        &mut self,
        now: Timestamp,
        from: &MemberId,
        changes: &Changes,
    ) -> Vec<RelayEffect> {
        let mut effects = Vec::new();
        let before = self.revision();
        let mut gap = self.adopt_deltas(now, &changes.deltas, &mut effects);
        if let Some(snapshot) = &changes.snapshot {
            self.adopt_snapshot(now, snapshot, &mut effects);
            gap = self.adopt_deltas(now, &changes.deltas, &mut effects);
        }
        if self.revision() > before {
            self.pull = None;
        }
        // A daemon without a configuration selects its source in `pull_first`.
        if gap && before > 0 {
            self.start_pull(now, from, &mut effects);
        }
        self.after_adoption(now, &mut effects);
        effects
    }

    /// Processes the revision and readiness in a received message header.
    pub fn on_header(
        &mut self,
        now: Timestamp,
        from: &MemberId,
        revision: u64,
        ready: bool,
    ) -> Vec<RelayEffect> {
        let mut effects = Vec::new();
        self.readiness.record_reply(from, revision, ready);
        if revision >= self.revision() && revision > 0 {
            self.holders.insert(from.clone());
        }
        if revision > self.revision() && self.revision() > 0 {
            self.start_pull(now, from, &mut effects);
        }
        effects
    }

    /// Pulls the first configuration from a random one of the peers that reported the highest
    /// revision. The choice is random because a snapshot is large and daemons that start together
    /// have the same seeds.
    pub fn pull_first(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<RelayEffect> {
        let mut effects = Vec::new();
        if self.revision() > 0 {
            return effects;
        }
        let source = self.readiness.best_sources().choose(rng).copied().cloned();
        if let Some(source) = source {
            self.start_pull(now, &source, &mut effects);
        }
        effects
    }

    /// Returns the reply to a peer that requests the changes after `held`; empty if it lacks none.
    #[must_use]
    pub fn on_pull(&self, from: &MemberId, held: u64) -> Vec<RelayEffect> {
        if held >= self.revision() {
            return Vec::new();
        }
        vec![RelayEffect::Reply(
            from.clone(),
            self.log.changes_since(held),
        )]
    }

    /// Accepts a snapshot of the revision in force, as requested by [`RelayEffect::Compact`].
    pub fn provide_snapshot(&mut self, revision: u64, payload: Payload) {
        self.compaction_requested = false;
        self.log.compact(Snapshot { revision, payload });
    }

    /// Runs all timers that are due and re-evaluates readiness.
    pub fn advance(&mut self, now: Timestamp) -> Vec<RelayEffect> {
        let mut effects = Vec::new();
        if self.announce_at.is_some_and(|due| due <= now) {
            self.announce_at = None;
            effects.push(RelayEffect::Announce);
        }
        if self.readiness.try_become_ready(now, self.revision()) {
            effects.push(RelayEffect::Ready(self.revision()));
        }
        effects
    }

    /// Returns the time of the next announcement, if one is scheduled. Readiness is not covered.
    #[must_use]
    pub const fn next_wakeup(&self) -> Option<Timestamp> {
        self.announce_at
    }

    /// Applies deltas in order up to the first gap; returns true if there is one.
    fn adopt_deltas(
        &mut self,
        now: Timestamp,
        deltas: &[Delta],
        effects: &mut Vec<RelayEffect>,
    ) -> bool {
        deltas
            .iter()
            .any(|delta| self.adopt_delta(now, delta, effects) == ApplyResult::Gap)
    }

    fn adopt_snapshot(
        &mut self,
        now: Timestamp,
        snapshot: &Snapshot,
        effects: &mut Vec<RelayEffect>,
    ) -> ApplyResult {
        let result = self.log.apply_snapshot(snapshot);
        if result == ApplyResult::Applied {
            effects.push(RelayEffect::AdoptSnapshot(snapshot.clone()));
            self.record_adoption(now);
        }
        result
    }

    fn adopt_delta(
        &mut self,
        now: Timestamp,
        delta: &Delta,
        effects: &mut Vec<RelayEffect>,
    ) -> ApplyResult {
        let result = self.log.apply_delta(delta);
        if result == ApplyResult::Applied {
            effects.push(RelayEffect::AdoptDelta(delta.clone()));
            self.record_adoption(now);
        }
        result
    }

    fn record_adoption(&mut self, now: Timestamp) {
        self.holders.clear();
        self.store_regressed = false;
        self.announce_at = Some(now + self.announcement_delay);
    }

    /// Pushes the adopted deltas as one message, and requests compaction if needed.
    fn after_adoption(&mut self, now: Timestamp, effects: &mut Vec<RelayEffect>) {
        let deltas: Vec<Delta> = effects
            .iter()
            .filter_map(|effect| match effect {
                RelayEffect::AdoptDelta(delta) => Some(delta.clone()),
                _ => None,
            })
            .collect();
        if !deltas.is_empty() {
            effects.push(RelayEffect::Push(Changes {
                snapshot: None,
                deltas,
            }));
        }
        if self.log.needs_compaction() && !self.compaction_requested {
            self.compaction_requested = true;
            effects.push(RelayEffect::Compact(self.revision()));
        }
        if self.readiness.try_become_ready(now, self.revision()) {
            effects.push(RelayEffect::Ready(self.revision()));
        }
    }

    fn start_pull(&mut self, now: Timestamp, from: &MemberId, effects: &mut Vec<RelayEffect>) {
        let pending = self
            .pull
            .is_some_and(|pull| now.saturating_since(pull.requested_at) < pull.timeout);
        if pending {
            return;
        }
        let timeout = if self.revision() == 0 {
            SNAPSHOT_PULL_TIMEOUT
        } else {
            PULL_TIMEOUT
        };
        self.pull = Some(PendingPull {
            requested_at: now,
            timeout,
        });
        effects.push(RelayEffect::Pull(from.clone()));
    }
}

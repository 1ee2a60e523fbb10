//! Configuration relay: every accepted revision reaches every daemon, and none goes back.
//!
//! Adoption is monotonic by revision whoever sends a change, so a reader that was paused or deposed
//! does no harm and no lease guards safety. Daemons push a change to a few peers when they adopt
//! it, name their revision in every message, and pull what they lack from whoever names a newer one.

pub mod log;
pub mod readiness;
pub mod report;

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use wharfquay_core::time::Timestamp;

use crate::member::MemberId;
use crate::message::{Changes, Delta, Payload, Snapshot};
use crate::settings::Settings;

use log::{Adoption, ChangeLog};
use readiness::Readiness;
use report::Reports;

/// Wait for the answer to a pull before another peer is asked.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait for the answer to a pull that must bring a snapshot.
const SNAPSHOT_PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// What a reader got from the store, already validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReport {
    /// The whole accepted configuration.
    Snapshot(Snapshot),
    /// Changes since the last report of this reader.
    Delta(Delta),
    /// The store's revision, without content: a bookmark or an answer to a health check.
    Revision(u64),
}

/// What the driver or the other machine must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayEffect {
    /// Put a whole configuration in force.
    AdoptSnapshot(Snapshot),
    /// Apply a delta to the configuration in force.
    AdoptDelta(Delta),
    /// Send changes to peers that may lack them.
    Push(Changes),
    /// Tell some peers which revision is in force here.
    Announce,
    /// Ask this peer for everything after the revision in force.
    Pull(MemberId),
    /// Send this peer what it lacks.
    Reply(MemberId, Changes),
    /// The daemon is ready with this revision.
    Ready(u64),
    /// The store is older than the configuration in force; it is ignored until it is newer.
    StoreOlder {
        /// The store's revision.
        store: u64,
        /// The revision in force.
        held: u64,
    },
    /// Hand in a snapshot of the revision in force through [`Relay::compacted`].
    Compact(u64),
    /// Hand in a whole snapshot: the store went back, so its deltas can't be trusted to fit.
    ReadSnapshot,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenPull {
    asked_at: Timestamp,
    timeout: Duration,
}

/// The relay machine of one daemon.
#[derive(Clone, Debug)]
pub struct Relay {
    announce_after: Duration,
    log: ChangeLog,
    readiness: Readiness,
    reports: Reports,
    holders: BTreeSet<MemberId>,
    pull: Option<OpenPull>,
    announce_at: Option<Timestamp>,
    store_went_back: bool,
    compaction_asked: bool,
}

impl Relay {
    /// A daemon that starts now and holds nothing.
    #[must_use]
    pub fn new(settings: &Settings, now: Timestamp) -> Self {
        Self {
            announce_after: settings.announce_after,
            log: ChangeLog::default(),
            readiness: Readiness::new(now, settings.settle_time, settings.readiness_limit),
            reports: Reports::default(),
            holders: BTreeSet::new(),
            pull: None,
            announce_at: None,
            store_went_back: false,
            compaction_asked: false,
        }
    }

    /// Revision in force; zero when nothing is held.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.log.revision()
    }

    /// Whether the daemon has reported ready.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Whether a reader may read the store; see [`Readiness::may_read_store`].
    #[must_use]
    pub fn may_read_store(&self, now: Timestamp) -> bool {
        self.readiness.may_read_store(now, self.revision())
    }

    /// The wait of a starting daemon.
    pub const fn readiness_mut(&mut self) -> &mut Readiness {
        &mut self.readiness
    }

    /// What is known of the revisions in force in zones.
    #[must_use]
    pub const fn reports(&self) -> &Reports {
        &self.reports
    }

    /// What is known of the revisions in force in zones, to add to it.
    pub const fn reports_mut(&mut self) -> &mut Reports {
        &mut self.reports
    }

    /// Whether this peer is known to hold the revision in force, or a newer one.
    #[must_use]
    pub fn is_holder(&self, peer: &MemberId) -> bool {
        self.holders.contains(peer)
    }

    /// Bytes of configuration held for peers.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.log.memory()
    }

    /// Takes what a reader got from the store.
    pub fn on_store(&mut self, now: Timestamp, report: &StoreReport) -> Vec<RelayEffect> {
        let store = match report {
            StoreReport::Snapshot(snapshot) => snapshot.revision,
            StoreReport::Delta(delta) => delta.revision,
            StoreReport::Revision(revision) => *revision,
        };
        self.readiness.store_answered(store);
        let mut effects = Vec::new();
        if store < self.revision() {
            self.store_went_back = true;
            let held = self.revision();
            effects.push(RelayEffect::StoreOlder { store, held });
            return effects;
        }
        let adoption = match report {
            StoreReport::Snapshot(snapshot) => self.adopt_snapshot(now, snapshot, &mut effects),
            StoreReport::Delta(_) if self.store_went_back => Adoption::Gap,
            StoreReport::Delta(delta) => self.adopt_delta(now, delta, &mut effects),
            StoreReport::Revision(revision) if *revision > self.revision() => Adoption::Gap,
            StoreReport::Revision(_) => Adoption::NotNewer,
        };
        if adoption == Adoption::Gap {
            effects.push(RelayEffect::ReadSnapshot);
        }
        self.after_adoption(now, &mut effects);
        effects
    }

    /// Takes changes from a peer.
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
        // A daemon that holds nothing chooses its source in `pull_first`.
        if gap && before > 0 {
            self.start_pull(now, from, &mut effects);
        }
        self.after_adoption(now, &mut effects);
        effects
    }

    /// Takes notice of the revision that a message's sender holds.
    pub fn heard(
        &mut self,
        now: Timestamp,
        from: &MemberId,
        revision: u64,
        ready: bool,
    ) -> Vec<RelayEffect> {
        let mut effects = Vec::new();
        self.readiness.answered(from, revision, ready);
        if revision >= self.revision() && revision > 0 {
            self.holders.insert(from.clone());
        }
        if revision > self.revision() && self.revision() > 0 {
            self.start_pull(now, from, &mut effects);
        }
        effects
    }

    /// Asks for the first configuration: from one of the peers that named the highest revision by
    /// chance, since a snapshot is large and daemons that start together have the same seeds.
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

    /// Answers a peer that asks for what follows `held`.
    #[must_use]
    pub fn on_pull(&self, from: &MemberId, held: u64) -> Vec<RelayEffect> {
        if held >= self.revision() {
            return Vec::new();
        }
        vec![RelayEffect::Reply(from.clone(), self.log.since(held))]
    }

    /// Takes a snapshot of the revision in force, as asked for by [`RelayEffect::Compact`].
    pub fn compacted(&mut self, revision: u64, payload: Payload) {
        self.compaction_asked = false;
        self.log.compact(Snapshot { revision, payload });
    }

    /// Runs what is due.
    pub fn advance(&mut self, now: Timestamp) -> Vec<RelayEffect> {
        let mut effects = Vec::new();
        if self.announce_at.is_some_and(|due| due <= now) {
            self.announce_at = None;
            effects.push(RelayEffect::Announce);
        }
        if self.readiness.decide(now, self.revision()) {
            effects.push(RelayEffect::Ready(self.revision()));
        }
        effects
    }

    /// When [`Self::advance`] has something to do next, readiness apart.
    #[must_use]
    pub const fn next_wakeup(&self) -> Option<Timestamp> {
        self.announce_at
    }

    /// Takes deltas in order; returns whether one leaves a gap.
    fn adopt_deltas(
        &mut self,
        now: Timestamp,
        deltas: &[Delta],
        effects: &mut Vec<RelayEffect>,
    ) -> bool {
        deltas
            .iter()
            .any(|delta| self.adopt_delta(now, delta, effects) == Adoption::Gap)
    }

    fn adopt_snapshot(
        &mut self,
        now: Timestamp,
        snapshot: &Snapshot,
        effects: &mut Vec<RelayEffect>,
    ) -> Adoption {
        let adoption = self.log.offer_snapshot(snapshot);
        if adoption == Adoption::Adopted {
            effects.push(RelayEffect::AdoptSnapshot(snapshot.clone()));
            self.note_adoption(now);
        }
        adoption
    }

    fn adopt_delta(
        &mut self,
        now: Timestamp,
        delta: &Delta,
        effects: &mut Vec<RelayEffect>,
    ) -> Adoption {
        let adoption = self.log.offer_delta(delta);
        if adoption == Adoption::Adopted {
            effects.push(RelayEffect::AdoptDelta(delta.clone()));
            self.note_adoption(now);
        }
        adoption
    }

    fn note_adoption(&mut self, now: Timestamp) {
        self.holders.clear();
        self.store_went_back = false;
        self.announce_at = Some(now + self.announce_after);
    }

    /// Pushes the adopted deltas as one message, and asks for compaction where it is due.
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
        if self.log.wants_compaction() && !self.compaction_asked {
            self.compaction_asked = true;
            effects.push(RelayEffect::Compact(self.revision()));
        }
        if self.readiness.decide(now, self.revision()) {
            effects.push(RelayEffect::Ready(self.revision()));
        }
    }

    fn start_pull(&mut self, now: Timestamp, from: &MemberId, effects: &mut Vec<RelayEffect>) {
        let open = self
            .pull
            .is_some_and(|pull| now.saturating_since(pull.asked_at) < pull.timeout);
        if open {
            return;
        }
        let timeout = if self.revision() == 0 {
            SNAPSHOT_PULL_TIMEOUT
        } else {
            PULL_TIMEOUT
        };
        self.pull = Some(OpenPull {
            asked_at: now,
            timeout,
        });
        effects.push(RelayEffect::Pull(from.clone()));
    }
}

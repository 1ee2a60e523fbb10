//! When a starting daemon may report ready.
//!
//! It asks some peers. It is ready once a majority of them has answered from knowledge (a peer that
//! is itself starting knows nothing and does not count, unless the store has answered too) and it
//! holds the highest revision that anybody has named. After a bounded wait those that answered at all are enough. A
//! daemon that holds no configuration is never ready.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wharfquay_core::time::Timestamp;

use crate::member::MemberId;

/// What a peer answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Answer {
    revision: u64,
    ready: bool,
}

/// The readiness of a daemon; once ready, it stays so.
#[derive(Clone, Debug)]
pub struct Readiness {
    started: Timestamp,
    settle_time: Duration,
    limit: Duration,
    asked: BTreeSet<MemberId>,
    answers: BTreeMap<MemberId, Answer>,
    store: Option<u64>,
    members_known: bool,
    ready: bool,
}

impl Readiness {
    /// A daemon that starts now.
    #[must_use]
    pub const fn new(started: Timestamp, settle_time: Duration, limit: Duration) -> Self {
        Self {
            started,
            settle_time,
            limit,
            asked: BTreeSet::new(),
            answers: BTreeMap::new(),
            store: None,
            members_known: false,
            ready: false,
        }
    }

    /// Whether the daemon has reported ready.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.ready
    }

    /// Notes that the member table has been filled, so that the asked peers are a fair sample.
    pub const fn members_known(&mut self) {
        self.members_known = true;
    }

    /// Notes that a peer has been asked.
    pub fn asked(&mut self, peer: MemberId) {
        if !self.ready {
            self.asked.insert(peer);
        }
    }

    /// Whether this peer has been asked.
    #[must_use]
    pub fn has_asked(&self, peer: &MemberId) -> bool {
        self.asked.contains(peer)
    }

    /// Number of peers that have been asked.
    #[must_use]
    pub fn asked_count(&self) -> usize {
        self.asked.len()
    }

    /// Notes the revision that a peer named.
    pub fn answered(&mut self, peer: &MemberId, revision: u64, ready: bool) {
        if !self.ready {
            self.answers
                .insert(peer.clone(), Answer { revision, ready });
        }
    }

    /// Notes the revision that the store named.
    pub fn store_answered(&mut self, revision: u64) {
        if !self.ready {
            self.store = Some(self.store.unwrap_or(0).max(revision));
        }
    }

    /// The highest revision that anybody has named.
    #[must_use]
    pub fn highest(&self) -> u64 {
        let peers = self.answers.values().map(|answer| answer.revision).max();
        peers.unwrap_or(0).max(self.store.unwrap_or(0))
    }

    /// Whether a reader may read the store: it first takes the configuration of its peers, since the
    /// store does not hold the last good form of a rejected resource.
    #[must_use]
    pub fn may_read_store(&self, now: Timestamp, held: u64) -> bool {
        if self.ready || held > 0 {
            return true;
        }
        let late = now.saturating_since(self.started) >= self.limit;
        let peers_hold = self.answers.values().any(|answer| answer.revision > 0);
        let answered = |peer: &&MemberId| self.answers.contains_key(*peer);
        let heard = self.asked.iter().filter(answered).count();
        let asked_enough = self.members_known && heard * 2 >= self.asked.len();
        late || (asked_enough && !peers_hold)
    }

    /// The peers that named the highest revision, if any named one.
    #[must_use]
    pub fn best_sources(&self) -> Vec<&MemberId> {
        let highest = self.answers.values().map(|answer| answer.revision).max();
        let best = highest.filter(|&revision| revision > 0);
        let holds_best = |answer: &Answer| Some(answer.revision) == best;
        let answers = self.answers.iter();
        answers
            .filter(|(_, answer)| holds_best(answer))
            .map(|(peer, _)| peer)
            .collect()
    }

    /// Becomes ready when the rule allows it; returns whether this call did it.
    pub fn decide(&mut self, now: Timestamp, held: u64) -> bool {
        if self.ready || held == 0 || held < self.highest() {
            return false;
        }
        let waited = now.saturating_since(self.started);
        if waited < self.settle_time {
            return false;
        }
        let late = waited >= self.limit;
        let answered = self.majority_answered() || (late && self.anybody_answered());
        if !answered {
            return false;
        }
        self.ready = true;
        self.asked.clear();
        self.answers.clear();
        true
    }

    fn majority_answered(&self) -> bool {
        if !self.members_known {
            return false;
        }
        if self.asked.is_empty() {
            return self.store.is_some();
        }
        let answers = || self.asked.iter().filter_map(|peer| self.answers.get(peer));
        let knows = |answer: &&Answer| answer.ready || self.store.is_some();
        let knowing = answers().filter(knows).count();
        let abstaining = answers().count() - knowing;
        knowing * 2 > self.asked.len() - abstaining
    }

    fn anybody_answered(&self) -> bool {
        self.store.is_some() || self.answers.values().any(|answer| answer.ready)
    }
}

//! Decides when a starting daemon may report ready.
//!
//! A starting daemon queries some peers. It becomes ready once a majority of them has sent an
//! informed reply and it holds the highest revision that any reply or the store reported. The reply
//! of a peer that is itself starting is uninformed and does not count, unless the store has replied
//! too. After a bounded wait a single informed reply, from a peer or the store, is enough. A daemon
//! without a configuration is never ready.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wharfquay_core::time::Timestamp;

use crate::member::MemberId;

/// Reply of a peer to a revision query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RevisionReply {
    revision: u64,
    ready: bool,
}

/// Readiness state of a daemon. Once ready, it stays ready.
#[derive(Clone, Debug)]
pub struct Readiness {
    started: Timestamp,
    min_readiness_wait: Duration,
    max_readiness_wait: Duration,
    queried: BTreeSet<MemberId>,
    replies: BTreeMap<MemberId, RevisionReply>,
    store_revision: Option<u64>,
    /// True once the member table has been filled.
    members_known: bool,
    ready: bool,
}

impl Readiness {
    /// Creates the state of a daemon that starts now.
    #[must_use]
    pub const fn new(
        started: Timestamp,
        min_readiness_wait: Duration,
        max_readiness_wait: Duration,
    ) -> Self {
        Self {
            started,
            min_readiness_wait,
            max_readiness_wait,
            queried: BTreeSet::new(),
            replies: BTreeMap::new(),
            store_revision: None,
            members_known: false,
            ready: false,
        }
    }

    /// Returns true once the daemon has reported ready.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.ready
    }

    /// Records that the member table has been filled, which makes the queried peers a
    /// representative sample.
    pub const fn record_members_known(&mut self) {
        self.members_known = true;
    }

    /// Records that a peer has been queried.
    pub fn record_query(&mut self, peer: MemberId) {
        if !self.ready {
            self.queried.insert(peer);
        }
    }

    /// Returns true if this peer has been queried.
    #[must_use]
    pub fn was_queried(&self, peer: &MemberId) -> bool {
        self.queried.contains(peer)
    }

    /// Returns the number of queried peers.
    #[must_use]
    pub fn queried_count(&self) -> usize {
        self.queried.len()
    }

    /// Records the revision and readiness that a peer reported.
    pub fn record_reply(&mut self, peer: &MemberId, revision: u64, ready: bool) {
        if !self.ready {
            self.replies
                .insert(peer.clone(), RevisionReply { revision, ready });
        }
    }

    /// Records the revision that the store reported.
    pub fn record_store_revision(&mut self, revision: u64) {
        if !self.ready {
            self.store_revision = Some(self.store_revision.unwrap_or(0).max(revision));
        }
    }

    /// Returns the highest revision reported by a peer or the store.
    #[must_use]
    pub fn highest(&self) -> u64 {
        let peers = self.replies.values().map(|reply| reply.revision).max();
        peers.unwrap_or(0).max(self.store_revision.unwrap_or(0))
    }

    /// Returns true if a reader may read the store. It takes the configuration of its peers first,
    /// because the store does not hold the last good form of a rejected resource.
    #[must_use]
    pub fn may_read_store(&self, now: Timestamp, held: u64) -> bool {
        if self.ready || held > 0 {
            return true;
        }
        let timed_out = now.saturating_since(self.started) >= self.max_readiness_wait;
        let peers_hold = self.replies.values().any(|reply| reply.revision > 0);
        let replied = |peer: &&MemberId| self.replies.contains_key(*peer);
        let reply_count = self.queried.iter().filter(replied).count();
        let enough_replies = self.members_known && reply_count * 2 >= self.queried.len();
        timed_out || (enough_replies && !peers_hold)
    }

    /// Returns the peers that reported the highest revision; empty while none reported one above 0.
    #[must_use]
    pub fn best_sources(&self) -> Vec<&MemberId> {
        let highest = self.replies.values().map(|reply| reply.revision).max();
        let best = highest.filter(|&revision| revision > 0);
        let is_best = |reply: &RevisionReply| Some(reply.revision) == best;
        let replies = self.replies.iter();
        replies
            .filter(|(_, reply)| is_best(reply))
            .map(|(peer, _)| peer)
            .collect()
    }

    /// Becomes ready if the minimum wait has passed, neither a peer nor the store reported a
    /// revision above `held`, the revision in force here, and a majority of the queried peers
    /// replied. Peers that replied but are not ready are left out of the majority until the store
    /// has replied. Without queried peers, the store's reply decides. After the maximum wait, one
    /// reply of a ready peer or of the store is sufficient. Returns true if this call made the
    /// daemon ready.
    pub fn try_become_ready(&mut self, now: Timestamp, held: u64) -> bool {
        if self.ready || held == 0 || held < self.highest() {
            return false;
        }
        let waited = now.saturating_since(self.started);
        if waited < self.min_readiness_wait {
            return false;
        }
        let timed_out = waited >= self.max_readiness_wait;
        let replied = self.majority_replied() || (timed_out && self.any_informed_reply());
        if !replied {
            return false;
        }
        self.ready = true;
        self.queried.clear();
        self.replies.clear();
        true
    }

    fn majority_replied(&self) -> bool {
        if !self.members_known {
            return false;
        }
        if self.queried.is_empty() {
            return self.store_revision.is_some();
        }
        let replies = || {
            self.queried
                .iter()
                .filter_map(|peer| self.replies.get(peer))
        };
        let is_informed = |reply: &&RevisionReply| reply.ready || self.store_revision.is_some();
        let informed = replies().filter(is_informed).count();
        let uninformed = replies().count() - informed;
        informed * 2 > self.queried.len() - uninformed
    }

    fn any_informed_reply(&self) -> bool {
        self.store_revision.is_some() || self.replies.values().any(|reply| reply.ready)
    }
}

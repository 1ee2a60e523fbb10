//! Which sidecars own the tokens of a tenant.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use wharfquay_core::time::Timestamp;
use wharfquay_daemon::sync::lock;
use wharfquay_membership::directory::ENTRIES;
use wharfquay_membership::member::{Member, MemberId, rendezvous_score_for};
use wharfquay_membership::table::MemberTable;

use super::OWNERS;
use crate::exchange::Peer;
use crate::platform::DirectoryEntry;

/// Time for which a sidecar that seems dead stays an owner. It may only be cut off, and grant tokens on its side of
/// the cut: a successor would grant them a second time. Cuts that last longer may exceed a limit.
const GONE_HOLD: Duration = Duration::from_secs(20);

/// Time after which a starting sidecar has met the others even where the platform's directory can't be read.
const MEETING_TIME: Duration = Duration::from_millis(1_500);

/// The sidecars among which owners are chosen.
///
/// A sidecar that has just started knows nobody and would take itself for the owner of everything; when many start at
/// once, each would grant a share of each limit. So the entries of the platform's directory count as sidecars that may
/// be alive, and until they are known no sidecar grants. An entry that nobody stands behind any more does no harm: the
/// live owners are the same with and without it.
#[derive(Debug)]
pub(crate) struct OwnerRing {
    own: Peer,
    /// Whether the whole deployment starts for the first time: nothing was granted before, and all meet before the
    /// first request.
    is_first_start: bool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    candidates: HashMap<MemberId, Candidate>,
    /// Whether the directory was read, and showed every sidecar.
    knows_directory: bool,
    owners: HashMap<String, Arc<[Peer]>>,
}

#[derive(Debug)]
struct Candidate {
    peer: Peer,
    /// Since when it is not known to be alive.
    gone_since: Option<Timestamp>,
}

impl OwnerRing {
    /// A ring of this sidecar alone.
    pub(crate) fn new(own: Peer, is_first_start: bool) -> Self {
        Self {
            own,
            is_first_start,
            state: Mutex::default(),
        }
    }

    /// Takes over the members that are known.
    pub(crate) fn update(&self, now: Timestamp, table: &MemberTable) {
        let mut state = lock(&self.state);
        for candidate in state.candidates.values_mut() {
            candidate.gone_since.get_or_insert(now);
        }
        for member in table.members().filter(|member| member.is_live()) {
            let candidate = Candidate {
                peer: peer_of(member),
                gone_since: None,
            };
            state
                .candidates
                .insert(member.profile.id.clone(), candidate);
        }
        state.drop_gone(now);
        state.owners.clear();
    }

    /// Takes over the entries of the platform's directory: sidecars that are not known from gossip yet. A directory that
    /// is full does not show all.
    pub(crate) fn note_directory(&self, now: Timestamp, entries: &[DirectoryEntry]) {
        let mut state = lock(&self.state);
        for entry in entries {
            let id = MemberId::from(entry.id.as_str());
            state.candidates.entry(id).or_insert_with(|| Candidate {
                peer: Peer {
                    id: entry.id.clone(),
                    address: entry.control_address,
                },
                gone_since: Some(now),
            });
        }
        state.knows_directory = entries.len() < ENTRIES;
        state.owners.clear();
    }

    /// Whether enough is known to tell owners: `now` counts from the start of the process.
    pub(crate) fn is_settled(&self, now: Timestamp) -> bool {
        self.is_first_start
            || lock(&self.state).knows_directory
            || now >= Timestamp::ZERO + MEETING_TIME
    }

    /// The owners of a tenant, best first.
    pub(crate) fn owners(&self, now: Timestamp, tenant: &str) -> Arc<[Peer]> {
        let mut state = lock(&self.state);
        state.drop_gone(now);
        if let Some(owners) = state.owners.get(tenant) {
            return Arc::clone(owners);
        }
        let owners = self.choose(&state, tenant);
        state.owners.insert(tenant.to_owned(), Arc::clone(&owners));
        owners
    }

    /// Whether this sidecar owns a part of a tenant's limit.
    pub(crate) fn owns(&self, now: Timestamp, tenant: &str) -> bool {
        self.owners(now, tenant).contains(&self.own)
    }

    fn choose(&self, state: &State, tenant: &str) -> Arc<[Peer]> {
        let others = state.candidates.values().map(|candidate| &candidate.peer);
        let others = others.filter(|peer| **peer != self.own);
        let mut scored: Vec<(u64, &Peer)> = others
            .chain([&self.own])
            .map(|peer| {
                let id = MemberId::from(peer.id.as_str());
                (rendezvous_score_for(&id, tenant), peer)
            })
            .collect();
        scored.sort_by_key(|(score, peer)| (Reverse(*score), peer.id.clone()));
        let best = scored.into_iter().take(OWNERS);
        best.map(|(_, peer)| peer.clone()).collect()
    }
}

impl State {
    fn drop_gone(&mut self, now: Timestamp) {
        let before = self.candidates.len();
        self.candidates.retain(|_, candidate| {
            let gone_since = candidate.gone_since;
            gone_since.is_none_or(|since| now < since + GONE_HOLD)
        });
        if self.candidates.len() < before {
            self.owners.clear();
        }
    }
}

fn peer_of(member: &Member) -> Peer {
    Peer {
        id: member.profile.id.as_str().to_owned(),
        address: member.profile.control_address,
    }
}

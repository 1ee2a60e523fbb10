//! Selection of the sidecars that own the tokens of a tenant.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use wharfquay_core::time::Timestamp;
use wharfquay_daemon::sync::lock;
use wharfquay_membership::directory::DIRECTORY_ENTRIES;
use wharfquay_membership::member::{Member, MemberId, rendezvous_score_for};
use wharfquay_membership::table::MemberTable;

use super::OWNERS;
use crate::exchange::Peer;
use crate::platform::DirectoryEntry;

/// Time for which a sidecar that appears dead remains an owner. It may only be partitioned and
/// grant tokens on its side; a successor would grant them a second time. Partitions that last
/// longer may exceed a limit.
const DEAD_OWNER_HOLD: Duration = Duration::from_secs(20);

/// Time after which a starting sidecar is assumed to have discovered the others even if the
/// platform's directory can't be read.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Chooses the sidecars that own the tokens of a tenant or the termination counts of a request, by
/// their rendezvous scores.
///
/// A sidecar that has just started knows no other one and would consider itself the owner of
/// everything; if many start together, each would grant a share of each limit. Entries of the
/// platform's directory therefore count as sidecars that may be alive, and no sidecar grants tokens
/// until the directory is known. An entry of a sidecar that no longer exists is harmless: the live
/// owners are the same with and without it.
#[derive(Debug)]
pub(crate) struct OwnerSelector {
    own: Peer,
    /// True at the first start of the whole deployment: nothing was granted before, and all
    /// sidecars discover each other before the first request.
    is_first_start: bool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    candidates: HashMap<MemberId, Candidate>,
    /// True if the directory was read and contained every sidecar.
    has_complete_directory: bool,
    owners: HashMap<String, Arc<[Peer]>>,
}

#[derive(Debug)]
struct Candidate {
    peer: Peer,
    /// Time since which the sidecar is not known to be alive; `None` while it is.
    not_alive_since: Option<Timestamp>,
}

impl OwnerSelector {
    /// Creates a selector whose only candidate is this sidecar.
    pub(crate) fn new(own: Peer, is_first_start: bool) -> Self {
        Self {
            own,
            is_first_start,
            state: Mutex::default(),
        }
    }

    /// Applies the current member table.
    pub(crate) fn update(&self, now: Timestamp, table: &MemberTable) {
        let mut state = lock(&self.state);
        for candidate in state.candidates.values_mut() {
            candidate.not_alive_since.get_or_insert(now);
        }
        for member in table.members().filter(|member| member.is_live()) {
            let candidate = Candidate {
                peer: peer_of(member),
                not_alive_since: None,
            };
            state
                .candidates
                .insert(member.profile.id.clone(), candidate);
        }
        state.remove_expired(now);
        state.owners.clear();
    }

    /// Adds the entries of the platform's directory, which are sidecars that gossip may not have
    /// discovered yet. A full directory does not contain all sidecars.
    pub(crate) fn add_directory_entries(&self, now: Timestamp, entries: &[DirectoryEntry]) {
        let mut state = lock(&self.state);
        for entry in entries {
            let id = MemberId::from(entry.id.as_str());
            state.candidates.entry(id).or_insert_with(|| Candidate {
                peer: Peer {
                    id: entry.id.clone(),
                    address: entry.control_address,
                },
                not_alive_since: Some(now),
            });
        }
        state.has_complete_directory = entries.len() < DIRECTORY_ENTRIES;
        state.owners.clear();
    }

    /// True if enough is known to determine owners. `now` counts from the start of the process.
    pub(crate) fn is_initialized(&self, now: Timestamp) -> bool {
        self.is_first_start
            || lock(&self.state).has_complete_directory
            || now >= Timestamp::ZERO + DISCOVERY_TIME
    }

    /// Returns the owners of a tenant, in descending order of their score.
    pub(crate) fn owners(&self, now: Timestamp, tenant: &str) -> Arc<[Peer]> {
        let mut state = lock(&self.state);
        state.remove_expired(now);
        if let Some(owners) = state.owners.get(tenant) {
            return Arc::clone(owners);
        }
        let owners = self.select_owners(&state, tenant);
        state.owners.insert(tenant.to_owned(), Arc::clone(&owners));
        owners
    }

    /// True if this sidecar owns a share of a tenant's limit.
    pub(crate) fn owns(&self, now: Timestamp, tenant: &str) -> bool {
        self.owners(now, tenant).contains(&self.own)
    }

    fn select_owners(&self, state: &State, tenant: &str) -> Arc<[Peer]> {
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
    fn remove_expired(&mut self, now: Timestamp) {
        let before = self.candidates.len();
        self.candidates.retain(|_, candidate| {
            let not_alive_since = candidate.not_alive_since;
            not_alive_since.is_none_or(|since| now < since + DEAD_OWNER_HOLD)
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

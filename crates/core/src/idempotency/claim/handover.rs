//! Handover of votes from the previous group to a new one.
//!
//! A member of a new group votes only after it holds everything that the previous group may have
//! decided. Either of two sources is sufficient: one peer that already votes in the new group, or a
//! majority of the previous group in which every member has stopped voting (sealed its epoch).

use std::collections::{BTreeMap, BTreeSet};

use crate::call::IdempotencyKey;
use crate::idempotency::claim::group::{Epoch, Group, Predecessor, ReplicaId, majority};
use crate::idempotency::claim::message::{ClaimId, Fetch, HandoverStatus, Page, PageEntry};
use crate::idempotency::claim::records::{Ballot, CastVote, Record};
use crate::idempotency::claim::tally::{Observation, Tally};
use crate::idempotency::clock::UnixMillis;

/// Report of one replica about the previous group.
#[derive(Clone, Debug)]
pub struct HandoverReport {
    /// Status of the replica with respect to the previous group.
    pub status: HandoverStatus,
    /// The replica has no information on keys created up to this time.
    pub horizon: UnixMillis,
    /// Votes and outcomes that the replica holds, by key.
    pub records: BTreeMap<IdempotencyKey, Record>,
}

impl HandoverReport {
    /// Returns the vote that the replica cast on a key, as far as it is known.
    fn observe(&self, key: IdempotencyKey) -> Observation {
        if UnixMillis::of_key(key) <= self.horizon {
            return Observation::Unknown;
        }
        match self.records.get(&key).map(|record| record.ballot) {
            None | Some(Ballot::Open) => Observation::Open,
            Some(Ballot::Cast(vote)) => Observation::Voted(vote.claim),
            Some(Ballot::Contested) => Observation::Unknown,
        }
    }
}

/// State that a member takes over into its new group.
#[derive(Clone, Debug)]
pub struct InheritedState {
    /// The member abstains on keys created up to this time.
    pub horizon: UnixMillis,
    /// Votes and outcomes by key.
    pub records: BTreeMap<IdempotencyKey, Record>,
}

/// Pages received from one replica so far.
#[derive(Clone, Debug)]
struct Download {
    report: HandoverReport,
    after: Option<IdempotencyKey>,
    complete: bool,
}

/// State of one member's handover into a new group.
#[derive(Clone, Debug)]
pub struct Handover {
    target: Epoch,
    predecessors: Vec<ReplicaId>,
    peers: BTreeSet<ReplicaId>,
    downloads: BTreeMap<ReplicaId, Download>,
}

impl Handover {
    /// Starts the handover of the member `own_id` into `group`; `None` if the group doesn't specify
    /// its predecessor.
    #[must_use]
    pub fn new(own_id: &ReplicaId, group: &Group) -> Option<Self> {
        let Predecessor::Members(predecessors) = &group.predecessor else {
            return None;
        };
        let peers = predecessors.iter().chain(&group.replicas);
        let peers = peers.filter(|peer| *peer != own_id).cloned().collect();
        Some(Self {
            target: group.epoch,
            predecessors: predecessors.clone(),
            peers,
            downloads: BTreeMap::new(),
        })
    }

    /// Returns true if the replica is a member of the previous group.
    #[must_use]
    pub fn takes_over(&self, replica: &ReplicaId) -> bool {
        self.predecessors.contains(replica)
    }

    /// Returns a request for the next page of every replica that has not sent its last page.
    #[must_use]
    pub fn requests(&self) -> Vec<(ReplicaId, Fetch)> {
        self.peers
            .iter()
            .filter_map(|peer| Some((peer.clone(), self.request(peer)?)))
            .collect()
    }

    fn request(&self, peer: &ReplicaId) -> Option<Fetch> {
        let download = self.downloads.get(peer);
        if download.is_some_and(|download| download.complete) {
            return None;
        }
        Some(Fetch {
            target: self.target,
            after: download.and_then(|download| download.after),
        })
    }

    /// Processes a page and returns the request for the next one.
    pub fn receive(&mut self, from: &ReplicaId, page: Page) -> Option<Fetch> {
        if page.target != self.target || !self.peers.contains(from) {
            return None;
        }
        if page.status == HandoverStatus::Unready {
            self.downloads.remove(from);
            return None;
        }
        if !self.continues(from, &page) {
            return None;
        }
        self.append(from, page);
        self.request(from)
    }

    /// Returns true if the page is the next one expected. A replica whose status or horizon changed
    /// is read again from its first page.
    fn continues(&mut self, from: &ReplicaId, page: &Page) -> bool {
        let Some(download) = self.downloads.get(from) else {
            return page.after.is_none();
        };
        let unchanged =
            download.report.status == page.status && download.report.horizon == page.horizon;
        if !unchanged {
            self.downloads.remove(from);
            return page.after.is_none();
        }
        !download.complete && download.after == page.after
    }

    fn append(&mut self, from: &ReplicaId, page: Page) {
        let download = self
            .downloads
            .entry(from.clone())
            .or_insert_with(|| Download {
                report: HandoverReport {
                    status: page.status,
                    horizon: page.horizon,
                    records: BTreeMap::new(),
                },
                after: None,
                complete: false,
            });
        download.after = page.entries.last().map(|entry| entry.key);
        download.complete = page.last;
        for PageEntry { key, record } in page.entries {
            download.report.records.insert(key, record);
        }
    }

    /// Returns the state that the member starts with, as soon as enough is known. `own` is the
    /// member's own report if it belongs to the previous group.
    #[must_use]
    pub fn conclude(&self, own: Option<&HandoverReport>) -> Option<InheritedState> {
        let complete = self.downloads.iter().filter(|(_, one)| one.complete);
        let complete: Vec<_> = complete.map(|(id, one)| (id, &one.report)).collect();
        if let Some((_, report)) = complete
            .iter()
            .find(|(_, report)| report.status == HandoverStatus::Current)
        {
            return Some(InheritedState {
                horizon: report.horizon,
                records: report.records.clone(),
            });
        }
        let members = complete
            .iter()
            .filter(|(id, _)| self.takes_over(id))
            .map(|(_, report)| *report);
        let reports: Vec<&HandoverReport> = members.chain(own).collect();
        merge_reports(&reports, self.predecessors.len())
    }
}

/// Merges the handover reports of a group with `members` members. Returns `None` unless the reports
/// come from a majority of the group and at least one is of a replica that voted in the group and
/// has stopped voting there (sealed).
fn merge_reports(reports: &[&HandoverReport], members: usize) -> Option<InheritedState> {
    let majority = majority(members);
    let has_voted = |report: &&HandoverReport| report.status == HandoverStatus::Sealed;
    if reports.len() < majority || !reports.iter().any(has_voted) {
        return None;
    }
    let mut horizons: Vec<UnixMillis> = reports.iter().map(|report| report.horizon).collect();
    horizons.sort_unstable();
    let keys: BTreeSet<IdempotencyKey> = reports
        .iter()
        .flat_map(|report| report.records.keys().copied())
        .collect();
    let records = keys
        .into_iter()
        .map(|key| (key, merge_key(key, reports, members)))
        .collect();
    Some(InheritedState {
        horizon: horizons[majority - 1],
        records,
    })
}

fn merge_key(key: IdempotencyKey, reports: &[&HandoverReport], members: usize) -> Record {
    let mut merged = Record::default();
    for record in reports.iter().filter_map(|one| one.records.get(&key)) {
        for claim in &record.abandoned {
            merged.abandon(*claim);
        }
        if merged.outcome.is_none() {
            merged.outcome.clone_from(&record.outcome);
        }
    }
    merged.ballot = merge_ballot(key, reports, members);
    merged
}

/// Returns the ballot that represents everything the sealed group may have decided about a key.
fn merge_ballot(key: IdempotencyKey, reports: &[&HandoverReport], members: usize) -> Ballot {
    let missing = members - reports.len();
    let observations = reports.iter().map(|report| report.observe(key));
    let unknown_votes = std::iter::repeat_n(Observation::Unknown, missing);
    let tally = Tally::new(observations.chain(unknown_votes));
    let mut winners = tally.possible_winners();
    match (winners.next(), winners.next()) {
        (Some(claim), None) => {
            find_vote(key, claim, reports).map_or(Ballot::Contested, Ballot::Cast)
        }
        (Some(_), Some(_)) => Ballot::Contested,
        (None, _) if tally.may_have_unseen_winner() => Ballot::Contested,
        (None, _) => Ballot::Open,
    }
}

fn find_vote(key: IdempotencyKey, claim: ClaimId, reports: &[&HandoverReport]) -> Option<CastVote> {
    reports
        .iter()
        .filter_map(|report| report.records.get(&key))
        .find_map(|record| match record.ballot {
            Ballot::Cast(vote) if vote.claim == claim => Some(vote),
            _ => None,
        })
}

//! Replica: votes for at most one claim per key and stores the outcome of the request.
//!
//! All state is in memory. A restarted replica abstains on every key on which the process before it
//! may have voted. A replica therefore never revokes a vote by losing its state.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::idempotency::claim::group::{Epoch, Group, Predecessor, ReplicaId};
use crate::idempotency::claim::handover::{Handover, HandoverReport, InheritedState};
use crate::idempotency::claim::message::{
    Abandon, Abstention, Claim, Fetch, HandoverStatus, Page, PageEntry, ReplicaReply,
    ReplicaRequest, Store, Vote, VoteReply,
};
use crate::idempotency::claim::records::{Ballot, CastVote, RecordStore};
use crate::idempotency::clock::UnixMillis;
use crate::time::Timestamp;

/// Limits and timing of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// Maximum number of keys that are stored; claims on further keys are refused.
    pub maximum_records: usize,
    /// Bytes of response content that are kept for replay; later responses are stored without
    /// content.
    pub maximum_content_bytes: usize,
    /// Records in one page of a handover.
    pub page_records: usize,
    /// Time after which a handover request without a reply is sent again.
    pub retransmit_after: Duration,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            maximum_records: 200_000,
            maximum_content_bytes: 32 * 1_024 * 1_024,
            page_records: 512,
            retransmit_after: Duration::from_millis(200),
        }
    }
}

/// A request that a replica sends to a peer during a handover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRequest {
    /// Destination of the request.
    pub to: ReplicaId,
    /// Content of the request.
    pub fetch: Fetch,
}

/// Role of a replica in its latest configured group.
#[derive(Clone, Debug)]
enum Phase {
    /// Not a member, or the group doesn't specify its predecessor.
    Idle,
    /// Takes over the votes of the previous group.
    Joining {
        handover: Handover,
        next_request: Timestamp,
    },
    /// Votes, unless a later group has started its handover.
    Member,
}

/// Replica of the claim group in one daemon.
#[derive(Clone, Debug)]
pub struct Replica {
    id: ReplicaId,
    settings: ReplicaSettings,
    started: UnixMillis,
    horizon: UnixMillis,
    store: RecordStore,
    group: Option<Group>,
    next_group: Option<Group>,
    phase: Phase,
    last_voted: Option<Epoch>,
    sealed_below: Epoch,
}

impl Replica {
    /// Creates a replica in a process that started at `started` by its wall clock.
    #[must_use]
    pub fn new(id: ReplicaId, settings: ReplicaSettings, started: UnixMillis) -> Self {
        let store = RecordStore::new(settings.maximum_records, settings.maximum_content_bytes);
        Self {
            id,
            settings,
            started,
            horizon: started,
            store,
            group: None,
            next_group: None,
            phase: Phase::Idle,
            last_voted: None,
            sealed_below: Epoch::default(),
        }
    }

    /// Returns the epoch of the latest configured group.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        let group = self.next_group.as_ref().or(self.group.as_ref());
        group.map_or_else(Epoch::default, |group| group.epoch)
    }

    /// Returns true if the replica votes in its group.
    #[must_use]
    pub fn is_voting(&self) -> bool {
        self.group
            .as_ref()
            .is_some_and(|group| self.votes_in(group.epoch))
    }

    /// Returns the stored keys and responses.
    #[must_use]
    pub const fn store(&self) -> &RecordStore {
        &self.store
    }

    /// Returns the creation time up to which the replica abstains on keys.
    #[must_use]
    pub const fn horizon(&self) -> UnixMillis {
        self.horizon
    }

    /// Applies a configured group; an older epoch changes nothing. A group with the same epoch and
    /// other members is an operator error: the replica stops voting in it, since two groups with
    /// the same epoch could each let a request with the same key be dispatched.
    pub fn configure(&mut self, now: Timestamp, group: Group) -> Vec<PeerRequest> {
        if group.epoch <= self.epoch() {
            if self.contradicts(&group) {
                self.seal_below(group.epoch.next());
            }
            return Vec::new();
        }
        self.seal_below(group.epoch);
        let joining = matches!(self.phase, Phase::Joining { .. });
        if joining && group.predecessor != Predecessor::None {
            // The next group will request the votes that this replica is still collecting.
            self.next_group = Some(group);
            return Vec::new();
        }
        self.enter(now, group)
    }

    fn contradicts(&self, group: &Group) -> bool {
        let known = self.next_group.as_ref().or(self.group.as_ref());
        known.is_some_and(|known| known.epoch == group.epoch && known.replicas != group.replicas)
    }

    fn enter(&mut self, now: Timestamp, group: Group) -> Vec<PeerRequest> {
        self.next_group = None;
        self.raise_horizon(group.window.horizon(self.started));
        let member = group.contains(&self.id);
        let handover = Handover::new(&self.id, &group);
        let first = group.predecessor == Predecessor::None;
        let epoch = group.epoch;
        self.group = Some(group);
        match handover {
            _ if !member => self.phase = Phase::Idle,
            None if first => self.become_member(epoch),
            None => self.phase = Phase::Idle,
            Some(handover) => {
                self.phase = Phase::Joining {
                    handover,
                    next_request: now,
                };
                return self.advance(now);
            }
        }
        Vec::new()
    }

    fn become_member(&mut self, epoch: Epoch) {
        self.phase = Phase::Member;
        self.last_voted = Some(epoch);
    }

    fn seal_below(&mut self, epoch: Epoch) {
        self.sealed_below = self.sealed_below.max(epoch);
    }

    fn raise_horizon(&mut self, horizon: UnixMillis) {
        self.horizon = self.horizon.max(horizon);
    }

    fn votes_in(&self, epoch: Epoch) -> bool {
        let entered = self
            .group
            .as_ref()
            .is_some_and(|group| group.epoch == epoch);
        entered && matches!(self.phase, Phase::Member) && epoch >= self.sealed_below
    }

    /// Processes a request; `wall` is the time of this machine's clock.
    pub fn handle(&mut self, wall: UnixMillis, request: ReplicaRequest) -> ReplicaReply {
        self.forget_expired(wall);
        match request {
            ReplicaRequest::Claim(claim) => ReplicaReply::Vote(VoteReply {
                epoch: claim.epoch,
                claim: claim.claim,
                vote: self.vote(wall, &claim),
            }),
            ReplicaRequest::Abandon(abandon) => {
                self.abandon(wall, abandon);
                ReplicaReply::Acknowledged(abandon.claim)
            }
            ReplicaRequest::Store(store) => {
                let claim = store.claim;
                self.store_outcome(wall, store);
                ReplicaReply::Acknowledged(claim)
            }
            ReplicaRequest::Fetch(fetch) => ReplicaReply::Page(self.seal_and_read_page(fetch)),
        }
    }

    /// Drops records of keys that can't be claimed any more.
    fn forget_expired(&mut self, wall: UnixMillis) {
        let Some(window) = self.group.as_ref().map(|group| group.window) else {
            return;
        };
        while let Some(key) = self.store.oldest() {
            if !window.is_droppable(key, wall) {
                return;
            }
            self.store.remove_oldest();
            // A longer retention in a later configuration must not allow the key to be claimed
            // again.
            self.raise_horizon(UnixMillis::of_key(key));
        }
    }

    fn vote(&mut self, wall: UnixMillis, claim: &Claim) -> Vote {
        let record = self.store.get(claim.key);
        if let Some(outcome) = record.and_then(|record| record.outcome.as_ref()) {
            return Vote::Recorded(outcome.clone());
        }
        if let Some(reason) = self.reason_to_abstain(wall, claim) {
            return Vote::Abstained(reason);
        }
        let Some(record) = self.store.entry(claim.key) else {
            return Vote::Full;
        };
        match record.ballot {
            Ballot::Cast(vote) if vote.claim == claim.claim => Vote::Granted,
            Ballot::Cast(vote) => Vote::Held {
                by: vote.claim,
                same_request: vote.fingerprint == claim.fingerprint,
            },
            Ballot::Contested => Vote::Abstained(Abstention::Contested),
            Ballot::Open if record.abandoned.contains(&claim.claim) => {
                Vote::Abstained(Abstention::Abandoned)
            }
            Ballot::Open => {
                record.ballot = Ballot::Cast(CastVote {
                    claim: claim.claim,
                    fingerprint: claim.fingerprint,
                });
                Vote::Granted
            }
        }
    }

    fn reason_to_abstain(&self, wall: UnixMillis, claim: &Claim) -> Option<Abstention> {
        let group = self.group.as_ref();
        let Some(group) = group.filter(|_| self.votes_in(claim.epoch)) else {
            return Some(Abstention::OtherEpoch);
        };
        if UnixMillis::of_key(claim.key) <= self.horizon {
            Some(Abstention::BeforeHorizon)
        } else if group.window.is_too_early(claim.key, wall) {
            Some(Abstention::TooEarly)
        } else if group.window.is_expired(claim.key, wall) {
            Some(Abstention::Expired)
        } else {
            None
        }
    }

    fn abandon(&mut self, wall: UnixMillis, abandon: Abandon) {
        if self.is_outside_window(wall, abandon.key) {
            return;
        }
        self.store.abandon(abandon.key, abandon.claim);
    }

    fn store_outcome(&mut self, wall: UnixMillis, store: Store) {
        if self.is_outside_window(wall, store.key) {
            return;
        }
        self.store.store_outcome(store.key, store.record);
    }

    /// Returns true if a record of the key would never expire or has already expired.
    fn is_outside_window(&self, wall: UnixMillis, key: crate::call::IdempotencyKey) -> bool {
        self.group.as_ref().is_none_or(|group| {
            group.window.is_expired(key, wall) || group.window.is_unclaimable_yet(key, wall)
        })
    }

    /// Stops voting in all epochs before the requested one (seals them), and returns the page of
    /// records that a replica of a later group requested for its handover.
    fn seal_and_read_page(&mut self, fetch: Fetch) -> Page {
        self.seal_below(fetch.target);
        let status = self.handover_status(fetch.target);
        let provides_records = matches!(status, HandoverStatus::Current | HandoverStatus::Sealed);
        let mut records = self.store.range_after(fetch.after);
        let entries: Vec<PageEntry> = records
            .by_ref()
            .take(if provides_records {
                self.settings.page_records
            } else {
                0
            })
            .map(|(key, record)| PageEntry {
                key,
                record: record.clone(),
            })
            .collect();
        let last = !provides_records || records.next().is_none();
        Page {
            target: fetch.target,
            after: fetch.after,
            status,
            horizon: self.horizon,
            entries,
            last,
        }
    }

    fn handover_status(&self, target: Epoch) -> HandoverStatus {
        let before_target = target.number().saturating_sub(1);
        let entered = self.group.as_ref().map(|group| group.epoch.number());
        let joining_earlier = matches!(self.phase, Phase::Joining { .. })
            && entered.is_some_and(|entered| entered < target.number());
        match self.last_voted {
            Some(voted) if voted >= target => HandoverStatus::Current,
            Some(voted) if voted.number() == before_target => HandoverStatus::Sealed,
            _ if joining_earlier => HandoverStatus::Unready,
            _ if entered.is_some_and(|entered| entered >= target.number()) => HandoverStatus::Fresh,
            _ => HandoverStatus::Unready,
        }
    }

    /// Processes a peer's reply during a handover.
    pub fn receive_page(
        &mut self,
        now: Timestamp,
        from: &ReplicaId,
        page: Page,
    ) -> Vec<PeerRequest> {
        let Phase::Joining { handover, .. } = &mut self.phase else {
            return Vec::new();
        };
        let next = handover.receive(from, page);
        let mut requests = self.try_to_finish_handover(now);
        requests.extend(next.map(|fetch| PeerRequest {
            to: from.clone(),
            fetch,
        }));
        requests
    }

    fn try_to_finish_handover(&mut self, now: Timestamp) -> Vec<PeerRequest> {
        let (Phase::Joining { handover, .. }, Some(group)) = (&self.phase, &self.group) else {
            return Vec::new();
        };
        let epoch = group.epoch;
        let own = handover
            .takes_over(&self.id)
            .then(|| self.own_report(epoch));
        let Some(inherited) = handover.conclude(own.as_ref()) else {
            return Vec::new();
        };
        self.apply_inherited_state(inherited);
        self.become_member(epoch);
        match self.next_group.take() {
            Some(next) => self.enter(now, next),
            None => Vec::new(),
        }
    }

    fn own_report(&self, target: Epoch) -> HandoverReport {
        let records = self.store.range_after(None);
        let status = self.handover_status(target);
        HandoverReport {
            status,
            horizon: self.horizon,
            records: match status {
                HandoverStatus::Sealed => records.map(|(key, one)| (key, one.clone())).collect(),
                _ => BTreeMap::new(),
            },
        }
    }

    /// Takes over the state of the previous group. Outcomes that were stored here during the
    /// handover are kept.
    fn apply_inherited_state(&mut self, inherited: InheritedState) {
        let mut records = inherited.records;
        for (key, own) in self.store.range_after(None) {
            if let Some(outcome) = &own.outcome {
                let record = records.entry(key).or_default();
                record.outcome.get_or_insert_with(|| outcome.clone());
            }
        }
        self.raise_horizon(inherited.horizon);
        for key in self.store.replace(records) {
            self.raise_horizon(UnixMillis::of_key(key));
        }
    }

    /// Returns the requests that are due at `now`.
    pub fn advance(&mut self, now: Timestamp) -> Vec<PeerRequest> {
        let finished = self.try_to_finish_handover(now);
        if !finished.is_empty() {
            return finished;
        }
        let Phase::Joining {
            handover,
            next_request,
        } = &mut self.phase
        else {
            return Vec::new();
        };
        if now < *next_request {
            return Vec::new();
        }
        *next_request = now + self.settings.retransmit_after;
        let requests = handover.requests().into_iter();
        requests
            .map(|(to, fetch)| PeerRequest { to, fetch })
            .collect()
    }

    /// Returns the time at which [`Self::advance`] has work to do.
    #[must_use]
    pub const fn next_wakeup(&self) -> Option<Timestamp> {
        match &self.phase {
            Phase::Joining { next_request, .. } => Some(*next_request),
            Phase::Idle | Phase::Member => None,
        }
    }
}

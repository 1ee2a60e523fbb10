//! Coordinator that collects a majority of votes for a request before the edge dispatches it.
//!
//! One coordinator serves one request of a caller. It draws a claim id, requests a vote from every
//! replica and has the request dispatched once a majority voted for the claim. A withdrawn claim is
//! never dispatched; the coordinator continues with a new claim.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::idempotency::claim::delivery::Delivery;
use crate::idempotency::claim::group::{Group, ReplicaId};
pub use crate::idempotency::claim::interface::{
    ClaimedRequest, CoordinatorEffect, CoordinatorSettings, ExecutionOutcome,
};
use crate::idempotency::claim::message::{
    Abandon, Claim, ClaimId, OutcomeRecord, RecordedOutcome, ReplicaReply, ReplicaRequest, Store,
    Vote, VoteReply,
};
use crate::idempotency::claim::tally::{Observation, Tally};
use crate::idempotency::clock::UnixMillis;
use crate::outcome::ResultCode;
use crate::time::Timestamp;

/// State of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Requests votes.
    Claiming,
    /// Withdrew its claim in favour of another one and waits to claim again.
    Yielding,
    /// Won; the request is dispatched and its outcome is not known yet.
    Dispatched,
    /// The response to the caller is decided.
    Concluded,
}

/// Claims one key for one request.
#[derive(Clone, Debug)]
pub struct Coordinator {
    settings: CoordinatorSettings,
    group: Group,
    request: ClaimedRequest,
    claim: ClaimId,
    votes: Vec<Option<Vote>>,
    phase: Phase,
    claim_until: Timestamp,
    interval: Duration,
    next_step: Timestamp,
    deliveries: Vec<Delivery>,
}

impl Coordinator {
    /// Starts to claim; `wall` is the time of this machine's clock.
    pub fn start(
        settings: CoordinatorSettings,
        group: Group,
        request: ClaimedRequest,
        now: Timestamp,
        wall: UnixMillis,
        rng: &mut impl Rng,
    ) -> (Self, Vec<CoordinatorEffect>) {
        let votes = vec![None; group.replicas.len()];
        let mut coordinator = Self {
            settings,
            group,
            request,
            claim: ClaimId::from_u128(rng.random()),
            votes,
            phase: Phase::Claiming,
            claim_until: now + settings.claim_timeout,
            interval: settings.retransmit_after,
            next_step: now,
            deliveries: Vec::new(),
        };
        let effects = match coordinator.check_key(wall) {
            Some(code) => vec![coordinator.refuse(code)],
            None => coordinator.step(now, rng),
        };
        (coordinator, effects)
    }

    /// Checks the key against this machine's clock. Returns the code to refuse it with, or `None`
    /// if it may be claimed.
    fn check_key(&self, wall: UnixMillis) -> Option<ResultCode> {
        let window = self.group.window;
        if window.is_unclaimable_yet(self.request.key, wall) {
            return Some(ResultCode::InvalidIdempotencyKey);
        }
        // The record of an earlier request with this key may already have been dropped.
        window
            .is_expired(self.request.key, wall)
            .then_some(ResultCode::ClaimUncertain)
    }

    /// Returns true if the response to the caller is decided and every replica has received the
    /// withdrawals and the outcome, or their delivery was given up.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Concluded) && self.deliveries.is_empty()
    }

    /// Returns the time at which [`Self::advance`] has work to do.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let step = self.is_undecided().then_some(self.next_step);
        let next_sends = self.deliveries.iter().map(Delivery::next_send);
        next_sends.chain(step).min()
    }

    /// Applies a configured group; an epoch that is not newer changes nothing.
    ///
    /// A claim that has not won yet starts again in the new group. A claim that has won stays
    /// valid, because the new group takes over the votes of the previous one.
    pub fn configure(
        &mut self,
        now: Timestamp,
        group: Group,
        rng: &mut impl Rng,
    ) -> Vec<CoordinatorEffect> {
        if group.epoch <= self.group.epoch {
            return Vec::new();
        }
        let before = std::mem::replace(&mut self.group, group);
        if !self.is_undecided() {
            return Vec::new();
        }
        // The new members may have taken over a vote for the claim that is withdrawn.
        let mut recipients = before.replicas;
        recipients.extend(self.group.replicas.iter().cloned());
        recipients.sort_unstable();
        recipients.dedup();
        let mut effects = self.deliver_to(now, self.abandonment(), recipients);
        self.votes = vec![None; self.group.replicas.len()];
        self.start_new_claim(rng);
        effects.extend(self.step(now, rng));
        effects
    }

    const fn is_undecided(&self) -> bool {
        matches!(self.phase, Phase::Claiming | Phase::Yielding)
    }

    /// Performs the work that is due at `now`.
    pub fn advance(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<CoordinatorEffect> {
        let mut effects = Vec::new();
        for delivery in &mut self.deliveries {
            effects.extend(delivery.advance(now));
        }
        self.deliveries.retain(|delivery| !delivery.is_done());
        if self.is_undecided() && now >= self.next_step {
            effects.extend(self.step(now, rng));
        }
        effects
    }

    /// Processes a replica's reply.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: &ReplicaId,
        reply: ReplicaReply,
        rng: &mut impl Rng,
    ) -> Vec<CoordinatorEffect> {
        match reply {
            ReplicaReply::Vote(reply) => self.receive_vote(now, from, reply, rng),
            ReplicaReply::Acknowledged(claim) => {
                for delivery in &mut self.deliveries {
                    delivery.acknowledge(from, claim);
                }
                self.deliveries.retain(|delivery| !delivery.is_done());
                Vec::new()
            }
            ReplicaReply::Page(_) => Vec::new(),
        }
    }

    fn receive_vote(
        &mut self,
        now: Timestamp,
        from: &ReplicaId,
        reply: VoteReply,
        rng: &mut impl Rng,
    ) -> Vec<CoordinatorEffect> {
        let current = reply.claim == self.claim && reply.epoch == self.group.epoch;
        let member = self.group.replicas.iter().position(|one| one == from);
        let Some(member) = member.filter(|_| current && self.phase == Phase::Claiming) else {
            return Vec::new();
        };
        if let Vote::Recorded(record) = reply.vote {
            return self.replay(now, record);
        }
        // A granted vote stays granted until this coordinator withdraws its claim, so a delayed
        // earlier reply of the same replica changes nothing.
        if self.votes[member] != Some(Vote::Granted) {
            self.votes[member] = Some(reply.vote);
        }
        let tally = self.tally();
        if tally.has_won(self.claim) {
            return self.win(now);
        }
        if let Some(code) = self.lost_to_other_request(&tally) {
            return self.give_up(now, code);
        }
        let all_replied = self.votes.iter().all(Option::is_some);
        if all_replied && self.must_yield(&tally) {
            return self.yield_claim(now, rng);
        }
        Vec::new()
    }

    fn tally(&self) -> Tally {
        Tally::new(self.votes.iter().map(|vote| match vote {
            Some(Vote::Granted) => Observation::Voted(self.claim),
            Some(Vote::Held { by, .. }) => Observation::Voted(*by),
            Some(Vote::Full) => Observation::Open,
            Some(Vote::Recorded(_) | Vote::Abstained(_)) | None => Observation::Unknown,
        }))
    }

    fn win(&mut self, now: Timestamp) -> Vec<CoordinatorEffect> {
        if now >= self.request.give_up_at {
            return self.give_up(now, ResultCode::DeadlineUnreachable);
        }
        self.phase = Phase::Dispatched;
        vec![CoordinatorEffect::Dispatch]
    }

    /// Handles a recorded outcome: replays the response if it belongs to this request, refuses the
    /// request if the key was used for another one.
    fn replay(&mut self, now: Timestamp, record: OutcomeRecord) -> Vec<CoordinatorEffect> {
        let mut effects = self.withdraw(now);
        let same_request = record.fingerprint == self.request.fingerprint;
        effects.push(match record.outcome {
            _ if !same_request => self.refuse(ResultCode::IdempotencyKeyReused),
            RecordedOutcome::Lost => self.refuse(ResultCode::ClaimUncertain),
            RecordedOutcome::Responded(response) => {
                self.phase = Phase::Concluded;
                CoordinatorEffect::Replay(response)
            }
        });
        effects
    }

    /// Returns the code to refuse the request with if a claim for a different request has won the
    /// key. Only then is it certain that this request was never dispatched with it.
    fn lost_to_other_request(&self, tally: &Tally) -> Option<ResultCode> {
        let is_other = |vote: &Option<Vote>| matches!(vote, Some(Vote::Held { by, same_request: false }) if tally.has_won(*by));
        let lost = self.votes.iter().any(is_other);
        lost.then_some(ResultCode::IdempotencyKeyReused)
    }

    /// Returns true if this claim has votes, no claim has won and another claim has more votes, or
    /// as many and a greater id. Of two claims that see each other, exactly one yields.
    fn must_yield(&self, tally: &Tally) -> bool {
        let own = (tally.votes(self.claim), self.claim);
        let decided = tally.seen().any(|(claim, _)| tally.has_won(claim));
        let better = tally.seen().any(|(claim, votes)| (votes, claim) > own);
        !decided && better && own.0 > 0
    }

    fn yield_claim(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<CoordinatorEffect> {
        let effects = self.withdraw(now);
        self.phase = Phase::Yielding;
        self.schedule(now, rng);
        effects
    }

    /// Runs one round: concludes if time is up, creates a new claim after a yield, otherwise
    /// requests the missing votes again.
    fn step(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<CoordinatorEffect> {
        let tally = self.tally();
        if let Some(code) = self.conclusion(now, &tally) {
            return self.give_up(now, code);
        }
        if self.phase == Phase::Yielding {
            self.start_new_claim(rng);
        } else if self.must_yield(&tally) {
            return self.yield_claim(now, rng);
        }
        self.schedule(now, rng);
        self.request_votes()
    }

    fn start_new_claim(&mut self, rng: &mut impl Rng) {
        self.claim = ClaimId::from_u128(rng.random());
        self.votes.fill(None);
        self.phase = Phase::Claiming;
    }

    fn schedule(&mut self, now: Timestamp, rng: &mut impl Rng) {
        let jitter = rng.random_range(0.5..1.0);
        let limits = [self.claim_until, self.request.give_up_at];
        let next_limit = limits.into_iter().filter(|limit| *limit > now).min();
        let next_round = now + self.interval.mul_f64(jitter);
        self.next_step = next_limit.map_or(next_round, |limit| limit.min(next_round));
        self.interval = (self.interval * 2).min(self.settings.maximum_retransmit_after);
    }

    /// Sends the claim to every replica that has not voted for it.
    fn request_votes(&self) -> Vec<CoordinatorEffect> {
        let claim = ReplicaRequest::Claim(Claim {
            epoch: self.group.epoch,
            key: self.request.key,
            claim: self.claim,
            fingerprint: self.request.fingerprint,
        });
        let replicas = self.group.replicas.iter().zip(&self.votes);
        replicas
            .filter(|(_, vote)| **vote != Some(Vote::Granted))
            .map(|(replica, _)| CoordinatorEffect::Send {
                to: replica.clone(),
                request: claim.clone(),
            })
            .collect()
    }

    /// Returns the code to refuse the request with, once waiting longer can't change the result.
    fn conclusion(&self, now: Timestamp, tally: &Tally) -> Option<ResultCode> {
        let others = tally
            .possible_winners()
            .filter(|claim| *claim != self.claim);
        let other_claim = others.count() > 0;
        let out_of_time = now >= self.request.give_up_at;
        let stop_waiting = now >= self.claim_until && !other_claim;
        if !out_of_time && !stop_waiting {
            return None;
        }
        Some(if other_claim {
            ResultCode::ClaimUncertain
        } else if tally.may_have_unseen_winner() {
            ResultCode::ClaimUndetermined
        } else {
            ResultCode::ClaimUnavailable
        })
    }

    fn give_up(&mut self, now: Timestamp, code: ResultCode) -> Vec<CoordinatorEffect> {
        let mut effects = self.withdraw(now);
        effects.push(self.refuse(code));
        effects
    }

    fn refuse(&mut self, code: ResultCode) -> CoordinatorEffect {
        self.phase = Phase::Concluded;
        CoordinatorEffect::Refuse {
            code,
            retry_after: self.settings.retry_after,
        }
    }

    /// Withdraws the current claim, which is never dispatched afterwards.
    fn withdraw(&mut self, now: Timestamp) -> Vec<CoordinatorEffect> {
        self.deliver(now, self.abandonment())
    }

    fn abandonment(&self) -> ReplicaRequest {
        ReplicaRequest::Abandon(Abandon {
            key: self.request.key,
            claim: self.claim,
        })
    }

    fn deliver(&mut self, now: Timestamp, request: ReplicaRequest) -> Vec<CoordinatorEffect> {
        let replicas = self.group.replicas.clone();
        self.deliver_to(now, request, replicas)
    }

    fn deliver_to(
        &mut self,
        now: Timestamp,
        request: ReplicaRequest,
        replicas: Vec<ReplicaId>,
    ) -> Vec<CoordinatorEffect> {
        let mut delivery = Delivery::new(
            now,
            self.claim,
            request,
            replicas,
            self.settings.retransmit_after,
            self.settings.delivery_timeout,
        );
        let effects = delivery.advance(now);
        self.deliveries.push(delivery);
        effects
    }

    /// Records the outcome of the dispatched request. The driver itself responds to the caller.
    pub fn complete(
        &mut self,
        now: Timestamp,
        outcome: ExecutionOutcome,
    ) -> Vec<CoordinatorEffect> {
        if self.phase != Phase::Dispatched {
            return Vec::new();
        }
        self.phase = Phase::Concluded;
        let outcome = match outcome {
            ExecutionOutcome::NotRun => return self.withdraw(now),
            ExecutionOutcome::Unknown => RecordedOutcome::Lost,
            ExecutionOutcome::Run(response) => RecordedOutcome::Responded(response),
        };
        let store = ReplicaRequest::Store(Store {
            key: self.request.key,
            claim: self.claim,
            record: OutcomeRecord {
                fingerprint: self.request.fingerprint,
                outcome,
            },
        });
        self.deliver(now, store)
    }
}

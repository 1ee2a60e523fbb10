//! A message that every replica should get, sent again until it is acknowledged.

use std::time::Duration;

use crate::idempotency::claim::coordinator::CoordinatorEffect;
use crate::idempotency::claim::group::ReplicaId;
use crate::idempotency::claim::message::{ClaimId, ReplicaRequest};
use crate::time::Timestamp;

/// Delivery of one withdrawal or outcome to the replicas of a group.
#[derive(Clone, Debug)]
pub(super) struct Settlement {
    claim: ClaimId,
    request: ReplicaRequest,
    unacknowledged: Vec<ReplicaId>,
    retransmit_after: Duration,
    next_send: Timestamp,
    give_up_at: Timestamp,
}

impl Settlement {
    /// A settlement that is sent for the first time at `now`.
    pub(super) fn new(
        now: Timestamp,
        claim: ClaimId,
        request: ReplicaRequest,
        replicas: Vec<ReplicaId>,
        retransmit_after: Duration,
        patience: Duration,
    ) -> Self {
        Self {
            claim,
            request,
            unacknowledged: replicas,
            retransmit_after,
            next_send: now,
            give_up_at: now + patience,
        }
    }

    /// Sends what is due.
    pub(super) fn advance(&mut self, now: Timestamp) -> Vec<CoordinatorEffect> {
        if now < self.next_send {
            return Vec::new();
        }
        if now >= self.give_up_at {
            self.unacknowledged.clear();
        }
        self.next_send = now + self.retransmit_after;
        self.retransmit_after *= 2;
        let send = |to: &ReplicaId| CoordinatorEffect::Send {
            to: to.clone(),
            request: self.request.clone(),
        };
        self.unacknowledged.iter().map(send).collect()
    }

    /// Takes an acknowledgement of the claim's settlement.
    pub(super) fn acknowledge(&mut self, from: &ReplicaId, claim: ClaimId) {
        if claim == self.claim {
            self.unacknowledged.retain(|replica| replica != from);
        }
    }

    /// Whether nothing is left to send.
    pub(super) const fn is_done(&self) -> bool {
        self.unacknowledged.is_empty()
    }

    /// When the next message is due.
    pub(super) const fn next_send(&self) -> Timestamp {
        self.next_send
    }
}

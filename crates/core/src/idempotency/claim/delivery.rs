//! Delivery of a message to every replica, retransmitted until acknowledged.

use std::time::Duration;

use crate::idempotency::claim::coordinator::CoordinatorEffect;
use crate::idempotency::claim::group::ReplicaId;
use crate::idempotency::claim::message::{ClaimId, ReplicaRequest};
use crate::time::Timestamp;

/// Delivery of one withdrawal or outcome to the replicas of a group.
#[derive(Clone, Debug)]
pub(super) struct Delivery {
    claim: ClaimId,
    request: ReplicaRequest,
    unacknowledged: Vec<ReplicaId>,
    retransmit_after: Duration,
    next_send: Timestamp,
    give_up_at: Timestamp,
}

impl Delivery {
    /// Creates a delivery that is first sent at `now`.
    pub(super) fn new(
        now: Timestamp,
        claim: ClaimId,
        request: ReplicaRequest,
        replicas: Vec<ReplicaId>,
        retransmit_after: Duration,
        timeout: Duration,
    ) -> Self {
        Self {
            claim,
            request,
            unacknowledged: replicas,
            retransmit_after,
            next_send: now,
            give_up_at: now + timeout,
        }
    }

    /// Returns the messages that are due at `now`.
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

    /// Records an acknowledgement of the claim's message.
    pub(super) fn acknowledge(&mut self, from: &ReplicaId, claim: ClaimId) {
        if claim == self.claim {
            self.unacknowledged.retain(|replica| replica != from);
        }
    }

    /// Returns true if nothing is left to send.
    pub(super) const fn is_done(&self) -> bool {
        self.unacknowledged.is_empty()
    }

    /// Returns the time of the next transmission.
    pub(super) const fn next_send(&self) -> Timestamp {
        self.next_send
    }
}

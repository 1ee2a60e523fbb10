//! What a coordinator is given and what it asks its driver to do.

use std::time::Duration;

use crate::call::IdempotencyKey;
use crate::idempotency::claim::group::ReplicaId;
use crate::idempotency::claim::message::{Fingerprint, RecordedAnswer, ReplicaRequest};
use crate::outcome::ResultCode;
use crate::time::Timestamp;

/// Timing of a coordinator.
#[derive(Clone, Copy, Debug)]
pub struct CoordinatorSettings {
    /// Time to wait for a majority of answers before the request is refused.
    pub claim_timeout: Duration,
    /// Shortest time after which an unanswered or refused vote is asked for again.
    pub retransmit_after: Duration,
    /// Longest time after which a vote is asked for again.
    pub maximum_retransmit_after: Duration,
    /// Time for which withdrawals and outcomes are sent again until every replica has them.
    pub settle_timeout: Duration,
    /// What a refused caller is told to wait.
    pub retry_after: Duration,
}

impl Default for CoordinatorSettings {
    fn default() -> Self {
        Self {
            claim_timeout: Duration::from_millis(500),
            retransmit_after: Duration::from_millis(20),
            maximum_retransmit_after: Duration::from_millis(200),
            settle_timeout: Duration::from_secs(10),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// The request for which a coordinator claims a key.
#[derive(Clone, Copy, Debug)]
pub struct ClaimedRequest {
    /// Key that the caller chose.
    pub key: IdempotencyKey,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Time after which the request must neither wait nor be dispatched any more.
    pub give_up_at: Timestamp,
}

/// How the dispatch of a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// Provably not executed; the key is free again.
    NotRun,
    /// Not known.
    Unknown,
    /// Executed, with this answer.
    Run(RecordedAnswer),
}

/// What the driver of a coordinator has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoordinatorEffect {
    /// Send a message to a replica.
    Send {
        /// The replica.
        to: ReplicaId,
        /// The message.
        request: ReplicaRequest,
    },
    /// Dispatch the request now, then call [`Coordinator::complete`].
    Dispatch,
    /// Answer the caller with the recorded answer of the request's earlier execution.
    Replay(RecordedAnswer),
    /// Answer the caller with this code.
    Refuse {
        /// The code.
        code: ResultCode,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

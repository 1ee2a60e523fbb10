//! Input of a coordinator and the effects that its driver has to perform.

use std::time::Duration;

use crate::call::IdempotencyKey;
use crate::idempotency::claim::group::ReplicaId;
use crate::idempotency::claim::message::{Fingerprint, RecordedResponse, ReplicaRequest};
use crate::outcome::ResultCode;
use crate::time::Timestamp;

/// Timing of a coordinator.
#[derive(Clone, Copy, Debug)]
pub struct CoordinatorSettings {
    /// Time to wait for a majority of replies before the request is refused.
    pub claim_timeout: Duration,
    /// Time, before jitter, after which a vote that was not granted is first requested again. It
    /// doubles with each further request.
    pub retransmit_after: Duration,
    /// Maximum time, before jitter, after which a vote that was not granted is requested again.
    pub maximum_retransmit_after: Duration,
    /// Time for which withdrawals and outcomes are retransmitted until every replica acknowledged
    /// them.
    pub delivery_timeout: Duration,
    /// Value for the Retry-After header of a refusal.
    pub retry_after: Duration,
}

impl Default for CoordinatorSettings {
    fn default() -> Self {
        Self {
            claim_timeout: Duration::from_millis(500),
            retransmit_after: Duration::from_millis(20),
            maximum_retransmit_after: Duration::from_millis(200),
            delivery_timeout: Duration::from_secs(10),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// The request for which a coordinator claims a key.
#[derive(Clone, Copy, Debug)]
pub struct ClaimedRequest {
    /// Key chosen by the caller.
    pub key: IdempotencyKey,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time after which the request must neither wait nor be dispatched.
    pub give_up_at: Timestamp,
}

/// Result of dispatching a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// Provably not executed; the key may be claimed again.
    NotRun,
    /// It is not known whether the request was executed.
    Unknown,
    /// Executed, with this response.
    Run(RecordedResponse),
}

/// An action that the driver of a coordinator has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoordinatorEffect {
    /// Send a message to a replica.
    Send {
        /// Destination of the message.
        to: ReplicaId,
        /// Content of the message.
        request: ReplicaRequest,
    },
    /// Dispatch the request immediately, then call [`Coordinator::complete`].
    Dispatch,
    /// Respond to the caller with the recorded response of the request's earlier execution.
    Replay(RecordedResponse),
    /// Respond to the caller with this code.
    Refuse {
        /// Reason of the refusal.
        code: ResultCode,
        /// Value for the Retry-After header.
        retry_after: Duration,
    },
}

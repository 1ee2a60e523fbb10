//! Decision on retrying a failed attempt.

use std::time::Duration;

use displaydoc::Display;

use crate::call::{Repeatability, RetryAllowance};
use crate::outcome::{OutcomeClass, ResultCode};
use crate::time::Timestamp;

/// Position on the path at which an attempt failed, relative to the deciding hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureLocation {
    /// Between this hop and the endpoint that it picked, or at that endpoint's own daemon.
    ThisHop,
    /// In a call further downstream. The hop that made that call has already decided whether to
    /// retry it.
    Downstream,
}

/// Input of the retry decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryInput {
    /// The current time.
    pub now: Timestamp,
    /// Time after which a response is of no use to the caller.
    pub deadline: Timestamp,
    /// Result of the failed attempt.
    pub code: ResultCode,
    /// Position on the path at which it failed.
    pub location: FailureLocation,
    /// Policy on executing the call more than once.
    pub repeatability: Repeatability,
    /// True if an endpoint that was not tried yet can be picked and admits the call.
    pub sibling_available: bool,
    /// Remaining allowance of the call's ledger; see [`super::Ledger::remaining`].
    pub allowance: RetryAllowance,
    /// True if the destination's budget can pay a retry; see
    /// [`super::DestinationBudget::available`].
    pub budget_available: bool,
    /// Delay that the backoff drew for this retry.
    pub backoff: Duration,
    /// Shortest time in which a response can be expected; zero if unknown.
    pub expected_latency: Duration,
}

/// Result of the retry decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after this delay.
    Retry {
        /// Delay before the retry.
        after: Duration,
    },
    /// Respond to the caller with the attempt's result.
    GiveUp(GiveUpReason),
}

/// Reason for which a failed attempt is not retried.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum GiveUpReason {
    /// the backend responded
    Answered,
    /// the request itself is invalid
    RequestAtFault,
    /// the caller gave up
    CallerGone,
    /// the retry decision belongs to the hop nearer to the failure
    NotNearestHop,
    /// the call may have been executed and must not be executed twice
    NotRepeatable,
    /// no other endpoint can take the call
    NoSibling,
    /// the deadline would pass first
    Deadline,
    /// the request's retry allowance is spent
    AllowanceSpent,
    /// the destination's retry budget is spent
    BudgetSpent,
}

/// Kind of a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryKind {
    /// Offer the call to a sibling endpoint immediately, after a refusal that cost almost nothing.
    Offer,
    /// Execute the call again after a backoff, paid from the destination's budget.
    Reexecute,
}

/// Decides whether a failed attempt is retried.
///
/// An offer after a refusal is paid from the allowance only, because the refusal caused no work at
/// the destination. A retry after an unknown outcome is paid from the allowance and the budget.
#[must_use]
pub fn decide(input: &RetryInput) -> RetryDecision {
    match evaluate(input) {
        Ok(after) => RetryDecision::Retry { after },
        Err(reason) => RetryDecision::GiveUp(reason),
    }
}

impl RetryInput {
    /// Returns true if a retry is also paid from the destination's budget.
    #[must_use]
    pub fn needs_budget(&self) -> bool {
        self.code.outcome() == OutcomeClass::Unknown
    }
}

fn evaluate(input: &RetryInput) -> Result<Duration, GiveUpReason> {
    let kind = classify(input)?;
    if input.location == FailureLocation::Downstream {
        return Err(GiveUpReason::NotNearestHop);
    }
    if kind == RetryKind::Offer && !input.sibling_available {
        return Err(GiveUpReason::NoSibling);
    }
    let after = match kind {
        RetryKind::Offer => Duration::ZERO,
        RetryKind::Reexecute => input.backoff,
    };
    if input.now + after + input.expected_latency >= input.deadline {
        return Err(GiveUpReason::Deadline);
    }
    if input.allowance == RetryAllowance::NONE {
        return Err(GiveUpReason::AllowanceSpent);
    }
    if input.needs_budget() && !input.budget_available {
        return Err(GiveUpReason::BudgetSpent);
    }
    Ok(after)
}

fn classify(input: &RetryInput) -> Result<RetryKind, GiveUpReason> {
    match input.code {
        ResultCode::Answered | ResultCode::AnsweredEarlier => Err(GiveUpReason::Answered),
        ResultCode::MalformedRequest
        | ResultCode::RequestTooLarge
        | ResultCode::UnknownService
        | ResultCode::InvalidContext
        | ResultCode::MissingIdempotencyKey
        | ResultCode::InvalidIdempotencyKey
        | ResultCode::IdempotencyKeyReused
        | ResultCode::Quarantined
        | ResultCode::UnknownApiKey => Err(GiveUpReason::RequestAtFault),
        ResultCode::CancelledBeforeDispatch | ResultCode::CancelledAfterDispatch => {
            Err(GiveUpReason::CallerGone)
        }
        ResultCode::RefusedByLevel
        | ResultCode::RefusedQueueFull
        | ResultCode::DisplacedFromQueue
        | ResultCode::QueueTimeout
        | ResultCode::DeadlineUnreachable
        | ResultCode::NoBackend
        | ResultCode::Draining
        | ResultCode::ConnectionLimit
        | ResultCode::ConnectFailed
        | ResultCode::ClaimUnavailable
        | ResultCode::NotReady
        | ResultCode::RefusedByBackend
        | ResultCode::Misaddressed
        | ResultCode::SuspectWaited
        | ResultCode::RateLimited
        | ResultCode::RefusedByCompletionLimit
        | ResultCode::NoReturnInTime
        | ResultCode::RepeatRefused
        | ResultCode::OverQuota
        | ResultCode::ApiKeyUnconfirmed
        | ResultCode::OriginNotOpen
        | ResultCode::QuotaUnavailable => Ok(RetryKind::Offer),
        ResultCode::DeadlineAfterDispatch => Err(GiveUpReason::Deadline),
        ResultCode::ConnectionLost
        | ResultCode::MalformedAnswer
        | ResultCode::BackendEnded
        | ResultCode::HandlerFailed => reexecute(input),
        ResultCode::ClaimUncertain | ResultCode::ClaimUndetermined => {
            Err(GiveUpReason::NotRepeatable)
        }
    }
}

fn reexecute(input: &RetryInput) -> Result<RetryKind, GiveUpReason> {
    match input.repeatability {
        Repeatability::Repeatable => Ok(RetryKind::Reexecute),
        Repeatability::AtMostOnce => Err(GiveUpReason::NotRepeatable),
    }
}

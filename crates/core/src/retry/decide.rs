//! Whether a failed attempt is tried again.

use std::time::Duration;

use displaydoc::Display;

use crate::call::{Repeatability, RetryAllowance};
use crate::outcome::{OutcomeClass, ResultCode};
use crate::time::Timestamp;

/// Where on the path an attempt failed, as seen from the hop that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureLocation {
    /// Between this hop and the endpoint that it chose, or at that endpoint's own daemon.
    ThisHop,
    /// At a call further down, which the hop above it has already dealt with.
    Below,
}

/// Everything that the decision depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryQuestion {
    /// The current time.
    pub now: Timestamp,
    /// Time after which an answer is worthless.
    pub deadline: Timestamp,
    /// Result of the attempt that ended.
    pub code: ResultCode,
    /// Where it failed.
    pub location: FailureLocation,
    /// Whether the call may be executed again.
    pub repeatability: Repeatability,
    /// Whether another endpoint can be picked that has not been tried and admits the call.
    pub sibling_available: bool,
    /// What the call's ledger has left; see [`super::Ledger::remaining`].
    pub allowance: RetryAllowance,
    /// Whether the destination's budget can pay a retry; see [`super::DestinationBudget::available`].
    pub budget_available: bool,
    /// Delay that the backoff drew for this retry.
    pub backoff: Duration,
    /// Shortest time in which an answer can be expected; zero when unknown.
    pub expected_latency: Duration,
}

/// What to do with the failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after this delay.
    Retry {
        /// Time to wait first.
        after: Duration,
    },
    /// Answer the caller with the attempt's result.
    GiveUp(GiveUpReason),
}

/// Why a failed attempt is not tried again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum GiveUpReason {
    /// the back end answered
    Answered,
    /// the request itself is at fault
    RequestAtFault,
    /// the caller gave up
    CallerGone,
    /// the hop nearer to the failure decides
    NotNearestHop,
    /// the call may have run and must not run twice
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

/// How an attempt that may be tried again is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Offer to a sibling at once, after a refusal that cost next to nothing.
    Offer,
    /// Repeat after a backoff, out of the destination's budget.
    Repeat,
}

/// Decides whether a failed attempt is tried again.
///
/// An offer after a refusal is paid from the allowance only: the refusal did no work at the
/// destination. A repetition after an unknown outcome is paid from allowance and budget.
#[must_use]
pub fn decide(question: &RetryQuestion) -> RetryDecision {
    match evaluate(question) {
        Ok(after) => RetryDecision::Retry { after },
        Err(reason) => RetryDecision::GiveUp(reason),
    }
}

impl RetryQuestion {
    /// Whether a retry would be paid from the destination's budget too.
    #[must_use]
    pub fn needs_budget(&self) -> bool {
        self.code.outcome() == OutcomeClass::Unknown
    }
}

fn evaluate(question: &RetryQuestion) -> Result<Duration, GiveUpReason> {
    let kind = classify(question)?;
    if question.location == FailureLocation::Below {
        return Err(GiveUpReason::NotNearestHop);
    }
    if kind == Kind::Offer && !question.sibling_available {
        return Err(GiveUpReason::NoSibling);
    }
    let after = match kind {
        Kind::Offer => Duration::ZERO,
        Kind::Repeat => question.backoff,
    };
    if question.now + after + question.expected_latency >= question.deadline {
        return Err(GiveUpReason::Deadline);
    }
    if question.allowance == RetryAllowance::NONE {
        return Err(GiveUpReason::AllowanceSpent);
    }
    if question.needs_budget() && !question.budget_available {
        return Err(GiveUpReason::BudgetSpent);
    }
    Ok(after)
}

fn classify(question: &RetryQuestion) -> Result<Kind, GiveUpReason> {
    match question.code {
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
        | ResultCode::RepeatRefused
        | ResultCode::OverQuota
        | ResultCode::ApiKeyUnconfirmed
        | ResultCode::OriginNotOpen
        | ResultCode::QuotaUnavailable => Ok(Kind::Offer),
        ResultCode::DeadlineAfterDispatch => Err(GiveUpReason::Deadline),
        ResultCode::ConnectionLost | ResultCode::MalformedAnswer | ResultCode::BackendEnded => {
            repeat(question)
        }
        ResultCode::ClaimUncertain | ResultCode::ClaimUndetermined => {
            Err(GiveUpReason::NotRepeatable)
        }
    }
}

fn repeat(question: &RetryQuestion) -> Result<Kind, GiveUpReason> {
    match question.repeatability {
        Repeatability::Repeatable => Ok(Kind::Repeat),
        Repeatability::AtMostOnce => Err(GiveUpReason::NotRepeatable),
    }
}

//! The retry decision, case by case.

use std::time::Duration;

use wharfquay_core::call::{Repeatability, RetryAllowance};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::retry::{
    BudgetSettings, DestinationBudget, FailureLocation, GiveUpReason, Ledger, RetryDecision,
    RetryInput, authorize, decide,
};
use wharfquay_core::time::Timestamp;

const BACKOFF: Duration = Duration::from_millis(7);

/// Returns an input that allows a retry unless the result code excludes it.
fn input(code: ResultCode) -> RetryInput {
    RetryInput {
        now: Timestamp::from_millis(100),
        deadline: Timestamp::from_millis(600),
        code,
        location: FailureLocation::ThisHop,
        repeatability: Repeatability::Repeatable,
        sibling_available: true,
        allowance: RetryAllowance::new(1),
        budget_available: true,
        backoff: BACKOFF,
        expected_latency: Duration::from_millis(20),
    }
}

const fn retry(after: Duration) -> RetryDecision {
    RetryDecision::Retry { after }
}

const fn give_up(reason: GiveUpReason) -> RetryDecision {
    RetryDecision::GiveUp(reason)
}

#[test]
fn each_result_code_has_its_decision() {
    use GiveUpReason::{Answered, CallerGone, Deadline, NotRepeatable, RequestAtFault};
    use ResultCode as Code;
    let offer = retry(Duration::ZERO);
    let repeat = retry(BACKOFF);
    // Codes, decision for a repeatable call, decision for one that must be executed at most once.
    let cases: [(&[Code], RetryDecision, RetryDecision); 8] = [
        (
            &[Code::Answered, Code::AnsweredEarlier],
            give_up(Answered),
            give_up(Answered),
        ),
        (
            &[
                Code::MalformedRequest,
                Code::RequestTooLarge,
                Code::UnknownService,
                Code::InvalidContext,
                Code::MissingIdempotencyKey,
                Code::InvalidIdempotencyKey,
                Code::IdempotencyKeyReused,
                Code::UnknownApiKey,
                Code::Quarantined,
            ],
            give_up(RequestAtFault),
            give_up(RequestAtFault),
        ),
        (
            &[
                Code::RefusedByLevel,
                Code::SuspectWaited,
                Code::RateLimited,
                Code::RefusedByCompletionLimit,
                Code::NoReturnInTime,
                Code::RefusedQueueFull,
                Code::DisplacedFromQueue,
                Code::QueueTimeout,
                Code::DeadlineUnreachable,
                Code::NoBackend,
                Code::Draining,
                Code::ConnectionLimit,
                Code::ConnectFailed,
                Code::ClaimUnavailable,
                Code::NotReady,
                Code::RefusedByBackend,
                Code::Misaddressed,
                Code::RepeatRefused,
                Code::OverQuota,
                Code::ApiKeyUnconfirmed,
                Code::OriginNotOpen,
                Code::QuotaUnavailable,
            ],
            offer,
            offer,
        ),
        (
            &[Code::CancelledBeforeDispatch],
            give_up(CallerGone),
            give_up(CallerGone),
        ),
        (
            &[Code::DeadlineAfterDispatch],
            give_up(Deadline),
            give_up(Deadline),
        ),
        (
            &[
                Code::ConnectionLost,
                Code::MalformedAnswer,
                Code::BackendEnded,
                Code::HandlerFailed,
            ],
            repeat,
            give_up(NotRepeatable),
        ),
        (
            &[Code::ClaimUncertain, Code::ClaimUndetermined],
            give_up(NotRepeatable),
            give_up(NotRepeatable),
        ),
        (
            &[Code::CancelledAfterDispatch],
            give_up(CallerGone),
            give_up(CallerGone),
        ),
    ];
    let mut covered: Vec<Code> = cases.iter().flat_map(|case| case.0).copied().collect();
    covered.sort_unstable();
    assert_eq!(covered, Code::ALL);
    for (codes, repeatable, at_most_once) in cases {
        for code in codes {
            assert_eq!(decide(&input(*code)), repeatable, "{code:?}, repeatable");
            let once = RetryInput {
                repeatability: Repeatability::AtMostOnce,
                ..input(*code)
            };
            assert_eq!(decide(&once), at_most_once, "{code:?}, at most once");
        }
    }
}

#[test]
fn each_bound_stops_a_retry() {
    use GiveUpReason::{AllowanceSpent, BudgetSpent, Deadline, NoSibling, NotNearestHop};
    type Change = fn(&mut RetryInput);
    // Name, difference from an input that allows a retry, decision on an offer, decision on a
    // reexecution.
    #[rustfmt::skip]
    let cases: [(&str, Change, RetryDecision, RetryDecision); 8] = [
        ("downstream", |input| input.location = FailureLocation::Downstream, give_up(NotNearestHop), give_up(NotNearestHop)),
        ("no sibling", |input| input.sibling_available = false, give_up(NoSibling), retry(BACKOFF)),
        ("no allowance", |input| input.allowance = RetryAllowance::NONE, give_up(AllowanceSpent), give_up(AllowanceSpent)),
        ("no budget", |input| input.budget_available = false, retry(Duration::ZERO), give_up(BudgetSpent)),
        ("too late for both", |input| input.deadline = Timestamp::from_millis(120), give_up(Deadline), give_up(Deadline)),
        ("too late to wait", |input| input.deadline = Timestamp::from_millis(127), retry(Duration::ZERO), give_up(Deadline)),
        ("just in time", |input| input.deadline = Timestamp::from_millis(128), retry(Duration::ZERO), retry(BACKOFF)),
        ("deadline passed", |input| input.deadline = Timestamp::from_millis(50), give_up(Deadline), give_up(Deadline)),
    ];
    for (name, change, offer, repeat) in cases {
        let codes = [ResultCode::RefusedQueueFull, ResultCode::ConnectionLost];
        for (code, expected) in codes.into_iter().zip([offer, repeat]) {
            let mut input = input(code);
            change(&mut input);
            assert_eq!(decide(&input), expected, "{name}, {code:?}");
        }
    }
}

#[test]
fn authorization_pays_once_and_only_for_a_retry() {
    let now = Timestamp::from_millis(100);
    let settings = BudgetSettings {
        ratio: 0.1,
        floor_per_second: 2.0,
        capacity: 10,
    };
    let mut ledger = Ledger::new(RetryAllowance::new(3));
    let mut budget = DestinationBudget::with_settings(settings, now);
    let repeat = input(ResultCode::ConnectionLost);
    let offer = input(ResultCode::RefusedByLevel);
    let answered = input(ResultCode::Answered);
    assert_eq!(
        authorize(&answered, &mut ledger, &mut budget),
        give_up(GiveUpReason::Answered)
    );
    assert_eq!(authorize(&repeat, &mut ledger, &mut budget), retry(BACKOFF));
    assert_eq!(authorize(&repeat, &mut ledger, &mut budget), retry(BACKOFF));
    assert_eq!(
        authorize(&repeat, &mut ledger, &mut budget),
        give_up(GiveUpReason::BudgetSpent)
    );
    assert_eq!(ledger.remaining(), RetryAllowance::new(1));
    assert_eq!(
        authorize(&offer, &mut ledger, &mut budget),
        retry(Duration::ZERO)
    );
    assert_eq!(
        authorize(&offer, &mut ledger, &mut budget),
        give_up(GiveUpReason::AllowanceSpent)
    );
}

#[test]
fn only_unknown_outcomes_draw_on_the_budget() {
    for code in ResultCode::ALL {
        let expected = code.outcome() == OutcomeClass::Unknown;
        assert_eq!(input(*code).needs_budget(), expected, "{code:?}");
    }
}

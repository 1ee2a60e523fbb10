//! The retry decision, case by case.

use std::time::Duration;

use wharfquay_core::call::{Repeatability, RetryAllowance};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::retry::{
    BudgetSettings, DestinationBudget, FailureLocation, GiveUpReason, Ledger, RetryDecision,
    RetryQuestion, authorize, decide,
};
use wharfquay_core::time::Timestamp;

const BACKOFF: Duration = Duration::from_millis(7);

/// A question in which nothing stands against a retry except, perhaps, the result.
fn question(code: ResultCode) -> RetryQuestion {
    RetryQuestion {
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
    let offer = retry(Duration::ZERO);
    let repeat = retry(BACKOFF);
    // Code, decision for a repeatable call, decision for one that must run at most once.
    let cases = [
        (ResultCode::Answered, give_up(Answered), give_up(Answered)),
        (
            ResultCode::AnsweredEarlier,
            give_up(Answered),
            give_up(Answered),
        ),
        (
            ResultCode::MalformedRequest,
            give_up(RequestAtFault),
            give_up(RequestAtFault),
        ),
        (
            ResultCode::RequestTooLarge,
            give_up(RequestAtFault),
            give_up(RequestAtFault),
        ),
        (
            ResultCode::UnknownService,
            give_up(RequestAtFault),
            give_up(RequestAtFault),
        ),
        (
            ResultCode::InvalidContext,
            give_up(RequestAtFault),
            give_up(RequestAtFault),
        ),
        (
            ResultCode::MissingIdempotencyKey,
            give_up(RequestAtFault),
            give_up(RequestAtFault),
        ),
        (
            ResultCode::InvalidIdempotencyKey,
            give_up(RequestAtFault),
            give_up(RequestAtFault),
        ),
        (
            ResultCode::IdempotencyKeyReused,
            give_up(RequestAtFault),
            give_up(RequestAtFault),
        ),
        (ResultCode::RefusedByLevel, offer, offer),
        (ResultCode::RefusedQueueFull, offer, offer),
        (ResultCode::DisplacedFromQueue, offer, offer),
        (ResultCode::QueueTimeout, offer, offer),
        (ResultCode::DeadlineUnreachable, offer, offer),
        (ResultCode::NoBackend, offer, offer),
        (ResultCode::Draining, offer, offer),
        (ResultCode::ConnectionLimit, offer, offer),
        (ResultCode::ConnectFailed, offer, offer),
        (ResultCode::ClaimUnavailable, offer, offer),
        (ResultCode::NotReady, offer, offer),
        (
            ResultCode::CancelledBeforeDispatch,
            give_up(CallerGone),
            give_up(CallerGone),
        ),
        (ResultCode::RefusedByBackend, offer, offer),
        (
            ResultCode::DeadlineAfterDispatch,
            give_up(Deadline),
            give_up(Deadline),
        ),
        (ResultCode::ConnectionLost, repeat, give_up(NotRepeatable)),
        (ResultCode::MalformedAnswer, repeat, give_up(NotRepeatable)),
        (
            ResultCode::ClaimUncertain,
            give_up(NotRepeatable),
            give_up(NotRepeatable),
        ),
        (
            ResultCode::CancelledAfterDispatch,
            give_up(CallerGone),
            give_up(CallerGone),
        ),
        (
            ResultCode::ClaimUndetermined,
            give_up(NotRepeatable),
            give_up(NotRepeatable),
        ),
    ];
    let covered: Vec<ResultCode> = cases.iter().map(|case| case.0).collect();
    assert_eq!(covered, ResultCode::ALL);
    for (code, repeatable, at_most_once) in cases {
        assert_eq!(decide(&question(code)), repeatable, "{code:?}, repeatable");
        let once = RetryQuestion {
            repeatability: Repeatability::AtMostOnce,
            ..question(code)
        };
        assert_eq!(decide(&once), at_most_once, "{code:?}, at most once");
    }
}

#[test]
fn each_bound_stops_a_retry() {
    let offer = question(ResultCode::RefusedQueueFull);
    let repeat = question(ResultCode::ConnectionLost);
    let deadline = |millis| Timestamp::from_millis(millis);
    let cases = [
        (
            "offer below",
            RetryQuestion {
                location: FailureLocation::Below,
                ..offer
            },
            give_up(GiveUpReason::NotNearestHop),
        ),
        (
            "repeat below",
            RetryQuestion {
                location: FailureLocation::Below,
                ..repeat
            },
            give_up(GiveUpReason::NotNearestHop),
        ),
        (
            "offer without sibling",
            RetryQuestion {
                sibling_available: false,
                ..offer
            },
            give_up(GiveUpReason::NoSibling),
        ),
        (
            "repeat without sibling",
            RetryQuestion {
                sibling_available: false,
                ..repeat
            },
            retry(BACKOFF),
        ),
        (
            "offer without allowance",
            RetryQuestion {
                allowance: RetryAllowance::NONE,
                ..offer
            },
            give_up(GiveUpReason::AllowanceSpent),
        ),
        (
            "repeat without allowance",
            RetryQuestion {
                allowance: RetryAllowance::NONE,
                ..repeat
            },
            give_up(GiveUpReason::AllowanceSpent),
        ),
        (
            "offer without budget",
            RetryQuestion {
                budget_available: false,
                ..offer
            },
            retry(Duration::ZERO),
        ),
        (
            "repeat without budget",
            RetryQuestion {
                budget_available: false,
                ..repeat
            },
            give_up(GiveUpReason::BudgetSpent),
        ),
        (
            "offer just too late",
            RetryQuestion {
                deadline: deadline(120),
                ..offer
            },
            give_up(GiveUpReason::Deadline),
        ),
        (
            "offer just in time",
            RetryQuestion {
                deadline: deadline(121),
                ..offer
            },
            retry(Duration::ZERO),
        ),
        (
            "repeat just too late",
            RetryQuestion {
                deadline: deadline(127),
                ..repeat
            },
            give_up(GiveUpReason::Deadline),
        ),
        (
            "repeat just in time",
            RetryQuestion {
                deadline: deadline(128),
                ..repeat
            },
            retry(BACKOFF),
        ),
        (
            "deadline passed",
            RetryQuestion {
                deadline: deadline(50),
                ..offer
            },
            give_up(GiveUpReason::Deadline),
        ),
    ];
    for (name, question, expected) in cases {
        assert_eq!(decide(&question), expected, "{name}");
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
    let repeat = question(ResultCode::ConnectionLost);
    let offer = question(ResultCode::RefusedByLevel);
    let answered = question(ResultCode::Answered);
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
        assert_eq!(question(*code).needs_budget(), expected, "{code:?}");
    }
}

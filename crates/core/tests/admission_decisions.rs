//! Single decisions of the admission controller, with fault cases in tables.

use std::time::Duration;

use proptest::prelude::*;
use wharfquay_core::admission::{
    AdmissionController, AdmissionEffect, AdmissionSettings, CallTicket, Completion,
    LimitAlgorithm, OfferedCall, RequestProgress,
};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::priority::{AdmissionKey, AdmissionLevel, Priority, Rank};
use wharfquay_core::time::Timestamp;

fn millis(count: u64) -> Timestamp {
    Timestamp::from_millis(count)
}

fn call(ticket: u64, priority: u8, deadline: Timestamp) -> OfferedCall {
    let priority = Priority::new(priority).expect("in range");
    let rank = Rank::from_number((ticket.wrapping_mul(2_654_435_761) >> 7) as u16);
    OfferedCall {
        ticket: CallTicket(ticket),
        key: AdmissionKey::new(priority, rank),
        deadline,
        progress: RequestProgress::New,
        admitted_below: AdmissionLevel::OPEN,
    }
}

fn controller(limit: u32, queue_capacity: usize) -> AdmissionController {
    let settings = AdmissionSettings {
        initial_limit: limit,
        queue_capacity,
        ..AdmissionSettings::default()
    };
    AdmissionController::new(settings, Timestamp::ZERO)
}

fn refusals(effects: &[AdmissionEffect]) -> Vec<(u64, ResultCode)> {
    let refusal = |effect: &AdmissionEffect| match *effect {
        AdmissionEffect::Refuse { ticket, code, .. } => Some((ticket.0, code)),
        AdmissionEffect::Dispatch(_) => None,
    };
    effects.iter().filter_map(refusal).collect()
}

#[test]
fn each_refusal_has_its_code_and_outcome_not_run() {
    let far_deadline = millis(60_000);
    // Ticket 0 occupies the only slot. Each case: name, inputs that follow, refused ticket and its
    // code.
    type Inputs = fn(&mut AdmissionController, Timestamp) -> Vec<AdmissionEffect>;
    let cases: [(&str, Inputs, (u64, ResultCode)); 6] = [
        (
            "the deadline has passed",
            |controller, _| controller.offer(millis(5), call(1, 2, millis(5))),
            (1, ResultCode::DeadlineUnreachable),
        ),
        (
            "the queue holds more important calls",
            |controller, far_deadline| {
                controller.offer(millis(1), call(1, 1, far_deadline));
                controller.offer(millis(1), call(2, 2, far_deadline))
            },
            (2, ResultCode::RefusedQueueFull),
        ),
        (
            "a more important call arrives",
            |controller, far_deadline| {
                controller.offer(millis(1), call(1, 2, far_deadline));
                controller.offer(millis(1), call(2, 1, far_deadline))
            },
            (1, ResultCode::DisplacedFromQueue),
        ),
        (
            "the wait is too long",
            |controller, far_deadline| {
                controller.offer(millis(1), call(1, 2, far_deadline));
                controller.advance(millis(51))
            },
            (1, ResultCode::QueueTimeout),
        ),
        (
            "the deadline passes in the queue",
            |controller, _| {
                controller.offer(millis(1), call(1, 2, millis(20)));
                controller.advance(millis(20))
            },
            (1, ResultCode::DeadlineUnreachable),
        ),
        (
            "the backend is leaving",
            |controller, far_deadline| {
                controller.begin_drain(millis(1));
                controller.offer(millis(2), call(1, 0, far_deadline))
            },
            (1, ResultCode::Draining),
        ),
    ];
    for (name, inputs, expected) in cases {
        let mut controller = controller(1, 1);
        let first = controller.offer(Timestamp::ZERO, call(0, 0, far_deadline));
        assert_eq!(first, [AdmissionEffect::Dispatch(CallTicket(0))], "{name}");
        let refused = refusals(&inputs(&mut controller, far_deadline));
        assert_eq!(refused, [expected], "{name}");
        assert_eq!(expected.1.outcome(), OutcomeClass::NotRun, "{name}");
    }
}

#[test]
fn the_highest_priority_waits_longer() {
    for (priority, refused_at) in [(0, 200), (1, 50), (7, 50)] {
        let mut controller = controller(1, 4);
        controller.offer(Timestamp::ZERO, call(0, 0, millis(60_000)));
        controller.offer(Timestamp::ZERO, call(1, priority, millis(60_000)));
        assert!(controller.advance(millis(refused_at - 1)).is_empty());
        let refused = refusals(&controller.advance(millis(refused_at)));
        assert_eq!(
            refused,
            [(1, ResultCode::QueueTimeout)],
            "priority {priority}"
        );
    }
}

#[test]
fn time_in_downstream_calls_does_not_shrink_the_limit() {
    for (downstream, shrinks) in [(true, false), (false, true)] {
        let settings = AdmissionSettings {
            algorithm: LimitAlgorithm::Aimd,
            initial_limit: 16,
            ..AdmissionSettings::default()
        };
        let mut controller = AdmissionController::new(settings, Timestamp::ZERO);
        let mut last = 16;
        let mut shrank = false;
        for round in 0..400_u64 {
            // The first calls take 10 ms, the later ones 50 ms.
            let slow = round > 100;
            let start = millis(round * 60);
            let ticket = CallTicket(round);
            controller.offer(start, call(round, 2, start + Duration::from_secs(10)));
            if slow && downstream {
                controller.downstream_call_started(start + Duration::from_millis(10), ticket);
                controller.downstream_call_completed(start + Duration::from_millis(50), ticket);
            }
            let latency = if slow { 50 } else { 10 };
            let end = start + Duration::from_millis(latency);
            controller.complete(end, ticket, Completion::Succeeded);
            shrank |= controller.load().limit < last;
            last = controller.load().limit;
        }
        assert_eq!(
            shrank, shrinks,
            "waiting for downstream calls: {downstream}"
        );
    }
}

/// Offers calls of two priorities at the specified rates for one second of simulated time. Each
/// call runs for ten milliseconds in one of four slots, which gives a capacity of 400 calls.
/// Returns the number of refused calls of each priority.
fn overload(calls_per_second: [u64; 2]) -> ([u64; 2], AdmissionController) {
    let mut controller = controller(4, 64);
    let mut refused = [0; 2];
    let mut priorities = std::collections::BTreeMap::new();
    let mut running: std::collections::VecDeque<(Timestamp, CallTicket)> = Default::default();
    let mut tickets = 0;
    for tick in 0..1_000_u64 {
        let now = millis(tick);
        let mut effects = controller.advance(now);
        while let Some((_, ticket)) = running.pop_front_if(|(end, _)| *end <= now) {
            effects.extend(controller.complete(now, ticket, Completion::Succeeded));
        }
        for (index, rate) in calls_per_second.into_iter().enumerate() {
            let arrivals = (tick + 1) * rate / 1_000 - tick * rate / 1_000;
            for _ in 0..arrivals {
                priorities.insert(tickets, index);
                let offered = call(tickets, index as u8 * 3, now + Duration::from_secs(5));
                effects.extend(controller.offer(now, offered));
                tickets += 1;
            }
        }
        for effect in effects {
            match effect {
                AdmissionEffect::Dispatch(ticket) => {
                    running.push_back((now + Duration::from_millis(10), ticket));
                }
                AdmissionEffect::Refuse { ticket, .. } => refused[priorities[&ticket.0]] += 1,
            }
        }
    }
    (refused, controller)
}

#[test]
fn less_important_calls_are_refused_first() {
    for (rates, important_refused) in [([200, 200], false), ([300, 900], false), ([900, 300], true)]
    {
        let (refused, controller) = overload(rates);
        assert_eq!(
            refused[0] > 0,
            important_refused,
            "{rates:?} refused {refused:?}"
        );
        if rates[0] + rates[1] > 450 {
            assert!(controller.level() < AdmissionLevel::OPEN, "{rates:?}");
            assert!(
                refused[1] * 10 > (rates[0] + rates[1] - 400) * 2,
                "{rates:?} {refused:?}"
            );
        }
    }
}

#[test]
fn the_level_reopens_within_a_second_after_overload() {
    let (_, mut controller) = overload([900, 900]);
    assert!(controller.level() < AdmissionLevel::OPEN);
    for tick in 1_000..2_000 {
        controller.advance(millis(tick));
        for ticket in 0..3_000 {
            controller.complete(millis(tick), CallTicket(ticket), Completion::Succeeded);
        }
    }
    assert_eq!(controller.level(), AdmissionLevel::OPEN);
    assert_eq!(
        controller.next_wakeup(),
        None,
        "an idle controller needs no wakeup"
    );
}

proptest! {
    #[test]
    fn calls_refused_by_level_are_less_important_than_admitted_ones(
        rates in (0_u64..1_000, 0_u64..1_000),
    ) {
        let (_, controller) = overload([rates.0, rates.1]);
        let level = controller.level();
        for lower in 0..AdmissionKey::COUNT / 64 {
            let key = |number: u16| {
                let priority = Priority::new((number / Rank::COUNT) as u8).expect("in range");
                AdmissionKey::new(priority, Rank::from_number(number % Rank::COUNT))
            };
            let (more, less) = (key(lower * 64), key(lower * 64 + 63));
            prop_assert!(!level.admits(less) || level.admits(more));
        }
    }
}

//! Begun work goes before new requests, and leaves a part of these their place.

use std::time::Duration;

use wharfquay_core::admission::{
    AdmissionController, AdmissionEffect, AdmissionSettings, CallTicket, Completion, OfferedCall,
};
use wharfquay_core::call::{AttemptId, CallContext, OriginId, Repeatability, RetryAllowance};
use wharfquay_core::priority::Priority;
use wharfquay_core::time::Timestamp;
use wharfquay_sidecar::importance::{is_begun, is_favoured, of_inner_calls, of_request};

const ROUTE: u8 = 2;

fn origin(number: u64) -> OriginId {
    OriginId::from_u128(u128::from(number) << 17)
}

/// A request of a caller as it is at the back end of its service.
fn request(route: u8, origin: OriginId) -> CallContext {
    CallContext {
        origin,
        attempt: AttemptId::new(0),
        request_kind: "kind".to_owned(),
        priority: of_request(Priority::new(route).unwrap(), origin),
        deadline: Timestamp::ZERO + Duration::from_secs(3_600),
        allowance: RetryAllowance::NONE,
        repeatability: Repeatability::Repeatable,
        idempotency_key: None,
        depth: 1,
    }
}

/// A call made on behalf of a request, two hops further.
fn inner_call(of: &CallContext) -> CallContext {
    let first = CallContext {
        priority: of_inner_calls(of),
        depth: 2,
        ..of.clone()
    };
    CallContext {
        priority: of_inner_calls(&first),
        depth: 3,
        ..first
    }
}

#[test]
fn a_third_of_the_requests_has_the_importance_of_begun_work() {
    let favoured = (0..10_000).filter(|number| is_favoured(origin(*number)));
    let share = favoured.count() as f64 / 10_000.0;
    assert!((0.33..0.37).contains(&share), "{share}");
}

#[test]
fn begun_work_is_one_priority_more_important_than_its_route_and_no_more() {
    for number in 0..200 {
        let of = request(ROUTE, origin(number));
        let inner = inner_call(&of);
        assert_eq!(inner.priority.number(), ROUTE - 1);
        assert!(is_begun(&inner));
        let expected = ROUTE - u8::from(is_favoured(of.origin));
        assert_eq!(of.priority.number(), expected);
        assert_eq!(is_begun(&of), is_favoured(of.origin));
        assert_eq!(request(0, origin(number)).priority, Priority::HIGHEST);
    }
}

/// Offers calls to a gate for ten seconds and counts what of each kind was executed.
struct Gate {
    controller: AdmissionController,
    running: Vec<(Timestamp, CallTicket)>,
    begun: u64,
    new: u64,
}

const WORK: Duration = Duration::from_millis(10);
const STEPS: u64 = 10_000;
const SLOTS: u32 = 4;
/// Tickets of new requests are odd.
const fn ticket(number: u64, is_new: bool) -> CallTicket {
    CallTicket(number * 2 + is_new as u64)
}

impl Gate {
    fn carry_out(&mut self, now: Timestamp, effects: Vec<AdmissionEffect>) {
        for effect in effects {
            if let AdmissionEffect::Dispatch(ticket) = effect {
                self.running.push((now + WORK, ticket));
                match ticket.0 % 2 {
                    0 => self.begun += 1,
                    _ => self.new += 1,
                }
            }
        }
    }

    fn complete(&mut self, now: Timestamp) {
        let ended: Vec<CallTicket> = self
            .running
            .iter()
            .filter(|(end, _)| *end <= now)
            .map(|(_, ticket)| *ticket)
            .collect();
        self.running.retain(|(end, _)| *end > now);
        for ticket in ended {
            let effects = self.controller.complete(now, ticket, Completion::Succeeded);
            self.carry_out(now, effects);
        }
    }

    fn offer(&mut self, now: Timestamp, ticket: CallTicket, context: &CallContext) {
        let call = OfferedCall {
            ticket,
            key: context.admission_key(),
            deadline: context.deadline,
        };
        let effects = self.controller.offer(now, call);
        self.carry_out(now, effects);
    }
}

/// Twice as many calls of begun work as the back end can take, and a few new requests.
#[test]
fn a_service_that_is_short_of_slots_serves_new_requests_beside_begun_work() {
    let settings = AdmissionSettings {
        initial_limit: SLOTS,
        maximum_limit: SLOTS,
        ..AdmissionSettings::default()
    };
    let mut gate = Gate {
        controller: AdmissionController::new(settings, Timestamp::ZERO),
        running: Vec::new(),
        begun: 0,
        new: 0,
    };
    let mut offered = 0;
    for step in 0..STEPS {
        let now = Timestamp::ZERO + Duration::from_millis(step);
        gate.complete(now);
        if !step.is_multiple_of(5) {
            let of = request(ROUTE, origin(step));
            gate.offer(now, ticket(step, false), &inner_call(&of));
        }
        if step.is_multiple_of(20) {
            offered += 1;
            let new = request(ROUTE, origin(STEPS + step));
            gate.offer(now, ticket(step, true), &new);
        }
    }
    let share = gate.new as f64 / f64::from(offered);
    assert!(
        share > 0.25,
        "{} of {offered} new ones, {} begun",
        gate.new,
        gate.begun
    );
    assert!(gate.begun > gate.new);
}

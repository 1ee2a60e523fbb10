//! Results of a router when no endpoint can take a call, and the endpoints that it picks instead.

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::priority::{AdmissionKey, AdmissionLevel, Priority, Rank};
use wharfquay_core::routing::{
    Endpoint, EndpointId, EndpointState, Observation, Pick, PickRequest, Router, RouterSettings,
    Zone,
};
use wharfquay_core::time::Timestamp;

use EndpointState::{Leaving, Live};

const SEED: u64 = 12;
const NOW: Timestamp = Timestamp::from_millis(10_000);
const REFUSAL: Observation = Observation {
    error_response: false,
    latency: Duration::from_millis(1),
    outcome: OutcomeClass::NotRun,
    overloaded: true,
    load: None,
    level: Some(AdmissionLevel::CLOSED),
};

/// Creates a router with one endpoint, of one connection, for each state.
fn router(states: &[EndpointState]) -> Router {
    let mut router = Router::new(RouterSettings::default(), Zone::from("ikeja"));
    let numbered = states.iter().enumerate();
    let endpoints = numbered.map(|(number, state)| Endpoint {
        id: id(number),
        zone: Zone::from("ikeja"),
        incarnation: 1,
        state: *state,
        started_at: None,
        slots: 4,
        connections: 1,
    });
    router.set_endpoints(NOW, endpoints.collect());
    router
}

fn id(number: usize) -> EndpointId {
    EndpointId::from(format!("slot-{number}"))
}

fn refuse(router: &mut Router, number: usize) {
    router.dispatched(NOW, &id(number));
    router.observe(NOW, &id(number), REFUSAL);
}

fn request(priority: u8, excluded: &[EndpointId]) -> PickRequest<'_> {
    let priority = Priority::new(priority).unwrap_or(Priority::LOWEST);
    let key = AdmissionKey::new(priority, Rank::from_number(7));
    PickRequest { key, excluded }
}

#[test]
fn the_reason_for_no_pick_names_the_exhausted_resource() {
    // Endpoints, closed ones, full ones, ones already tried, expected reason.
    type Numbers = &'static [usize];
    type Case = (
        &'static [EndpointState],
        Numbers,
        Numbers,
        Numbers,
        ResultCode,
    );
    #[rustfmt::skip]
    let cases: [Case; 7] = [
        (&[], &[], &[], &[], ResultCode::NoBackend),
        (&[Leaving, Leaving], &[], &[], &[], ResultCode::NoBackend),
        (&[Live], &[], &[], &[0], ResultCode::NoBackend),
        (&[Live, Live], &[], &[0, 1], &[], ResultCode::ConnectionLimit),
        (&[Live, Leaving], &[], &[0], &[], ResultCode::ConnectionLimit),
        (&[Live, Live], &[0, 1], &[], &[], ResultCode::RefusedByLevel),
        (&[Live, Live], &[0], &[1], &[], ResultCode::RefusedByLevel),
    ];
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    for (states, closed, full, tried, expected) in cases {
        let mut router = router(states);
        closed
            .iter()
            .for_each(|number| refuse(&mut router, *number));
        full.iter()
            .for_each(|number| router.dispatched(NOW, &id(*number)));
        let tried: Vec<EndpointId> = tried.iter().map(|number| id(*number)).collect();
        let pick = router.pick(NOW, &mut rng, &request(3, &tried));
        let case = format!("{states:?}, closed {closed:?}, full {full:?}, tried {tried:?}");
        let Pick::None {
            reason,
            retry_after,
        } = pick
        else {
            panic!("{case}: {pick:?}");
        };
        assert_eq!(reason, expected, "{case}");
        let expected_wait = Duration::from_millis(1)..=Duration::from_millis(1_500);
        assert!(
            expected_wait.contains(&retry_after),
            "{case}: {retry_after:?}"
        );
    }
}

#[test]
fn a_refused_important_call_goes_to_the_sibling_that_still_admits() {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut router = router(&[Live, Live]);
    refuse(&mut router, 0);
    for _ in 0..50 {
        let pick = router.pick(NOW, &mut rng, &request(0, &[]));
        assert_eq!(pick, Pick::Endpoint(id(1)));
    }
}

#[test]
fn a_service_is_closed_only_if_all_its_live_endpoints_are() {
    // Endpoints, closed ones, whether the service's level is closed.
    #[rustfmt::skip]
    let cases: [(&[EndpointState], &[usize], bool); 5] = [
        (&[], &[], false),
        (&[Live, Live], &[], false),
        (&[Live, Live], &[0], false),
        (&[Live, Live], &[0, 1], true),
        (&[Live, Leaving], &[0], true),
    ];
    for (states, closed, expected) in cases {
        let mut router = router(states);
        closed
            .iter()
            .for_each(|number| refuse(&mut router, *number));
        let is_closed = router.level(NOW) == AdmissionLevel::CLOSED;
        assert_eq!(is_closed, expected, "{states:?}, closed {closed:?}");
        let picked = router.can_pick(NOW, &request(0, &[]));
        assert_eq!(
            picked,
            !is_closed && !states.is_empty(),
            "{states:?}, closed {closed:?}"
        );
    }
}

#[test]
fn retry_after_of_a_closed_level_is_when_the_key_is_admitted_again() {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut router = router(&[Live]);
    refuse(&mut router, 0);
    for priority in 0..8 {
        let request = request(priority, &[]);
        let pick = router.pick(NOW, &mut rng, &request);
        let Pick::None { retry_after, .. } = pick else {
            panic!("priority {priority} picked at a closed level");
        };
        let shown = format!("priority {priority} after {retry_after:?}");
        assert!(router.can_pick(NOW + retry_after, &request), "{shown}");
        assert!(!router.can_pick(NOW + retry_after / 2, &request), "{shown}");
    }
}

/// The level of an endpoint that gets no calls is not current and must not affect its service.
#[test]
fn an_endpoint_on_hold_does_not_open_its_service() {
    let mut router = router(&[Live, Live, Live]);
    refuse(&mut router, 0);
    let of_others = AdmissionLevel::new((u32::from(AdmissionLevel::OPEN.number()) * 2 / 3) as u16);
    assert_eq!(router.level(NOW), of_others, "two of three are open");
    router.refused_as_leaving(NOW, &id(1));
    router.connection_refused(NOW, &id(2));
    assert_eq!(router.level(NOW), AdmissionLevel::CLOSED);
    router.refused_as_leaving(NOW, &id(0));
    assert_eq!(
        router.level(NOW),
        AdmissionLevel::OPEN,
        "no endpoint is counted"
    );
}

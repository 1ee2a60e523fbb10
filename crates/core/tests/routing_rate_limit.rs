//! Endpoints whose backends announce a rate limit that leaves no room.

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::priority::AdmissionKey;
use wharfquay_core::routing::{
    Endpoint, EndpointId, EndpointState, Pick, PickRequest, Router, RouterSettings, Zone,
};
use wharfquay_core::time::Timestamp;

const LIMITED_FOR: Duration = Duration::from_millis(100);
const NOW: Timestamp = Timestamp::from_millis(1_000);

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: EndpointId::from(id),
        zone: Zone::from("ikeja"),
        incarnation: 1,
        state: EndpointState::Live,
        started_at: None,
        slots: 16,
        connections: 64,
    }
}

/// Returns a router of three endpoints, of which these are limited.
fn router(limited: &[&str]) -> Router {
    let mut router = Router::new(RouterSettings::default(), Zone::from("ikeja"));
    router.set_endpoints(NOW, ["a", "b", "c"].map(endpoint).to_vec());
    for id in limited {
        router.record_rate_limit(NOW, &EndpointId::from(*id), LIMITED_FOR);
    }
    router
}

/// Returns the endpoints that a hundred picks choose.
fn picked(router: &Router, now: Timestamp) -> Vec<String> {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let request = PickRequest {
        key: AdmissionKey::FIRST,
        excluded: &[],
    };
    let mut ids: Vec<String> = (0..100)
        .filter_map(|_| match router.pick(now, &mut random, &request) {
            Pick::Endpoint(id) => Some(id.to_string()),
            Pick::None { .. } => None,
        })
        .collect();
    ids.sort();
    ids.dedup();
    ids
}

/// Guards against calls that several limited backends refuse while another one has room.
#[test]
fn endpoints_with_room_are_preferred() {
    assert_eq!(picked(&router(&["a", "c"]), NOW), ["b"]);
}

/// Guards against a service that refuses calls which its backends would decide about themselves.
#[test]
fn endpoints_without_room_are_picked_if_there_are_no_others() {
    assert_eq!(picked(&router(&["a", "b", "c"]), NOW), ["a", "b", "c"]);
}

/// Guards against calls that several limited backends refuse after their reports have expired.
#[test]
fn a_refused_call_goes_to_an_endpoint_without_a_limit() {
    let router = router(&["a", "c"]);
    let request = PickRequest {
        key: AdmissionKey::FIRST,
        excluded: &[EndpointId::from("a")],
    };
    let later = NOW + LIMITED_FOR * 10;
    for seed in 0..20 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let picked = router.pick_after_rate_limit(later, &mut random, &request);
        assert_eq!(picked, Pick::Endpoint(EndpointId::from("b")));
    }
}

/// Guards against a report that keeps calls away from a backend whose limit was lifted.
#[test]
fn a_report_expires() {
    let later = NOW + LIMITED_FOR;
    assert_eq!(picked(&router(&["a", "c"]), later), ["a", "b", "c"]);
}

//! The endpoints that one caller uses, and the resulting number of connections.

use std::collections::{BTreeMap, BTreeSet};

use wharfquay_core::routing::{
    Endpoint, EndpointId, EndpointState, Router, RouterSettings, SubsetSettings, Zone, subset_size,
};
use wharfquay_core::time::Timestamp;

const ZONES: [&str; 4] = ["ikeja", "yaba", "lekki", "apapa"];

fn endpoints(count: usize, connections: u32) -> Vec<Endpoint> {
    (0..count)
        .map(|number| Endpoint {
            id: EndpointId::from(format!("record-{number}")),
            zone: Zone::from(ZONES[number % ZONES.len()]),
            incarnation: 1,
            state: EndpointState::Live,
            started_at: None,
            slots: 8,
            connections,
        })
        .collect()
}

fn subset(caller: usize, callers: u32, endpoints: Vec<Endpoint>) -> BTreeSet<EndpointId> {
    let settings = RouterSettings {
        subset: Some(SubsetSettings::for_caller(
            &format!("caller-{caller}"),
            callers,
        )),
        ..RouterSettings::default()
    };
    let zone = Zone::from(ZONES[caller % ZONES.len()]);
    let mut router = Router::new(settings, zone);
    router.set_endpoints(Timestamp::ZERO, endpoints);
    let statuses = router.endpoint_statuses(Timestamp::ZERO);
    statuses
        .filter(|status| status.in_subset)
        .map(|status| status.id)
        .collect()
}

#[test]
fn size_follows_connections_and_callers() {
    // Callers, connections per caller, endpoints, connection limit, size.
    let cases = [
        (10, 1, 5, 120, 5),
        (60, 1, 5, 120, 5),
        (1_000, 1, 100, 120, 7),
        (1_000, 2, 100, 120, 3),
        (1_000, 1, 2, 120, 2),
        (0, 1, 5, 120, 5),
        (1_000, 1, 0, 120, 0),
        (1_000, 1, 100, 0, 3),
    ];
    for (callers, connections_per_caller, count, limit, expected) in cases {
        let settings = SubsetSettings {
            connections_per_caller,
            ..SubsetSettings::for_caller("caller", callers)
        };
        let size = subset_size(&settings, count, limit);
        assert_eq!(
            size, expected,
            "{settings:?}, {count} endpoints, limit {limit}"
        );
    }
}

#[test]
fn connections_per_endpoint_stay_under_the_limit() {
    // Callers, endpoints, connection limit of each.
    for (callers, count, limit) in [(200, 17, 120), (500, 100, 120), (1_000, 60, 130)] {
        let mut connections: BTreeMap<EndpointId, u32> = BTreeMap::new();
        for caller in 0..callers {
            for endpoint in subset(caller, callers as u32, endpoints(count, limit)) {
                *connections.entry(endpoint).or_default() += 1;
            }
        }
        let most = connections.values().max().copied().unwrap_or(0);
        let least = connections.values().min().copied().unwrap_or(0);
        println!("{callers} callers, {count} endpoints: {least} to {most} of {limit}");
        assert_eq!(connections.len(), count, "every endpoint is used");
        assert!(most < limit, "{most} connections at a limit of {limit}");
    }
}

#[test]
fn a_removed_endpoint_changes_one_position() {
    let all = endpoints(40, 120);
    for caller in 0..50 {
        let before = subset(caller, 600, all.clone());
        let removed = before.first().expect("a subset is not empty").clone();
        let mut remaining = all.clone();
        remaining.retain(|endpoint| endpoint.id != removed);
        let after = subset(caller, 600, remaining);
        let kept = before.intersection(&after).count();
        assert!(
            kept + 1 >= before.len().min(after.len()),
            "{before:?} to {after:?}"
        );
    }
}

#[test]
fn leaving_endpoints_take_no_position() {
    let mut all = endpoints(20, 120);
    let before = subset(3, 400, all.clone());
    for endpoint in &mut all {
        if before.contains(&endpoint.id) {
            endpoint.state = EndpointState::Leaving;
        }
    }
    let after = subset(3, 400, all);
    assert!(after.is_disjoint(&before));
    assert_eq!(after.len(), before.len());
}

#[test]
fn the_local_zone_fills_the_subset_first_and_leaves_room_for_others() {
    let chosen = subset(0, 400, endpoints(40, 120));
    let zone_of = |id: &EndpointId| {
        let number: usize = id
            .as_str()
            .trim_start_matches("record-")
            .parse()
            .expect("a number");
        ZONES[number % ZONES.len()]
    };
    let local = chosen.iter().filter(|id| zone_of(id) == ZONES[0]).count();
    assert_eq!((chosen.len(), local), (7, 5));
}

//! Route selection, weighted destinations, priorities and validation of configurations.

use std::collections::BTreeMap;
use std::time::Duration;

use wharfquay_sidecar::configuration::{
    Configuration, ConfigurationError, Destination, Route, RouteIndex, Service,
};
use wharfquay_sidecar::tenant::Tenant;

fn route(name: &str, host: &str, prefix: &str, destinations: &[(&str, u32)]) -> Route {
    let destinations = destinations.iter().map(|(service, weight)| Destination {
        service: (*service).to_owned(),
        weight: *weight,
    });
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        destinations: destinations.collect(),
        repeatable: true,
        timeout_ms: Some(1_000),
        target_latency_ms: 400,
        priority: 1,
        max_attempts: 2,
        is_public: false,
    }
}

fn configuration(routes: Vec<Route>) -> Configuration {
    let service = Service {
        health_path: "/health".to_owned(),
        connections: 16,
    };
    Configuration {
        version: 1,
        routes,
        services: BTreeMap::from([("a".to_owned(), service.clone()), ("b".to_owned(), service)]),
        ..Configuration::default()
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let index = RouteIndex::new(configuration(vec![
        route("root", "shop.example", "/", &[("a", 1)]),
        route("deep", "shop.example", "/x/y/", &[("a", 1)]),
        route("other", "else.example", "/x/", &[("a", 1)]),
    ]));
    let cases = [
        ("shop.example", "/x/y/z", Some("deep")),
        ("SHOP.example:8080", "/x/y/", Some("deep")),
        ("shop.example", "/x/y", Some("root")),
        ("shop.example", "/x/yz/", Some("root")),
        ("else.example", "/x/q", Some("other")),
        ("else.example", "/y/", None),
        ("nowhere.example", "/x/", None),
    ];
    for (host, path, expected) in cases {
        let found = index.find(host, path).map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host} {path}");
    }
}

#[test]
fn destinations_get_requests_by_weight_and_none_at_weight_zero() {
    let split = route("split", "h", "/", &[("a", 90), ("b", 10), ("c", 0)]);
    let draws = (0..1_000).map(|step| f64::from(step) / 1_000.0);
    let mut counts = BTreeMap::new();
    for draw in draws {
        *counts.entry(split.destination(draw).unwrap()).or_insert(0) += 1;
    }
    assert_eq!(counts, BTreeMap::from([("a", 900), ("b", 100)]));
}

#[test]
fn the_request_timeout_is_the_shorter_of_route_and_deadline() {
    let mut timed = route("timed", "h", "/", &[("a", 1)]);
    let millis = Duration::from_millis;
    assert_eq!(timed.request_timeout(Some(millis(300))), millis(300));
    assert_eq!(timed.request_timeout(Some(millis(3_000))), millis(1_000));
    assert_eq!(timed.request_timeout(None), millis(1_000));
    timed.timeout_ms = None;
    assert_eq!(timed.request_timeout(Some(millis(3_000))), millis(3_000));
}

#[test]
fn invalid_configurations_are_rejected() {
    let cases = [
        (
            route("r", "h", "/x", &[("a", 1)]),
            ConfigurationError::BadPrefix {
                route: "r".to_owned(),
                prefix: "/x".to_owned(),
            },
        ),
        (
            route("r", "h", "/", &[("a", 0)]),
            ConfigurationError::NoDestination {
                route: "r".to_owned(),
            },
        ),
        (
            route("r", "h", "/", &[("nobody", 1)]),
            ConfigurationError::UnknownService {
                route: "r".to_owned(),
                service: "nobody".to_owned(),
            },
        ),
    ];
    for (route, expected) in cases {
        assert_eq!(configuration(vec![route]).validate(), Err(expected));
    }
}

fn of_tenant(priority: Option<u8>) -> Tenant {
    Tenant {
        name: format!("tenant-{priority:?}"),
        keys: Vec::new(),
        priority,
        quota: None,
    }
}

fn routes_of_priorities(priorities: &[u8]) -> Vec<Route> {
    let routes = priorities.iter().map(|priority| Route {
        priority: *priority,
        ..route("r", "shop.example", "/", &[("a", 1)])
    });
    routes.collect()
}

#[test]
fn a_tenants_importance_comes_first_and_the_routes_second() {
    let mut configuration = configuration(routes_of_priorities(&[0, 1, 2]));
    configuration.tenants = vec![of_tenant(Some(1)), of_tenant(Some(0)), of_tenant(None)];
    let index = RouteIndex::new(configuration.clone());
    let priority = |tenant: Option<&Tenant>, route: usize| {
        index
            .priority(tenant, &configuration.routes[route])
            .number()
    };
    let [ordinary, important, unranked] = configuration.tenants.as_slice() else {
        panic!("three tenants");
    };
    let order = [
        priority(Some(important), 0),
        priority(Some(important), 1),
        priority(Some(important), 2),
        priority(Some(ordinary), 0),
        priority(Some(ordinary), 1),
        priority(Some(ordinary), 2),
        priority(None, 2),
    ];
    assert!(
        order.is_sorted_by(|first, second| first < second),
        "{order:?}"
    );
    assert_eq!(priority(Some(unranked), 0), priority(Some(important), 0));
    assert_eq!(priority(Some(unranked), 1), priority(Some(ordinary), 1));
}

#[test]
fn without_tenants_the_priority_is_the_routes_importance() {
    let configuration = configuration(routes_of_priorities(&[0, 2, 5, 200]));
    let index = RouteIndex::new(configuration.clone());
    let numbers = configuration
        .routes
        .iter()
        .map(|route| index.priority(None, route).number());
    assert_eq!(numbers.collect::<Vec<_>>(), [0, 2, 5, 7]);
}

#[test]
fn more_importances_than_priorities_keep_their_order() {
    let mut configuration = configuration(routes_of_priorities(&[0, 1, 2, 3, 4]));
    configuration.tenants = (0..6).map(|priority| of_tenant(Some(priority))).collect();
    let index = RouteIndex::new(configuration.clone());
    let priorities = configuration.tenants.iter().flat_map(|tenant| {
        let routes = configuration.routes.iter();
        routes.map(|route| index.priority(Some(tenant), route).number())
    });
    let priorities: Vec<u8> = priorities.collect();
    assert!(priorities.is_sorted(), "{priorities:?}");
    assert_eq!((priorities[0], priorities[29]), (0, 7));
}

//! Measures the duration of one pick, dispatch and observation, and the memory used by the routers
//! of an edge.
//!
//! Usage: `cargo run --release -p wharfquay-core --example routing_pick_cost`

use std::hint::black_box;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::outcome::OutcomeClass;
use wharfquay_core::priority::{AdmissionKey, AdmissionLevel, Priority, Rank};
use wharfquay_core::routing::{
    Endpoint, EndpointId, EndpointState, Observation, Pick, PickRequest, ReportedLoad, Router,
    RouterSettings, SubsetSettings, Zone,
};
use wharfquay_core::time::Timestamp;

const ROUNDS: u32 = 200_000;
const SERVICES: usize = 780;
const ENDPOINTS: usize = 13_000;

fn endpoints(service: usize, count: usize) -> Vec<Endpoint> {
    (0..count)
        .map(|number| Endpoint {
            id: EndpointId::from(format!("service-{service}-{number}")),
            zone: Zone::from(if number % 4 == 0 { "near" } else { "far" }),
            incarnation: 1,
            state: EndpointState::Live,
            started_at: None,
            slots: 10,
            connections: 120,
        })
        .collect()
}

fn router(service: usize, count: usize, subset: Option<SubsetSettings>) -> Router {
    let settings = RouterSettings {
        subset,
        ..RouterSettings::default()
    };
    let mut router = Router::new(settings, Zone::from("near"));
    router.set_endpoints(Timestamp::ZERO, endpoints(service, count));
    router
}

fn time_rounds(router: &mut Router) -> (Duration, Duration) {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let request = PickRequest {
        key: AdmissionKey::new(Priority::HIGHEST, Rank::from_number(0)),
        excluded: &[],
    };
    let observation = Observation {
        error_response: false,
        latency: Duration::from_millis(10),
        outcome: OutcomeClass::Run,
        overloaded: false,
        load: Some(ReportedLoad {
            in_flight: 4,
            limit: 10,
            queued: 0,
            execution: None,
        }),
        level: Some(AdmissionLevel::OPEN),
    };
    let mut picking = Duration::ZERO;
    let start = Instant::now();
    for round in 0..ROUNDS {
        let now = Timestamp::from_micros(u64::from(round) * 100);
        let before = Instant::now();
        let pick = black_box(router.pick(now, &mut rng, &request));
        picking += before.elapsed();
        if let Pick::Endpoint(endpoint) = pick {
            router.dispatched(now, &endpoint);
            router.observe(now, &endpoint, observation);
        }
    }
    (picking / ROUNDS, start.elapsed() / ROUNDS)
}

/// Returns the resident memory of this process in KiB, as reported by the kernel.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn main() {
    let before = resident_kib();
    let share = ENDPOINTS / SERVICES + 1;
    let edge: Vec<Router> = (0..SERVICES)
        .map(|service| router(service, share, None))
        .collect();
    let grown = resident_kib() - before;
    println!("{SERVICES} routers of {share} endpoints: {grown} KiB");
    println!("| endpoints | subset | pick ns | pick, dispatch and observe ns |");
    println!("|---|---|---|---|");
    for (count, callers) in [
        (4, None),
        (17, None),
        (100, None),
        (780, None),
        (780, Some(1_000)),
    ] {
        let subset = callers.map(|callers| SubsetSettings::for_caller("caller", callers));
        let mut router = router(0, count, subset);
        let shown = router
            .endpoint_statuses(Timestamp::ZERO)
            .filter(|status| status.in_subset)
            .count();
        let (pick, round) = time_rounds(&mut router);
        println!(
            "| {count} | {shown} | {} | {} |",
            pick.as_nanos(),
            round.as_nanos()
        );
    }
    black_box(edge);
}

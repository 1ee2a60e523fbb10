//! Rate limits and leavings that backends announce in their responses.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use support::client::{Response, call, request};
use support::platform::EmulatedPlatform;
use support::{Machine, configuration, eventually, route};
use tokio::task::JoinSet;

const SERVICE: &str = "shelf";
/// Window over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from an announcement until arrivals follow it.
const LEARNED_WITHIN: Duration = Duration::from_secs(1);
/// Time for which backends execute a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Pause between two requests of the load.
const LOAD_INTERVAL: Duration = Duration::from_millis(16);

/// Starts machines of one service that have discovered each other.
async fn machines(count: usize) -> (Arc<EmulatedPlatform>, Vec<Machine>) {
    let routes = vec![route("/reads/", SERVICE, true)];
    let platform = Arc::new(EmulatedPlatform::new(Some(configuration(1, routes))));
    let mut machines = Vec::new();
    for number in 0..count {
        let name = format!("machine-{number}");
        let machine = Machine::start(&platform, &name, SERVICE).await;
        machine.backend.set_service_time(SERVICE_TIME);
        machine.keep_sending_heartbeats();
        machines.push(machine);
    }
    let all = format!("wharfquay_members{{state=\"alive\"}} {count}");
    for machine in &machines {
        machine.ready().await;
        eventually("the sidecars have discovered each other", || {
            machine.sidecar.metrics_text().contains(&all)
        })
        .await;
    }
    (platform, machines)
}

/// Sends requests at a steady rate for a time, distributed over the machines.
async fn load(machines: &[Machine], time: Duration) -> Vec<Response> {
    let mut sending = JoinSet::new();
    let end = Instant::now() + time;
    let mut interval = tokio::time::interval(LOAD_INTERVAL);
    for machine in machines.iter().cycle() {
        interval.tick().await;
        if Instant::now() >= end {
            break;
        }
        let id = format!("{:016x}", rand::random::<u64>());
        let (address, text) = (machine.outbound, request("GET", "/reads/x", &id, ""));
        sending.spawn(async move { call(address, &text).await });
    }
    sending.join_all().await
}

/// Returns the largest number of arrivals in any window, of those not earlier than `from`.
fn most_in_window(arrivals: &[Instant], from: Instant) -> usize {
    let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let starts = counted.iter().copied();
    let in_window = |start: Instant| {
        let window = start..start + WINDOW;
        counted.iter().filter(|at| window.contains(at)).count()
    };
    starts.map(in_window).max().unwrap_or_default()
}

/// Guards against an ignored rate limit: a backend in need announced 6 requests a second and got 20.
#[tokio::test(flavor = "multi_thread")]
async fn arrivals_keep_the_rate_limit_that_the_backend_announces() {
    const RATE: usize = 6;
    let (_platform, machines) = machines(2).await;
    load(&machines, Duration::from_millis(500)).await;
    machines[0].backend.announce(&[("test-rate-limit", "6.0")]);
    let announced = Instant::now();
    let served = load(&machines, Duration::from_secs(6)).await;
    let most = most_in_window(&machines[0].backend.arrivals(), announced + LEARNED_WITHIN);
    assert!(most <= 4 * RATE + 1, "{most} arrivals in 4 s");
    let refused = served.iter().filter(|one| one.status != 200);
    assert_eq!(refused.count(), 0, "the other backend serves the rest");
}

/// Guards against new requests at a backend that announces its leaving only in its responses.
#[tokio::test(flavor = "multi_thread")]
async fn a_backend_that_announces_its_leaving_gets_no_new_request() {
    const LEFT_WITHIN: Duration = Duration::from_millis(100);
    let (_platform, machines) = machines(2).await;
    load(&machines, Duration::from_millis(500)).await;
    machines[0].backend.announce(&[("test-leaving", "1")]);
    let announced = Instant::now();
    let served = load(&machines, Duration::from_secs(2)).await;
    let failed = served.iter().filter(|one| one.status != 200);
    assert_eq!(failed.count(), 0);
    let arrivals = machines[0].backend.arrivals();
    let first = arrivals.iter().find(|at| **at >= announced);
    let first = first.expect("one response contains the announcement");
    let late = arrivals.iter().filter(|at| **at > *first + LEFT_WITHIN);
    assert_eq!(late.count(), 0, "requests after the announcement");
    assert_eq!(machines[0].backend.abandoned(), 0, "requests cut off");
}

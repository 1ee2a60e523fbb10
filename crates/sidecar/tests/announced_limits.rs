//! Rate limits and leavings that backends announce in their responses.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use support::client::{Response, call, new_request_id, request};
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
    serves(&machines).await;
    (platform, machines)
}

/// Waits until the backends serve all requests.
async fn serves(machines: &[Machine]) {
    let end = Instant::now() + support::MAX_WAIT;
    while refused(&load(machines, Duration::from_millis(100)).await) > 0 {
        assert!(Instant::now() < end, "never served");
    }
}

/// A request of the load.
struct Served {
    response: Response,
    took: Duration,
}

/// Sends requests at a steady rate for a time, distributed over the machines.
async fn load(machines: &[Machine], time: Duration) -> Vec<Served> {
    let mut sending = JoinSet::new();
    let end = Instant::now() + time;
    let mut interval = tokio::time::interval(LOAD_INTERVAL);
    for machine in machines.iter().cycle() {
        interval.tick().await;
        if Instant::now() >= end {
            break;
        }
        let id = new_request_id();
        let (address, text) = (machine.outbound, request("GET", "/reads/x", &id, ""));
        sending.spawn(async move {
            let sent = Instant::now();
            let response = call(address, &text).await;
            Served {
                response,
                took: sent.elapsed(),
            }
        });
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
    assert_eq!(refused(&served), 0, "the other backend serves the rest");
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
    assert_eq!(refused(&served), 0);
    let arrivals = machines[0].backend.arrivals();
    let first = arrivals.iter().find(|at| **at >= announced);
    let first = first.expect("one response contains the announcement");
    let late = arrivals.iter().filter(|at| **at > *first + LEFT_WITHIN);
    assert_eq!(late.count(), 0, "requests after the announcement");
    assert_eq!(machines[0].backend.abandoned(), 0, "requests cut off");
}

/// Header with which a backend announces a rate limit.
const RATE_LIMIT: &str = "test-rate-limit";
const LEAVING: &str = "test-leaving";

/// Guards against a call to a leaving backend whose rate limit let no call through for longer than it
/// takes to ask its health endpoint, which announced the leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_is_learned_from_the_health_endpoint_while_no_call_is_sent() {
    const RATE: (&str, &str) = ("test-rate-limit", "0.5");
    let (_platform, machines) = machines(1).await;
    machines[0].backend.announce(&[RATE]);
    load(&machines, WINDOW).await;
    // The next call is due two seconds after this one.
    let arrivals = machines[0].backend.arrivals().len();
    let end = Instant::now() + support::MAX_WAIT;
    while machines[0].backend.arrivals().len() == arrivals {
        assert!(Instant::now() < end, "no call arrives");
        load(&machines, LOAD_INTERVAL * 2).await;
    }
    machines[0].backend.announce(&[RATE, ("test-leaving", "1")]);
    let announced = Instant::now();
    load(&machines, Duration::from_secs(3)).await;
    assert_eq!(arrivals_since(&machines[0], announced), 0);
}

fn refused(served: &[Served]) -> usize {
    served
        .iter()
        .filter(|one| one.response.status != 200)
        .count()
}

/// Returns how many requests arrived at a backend from `since` on.
fn arrivals_since(machine: &Machine, since: Instant) -> usize {
    let arrivals = machine.backend.arrivals();
    arrivals.iter().filter(|at| **at >= since).count()
}

/// Guards against a limit that is in force after the backend lifted it.
#[tokio::test(flavor = "multi_thread")]
async fn a_lifted_rate_limit_applies_no_more_within_a_second() {
    let (_platform, machines) = machines(1).await;
    machines[0].backend.announce(&[(RATE_LIMIT, "10")]);
    load(&machines, Duration::from_secs(2)).await;
    machines[0].backend.announce(&[]);
    load(&machines, Duration::from_secs(1)).await;
    let served = load(&machines, Duration::from_secs(1)).await;
    assert_eq!(refused(&served), 0, "of {}", served.len());
}

/// Guards against a low limit that holds until its next call is due although the backend lifted it.
#[tokio::test(flavor = "multi_thread")]
async fn a_lifted_limit_below_one_a_second_applies_no_more_within_a_second() {
    let (_platform, machines) = machines(1).await;
    machines[0].backend.announce(&[(RATE_LIMIT, "0.1")]);
    load(&machines, Duration::from_secs(2)).await;
    machines[0].backend.announce(&[]);
    load(&machines, Duration::from_secs(1)).await;
    let served = load(&machines, Duration::from_secs(1)).await;
    assert_eq!(refused(&served), 0, "of {}", served.len());
}

/// Guards against a fraction that is rounded to nothing, and against a low limit that stays unused.
#[tokio::test(flavor = "multi_thread")]
async fn a_rate_limit_below_one_a_second_is_used() {
    let (_platform, machines) = machines(1).await;
    machines[0].backend.announce(&[(RATE_LIMIT, "0.5")]);
    load(&machines, LEARNED_WITHIN).await;
    let since = Instant::now();
    load(&machines, Duration::from_secs(8)).await;
    let arrivals = arrivals_since(&machines[0], since);
    assert!((3..=5).contains(&arrivals), "{arrivals} in 8 s");
}

/// Guards against a limit that is kept as it was first announced.
#[tokio::test(flavor = "multi_thread")]
async fn a_rate_limit_that_falls_and_rises_is_followed() {
    let (_platform, machines) = machines(1).await;
    for rate in [20, 5, 30] {
        machines[0]
            .backend
            .announce(&[(RATE_LIMIT, &rate.to_string())]);
        load(&machines, LEARNED_WITHIN).await;
        let since = Instant::now();
        load(&machines, Duration::from_secs(3)).await;
        let arrivals = arrivals_since(&machines[0], since);
        let least = rate * 3 * 9 / 10 - 1;
        assert!(
            (least..=rate * 4 + 1).contains(&arrivals),
            "{arrivals} at {rate}"
        );
    }
}

/// Guards against a garbled announcement that breaks the response, lifts the limit or sets another.
#[tokio::test(flavor = "multi_thread")]
async fn a_garbled_rate_limit_changes_nothing_and_the_response_is_delivered() {
    let long = "1".repeat(10_000);
    let garbled = [
        "", "many", "-1", "NaN", "inf", "0", "1e400", "5,5", "0x10", &long,
    ];
    let (_platform, machines) = machines(1).await;
    for value in garbled {
        machines[0]
            .backend
            .announce(&[(RATE_LIMIT, value), (LEAVING, "perhaps")]);
        let served = load(&machines, Duration::from_millis(200)).await;
        assert_eq!(refused(&served), 0, "{value:.20}");
    }
    machines[0].backend.announce(&[(RATE_LIMIT, "6")]);
    load(&machines, LEARNED_WITHIN).await;
    machines[0]
        .backend
        .announce(&[(RATE_LIMIT, "900"), (RATE_LIMIT, "800")]);
    let since = Instant::now();
    load(&machines, Duration::from_secs(3)).await;
    let arrivals = arrivals_since(&machines[0], since);
    assert!((15..=25).contains(&arrivals), "{arrivals} in 3 s");
}

/// Guards against refusals that are slow, or that ask all callers to return at once.
#[tokio::test(flavor = "multi_thread")]
async fn what_fits_nowhere_is_refused_at_once_and_asked_to_return_spread_over_time() {
    let (_platform, machines) = machines(2).await;
    for machine in &machines {
        machine.backend.announce(&[(RATE_LIMIT, "5")]);
    }
    load(&machines, LEARNED_WITHIN).await;
    let served = load(&machines, Duration::from_secs(3)).await;
    let mut waits: Vec<f64> = Vec::new();
    let mut times: Vec<Duration> = Vec::new();
    for Served { response, took } in served.iter().filter(|one| one.response.status != 200) {
        assert_eq!(response.header("wharfquay-result"), Some("3022"));
        waits.push(response.header("retry-after").unwrap().parse().unwrap());
        times.push(*took);
    }
    assert!(times.len() > 100, "{}", times.len());
    times.sort_unstable();
    let median = times[times.len() / 2];
    assert!(median < Duration::from_millis(5), "{median:?}");
    waits.sort_by(f64::total_cmp);
    let (early, late) = (waits[waits.len() / 4], waits[waits.len() * 3 / 4]);
    assert!(
        late - early > 0.5,
        "a quarter until {early} s, three until {late} s"
    );
}

/// Guards against a limit or a leaving that an instance inherits from an earlier one at its address.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_instance_at_the_address_has_no_earlier_announcements() {
    let (_platform, machines) = machines(1).await;
    for announcement in [(RATE_LIMIT, "2"), (LEAVING, "1")] {
        machines[0].backend.announce(&[announcement]);
        load(&machines, Duration::from_millis(500)).await;
        machines[0].backend.announce(&[]);
        machines[0]
            .backend
            .replace(&format!("after-{}", announcement.0));
        tokio::time::sleep(Duration::from_secs(1)).await;
        load(&machines, Duration::from_millis(500)).await;
        let served = load(&machines, Duration::from_secs(1)).await;
        assert_eq!(
            refused(&served),
            0,
            "of {} after {announcement:?}",
            served.len()
        );
    }
}

/// Guards against a restarted sidecar that sends a burst to a backend whose limit it does not know.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_sidecar_keeps_the_rate_limit_of_its_backend() {
    const RATE: usize = 5;
    let (platform, mut machines) = machines(1).await;
    machines[0]
        .backend
        .announce(&[(RATE_LIMIT, &RATE.to_string())]);
    machines[0]
        .backend
        .set_service_time(Duration::from_millis(300));
    load(&machines, LEARNED_WITHIN * 2).await;
    let since = Instant::now();
    let backend = machines[0].backend.clone();
    machines[0] = Machine::start_beside(&platform, "machine-0", SERVICE, backend, |_| {}).await;
    machines[0].ready().await;
    load(&machines, Duration::from_secs(4)).await;
    let most = most_in_window(&machines[0].backend.arrivals(), since);
    assert!(most <= 4 * RATE + 1, "{most} arrivals in 4 s");
    assert!(most > 2 * RATE, "{most} arrivals in 4 s");
}

/// Guards against a restarted sidecar that sends its first calls before it knows a low limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_sidecar_keeps_a_rate_limit_below_one_a_second() {
    let (platform, mut machines) = machines(1).await;
    machines[0].backend.announce(&[(RATE_LIMIT, "0.5")]);
    machines[0].backend.set_service_time(Duration::from_secs(1));
    load(&machines, LEARNED_WITHIN).await;
    let since = Instant::now();
    load(&machines, Duration::from_secs(4)).await;
    let backend = machines[0].backend.clone();
    machines[0] = Machine::start_beside(&platform, "machine-0", SERVICE, backend, |_| {}).await;
    machines[0].ready().await;
    load(&machines, Duration::from_secs(4)).await;
    let most = most_in_window(&machines[0].backend.arrivals(), since);
    assert!(most <= 3, "{most} arrivals in 4 s");
}

/// Guards against a restarted sidecar that sends work to a backend which began to announce its
/// leaving while no sidecar was there.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_sidecar_sends_nothing_to_a_backend_that_announces_its_leaving() {
    let (platform, mut machines) = machines(1).await;
    let (backend, since) = (machines[0].backend.clone(), Instant::now());
    backend.announce(&[(LEAVING, "1")]);
    machines[0] = Machine::start_beside(&platform, "machine-0", SERVICE, backend, |_| {}).await;
    machines[0].ready().await;
    load(&machines, Duration::from_secs(1)).await;
    assert_eq!(arrivals_since(&machines[0], since), 0);
}

/// Guards against a restarted sidecar that sends work to a backend which announced its leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_sidecar_knows_that_its_backend_announced_its_leaving() {
    let (platform, mut machines) = machines(1).await;
    machines[0].backend.announce(&[(LEAVING, "1")]);
    load(&machines, Duration::from_millis(500)).await;
    machines[0].backend.announce(&[]);
    let (backend, since) = (machines[0].backend.clone(), Instant::now());
    machines[0] = Machine::start_beside(&platform, "machine-0", SERVICE, backend, |_| {}).await;
    machines[0].ready().await;
    load(&machines, Duration::from_secs(1)).await;
    assert_eq!(arrivals_since(&machines[0], since), 0);
}

/// Guards against a call that several limited backends refuse although another one has room.
#[tokio::test(flavor = "multi_thread")]
async fn no_call_is_refused_while_one_backend_has_room() {
    let (_platform, machines) = machines(6).await;
    for machine in &machines[1..] {
        machine.backend.announce(&[(RATE_LIMIT, "2")]);
    }
    load(&machines, LEARNED_WITHIN).await;
    let served = load(&machines, Duration::from_secs(3)).await;
    assert_eq!(refused(&served), 0, "of {}", served.len());
}

/// Guards against a call that is refused after four limited backends, before it is known which others
/// have room.
#[tokio::test(flavor = "multi_thread")]
async fn no_call_is_refused_before_the_limits_of_most_backends_are_known() {
    let (_platform, machines) = machines(12).await;
    for machine in &machines[1..] {
        machine.backend.announce(&[(RATE_LIMIT, "0.5")]);
    }
    let served = load(&machines, Duration::from_secs(2)).await;
    assert_eq!(refused(&served), 0, "of {}", served.len());
}

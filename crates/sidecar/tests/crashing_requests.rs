//! Guards against requests that crash every backend that executes them. A lookup that its client
//! kept repeating, under new ids and at other machines, terminated all five backends of a service
//! within half a second, and again after each restart. The retries of one call were bounded, but no
//! state outlived the call, so each repeat had the attempts of a new request. The fingerprint of
//! the requests in execution identifies the cause: it is the same at every termination.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use support::backend::Behaviour;
use support::client::{Response, call, new_request_id, request};
use support::platform::EmulatedPlatform;
use support::{Machine, configuration, eventually, route};
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

const READS: &str = "/reads/";
const WRITES: &str = "/writes/";
/// Part of a request target that makes each backend terminate that begins to execute the request.
const CRASHING: &str = "ends-it";
/// Number of backends that may terminate under a request before it is refused.
const ALLOWED_TERMINATIONS: usize = 3;
/// Time after the last of these terminations within which every sidecar refuses the request.
const DISSEMINATED_WITHIN: Duration = Duration::from_millis(1_000);

/// Starts machines of one service that have discovered each other. Their backends restart after a
/// termination.
async fn machines(count: usize) -> (Arc<EmulatedPlatform>, Vec<Machine>) {
    let routes = vec![route(READS, "shelf", true), route(WRITES, "shelf", false)];
    let platform = Arc::new(EmulatedPlatform::new(Some(configuration(1, routes))));
    let machines = machines_on(&platform, count).await;
    (platform, machines)
}

async fn machines_on(platform: &Arc<EmulatedPlatform>, count: usize) -> Vec<Machine> {
    let mut machines = Vec::new();
    for number in 0..count {
        let name = format!("machine-{number}");
        machines.push(Machine::start(platform, &name, "shelf").await);
    }
    let all = format!("wharfquay_members{{state=\"alive\"}} {count}");
    for machine in &machines {
        machine.keep_sending_heartbeats();
        machine.backend.terminate_on(CRASHING);
        machine.ready().await;
        eventually("the sidecars have discovered each other", || {
            machine.sidecar.metrics_text().contains(&all)
        })
        .await;
        serves(machine).await;
    }
    machines
}

/// Waits until a machine serves requests.
async fn serves(machine: &Machine) {
    let end = Instant::now() + support::MAX_WAIT;
    while send_request(machine, "GET", "/reads/up").await.status != 200 {
        assert!(Instant::now() < end, "never served");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Sends a request with a new id.
async fn send_request(machine: &Machine, method: &str, target: &str) -> Response {
    let id = new_request_id();
    call(machine.outbound, &request(method, target, &id, "")).await
}

/// Sends a lookup of each target concurrently, distributed over the machines.
async fn send_all(machines: &[Machine], targets: &[String]) -> Vec<Response> {
    let mut sending = JoinSet::new();
    for (machine, target) in machines.iter().cycle().zip(targets) {
        let id = new_request_id();
        let (address, text) = (machine.outbound, request("GET", target, &id, ""));
        sending.spawn(async move { call(address, &text).await });
    }
    sending.join_all().await
}

fn terminations(machines: &[Machine]) -> usize {
    machines
        .iter()
        .map(|machine| machine.backend.terminations())
        .sum()
}

/// Returns how often backends began to execute a request whose target contains `text`.
fn arrivals(machines: &[Machine], text: &str) -> usize {
    let executed = machines
        .iter()
        .flat_map(|machine| machine.backend.executed());
    executed
        .filter(|executed| executed.request_line().contains(text))
        .count()
}

/// Waits until every backend is running.
async fn all_running(machines: &[Machine]) {
    eventually("every backend is running", || {
        machines.iter().all(|machine| !machine.backend.is_down())
    })
    .await;
    for machine in machines {
        serves(machine).await;
    }
}

/// Sends a request at one machine after the other until the allowed number of further backends has
/// terminated.
async fn terminate_as_many_as_allowed(
    machines: &[Machine],
    send: impl AsyncFn(&Machine) -> Response,
) {
    let enough = terminations(machines) + ALLOWED_TERMINATIONS;
    let end = Instant::now() + support::MAX_WAIT;
    for machine in machines.iter().cycle() {
        if terminations(machines) >= enough {
            break;
        }
        assert!(
            Instant::now() < end,
            "only {} terminated",
            terminations(machines)
        );
        send(machine).await;
        all_running(machines).await;
    }
    tokio::time::sleep(DISSEMINATED_WITHIN).await;
}

/// Sends the request at every machine and checks that it is refused as not executed and reaches no
/// backend.
async fn assert_refused_everywhere(machines: &[Machine], send: impl AsyncFn(&Machine) -> Response) {
    let arrived = arrivals(machines, CRASHING);
    for machine in machines.iter().cycle().take(3 * machines.len()) {
        let response = send(machine).await;
        assert_eq!(response.status, 503, "{}", response.head);
        assert!(
            response.header("retry-after").is_some(),
            "{}",
            response.head
        );
        all_running(machines).await;
    }
    assert_eq!(arrivals(machines, CRASHING), arrived);
}

#[tokio::test]
async fn a_request_that_crashed_three_backends_reaches_no_other() {
    let (_platform, machines) = machines(4).await;
    for (method, target) in [("GET", "/reads/ends-it"), ("POST", "/writes/ends-it")] {
        let send = async |machine: &Machine| send_request(machine, method, target).await;
        terminate_as_many_as_allowed(&machines, send).await;
        assert_refused_everywhere(&machines, send).await;
    }
}

#[tokio::test]
async fn a_backend_call_that_crashed_three_backends_reaches_no_other() {
    let (_platform, machines) = machines(4).await;
    let send = async |machine: &Machine| {
        let id = format!("{}.{}", new_request_id(), new_request_id());
        call(machine.outbound, &request("GET", "/reads/ends-it", &id, "")).await
    };
    terminate_as_many_as_allowed(&machines, send).await;
    assert_refused_everywhere(&machines, send).await;
}

#[tokio::test]
async fn a_sidecar_that_starts_later_refuses_a_quarantined_request() {
    let (platform, machines) = machines(4).await;
    let send = async |machine: &Machine| send_request(machine, "GET", "/reads/ends-it").await;
    terminate_as_many_as_allowed(&machines, send).await;
    let late = Machine::start(&platform, "machine-late", "shelf").await;
    late.keep_sending_heartbeats();
    late.backend.terminate_on(CRASHING);
    late.ready().await;
    eventually("the sidecar knows the request", || {
        let metrics = late.sidecar.metrics_text();
        metrics.contains("wharfquay_quarantine_requests{standing=\"quarantined\"} 1")
    })
    .await;
    assert_refused_everywhere(&[late], send).await;
}

/// Lookups of other targets that are in execution at each termination are retried, served, and not
/// refused later.
#[tokio::test]
async fn requests_executed_beside_a_crashing_one_are_served() {
    const ROUNDS: usize = 8;
    let (_platform, machines) = machines(4).await;
    let targets: Vec<String> = (0..6)
        .map(|number| format!("/reads/beside-{number}"))
        .collect();
    let slow = Behaviour::Slow(Duration::from_millis(60));
    for machine in machines.iter().cycle().take(ROUNDS) {
        for machine in &machines {
            machine.backend.expect(&[slow; 6]);
        }
        tokio::join!(
            send_request(machine, "GET", "/reads/ends-it"),
            send_all(&machines, &targets)
        );
        all_running(&machines).await;
    }
    assert_eq!(
        send_request(&machines[0], "GET", "/reads/ends-it")
            .await
            .status,
        503
    );
    for response in send_all(&machines, &targets).await {
        assert_eq!(response.status, 200, "{}", response.head);
    }
}

/// Backends are killed while the same popular target is read everywhere. The target did not cause
/// the terminations.
#[tokio::test]
async fn terminations_for_other_reasons_quarantine_no_request() {
    const KILLS: usize = 8;
    let (_platform, machines) = machines(4).await;
    let popular = vec!["/reads/popular".to_owned(); 12];
    let slow = Behaviour::Slow(Duration::from_millis(40));
    for machine in machines.iter().cycle().take(KILLS) {
        for machine in &machines {
            machine.backend.expect(&[slow; 6]);
        }
        let kill = async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            machine.backend.kill();
        };
        let (responses, ()) = tokio::join!(send_all(&machines, &popular), kill);
        for response in responses {
            assert_ne!(response.status, 503, "{}", response.head);
        }
        all_running(&machines).await;
    }
    for response in send_all(&machines, &popular).await {
        assert_eq!(response.status, 200, "{}", response.head);
    }
    let none = "wharfquay_quarantine_requests{standing=\"quarantined\"} 0";
    for machine in &machines {
        assert!(machine.sidecar.metrics_text().contains(none));
    }
}

/// There are more sidecars than owners of the request; the others receive the decision by
/// dissemination.
#[tokio::test]
async fn a_decision_reaches_every_sidecar_within_half_a_second() {
    const MACHINES: usize = 9;
    const REACHED_WITHIN: Duration = Duration::from_millis(500);
    const STARTUP_POLLS: Duration = Duration::from_millis(1_500);
    let (_platform, machines) = machines(MACHINES).await;
    // A sidecar polls others more often just after its start.
    tokio::time::sleep(STARTUP_POLLS).await;
    let mut third_termination = None;
    for machine in machines.iter().cycle().take(2 * ALLOWED_TERMINATIONS) {
        send_request(machine, "GET", "/reads/ends-it").await;
        if terminations(&machines) >= ALLOWED_TERMINATIONS {
            third_termination = Some(Instant::now());
            break;
        }
        all_running(&machines).await;
    }
    let third_termination = third_termination.expect("three backends terminate");
    let known = "wharfquay_quarantine_requests{standing=\"quarantined\"} 1";
    eventually("all sidecars know the decision", || {
        let mut texts = machines
            .iter()
            .map(|machine| machine.sidecar.metrics_text());
        texts.all(|text| text.contains(known))
    })
    .await;
    let took = third_termination.elapsed();
    assert!(took <= REACHED_WITHIN, "{took:?}");
}

/// All sidecars terminate together and lose their state. The platform's record preserves the
/// quarantine.
#[test]
fn a_quarantined_request_is_refused_after_all_sidecars_restart() {
    let first_runtime = Runtime::new().unwrap();
    let platform = first_runtime.block_on(async {
        let (platform, machines) = machines(4).await;
        let send = async |machine: &Machine| send_request(machine, "GET", "/reads/ends-it").await;
        terminate_as_many_as_allowed(&machines, send).await;
        assert_refused_everywhere(&machines, send).await;
        platform
    });
    first_runtime.shutdown_background();
    Runtime::new().unwrap().block_on(async {
        let machines = machines_on(&platform, 3).await;
        for machine in &machines {
            eventually("the sidecar knows the request", || {
                let metrics = machine.sidecar.metrics_text();
                metrics.contains("wharfquay_quarantine_requests{standing=\"quarantined\"} 1")
            })
            .await;
        }
        let send = async |machine: &Machine| send_request(machine, "GET", "/reads/ends-it").await;
        assert_refused_everywhere(&machines, send).await;
        assert_eq!(terminations(&machines), 0);
    });
}

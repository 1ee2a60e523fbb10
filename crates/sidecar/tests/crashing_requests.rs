//! Seen: all five back ends of a service ended within half a second, came back after some seconds and ended again,
//! round after round. Each time a look-up had been sent again, under another id and at another machine, that ended
//! every back end which began to execute it. How it came about: the retries of one try were bounded, but nothing
//! remembered the request beyond its try, so each try had the attempts of a new request. Proved by the fingerprint of
//! the requests in execution at each end: one of them is the same in all.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use support::backend::Behaviour;
use support::client::{Answer, call, request};
use support::platform::StandInPlatform;
use support::{Machine, configuration, eventually, route};
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

const READS: &str = "/reads/";
const WRITES: &str = "/writes/";
/// What the target of a request holds that ends each back end which begins to execute it.
const ENDING: &str = "ends-it";
/// Back ends that may end under a request before it is refused.
const ALLOWED_ENDS: usize = 3;
/// Time within which every sidecar refuses it after that.
const KNOWN_WITHIN: Duration = Duration::from_millis(1_000);

/// Machines of one service that know each other; their back ends come back after an end.
async fn machines(count: usize) -> (Arc<StandInPlatform>, Vec<Machine>) {
    let routes = vec![route(READS, "shelf", true), route(WRITES, "shelf", false)];
    let platform = Arc::new(StandInPlatform::new(Some(configuration(1, routes))));
    let machines = machines_on(&platform, count).await;
    (platform, machines)
}

async fn machines_on(platform: &Arc<StandInPlatform>, count: usize) -> Vec<Machine> {
    let mut machines = Vec::new();
    for number in 0..count {
        let name = format!("machine-{number}");
        machines.push(Machine::start(platform, &name, "shelf").await);
    }
    let all = format!("wharfquay_members{{state=\"alive\"}} {count}");
    for machine in &machines {
        machine.keep_beating();
        machine.backend.end_on(ENDING);
        machine.ready().await;
        eventually("they know each other", || {
            machine.sidecar.metrics_text().contains(&all)
        })
        .await;
        serves(machine).await;
    }
    machines
}

/// Waits until a machine answers requests.
async fn serves(machine: &Machine) {
    let end = Instant::now() + support::PATIENCE;
    while ask(machine, "GET", "/reads/up").await.status != 200 {
        assert!(Instant::now() < end, "never served");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Sends a request under an id of its own.
async fn ask(machine: &Machine, method: &str, target: &str) -> Answer {
    let id = format!("{:016x}", rand::random::<u64>());
    call(machine.outbound, &request(method, target, &id, "")).await
}

/// Sends a look-up of each target, all at once, at one machine after the other.
async fn ask_for_all(machines: &[Machine], targets: &[String]) -> Vec<Answer> {
    let mut asking = JoinSet::new();
    for (machine, target) in machines.iter().cycle().zip(targets) {
        let id = format!("{:016x}", rand::random::<u64>());
        let (address, text) = (machine.outbound, request("GET", target, &id, ""));
        asking.spawn(async move { call(address, &text).await });
    }
    asking.join_all().await
}

fn ends(machines: &[Machine]) -> usize {
    machines.iter().map(|machine| machine.backend.ends()).sum()
}

/// How often back ends began to execute a request whose target holds `text`.
fn arrivals(machines: &[Machine], text: &str) -> usize {
    let seen = machines.iter().flat_map(|machine| machine.backend.seen());
    seen.filter(|seen| seen.request_line().contains(text))
        .count()
}

/// Waits until no back end is away.
async fn all_up(machines: &[Machine]) {
    eventually("every back end is back", || {
        machines.iter().all(|machine| !machine.backend.is_down())
    })
    .await;
    for machine in machines {
        serves(machine).await;
    }
}

/// Sends a request at one machine after the other until so many more back ends have ended as may under it.
async fn end_as_many_as_allowed(machines: &[Machine], send: impl AsyncFn(&Machine) -> Answer) {
    let enough = ends(machines) + ALLOWED_ENDS;
    let end = Instant::now() + support::PATIENCE;
    for machine in machines.iter().cycle() {
        if ends(machines) >= enough {
            break;
        }
        assert!(Instant::now() < end, "only {} ended", ends(machines));
        send(machine).await;
        all_up(machines).await;
    }
    tokio::time::sleep(KNOWN_WITHIN).await;
}

/// Sends it everywhere, and checks that it is refused as not run and reaches nobody.
async fn is_refused_everywhere(machines: &[Machine], send: impl AsyncFn(&Machine) -> Answer) {
    let arrived = arrivals(machines, ENDING);
    for machine in machines.iter().cycle().take(3 * machines.len()) {
        let answer = send(machine).await;
        assert_eq!(answer.status, 503, "{}", answer.head);
        assert!(answer.header("retry-after").is_some(), "{}", answer.head);
        all_up(machines).await;
    }
    assert_eq!(arrivals(machines, ENDING), arrived);
}

#[tokio::test]
async fn a_request_that_ended_three_back_ends_reaches_no_other() {
    let (_platform, machines) = machines(4).await;
    for (method, target) in [("GET", "/reads/ends-it"), ("POST", "/writes/ends-it")] {
        let send = async |machine: &Machine| ask(machine, method, target).await;
        end_as_many_as_allowed(&machines, send).await;
        is_refused_everywhere(&machines, send).await;
    }
}

#[tokio::test]
async fn a_call_of_a_back_end_that_ended_three_others_reaches_no_other() {
    let (_platform, machines) = machines(4).await;
    let send = async |machine: &Machine| {
        let (parent, own) = (rand::random::<u64>(), rand::random::<u64>());
        let id = format!("{parent:016x}.{own:016x}");
        call(machine.outbound, &request("GET", "/reads/ends-it", &id, "")).await
    };
    end_as_many_as_allowed(&machines, send).await;
    is_refused_everywhere(&machines, send).await;
}

#[tokio::test]
async fn a_sidecar_that_starts_later_refuses_it_too() {
    let (platform, machines) = machines(4).await;
    let send = async |machine: &Machine| ask(machine, "GET", "/reads/ends-it").await;
    end_as_many_as_allowed(&machines, send).await;
    let late = Machine::start(&platform, "machine-late", "shelf").await;
    late.keep_beating();
    late.backend.end_on(ENDING);
    late.ready().await;
    eventually("it knows of the request", || {
        let metrics = late.sidecar.metrics_text();
        metrics.contains("wharfquay_quarantine_requests{standing=\"quarantined\"} 1")
    })
    .await;
    is_refused_everywhere(&[late], send).await;
}

/// Look-ups of other targets that are in execution at each end are repeated, served, and not refused later.
#[tokio::test]
async fn requests_that_ran_beside_it_are_served() {
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
            ask(machine, "GET", "/reads/ends-it"),
            ask_for_all(&machines, &targets)
        );
        all_up(&machines).await;
    }
    assert_eq!(ask(&machines[0], "GET", "/reads/ends-it").await.status, 503);
    for answer in ask_for_all(&machines, &targets).await {
        assert_eq!(answer.status, 200, "{}", answer.head);
    }
}

/// Back ends that are killed while one and the same popular target is read everywhere: it is nobody's fault.
#[tokio::test]
async fn ends_for_other_reasons_refuse_no_request() {
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
        let (answers, ()) = tokio::join!(ask_for_all(&machines, &popular), kill);
        for answer in answers {
            assert_ne!(answer.status, 503, "{}", answer.head);
        }
        all_up(&machines).await;
    }
    for answer in ask_for_all(&machines, &popular).await {
        assert_eq!(answer.status, 200, "{}", answer.head);
    }
    let none = "wharfquay_quarantine_requests{standing=\"quarantined\"} 0";
    for machine in &machines {
        assert!(machine.sidecar.metrics_text().contains(none));
    }
}

/// More sidecars than own the request: the others hear of the decision.
#[tokio::test]
async fn a_decision_reaches_every_sidecar_within_half_a_second() {
    const MACHINES: usize = 9;
    const REACHED_WITHIN: Duration = Duration::from_millis(500);
    const FIRST_ASKS: Duration = Duration::from_millis(1_500);
    let (_platform, machines) = machines(MACHINES).await;
    // A sidecar that has just started asks others more often than one that has not.
    tokio::time::sleep(FIRST_ASKS).await;
    let mut third_end = None;
    for machine in machines.iter().cycle().take(2 * ALLOWED_ENDS) {
        ask(machine, "GET", "/reads/ends-it").await;
        if ends(&machines) >= ALLOWED_ENDS {
            third_end = Some(Instant::now());
            break;
        }
        all_up(&machines).await;
    }
    let third_end = third_end.expect("three back ends end");
    let known = "wharfquay_quarantine_requests{standing=\"quarantined\"} 1";
    eventually("all know", || {
        let mut texts = machines
            .iter()
            .map(|machine| machine.sidecar.metrics_text());
        texts.all(|text| text.contains(known))
    })
    .await;
    let took = third_end.elapsed();
    assert!(took <= REACHED_WITHIN, "{took:?}");
}

/// All sidecars end together, so that nobody remembers; the platform does.
#[test]
fn a_request_is_refused_after_every_sidecar_was_restarted() {
    let first_life = Runtime::new().unwrap();
    let platform = first_life.block_on(async {
        let (platform, machines) = machines(4).await;
        let send = async |machine: &Machine| ask(machine, "GET", "/reads/ends-it").await;
        end_as_many_as_allowed(&machines, send).await;
        is_refused_everywhere(&machines, send).await;
        platform
    });
    first_life.shutdown_background();
    Runtime::new().unwrap().block_on(async {
        let machines = machines_on(&platform, 3).await;
        for machine in &machines {
            eventually("it knows of the request", || {
                let metrics = machine.sidecar.metrics_text();
                metrics.contains("wharfquay_quarantine_requests{standing=\"quarantined\"} 1")
            })
            .await;
        }
        let send = async |machine: &Machine| ask(machine, "GET", "/reads/ends-it").await;
        is_refused_everywhere(&machines, send).await;
        assert_eq!(ends(&machines), 0);
    });
}

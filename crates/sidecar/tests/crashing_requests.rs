//! Seen: all five back ends of a service ended within half a second, came back after some seconds and ended again,
//! round after round. Each time a look-up had been sent again, under another id and at another machine, that ended
//! every back end which began to execute it. How it came about: the retries of one try were bounded, but nothing
//! remembered the request beyond its try, so each try had the attempts of a new request. Proved by the fingerprint of
//! the requests in execution at each end: one of them is the same in all.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use support::client::{Answer, call, request};
use support::platform::StandInPlatform;
use support::{Machine, configuration, eventually, route};

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
    let mut machines = Vec::new();
    for number in 0..count {
        let name = format!("machine-{number}");
        machines.push(Machine::start(&platform, &name, "shelf").await);
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
    (platform, machines)
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

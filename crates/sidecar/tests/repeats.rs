//! Repeats at the sidecar beside the back end that gets them: a call that the back end refused unexecuted is sent
//! again within the bound, and no further.

mod support;

use std::sync::Arc;
use std::time::Instant;

use support::backend::Behaviour;
use support::client::{Answer, call, request};
use support::platform::StandInPlatform;
use support::{Machine, configuration, route};

const READS: &str = "/reads/";

async fn machine() -> (Arc<StandInPlatform>, Machine) {
    let routes = vec![route(READS, "shelf", true)];
    let platform = Arc::new(StandInPlatform::new(Some(configuration(1, routes))));
    let machine = Machine::start(&platform, "machine-a", "shelf").await;
    machine.ready().await;
    (platform, machine)
}

async fn read(machine: &Machine, id: &str) -> Answer {
    call(machine.outbound, &request("GET", "/reads/1", id, "")).await
}

/// Lets the back end get this many calls for the first time.
async fn serve(machine: &Machine, calls: usize) {
    let end = Instant::now() + support::PATIENCE;
    while machine.backend.seen().len() < calls {
        read(machine, "first").await;
        assert!(Instant::now() < end, "never served {calls} calls");
    }
}

#[tokio::test]
async fn a_call_that_the_back_end_refused_is_sent_again() {
    let (_platform, machine) = machine().await;
    serve(&machine, 60).await;
    machine
        .backend
        .expect(&[Behaviour::Refuse, Behaviour::Refuse]);
    let answer = read(&machine, "refused-twice").await;
    assert_eq!(answer.status, 200);
    assert_eq!(machine.backend.seen().len(), 61);
}

#[tokio::test]
async fn sends_of_refused_calls_end_at_the_bound() {
    const FIRST: usize = 40;
    const REFUSALS: usize = 30;
    let (_platform, machine) = machine().await;
    serve(&machine, FIRST).await;
    machine.backend.expect(&[Behaviour::Refuse; REFUSALS]);
    let mut requests = 0;
    while machine.backend.seen().len() == FIRST {
        let answer = read(&machine, &format!("refused-{requests}")).await;
        requests += 1;
        if answer.status != 200 {
            assert_eq!(answer.status, 503);
            assert!(answer.header("retry-after").is_some());
        }
    }
    // The back end refused so many sends; those beyond the first send of each request were repeats.
    let repeats = REFUSALS + 1 - requests;
    assert!(repeats > 0, "{requests} requests");
    assert!(
        repeats * 5 <= FIRST + requests,
        "{repeats} repeats of {requests} requests"
    );
}

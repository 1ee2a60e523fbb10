//! Repeats at the sidecar beside the backend that receives them: a call that the backend refused
//! without executing it is sent again, up to the bound on repeats.

mod support;

use std::sync::Arc;
use std::time::Instant;

use support::backend::Behaviour;
use support::client::{Response, call, request};
use support::platform::EmulatedPlatform;
use support::{Machine, configuration, route};

const READS: &str = "/reads/";

async fn machine() -> (Arc<EmulatedPlatform>, Machine) {
    let routes = vec![route(READS, "shelf", true)];
    let platform = Arc::new(EmulatedPlatform::new(Some(configuration(1, routes))));
    let machine = Machine::start(&platform, "machine-a", "shelf").await;
    machine.ready().await;
    (platform, machine)
}

async fn read(machine: &Machine, id: &str) -> Response {
    call(machine.outbound, &request("GET", "/reads/1", id, "")).await
}

/// Sends requests until the backend has executed this many calls.
async fn serve(machine: &Machine, calls: usize) {
    let end = Instant::now() + support::MAX_WAIT;
    while machine.backend.executed().len() < calls {
        read(machine, "first").await;
        assert!(Instant::now() < end, "never served {calls} calls");
    }
}

#[tokio::test]
async fn a_call_that_the_backend_refused_is_sent_again() {
    let (_platform, machine) = machine().await;
    serve(&machine, 60).await;
    machine
        .backend
        .expect(&[Behaviour::Refuse, Behaviour::Refuse]);
    let response = read(&machine, "refused-twice").await;
    assert_eq!(response.status, 200);
    assert_eq!(machine.backend.executed().len(), 61);
}

#[tokio::test]
async fn resends_of_refused_calls_stop_at_the_bound() {
    const FIRST: usize = 40;
    const REFUSALS: usize = 30;
    let (_platform, machine) = machine().await;
    serve(&machine, FIRST).await;
    machine.backend.expect(&[Behaviour::Refuse; REFUSALS]);
    let mut requests = 0;
    while machine.backend.executed().len() == FIRST {
        let response = read(&machine, &format!("refused-{requests}")).await;
        requests += 1;
        if response.status != 200 {
            assert_eq!(response.status, 503);
            assert!(response.header("retry-after").is_some());
        }
    }
    // The backend refused this many sends. Those beyond the first send of each request were
    // repeats.
    let repeats = REFUSALS + 1 - requests;
    assert!(repeats > 0, "{requests} requests");
    assert!(
        repeats * 5 <= FIRST + requests,
        "{repeats} repeats of {requests} requests"
    );
}

//! What a response of the backend proves holds for the sending that it responds to, and for no other
//! sending of the same request.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use support::backend::Behaviour;
use support::client::{Response, call, new_request_id, request};
use support::platform::EmulatedPlatform;
use support::{Machine, configuration, route};

const READS: &str = "/reads/";
const WRITES: &str = "/writes/";
/// Delay of an extra response: the next sending on its connection is in execution by then.
const EXTRA_DELAY: Duration = Duration::from_millis(5);
/// Service time of a sending during which an extra response arrives.
const SERVICE_TIME: Duration = Duration::from_millis(60);
/// Requests before each test and in each round, which leave room for repeats.
const FIRST_REQUESTS: usize = 60;
const REQUESTS_PER_ROUND: usize = 10;
const ROUNDS: usize = 10;

async fn machine() -> (Arc<EmulatedPlatform>, Machine) {
    let routes = vec![route(READS, "shelf", true), route(WRITES, "shelf", false)];
    let platform = Arc::new(EmulatedPlatform::new(Some(configuration(1, routes))));
    let machine = Machine::start(&platform, "machine-a", "shelf").await;
    machine.ready().await;
    let end = Instant::now() + support::MAX_WAIT;
    while machine.backend.executed().len() < FIRST_REQUESTS {
        read(&machine).await;
        assert!(Instant::now() < end, "never served");
    }
    (platform, machine)
}

async fn read(machine: &Machine) -> Response {
    let text = request("GET", "/reads/1", &new_request_id(), "");
    call(machine.outbound, &text).await
}

async fn delete(machine: &Machine, id: &str) -> Response {
    call(machine.outbound, &request("DELETE", "/writes/1", id, "")).await
}

/// Returns how often the backend executed the request.
fn executions(machine: &Machine, id: &str) -> usize {
    let executed = machine.backend.executed();
    let same = executed
        .iter()
        .filter(|request| request.header("test-request-id") == Some(id));
    same.count()
}

/// Asserts that a request which must be executed at most once was, and that its caller was not
/// promised that it was not.
fn assert_truthful(machine: &Machine, id: &str, response: &Response, round: usize) {
    let executions = executions(machine, id);
    assert!(
        executions <= 1,
        "round {round}: executed {executions} times"
    );
    let promises_nothing = executions == 0 || ![408, 421, 429, 503].contains(&response.status);
    assert!(
        promises_nothing,
        "round {round}: executed, status {}",
        response.status
    );
}

/// Guards against a request that runs twice because a refusal of its first sending arrives once more
/// while its second sending is executed.
#[tokio::test]
async fn a_refusal_that_comes_twice_does_not_refuse_the_next_sending() {
    let (_platform, machine) = machine().await;
    for round in 0..ROUNDS {
        let behaviours = [
            Behaviour::RefuseTwice(EXTRA_DELAY),
            Behaviour::Slow(SERVICE_TIME),
        ];
        machine.backend.expect(&behaviours);
        let id = new_request_id();
        let response = delete(&machine, &id).await;
        assert_truthful(&machine, &id, &response, round);
        assert_eq!(response.status, 200, "round {round}");
        for _ in 0..REQUESTS_PER_ROUND {
            read(&machine).await;
        }
    }
}

/// Guards against a request that runs although its caller was promised that it had not, because it
/// came back to a connection on which an earlier refusal of it was still due.
#[tokio::test]
async fn a_refusal_that_comes_twice_does_not_refuse_the_request_when_it_returns() {
    let (_platform, machine) = machine().await;
    for round in 0..ROUNDS {
        machine.backend.expect(&[
            Behaviour::RefuseTwice(EXTRA_DELAY),
            Behaviour::Slow(SERVICE_TIME),
        ]);
        let id = new_request_id();
        // A request with a body is not sent again after a refusal.
        let text = request("POST", "/writes/1", &id, "Content-Length: 2\r\n") + "{}";
        let refused = call(machine.outbound, &text).await;
        assert_eq!(refused.status, 503);
        let response = call(machine.outbound, &text).await;
        assert_truthful(&machine, &id, &response, round);
        assert_eq!(response.status, 200, "round {round}");
        for _ in 0..REQUESTS_PER_ROUND {
            read(&machine).await;
        }
    }
}

/// Guards against a request that runs twice, or runs although its caller was promised that it had
/// not, because of a late refusal that names no request.
#[tokio::test]
async fn a_refusal_that_names_no_request_proves_nothing() {
    let (_platform, machine) = machine().await;
    for round in 0..ROUNDS {
        let behaviours = [
            Behaviour::RespondThenRefuse(EXTRA_DELAY),
            Behaviour::Slow(SERVICE_TIME),
        ];
        machine.backend.expect(&behaviours);
        assert_eq!(read(&machine).await.status, 200);
        let id = new_request_id();
        let response = delete(&machine, &id).await;
        assert_truthful(&machine, &id, &response, round);
        machine.backend.expect_nothing();
    }
}

/// Guards against an instance that gets no calls any more because of a misdirection that names no
/// request, and against a request that runs although its caller was promised that it had not.
#[tokio::test]
async fn a_misdirection_that_names_no_request_proves_nothing() {
    let (_platform, machine) = machine().await;
    for round in 0..ROUNDS {
        let behaviours = [
            Behaviour::RespondThenMisdirect(EXTRA_DELAY),
            Behaviour::Slow(SERVICE_TIME),
        ];
        machine.backend.expect(&behaviours);
        assert_eq!(read(&machine).await.status, 200, "round {round}");
        let id = new_request_id();
        let response = delete(&machine, &id).await;
        assert_truthful(&machine, &id, &response, round);
        machine.backend.expect_nothing();
        assert_eq!(read(&machine).await.status, 200, "round {round}");
    }
}

/// Guards against an instance that gets no calls for good because of one false misdirection.
#[tokio::test]
async fn a_false_misdirection_closes_an_instance_only_until_it_shows_that_it_is_there() {
    let (_platform, machine) = machine().await;
    machine.backend.expect(&[Behaviour::Misdirect]);
    let id = new_request_id();
    let response = delete(&machine, &id).await;
    assert_truthful(&machine, &id, &response, 0);
    let end = Instant::now() + Duration::from_secs(2);
    while read(&machine).await.status != 200 {
        assert!(Instant::now() < end, "the instance gets no calls any more");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

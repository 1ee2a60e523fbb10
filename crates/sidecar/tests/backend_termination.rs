//! The termination of the backend is distinguished from the loss of a connection.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use support::backend::Behaviour;
use support::client::{call, request};
use support::platform::EmulatedPlatform;
use support::{Machine, configuration, eventually, route};
use wharfquay_core::outcome::ResultCode;

const READS: &str = "/reads/";
const TERMINATED_ONE: &str = "wharfquay_instances_ended_total 1";

async fn machine() -> Machine {
    let routes = vec![route(READS, "shelf", true)];
    let platform = Arc::new(EmulatedPlatform::new(Some(configuration(1, routes))));
    let machine = Machine::start(&platform, "machine-a", "shelf").await;
    machine.ready().await;
    let end = Instant::now() + support::MAX_WAIT;
    let answered = ResultCode::Answered.number().to_string();
    while read_result(&machine, "/reads/up").await != answered {
        assert!(Instant::now() < end, "never served");
    }
    machine
}

async fn read_result(machine: &Machine, target: &str) -> String {
    let response = call(machine.outbound, &request("GET", target, "id-1", "")).await;
    let result = response.header("wharfquay-result").map(str::to_owned);
    // A response of a backend carries no result code of the sidecar.
    result.unwrap_or_else(|| ResultCode::Answered.number().to_string())
}

#[tokio::test]
async fn a_lost_response_is_not_a_backend_termination() {
    let machine = machine().await;
    machine
        .backend
        .expect(&[Behaviour::LoseResponse, Behaviour::LoseResponse]);
    let result = read_result(&machine, "/reads/1").await;
    assert_eq!(result, ResultCode::ConnectionLost.number().to_string());
    assert!(!machine.sidecar.metrics_text().contains(TERMINATED_ONE));
}

#[tokio::test]
async fn a_backend_termination_is_reported_to_caller_and_operator() {
    let machine = machine().await;
    let before = machine.backend.executed().len();
    let long = Behaviour::Slow(Duration::from_secs(5));
    machine.backend.expect(&[long, long]);
    let (first, second, ()) = tokio::join!(
        read_result(&machine, "/reads/1"),
        read_result(&machine, "/reads/2"),
        async {
            eventually("both requests are in execution", || {
                machine.backend.executed().len() == before + 2
            })
            .await;
            machine.backend.kill();
        }
    );
    let expected = ResultCode::BackendEnded.number().to_string();
    assert_eq!((first, second), (expected.clone(), expected));
    assert!(machine.sidecar.metrics_text().contains(TERMINATED_ONE));
}

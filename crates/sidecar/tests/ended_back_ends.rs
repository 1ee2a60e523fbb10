//! An end of the back end is told apart from the mere loss of a connection.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use support::backend::Behaviour;
use support::client::{call, request};
use support::platform::StandInPlatform;
use support::{Machine, configuration, eventually, route};
use wharfquay_core::outcome::ResultCode;

const READS: &str = "/reads/";
const ENDED: &str = "wharfquay_instances_ended_total 1";

async fn machine() -> Machine {
    let routes = vec![route(READS, "shelf", true)];
    let platform = Arc::new(StandInPlatform::new(Some(configuration(1, routes))));
    let machine = Machine::start(&platform, "machine-a", "shelf").await;
    machine.ready().await;
    let end = Instant::now() + support::PATIENCE;
    let answered = ResultCode::Answered.number().to_string();
    while result_of_a_read(&machine, "/reads/up").await != answered {
        assert!(Instant::now() < end, "never served");
    }
    machine
}

async fn result_of_a_read(machine: &Machine, target: &str) -> String {
    let answer = call(machine.outbound, &request("GET", target, "id-1", "")).await;
    let result = answer.header("wharfquay-result").map(str::to_owned);
    // A back end's own answer bears no code of the sidecar's.
    result.unwrap_or_else(|| ResultCode::Answered.number().to_string())
}

#[tokio::test]
async fn a_lost_answer_is_no_end_of_the_back_end() {
    let machine = machine().await;
    machine
        .backend
        .expect(&[Behaviour::LoseAnswer, Behaviour::LoseAnswer]);
    let result = result_of_a_read(&machine, "/reads/1").await;
    assert_eq!(result, ResultCode::ConnectionLost.number().to_string());
    assert!(!machine.sidecar.metrics_text().contains(ENDED));
}

#[tokio::test]
async fn an_end_of_the_back_end_is_told_to_caller_and_operator() {
    let machine = machine().await;
    let before = machine.backend.seen().len();
    let long = Behaviour::Slow(Duration::from_secs(5));
    machine.backend.expect(&[long, long]);
    let (first, second, ()) = tokio::join!(
        result_of_a_read(&machine, "/reads/1"),
        result_of_a_read(&machine, "/reads/2"),
        async {
            eventually("both run", || machine.backend.seen().len() == before + 2).await;
            machine.backend.kill();
        }
    );
    let expected = ResultCode::BackendEnded.number().to_string();
    assert_eq!((first, second), (expected.clone(), expected));
    assert!(machine.sidecar.metrics_text().contains(ENDED));
}

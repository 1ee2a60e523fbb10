//! Sidecars read departure records on behalf of sidecars that the store refuses, and remember
//! announced departures.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use support::client::{call, request};
use support::platform::EmulatedPlatform;
use support::{MAX_WAIT, Machine, configuration, eventually, route};
use wharfquay_sidecar::instance::{Acknowledgement, ReportedState};

/// Time within which a sidecar serves its backend if it may.
const SERVING_TIME: Duration = Duration::from_secs(3);

fn platform() -> EmulatedPlatform {
    let routes = vec![route("/reads/", "shelf", true)];
    EmulatedPlatform::new(Some(configuration(1, routes)))
}

async fn serves(machine: &Machine) {
    let end = Instant::now() + MAX_WAIT;
    let mut number = 0;
    while machine.backend.executed().is_empty() {
        assert!(Instant::now() < end, "never served");
        number += 1;
        let id = format!("poll-{number}");
        call(machine.outbound, &request("GET", "/reads/1", &id, "")).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn know_each_other(machines: &[&Machine]) {
    let all = format!("wharfquay_members{{state=\"alive\"}} {}", machines.len());
    for machine in machines {
        eventually("the sidecars have discovered each other", || {
            machine.sidecar.metrics_text().contains(&all)
        })
        .await;
    }
}

#[tokio::test]
async fn a_sidecar_whose_lookups_are_refused_serves_after_a_reader_replies() {
    let first_platform = Arc::new(platform());
    let first = Machine::start(&first_platform, "machine-a", "shelf").await;
    first.ready().await;
    eventually("it is listed", || first_platform.listed() == ["machine-a"]).await;
    let second_platform = Arc::new(first_platform.for_another_machine());
    second_platform.refuse_lookups();
    let second = Machine::start(&second_platform, "machine-b", "shelf").await;
    second.ready().await;
    serves(&second).await;
}

#[tokio::test]
async fn an_announced_departure_holds_after_the_store_lost_its_record() {
    let first_platform = Arc::new(platform());
    let second_platform = Arc::new(first_platform.for_another_machine());
    let mut first = Machine::start(&first_platform, "machine-a", "shelf").await;
    let second = Machine::start(&second_platform, "machine-b", "shelf").await;
    know_each_other(&[&first, &second]).await;
    let both = ["machine-a", "machine-b"];
    eventually("both are listed", || first_platform.listed() == both).await;
    let backup = first_platform.backup();
    let acknowledged = first.send_heartbeat(ReportedState::Draining).await;
    assert_eq!(acknowledged, Acknowledgement::Acknowledged);
    // No process can write the record again, as if all that could had terminated.
    first_platform.set_down(true);
    second_platform.set_down(true);
    first_platform.restore(backup);

    let third_platform = Arc::new(first_platform.for_another_machine());
    let mut third = Machine::start_without_heartbeat(&third_platform, "machine-c", "shelf").await;
    third.backend.replace("machine-a-1");
    third.send_heartbeat(ReportedState::Ready).await;
    tokio::time::sleep(SERVING_TIME).await;
    call(third.outbound, &request("GET", "/reads/1", "late", "")).await;
    assert!(
        third.backend.executed().is_empty(),
        "the departed instance received work"
    );
    assert!(
        third_platform.departure_records().is_empty(),
        "the store has no departure record"
    );
}

//! Platform calls of a starting sidecar, each of which has a cost.

mod support;

use std::sync::Arc;

use support::client::{call, request};
use support::platform::EmulatedPlatform;
use support::{Machine, configuration, eventually, route};
use wharfquay_sidecar::instance::ReportedState;
use wharfquay_sidecar::platform::Freshness::{Latest, MayBeStale};

fn platform() -> EmulatedPlatform {
    EmulatedPlatform::new(Some(configuration(
        1,
        vec![route("/reads/", "shelf", true)],
    )))
}

#[tokio::test]
async fn a_sidecar_that_discovers_others_immediately_requests_no_fresh_listing() {
    let first_platform = Arc::new(platform());
    let _first = Machine::start(&first_platform, "machine-a", "shelf").await;
    eventually("the first is listed", || {
        first_platform.registrations() == 1
    })
    .await;
    let second_platform = Arc::new(first_platform.for_another_machine());
    let second = Machine::start(&second_platform, "machine-b", "shelf").await;
    let both = "wharfquay_members{state=\"alive\"} 2";
    eventually("the sidecars have discovered each other", || {
        second.sidecar.metrics_text().contains(both)
    })
    .await;
    eventually("the second is listed", || {
        second_platform.registrations() == 1
    })
    .await;
    assert!(!second_platform.listings().contains(&Latest));
}

#[tokio::test]
async fn a_sidecar_without_peers_in_stale_listings_requests_fresh_ones() {
    let platform = Arc::new(platform());
    let _machine = Machine::start(&platform, "machine-a", "shelf").await;
    eventually("three listings", || platform.listings().len() >= 3).await;
    assert_eq!(platform.listings()[..3], [MayBeStale, MayBeStale, Latest]);
    // It may leave the registration to others for some listings; then it registers itself, once.
    eventually("it is listed", || platform.registrations() > 0).await;
    assert_eq!(platform.registrations(), 1);
}

#[tokio::test]
async fn a_starting_sidecar_reads_possibly_stale_data_once_before_following() {
    let platform = Arc::new(platform());
    let machine = Machine::start(&platform, "machine-a", "shelf").await;
    machine.ready().await;
    assert_eq!(platform.readings()[0], MayBeStale);
    eventually("the sidecar follows the configuration", || {
        platform.readings().last() == Some(&Latest)
    })
    .await;
    let readings = platform.readings();
    let stale = readings.iter().filter(|reading| **reading == MayBeStale);
    assert_eq!(stale.count(), 1, "{readings:?}");
}

#[tokio::test]
async fn a_first_start_looks_up_no_departures() {
    for (is_first_start, is_queried) in [(true, false), (false, true)] {
        let platform = Arc::new(platform());
        let adjust = |settings: &mut wharfquay_sidecar::settings::Settings| {
            settings.is_first_start = is_first_start;
        };
        let mut machine =
            Machine::start_with_settings(&platform, "machine-a", "shelf", adjust).await;
        machine.send_heartbeat(ReportedState::Ready).await;
        machine.ready().await;
        let request = request("GET", "/reads/x", "id-1", "");
        while call(machine.outbound, &request).await.status != 200 {}
        assert_eq!(platform.lookups() > 0, is_queried, "{is_first_start}");
    }
}

#[tokio::test]
async fn an_instance_that_departed_after_a_first_start_gets_no_work() {
    let platform = Arc::new(platform());
    let adjust = |settings: &mut wharfquay_sidecar::settings::Settings| {
        settings.is_first_start = true;
    };
    let mut machine = Machine::start_with_settings(&platform, "machine-a", "shelf", adjust).await;
    machine.send_heartbeat(ReportedState::Ready).await;
    machine.ready().await;
    machine.send_heartbeat(ReportedState::Draining).await;
    let before = machine.backend.executed().len();
    machine.send_heartbeat(ReportedState::Ready).await;
    let response = call(machine.outbound, &request("GET", "/reads/x", "id-2", "")).await;
    assert_eq!(response.status, 503);
    assert_eq!(machine.backend.executed().len(), before);
}

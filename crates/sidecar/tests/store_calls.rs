//! What a starting sidecar asks of its platform: each call has its price.

mod support;

use std::sync::Arc;

use support::client::{call, request};
use support::platform::StandInPlatform;
use support::{Machine, configuration, eventually, route};
use wharfquay_sidecar::instance::ReportedState;
use wharfquay_sidecar::platform::Freshness::{Latest, MayBeStale};

fn platform() -> StandInPlatform {
    StandInPlatform::new(Some(configuration(
        1,
        vec![route("/reads/", "shelf", true)],
    )))
}

#[tokio::test]
async fn a_sidecar_that_meets_others_at_once_asks_for_no_fresh_listing() {
    let first_platform = Arc::new(platform());
    let _first = Machine::start(&first_platform, "machine-a", "shelf").await;
    eventually("the first is listed", || {
        first_platform.registrations() == 1
    })
    .await;
    let second_platform = Arc::new(first_platform.for_another_machine());
    let second = Machine::start(&second_platform, "machine-b", "shelf").await;
    let both = "wharfquay_members{state=\"alive\"} 2";
    eventually("they know each other", || {
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
async fn a_sidecar_that_stale_listings_lead_nowhere_asks_for_fresh_ones() {
    let platform = Arc::new(platform());
    let _machine = Machine::start(&platform, "machine-a", "shelf").await;
    eventually("three listings", || platform.listings().len() >= 3).await;
    assert_eq!(platform.listings()[..3], [MayBeStale, MayBeStale, Latest]);
    // It may leave that to others for some looks; then it enters itself, once.
    eventually("it is listed", || platform.registrations() > 0).await;
    assert_eq!(platform.registrations(), 1);
}

#[tokio::test]
async fn a_starting_sidecar_reads_what_may_be_stale_until_it_knows_whether_it_is_to_follow() {
    let platform = Arc::new(platform());
    let machine = Machine::start(&platform, "machine-a", "shelf").await;
    machine.ready().await;
    assert_eq!(platform.readings()[0], MayBeStale);
    eventually("it follows", || platform.readings().last() == Some(&Latest)).await;
    let readings = platform.readings();
    let stale = readings.iter().filter(|reading| **reading == MayBeStale);
    assert_eq!(stale.count(), 1, "{readings:?}");
}

#[tokio::test]
async fn a_first_start_looks_for_no_departures_of_earlier_processes() {
    for (is_first_start, is_asked) in [(true, false), (false, true)] {
        let platform = Arc::new(platform());
        let adjust = |settings: &mut wharfquay_sidecar::settings::Settings| {
            settings.is_first_start = is_first_start;
        };
        let mut machine = Machine::start_adjusted(&platform, "machine-a", "shelf", adjust).await;
        machine.beat(ReportedState::Ready).await;
        machine.ready().await;
        let request = request("GET", "/reads/x", "id-1", "");
        while call(machine.outbound, &request).await.status != 200 {}
        assert_eq!(platform.lookups() > 0, is_asked, "{is_first_start}");
    }
}

#[tokio::test]
async fn an_instance_whose_leaving_a_first_process_acknowledged_gets_nothing_again() {
    let platform = Arc::new(platform());
    let adjust = |settings: &mut wharfquay_sidecar::settings::Settings| {
        settings.is_first_start = true;
    };
    let mut machine = Machine::start_adjusted(&platform, "machine-a", "shelf", adjust).await;
    machine.beat(ReportedState::Ready).await;
    machine.ready().await;
    machine.beat(ReportedState::Draining).await;
    let before = machine.backend.seen().len();
    machine.beat(ReportedState::Ready).await;
    let answer = call(machine.outbound, &request("GET", "/reads/x", "id-2", "")).await;
    assert_eq!(answer.status, 503);
    assert_eq!(machine.backend.seen().len(), before);
}

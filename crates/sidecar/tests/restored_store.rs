//! The platform's store comes back from a copy that lacks what was acknowledged in the last seconds.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use support::client::{call, request};
use support::platform::StandInPlatform;
use support::{Machine, PATIENCE, configuration, eventually, route};
use wharfquay_daemon::clock::Clock;
use wharfquay_sidecar::configuration::Configuration;
use wharfquay_sidecar::instance::{Acknowledgement, ReportedState};
use wharfquay_sidecar::store_era::{EarlierEra, StoreEras};

/// Ends of back ends after which a request is quarantined.
const ENDS: usize = 3;
/// What the target of a request holds that ends each back end which begins to execute it.
const ENDING: &str = "ends-it";

fn version(number: u64) -> Configuration {
    configuration(number, vec![route("/reads/", "shelf", true)])
}

fn in_force(machine: &Machine) -> u64 {
    let metrics = machine.sidecar.metrics_text();
    let line = metrics
        .lines()
        .find_map(|line| line.strip_prefix("wharfquay_configuration_version "));
    line.unwrap().parse().unwrap()
}

#[tokio::test]
async fn a_configuration_is_adopted_after_the_store_went_back_and_none_goes_back() {
    let platform = Arc::new(StandInPlatform::new(Some(version(3))));
    let machine = Machine::start(&platform, "machine-a", "shelf").await;
    eventually("the first is in force", || in_force(&machine) == 3).await;
    let copy = platform.copy();
    platform.publish(version(5));
    eventually("the second is in force", || in_force(&machine) == 5).await;
    for (written_again, next) in [(5, 6), (6, 9)] {
        platform.restore(copy.clone());
        let end = Instant::now() + Duration::from_secs(1);
        while Instant::now() < end {
            assert!(in_force(&machine) >= written_again, "it went back");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        platform.publish(version(written_again));
        platform.publish(version(next));
        eventually("the next is in force", || in_force(&machine) == next).await;
    }
}

#[tokio::test]
async fn acknowledged_leavings_are_written_again() {
    let platform = Arc::new(StandInPlatform::new(Some(version(1))));
    let mut machine = Machine::start(&platform, "machine-a", "shelf").await;
    machine.ready().await;
    let copy = platform.copy();
    let acknowledged = machine.beat(ReportedState::Draining).await;
    assert_eq!(acknowledged, Acknowledgement::Given);
    assert_eq!(platform.departed(), ["machine-a-1"]);
    for _ in 0..2 {
        platform.restore(copy.clone());
        assert!(platform.departed().is_empty());
        eventually("the mark is there again", || {
            platform.departed() == ["machine-a-1"]
        })
        .await;
    }
}

#[tokio::test]
async fn entries_of_the_directory_are_written_again() {
    let platform = Arc::new(StandInPlatform::new(Some(version(1))));
    let empty = platform.copy();
    let _first = Machine::start(&platform, "machine-a", "shelf").await;
    let _second = Machine::start(&platform, "machine-b", "shelf").await;
    let both = ["machine-a", "machine-b"];
    eventually("both are listed", || platform.listed() == both).await;
    platform.restore(empty);
    eventually("both are listed again", || platform.listed() == both).await;
}

#[tokio::test]
async fn records_of_quarantined_requests_are_written_again() {
    let platform = Arc::new(StandInPlatform::new(Some(version(1))));
    let empty = platform.copy();
    let mut machines = Vec::new();
    for name in ["machine-a", "machine-b"] {
        let machine = Machine::start(&platform, name, "shelf").await;
        machine.keep_beating();
        machine.backend.end_on(ENDING);
        machine.ready().await;
        machines.push(machine);
    }
    let ends = || -> usize { machines.iter().map(|machine| machine.backend.ends()).sum() };
    let end = Instant::now() + PATIENCE * 2;
    let mut attempt = 0_u64;
    while platform.records().is_empty() {
        assert!(
            Instant::now() < end,
            "never quarantined after {} ends",
            ends()
        );
        attempt += 1;
        let target = format!("/reads/{ENDING}");
        call(
            machines[0].outbound,
            &request("GET", &target, &format!("{attempt:016x}"), ""),
        )
        .await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(ends() >= ENDS);
    let kept = platform.records();
    platform.restore(empty);
    let fingerprint = |records: &[wharfquay_sidecar::platform::QuarantineRecord]| {
        records
            .iter()
            .map(|record| record.fingerprint)
            .collect::<Vec<_>>()
    };
    eventually("the record is there again", || {
        fingerprint(&platform.records()) == fingerprint(&kept)
    })
    .await;
}

static LATER_MS: AtomicU64 = AtomicU64::new(0);

/// A time that stands still unless the test moves it.
fn moved_time() -> Duration {
    Duration::from_millis(LATER_MS.load(Ordering::Relaxed))
}

#[test]
fn answers_of_an_earlier_era_are_not_used_until_nothing_else_comes() {
    let eras = StoreEras::new(Clock::from_source(moved_time));
    let first = eras.answered(Some(4)).unwrap();
    assert_eq!((first.number, first.changes), (Some(4), 0));
    let second = eras.answered(Some(5)).unwrap();
    assert_eq!((second.number, second.changes), (Some(5), 1));
    assert_eq!(eras.answered(Some(4)), Err(EarlierEra), "a late answer");
    assert_eq!(eras.answered(Some(5)).unwrap(), second);
    LATER_MS.fetch_add(60_000, Ordering::Relaxed);
    assert_eq!(eras.answered(Some(4)), Err(EarlierEra), "late again");
    LATER_MS.fetch_add(3_000, Ordering::Relaxed);
    let fallen = eras.answered(Some(4)).unwrap();
    assert_eq!((fallen.number, fallen.changes), (Some(4), 2), "it fell");
    let jumped = eras.answered(Some(40)).unwrap();
    assert_eq!((jumped.number, jumped.changes), (Some(40), 3));
}

#[test]
fn an_answer_without_an_era_counts_as_a_restored_store_once_in_a_while() {
    let eras = StoreEras::new(Clock::start());
    assert_eq!(eras.answered(None).unwrap().changes, 0, "none ever told");
    assert_eq!(eras.answered(Some(7)).unwrap().changes, 0);
    assert_eq!(eras.answered(None).unwrap().changes, 1);
    assert_eq!(eras.answered(None).unwrap().changes, 1);
    let told = eras.answered(Some(7)).unwrap();
    assert_eq!((told.number, told.changes), (Some(7), 1));
}

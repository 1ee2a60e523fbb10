//! The platform's store is restored from a backup that lacks the data acknowledged in the last
//! seconds.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use support::client::{call, request};
use support::platform::EmulatedPlatform;
use support::{MAX_WAIT, Machine, configuration, eventually, route};
use wharfquay_daemon::clock::Clock;
use wharfquay_sidecar::configuration::Configuration;
use wharfquay_sidecar::instance::{Acknowledgement, ReportedState};
use wharfquay_sidecar::store_era::{EarlierEra, StoreEras};

/// Number of backend terminations after which a request is quarantined.
const TERMINATIONS_TO_QUARANTINE: usize = 3;
/// Part of a request target that makes each backend terminate that begins to execute the request.
const CRASHING: &str = "ends-it";

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
async fn newer_configurations_are_adopted_after_a_restore_and_older_ones_never() {
    let platform = Arc::new(EmulatedPlatform::new(Some(version(3))));
    let machine = Machine::start(&platform, "machine-a", "shelf").await;
    eventually("the first is in force", || in_force(&machine) == 3).await;
    let backup = platform.backup();
    platform.publish(version(5));
    eventually("the second is in force", || in_force(&machine) == 5).await;
    for (written_again, next) in [(5, 6), (6, 9)] {
        platform.restore(backup.clone());
        let end = Instant::now() + Duration::from_secs(1);
        while Instant::now() < end {
            assert!(
                in_force(&machine) >= written_again,
                "an older version came into force"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        platform.publish(version(written_again));
        platform.publish(version(next));
        eventually("the next is in force", || in_force(&machine) == next).await;
    }
}

#[tokio::test]
async fn acknowledged_departures_are_written_again() {
    let platform = Arc::new(EmulatedPlatform::new(Some(version(1))));
    let mut machine = Machine::start(&platform, "machine-a", "shelf").await;
    machine.ready().await;
    let backup = platform.backup();
    let acknowledged = machine.send_heartbeat(ReportedState::Draining).await;
    assert_eq!(acknowledged, Acknowledgement::Acknowledged);
    assert_eq!(platform.departure_records(), ["machine-a-1"]);
    for _ in 0..2 {
        platform.restore(backup.clone());
        assert!(platform.departure_records().is_empty());
        eventually("the departure record is written again", || {
            platform.departure_records() == ["machine-a-1"]
        })
        .await;
    }
}

#[tokio::test]
async fn entries_of_the_directory_are_written_again() {
    let platform = Arc::new(EmulatedPlatform::new(Some(version(1))));
    let empty = platform.backup();
    let _first = Machine::start(&platform, "machine-a", "shelf").await;
    let _second = Machine::start(&platform, "machine-b", "shelf").await;
    let both = ["machine-a", "machine-b"];
    eventually("both are listed", || platform.listed() == both).await;
    platform.restore(empty);
    eventually("both are listed again", || platform.listed() == both).await;
}

#[tokio::test]
async fn records_of_quarantined_requests_are_written_again() {
    let platform = Arc::new(EmulatedPlatform::new(Some(version(1))));
    let empty = platform.backup();
    let mut machines = Vec::new();
    for name in ["machine-a", "machine-b"] {
        let machine = Machine::start(&platform, name, "shelf").await;
        machine.keep_sending_heartbeats();
        machine.backend.terminate_on(CRASHING);
        machine.ready().await;
        machines.push(machine);
    }
    let terminations = || -> usize {
        machines
            .iter()
            .map(|machine| machine.backend.terminations())
            .sum()
    };
    let end = Instant::now() + MAX_WAIT * 2;
    let mut attempt = 0_u64;
    while platform.quarantine_records().is_empty() {
        assert!(
            Instant::now() < end,
            "never quarantined after {} terminations",
            terminations()
        );
        attempt += 1;
        let target = format!("/reads/{CRASHING}");
        call(
            machines[0].outbound,
            &request("GET", &target, &format!("{attempt:016x}"), ""),
        )
        .await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(terminations() >= TERMINATIONS_TO_QUARANTINE);
    let kept = platform.quarantine_records();
    platform.restore(empty);
    let fingerprint = |quarantine_records: &[wharfquay_sidecar::platform::QuarantineRecord]| {
        quarantine_records
            .iter()
            .map(|record| record.fingerprint)
            .collect::<Vec<_>>()
    };
    eventually("the quarantine record is written again", || {
        fingerprint(&platform.quarantine_records()) == fingerprint(&kept)
    })
    .await;
}

static MANUAL_TIME_MS: AtomicU64 = AtomicU64::new(0);

/// A clock that advances only when the test changes it.
fn manual_time() -> Duration {
    Duration::from_millis(MANUAL_TIME_MS.load(Ordering::Relaxed))
}

#[test]
fn replies_of_an_earlier_era_are_ignored_until_only_they_arrive() {
    let eras = StoreEras::new(Clock::from_source(manual_time));
    let first = eras.observe_reply(Some(4)).unwrap();
    assert_eq!((first.number, first.changes), (Some(4), 0));
    let second = eras.observe_reply(Some(5)).unwrap();
    assert_eq!((second.number, second.changes), (Some(5), 1));
    assert_eq!(eras.observe_reply(Some(4)), Err(EarlierEra), "a late reply");
    assert_eq!(eras.observe_reply(Some(5)).unwrap(), second);
    MANUAL_TIME_MS.fetch_add(60_000, Ordering::Relaxed);
    assert_eq!(
        eras.observe_reply(Some(4)),
        Err(EarlierEra),
        "a late reply again"
    );
    MANUAL_TIME_MS.fetch_add(3_000, Ordering::Relaxed);
    let decreased = eras.observe_reply(Some(4)).unwrap();
    assert_eq!(
        (decreased.number, decreased.changes),
        (Some(4), 2),
        "the era number decreased"
    );
    let jumped = eras.observe_reply(Some(40)).unwrap();
    assert_eq!((jumped.number, jumped.changes), (Some(40), 3));
}

#[test]
fn a_reply_without_an_era_counts_as_a_restore_at_most_once_per_interval() {
    let eras = StoreEras::new(Clock::start());
    assert_eq!(
        eras.observe_reply(None).unwrap().changes,
        0,
        "no era was ever reported"
    );
    assert_eq!(eras.observe_reply(Some(7)).unwrap().changes, 0);
    assert_eq!(eras.observe_reply(None).unwrap().changes, 1);
    assert_eq!(eras.observe_reply(None).unwrap().changes, 1);
    let reported = eras.observe_reply(Some(7)).unwrap();
    assert_eq!((reported.number, reported.changes), (Some(7), 1));
}

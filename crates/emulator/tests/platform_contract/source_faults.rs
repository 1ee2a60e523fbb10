//! The configuration reader over sockets, under faults: it reports each fault and catches up after it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use wharfquay_emulator::platform::{self, FaultSwitches, PlatformSettings, RunningPlatform};
use wharfquay_platform::backoff::Backoff;
use wharfquay_platform::source::{self, RunningSource, SourceChange};
use wharfquay_platform::{Client, ReaderLeaseSettings, SourceEvent, SourceSettings};
use wharfquay_resources::kinds::{Resource, ResourceId};
use wharfquay_resources::snapshot::Revision;

use crate::support::{
    client_of, client_with_short_timeouts, long_timeout_settings, overwrite, platform_settings,
    reserve_address, short_timeout_settings, start_platform,
};

const LOG_CAPACITY: usize = 5;
const AUTHOR: &str = "ada";
/// Time limit of each wait.
const WAIT_LIMIT: Duration = Duration::from_secs(8);

/// Problems that a reader may report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Report {
    Unavailable,
    OlderStore,
    DivergedStore,
}

/// Consumes a reader's events and checks that revisions never decrease and have no gap.
struct Consumer {
    source: RunningSource,
    revision: Option<Revision>,
    slots: BTreeMap<ResourceId, u32>,
    snapshots: u32,
    reports: Vec<Report>,
    snapshot_requested: bool,
}

impl Consumer {
    fn new(source: RunningSource) -> Self {
        Self {
            source,
            revision: None,
            slots: BTreeMap::new(),
            snapshots: 0,
            reports: Vec::new(),
            snapshot_requested: false,
        }
    }

    async fn wait_for(&mut self, what: &str, done: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_LIMIT;
        while !done(self) {
            let event = tokio::time::timeout_at(deadline, self.source.next()).await;
            let event = event.unwrap_or_else(|_| panic!("{what}: not within {WAIT_LIMIT:?}"));
            self.consume(event.expect("the reader must keep running"));
        }
    }

    async fn wait_for_revision(&mut self, what: &str, revision: Revision) {
        self.wait_for(what, |consumer| consumer.revision == Some(revision))
            .await;
    }

    async fn wait_for_report(&mut self, what: &str, report: Report) {
        self.wait_for(what, |consumer| consumer.reports.contains(&report))
            .await;
    }

    fn consume(&mut self, event: SourceEvent) {
        match event {
            SourceEvent::Snapshot(snapshot) => {
                let repeated = self.revision == Some(snapshot.revision) && self.snapshot_requested;
                let ahead = self.revision < Some(snapshot.revision);
                assert!(ahead || repeated, "revision decreased: {snapshot:?}");
                self.revision = Some(snapshot.revision);
                self.snapshots += 1;
                self.slots.clear();
                snapshot
                    .resources
                    .into_iter()
                    .for_each(|resource| self.put(resource));
            }
            SourceEvent::Change {
                previous,
                revision,
                change,
            } => {
                assert_eq!(self.revision, Some(previous), "gap between revisions");
                self.revision = Some(revision);
                match change {
                    SourceChange::Put(resource) => self.put(resource),
                    SourceChange::Delete(id) => drop(self.slots.remove(&id)),
                    other => panic!("only services are written: {other:?}"),
                }
            }
            SourceEvent::Current { revision } => assert_eq!(self.revision, Some(revision)),
            SourceEvent::Unavailable { .. } => self.reports.push(Report::Unavailable),
            SourceEvent::OlderStore { .. } => self.reports.push(Report::OlderStore),
            SourceEvent::DivergedStore { .. } => self.reports.push(Report::DivergedStore),
        }
    }

    fn put(&mut self, resource: Resource) {
        let id = resource.id();
        let Resource::Service(service) = resource else {
            panic!("only services are written");
        };
        self.slots.insert(id, service.slots);
    }

    fn distinct_reports(&self) -> Vec<Report> {
        let mut reports = self.reports.clone();
        reports.sort_unstable();
        reports.dedup();
        reports
    }
}

fn source_settings() -> SourceSettings {
    SourceSettings {
        backoff: Backoff {
            base: Duration::from_millis(5),
            maximum: Duration::from_millis(50),
        },
        ..SourceSettings::default()
    }
}

struct Case {
    name: &'static str,
    faults: FaultSwitches,
    /// Writes made during the fault.
    writes: u32,
    /// The fault ends when the reader reports this, or without it when the writes are delivered.
    report: Option<Report>,
    /// All distinct problems that the reader must report.
    reports: &'static [Report],
    /// Number of snapshots delivered, including the first; `None` if it depends on whether the reader
    /// lists again before or after the last write of the case.
    snapshots: Option<u32>,
}

fn cases() -> Vec<Case> {
    use Report::{OlderStore, Unavailable};
    let none = FaultSwitches::default;
    let down = || FaultSwitches {
        down: true,
        ..none()
    };
    let hang = || FaultSwitches {
        hang: true,
        ..none()
    };
    let older = || FaultSwitches {
        serve_older_version: Some(1),
        ..none()
    };
    let beyond_log = LOG_CAPACITY as u32 + 1;
    vec![
        Case {
            name: "no fault",
            faults: none(),
            writes: 2,
            report: None,
            reports: &[],
            snapshots: Some(1),
        },
        Case {
            name: "slow",
            faults: FaultSwitches {
                delay_ms: 100,
                ..none()
            },
            writes: 2,
            report: None,
            reports: &[],
            snapshots: Some(1),
        },
        Case {
            name: "down",
            faults: down(),
            writes: 2,
            report: Some(Unavailable),
            reports: &[Unavailable],
            snapshots: Some(1),
        },
        Case {
            name: "down, and the watch is too old afterwards",
            faults: down(),
            writes: beyond_log,
            report: Some(Unavailable),
            reports: &[Unavailable],
            snapshots: Some(2),
        },
        Case {
            name: "hanging",
            faults: hang(),
            writes: 2,
            report: Some(Unavailable),
            reports: &[Unavailable],
            snapshots: Some(1),
        },
        Case {
            name: "hanging, and the watch is too old afterwards",
            faults: hang(),
            writes: beyond_log,
            report: Some(Unavailable),
            reports: &[Unavailable],
            snapshots: Some(2),
        },
        Case {
            name: "older than seen",
            faults: older(),
            writes: 2,
            report: Some(OlderStore),
            reports: &[OlderStore],
            snapshots: Some(2),
        },
        Case {
            name: "older than seen, without a write",
            faults: older(),
            writes: 0,
            report: Some(OlderStore),
            reports: &[OlderStore],
            snapshots: None,
        },
        Case {
            name: "older than seen and slow",
            faults: FaultSwitches {
                delay_ms: 100,
                ..older()
            },
            writes: 2,
            report: Some(OlderStore),
            reports: &[OlderStore],
            snapshots: Some(2),
        },
    ]
}

#[tokio::test]
async fn a_reader_reports_each_fault_and_catches_up() {
    let runs = cases().into_iter().map(|case| tokio::spawn(run(case)));
    for run in runs.collect::<Vec<_>>() {
        run.await.expect("the case passes");
    }
}

async fn run(case: Case) {
    let platform = start_platform(LOG_CAPACITY).await;
    for slots in 1..=3 {
        overwrite(&platform, "booking", slots, AUTHOR);
    }
    let settings = match case.reports.contains(&Report::Unavailable) {
        true => short_timeout_settings(),
        false => long_timeout_settings(),
    };
    let client = Arc::new(Client::new(vec![platform.address()], settings));
    let mut consumer = Consumer::new(source::spawn(client, source_settings()));
    let initial_revision = Revision::new(3);
    consumer
        .wait_for_revision(case.name, initial_revision)
        .await;

    platform.set_faults(case.faults);
    let last = make_writes(&platform, case.writes).unwrap_or(initial_revision);
    match case.report {
        Some(report) => consumer.wait_for_report(case.name, report).await,
        None => consumer.wait_for_revision(case.name, last).await,
    }
    platform.set_faults(FaultSwitches::default());
    // A write after the fault checks that the reader continues.
    let after = overwrite(&platform, "slot", 77, AUTHOR);
    consumer.wait_for_revision(case.name, after).await;

    assert_eq!(consumer.slots, slots_in(&platform), "{}", case.name);
    assert_eq!(consumer.distinct_reports(), case.reports, "{}", case.name);
    if let Some(snapshots) = case.snapshots {
        assert_eq!(consumer.snapshots, snapshots, "{}", case.name);
    }
}

/// Makes this many writes; returns the last version written, if any.
fn make_writes(platform: &RunningPlatform, writes: u32) -> Option<Revision> {
    let mut last = None;
    for number in 0..writes {
        last = Some(overwrite(platform, "booking", 100 + number, AUTHOR));
    }
    last
}

fn slots_in(platform: &RunningPlatform) -> BTreeMap<ResourceId, u32> {
    let list = platform.with_store(|store| store.objects.list());
    let snapshot = source::SourceSnapshot::from_list(&list);
    let services = snapshot
        .resources
        .into_iter()
        .map(|resource| match resource {
            Resource::Service(service) => service,
            other => panic!("only services are written: {other:?}"),
        });
    services
        .map(|service| {
            let slots = service.slots;
            (Resource::Service(service).id(), slots)
        })
        .collect()
}

#[tokio::test]
async fn a_store_replaced_by_an_older_copy_is_reported_and_listed_completely_once_it_is_ahead() {
    let platform = start_platform(LOG_CAPACITY).await;
    for slots in 1..=4 {
        overwrite(&platform, "booking", slots, AUTHOR);
    }
    let client = Arc::new(client_of(&platform));
    let mut consumer = Consumer::new(source::spawn(client, source_settings()));
    consumer
        .wait_for_revision("first list", Revision::new(4))
        .await;

    platform.with_store(|store| store.objects = store.objects.as_of(Revision::new(2)));
    consumer.wait_for_report("older", Report::OlderStore).await;
    overwrite(&platform, "slot", 5, AUTHOR);
    overwrite(&platform, "slot", 6, AUTHOR);
    consumer
        .wait_for_report("same revision, other content", Report::DivergedStore)
        .await;
    assert_eq!(consumer.revision, Some(Revision::new(4)));

    let ahead = overwrite(&platform, "slot", 7, AUTHOR);
    consumer.wait_for_revision("store is ahead", ahead).await;
    assert_eq!(consumer.snapshots, 2);
    assert_eq!(consumer.slots, slots_in(&platform));
}

#[tokio::test]
async fn a_reader_that_loses_its_lease_stops_and_later_continues_without_a_gap() {
    let platform = start_platform(100).await;
    overwrite(&platform, "booking", 1, AUTHOR);
    let lease_settings = ReaderLeaseSettings {
        slots: 1,
        ttl: Duration::from_millis(150),
        backoff: source_settings().backoff,
        ..ReaderLeaseSettings::new("ikeja", "reader-a")
    };
    let name = lease_settings.lease_name(0);
    let client = Arc::new(client_of(&platform));
    let reader = source::spawn_leased(client, source_settings(), lease_settings);
    let mut consumer = Consumer::new(reader);
    consumer
        .wait_for_revision("first list", Revision::new(1))
        .await;

    let other = "reader-b";
    let now = wharfquay_core::time::Timestamp::ZERO;
    let long_ttl = Duration::from_secs(3_600);
    platform.with_store(|store| {
        store.leases.release(&name, "reader-a");
        store
            .leases
            .acquire(now, &name, other, long_ttl)
            .expect("free");
    });
    // While the reader watches, it receives a bookmark every 50 ms.
    let silence_period = Duration::from_millis(400);
    while let Ok(event) = tokio::time::timeout(silence_period, consumer.source.next()).await {
        consumer.consume(event.expect("the reader must keep running"));
    }
    let written = overwrite(&platform, "booking", 2, AUTHOR);
    let event = tokio::time::timeout(silence_period, consumer.source.next()).await;
    assert!(event.is_err(), "read without a lease: {event:?}");

    platform.with_store(|store| store.leases.release(&name, other));
    consumer
        .wait_for_revision("lease reacquired", written)
        .await;
    assert_eq!(consumer.snapshots, 1);
    assert_eq!(consumer.reports, []);
}

#[tokio::test]
async fn a_snapshot_is_delivered_again_on_request() {
    let platform = start_platform(LOG_CAPACITY).await;
    let initial_revision = overwrite(&platform, "booking", 1, AUTHOR);
    let client = Arc::new(client_of(&platform));
    let mut consumer = Consumer::new(source::spawn(client, source_settings()));
    consumer
        .wait_for_revision("first list", initial_revision)
        .await;
    consumer.snapshot_requested = true;
    consumer.source.request_snapshot();
    let repeated = |consumer: &Consumer| consumer.snapshots == 2;
    consumer.wait_for("second snapshot", repeated).await;
    assert_eq!(consumer.revision, Some(initial_revision));
    let next = overwrite(&platform, "booking", 2, AUTHOR);
    consumer
        .wait_for_revision("change after the repeated snapshot", next)
        .await;
    assert_eq!(consumer.snapshots, 2);
}

#[tokio::test]
async fn an_initially_unavailable_platform_is_reported_once_and_read_when_available() {
    let platform = start_platform(LOG_CAPACITY).await;
    platform.set_faults(FaultSwitches {
        down: true,
        ..FaultSwitches::default()
    });
    let initial_revision = overwrite(&platform, "booking", 1, AUTHOR);
    let lease_settings = ReaderLeaseSettings {
        backoff: source_settings().backoff,
        ..ReaderLeaseSettings::new("ikeja", "reader-a")
    };
    let client = Arc::new(client_of(&platform));
    let reader = source::spawn_leased(client, source_settings(), lease_settings);
    let mut consumer = Consumer::new(reader);
    consumer.wait_for_report("down", Report::Unavailable).await;
    // Long enough for several further requests.
    let many_retries = source_settings().backoff.maximum * 5;
    let repeated_report = tokio::time::timeout(many_retries, consumer.source.next()).await;
    assert!(repeated_report.is_err(), "{repeated_report:?}");
    platform.set_faults(FaultSwitches::default());
    consumer
        .wait_for_revision("platform available", initial_revision)
        .await;
    assert_eq!(consumer.reports, [Report::Unavailable]);
}

#[tokio::test]
async fn a_platform_that_refuses_connections_is_read_again_after_its_restart() {
    let (_reserved, address) = reserve_address();
    let settings = PlatformSettings {
        listen: address,
        ..platform_settings(LOG_CAPACITY)
    };
    let platform = platform::start(settings.clone()).await.expect("starts");
    let initial_revision = overwrite(&platform, "booking", 1, AUTHOR);
    let client = Arc::new(client_with_short_timeouts(&platform));
    let mut consumer = Consumer::new(source::spawn(client, source_settings()));
    consumer
        .wait_for_revision("first list", initial_revision)
        .await;

    let store = platform.shutdown().await;
    consumer
        .wait_for_report("refused", Report::Unavailable)
        .await;
    let platform = platform::start_with_store(settings, store)
        .await
        .expect("starts again");
    let next = overwrite(&platform, "booking", 2, AUTHOR);
    consumer.wait_for_revision("after the restart", next).await;
    assert_eq!(consumer.snapshots, 1);
}

#[tokio::test]
async fn a_second_address_with_an_older_store_is_reported_until_it_has_caught_up() {
    let first = start_platform(LOG_CAPACITY).await;
    overwrite(&first, "booking", 1, AUTHOR);
    let behind = first.with_store(|store| store.clone());
    let initial_revision = overwrite(&first, "booking", 2, AUTHOR);
    let settings = platform_settings(LOG_CAPACITY);
    let second = platform::start_with_store(settings, behind)
        .await
        .expect("second starts");

    let addresses = vec![first.address(), second.address()];
    let client = Arc::new(Client::new(addresses, short_timeout_settings()));
    let mut consumer = Consumer::new(source::spawn(client, source_settings()));
    consumer
        .wait_for_revision("first address", initial_revision)
        .await;

    let ahead = first.shutdown().await;
    consumer
        .wait_for_report("second address", Report::OlderStore)
        .await;
    assert_eq!(consumer.revision, Some(initial_revision));
    second.with_store(|store| *store = ahead);
    let next = overwrite(&second, "booking", 3, AUTHOR);
    consumer.wait_for_revision("caught up", next).await;
    assert_eq!(consumer.slots, slots_in(&second));
}

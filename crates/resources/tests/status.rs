//! Tests that statuses are computed from an acceptance and the reports of daemons, and that only
//! changed statuses are written.

use std::collections::BTreeMap;

use serde_json::json;
use wharfquay_resources::acceptance::{Acceptance, StoredObject, accept};
use wharfquay_resources::kinds::{ResourceId, ResourceKind};
use wharfquay_resources::snapshot::{Revision, Snapshot};
use wharfquay_resources::status::{
    DaemonReport, Status, StatusChange, Verdict, build_statuses, status_changes,
};

fn acceptance() -> Acceptance {
    let object = |kind, name: &str, version, spec| StoredObject {
        id: ResourceId::new(kind, name),
        version: Revision::new(version),
        spec,
    };
    let objects = [
        object(
            ResourceKind::Service,
            "slot",
            3,
            json!({"name": "slot", "slots": 4}),
        ),
        object(
            ResourceKind::Service,
            "broken",
            4,
            json!({"name": "broken", "slots": 0}),
        ),
        object(
            ResourceKind::Drain,
            "d",
            6,
            json!({"name": "d", "target": {"zone": "ikeja"}}),
        ),
    ];
    accept(&Snapshot::default(), Revision::new(6), &objects)
}

fn report(id: &str, zone: &str, revision: Option<u64>, calls: u64) -> DaemonReport {
    DaemonReport {
        id: id.to_owned(),
        zone: zone.to_owned(),
        service: Some("slot".to_owned()),
        revision: revision.map(Revision::new),
        calls_in_flight: calls,
    }
}

fn status_of(statuses: &BTreeMap<ResourceId, Status>, kind: ResourceKind, name: &str) -> Status {
    statuses[&ResourceId::new(kind, name)].clone()
}

#[test]
fn the_revision_of_a_zone_is_the_lowest_of_its_daemons() {
    let reports = [
        report("a", "ikeja", Some(6), 2),
        report("b", "ikeja", Some(5), 3),
        report("c", "yaba", Some(9), 7),
        report("d", "yaba", None, 1),
    ];
    let statuses = build_statuses(&acceptance(), &reports);
    let drain = status_of(&statuses, ResourceKind::Drain, "d");
    assert_eq!(drain.verdict, Verdict::Accepted);
    let ikeja = drain.zones["ikeja"];
    let yaba = drain.zones["yaba"];
    assert_eq!(
        (ikeja.revision.number(), ikeja.daemons, ikeja.reported),
        (5, 2, 2)
    );
    assert_eq!(
        (yaba.revision.number(), yaba.daemons, yaba.reported),
        (6, 2, 1)
    );
    // The drain covers only the backends in ikeja.
    assert_eq!(drain.in_flight(), 5);
    assert!(!drain.is_in_force_everywhere());

    let slot = status_of(&statuses, ResourceKind::Service, "slot");
    assert_eq!(slot.zones["ikeja"].revision, Revision::new(3));
    assert_eq!(slot.in_flight(), 0);
    let broken = status_of(&statuses, ResourceKind::Service, "broken");
    assert!(matches!(
        broken.verdict,
        Verdict::Rejected { code: 5006, .. }
    ));
}

/// Each case has the later reports and whether the status of the drain is written again.
#[test]
fn a_status_is_written_only_when_it_changes() {
    let first = vec![
        report("a", "ikeja", Some(6), 0),
        report("c", "yaba", Some(6), 0),
    ];
    let written = build_statuses(&acceptance(), &first);
    let drain = ResourceId::new(ResourceKind::Drain, "d");
    assert!(written[&drain].is_in_force_everywhere());
    let cases = [
        ("the same reports", first.clone(), false),
        (
            "a later revision",
            vec![
                report("a", "ikeja", Some(9), 0),
                report("c", "yaba", Some(8), 0),
            ],
            false,
        ),
        (
            "one more daemon",
            [first.clone(), vec![report("e", "yaba", Some(6), 0)]].concat(),
            false,
        ),
        (
            "a daemon that has not reported",
            [first.clone(), vec![report("e", "yaba", None, 0)]].concat(),
            true,
        ),
        (
            "a daemon that lags",
            vec![
                report("a", "ikeja", Some(5), 0),
                report("c", "yaba", Some(6), 0),
            ],
            true,
        ),
        (
            "calls at a drained backend",
            vec![
                report("a", "ikeja", Some(6), 4),
                report("c", "yaba", Some(6), 0),
            ],
            true,
        ),
        (
            "a new zone",
            [first, vec![report("f", "lekki", Some(6), 0)]].concat(),
            true,
        ),
    ];
    for (description, reports, is_written) in cases {
        let wanted = build_statuses(&acceptance(), &reports);
        let changes = status_changes(&written, &wanted);
        let has_change = changes
            .iter()
            .any(|change| matches!(change, StatusChange::Put(id, _) if *id == drain));
        assert_eq!(has_change, is_written, "{description}: {changes:?}");
    }
}

#[test]
fn the_status_of_a_deleted_resource_is_deleted() {
    let written = build_statuses(&acceptance(), &[report("a", "ikeja", Some(6), 0)]);
    let changes = status_changes(&written, &BTreeMap::new());
    assert_eq!(changes.len(), 3);
    assert!(
        changes
            .iter()
            .all(|change| matches!(change, StatusChange::Delete(_)))
    );
}

#[test]
fn a_status_survives_a_round_trip_as_json() {
    let statuses = build_statuses(&acceptance(), &[report("a", "ikeja", Some(6), 1)]);
    for status in statuses.values() {
        let spec = serde_json::to_value(status).expect("JSON");
        let read: Status = serde_json::from_value(spec).expect("a status");
        assert_eq!(read, *status);
    }
}

//! Tests that valid objects come into force, that invalid ones are rejected, and that the last good
//! version of a rejected resource stays in force.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use wharfquay_resources::acceptance::{Acceptance, StoredObject, accept};
use wharfquay_resources::acceptor::Acceptor;
use wharfquay_resources::kinds::{ResourceId, ResourceKind};
use wharfquay_resources::problem::Severity;
use wharfquay_resources::snapshot::{Revision, Snapshot};
use wharfquay_resources::status::{Verdict, verdicts};
use wharfquay_resources::validate::validate_snapshot;

fn object(kind: ResourceKind, name: &str, version: u64, mut spec: Value) -> StoredObject {
    spec["name"] = json!(name);
    StoredObject {
        id: ResourceId::new(kind, name),
        version: Revision::new(version),
        spec,
    }
}

fn service(name: &str, version: u64, slots: i64, calls: &[&str]) -> StoredObject {
    let spec = json!({ "slots": slots, "calls": calls });
    object(ResourceKind::Service, name, version, spec)
}

fn request_kind(name: &str, version: u64, service: &str, path: &str) -> StoredObject {
    let spec = json!({"service": service, "path_prefix": path, "priority": 1, "deadline_ms": 500});
    object(ResourceKind::RequestKind, name, version, spec)
}

/// Objects of the snapshot in force before each case.
fn first_objects() -> Vec<StoredObject> {
    vec![
        service("front", 1, 10, &["back"]),
        service("back", 2, 4, &[]),
        request_kind("look_up", 3, "front", "/items"),
    ]
}

fn first_snapshot() -> Snapshot {
    let acceptance = accept(&Snapshot::default(), Revision::new(3), &first_objects());
    assert_eq!(acceptance.rejections, []);
    acceptance.snapshot
}

/// Returns the first objects with the objects of `put` written and those named in `deleted` removed.
fn changed(put: Vec<StoredObject>, deleted: &[&str]) -> Vec<StoredObject> {
    let objects = first_objects().into_iter().chain(put);
    let by_id: BTreeMap<ResourceId, StoredObject> = objects
        .filter(|object| !deleted.contains(&object.id.name.as_str()))
        .map(|object| (object.id.clone(), object))
        .collect();
    by_id.into_values().collect()
}

/// Identity, rejected version, first problem code, and true if the last good version stays in force.
type Rejected = (&'static str, Option<u64>, u16, bool);

fn rejected(acceptance: &Acceptance) -> Vec<(String, Option<u64>, u16, bool)> {
    let rejections = acceptance.rejections.iter();
    rejections
        .map(|rejection| {
            (
                rejection.id.to_string(),
                rejection.version.map(Revision::number),
                rejection.findings[0].code.number(),
                rejection.is_last_good_in_force,
            )
        })
        .collect()
}

struct Case {
    description: &'static str,
    put: Vec<StoredObject>,
    deleted: &'static [&'static str],
    rejected: &'static [Rejected],
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            description: "a value out of range leaves the previous version in force",
            put: vec![service("back", 9, 0, &[])],
            deleted: &[],
            rejected: &[("service/back", Some(9), 5006, true)],
        },
        Case {
            description: "a new resource that is not valid does not come into force",
            put: vec![service("new", 9, -1, &[])],
            deleted: &[],
            rejected: &[("service/new", Some(9), 5006, false)],
        },
        Case {
            description: "a reference to an unknown resource leaves the previous version in force",
            put: vec![service("back", 9, 5, &["missing"])],
            deleted: &[],
            rejected: &[("service/back", Some(9), 5102, true)],
        },
        Case {
            description: "a service that another one calls can't be deleted",
            put: vec![],
            deleted: &["back"],
            rejected: &[("service/back", None, 5105, true)],
        },
        Case {
            description: "a whole call chain can be deleted in one change",
            put: vec![],
            deleted: &["front", "back", "look_up"],
            rejected: &[],
        },
        Case {
            description: "of two that match the same requests the newer one is rejected, last by name",
            put: vec![request_kind("other", 9, "front", "/items")],
            deleted: &[],
            rejected: &[("request_kind/other", Some(9), 5103, false)],
        },
        Case {
            description: "of two that match the same requests the newer one is rejected, first by name",
            put: vec![request_kind("another", 9, "front", "/items")],
            deleted: &[],
            rejected: &[("request_kind/another", Some(9), 5103, false)],
        },
        Case {
            description: "a resource that refers to an invalid new resource is rejected with it",
            put: vec![service("new", 9, 0, &[]), request_kind("x", 10, "new", "/")],
            deleted: &[],
            rejected: &[
                ("service/new", Some(9), 5006, false),
                ("request_kind/x", Some(10), 5102, false),
            ],
        },
        Case {
            description: "a valid change comes into force beside an invalid one",
            put: vec![
                service("front", 9, 11, &["back"]),
                service("back", 10, 0, &[]),
            ],
            deleted: &[],
            rejected: &[("service/back", Some(10), 5006, true)],
        },
    ]
}

#[test]
fn bad_changes_are_rejected_and_the_last_good_version_stays() {
    let last = first_snapshot();
    for case in cases() {
        let objects = changed(case.put, case.deleted);
        let acceptance = accept(&last, Revision::new(20), &objects);
        let expected: Vec<_> = case
            .rejected
            .iter()
            .map(|(id, version, code, kept)| ((*id).to_owned(), *version, *code, *kept))
            .collect();
        assert_eq!(rejected(&acceptance), expected, "{}", case.description);
        assert_eq!(acceptance.snapshot.revision, Revision::new(20));
        let expected_accepted = objects.len()
            - acceptance
                .rejections
                .iter()
                .filter(|r| r.version.is_some())
                .count();
        assert_eq!(
            acceptance.accepted.len(),
            expected_accepted,
            "{}",
            case.description
        );
    }
}

#[test]
fn a_spec_whose_name_differs_from_its_object_is_rejected() {
    let mut object = service("back", 9, 4, &[]);
    object.spec["name"] = json!("front");
    let acceptance = accept(
        &first_snapshot(),
        Revision::new(9),
        &changed(vec![object], &[]),
    );
    assert_eq!(
        rejected(&acceptance),
        [("service/back".to_owned(), Some(9), 5009, true)]
    );
}

#[test]
fn the_verdict_of_a_rejection_states_the_reason() {
    let objects = changed(vec![service("back", 9, 0, &[])], &[]);
    let verdicts = verdicts(&accept(&first_snapshot(), Revision::new(9), &objects));
    let expected = Verdict::Rejected {
        code: 5006,
        reason: "service.back.slots: 0 is out of range (allowed: 1 to 10000) [5006]".to_owned(),
        last_good_in_force: true,
    };
    let back = ResourceId::new(ResourceKind::Service, "back");
    let front = ResourceId::new(ResourceKind::Service, "front");
    assert_eq!(verdicts[&back], (Revision::new(9), expected));
    assert_eq!(verdicts[&front], (Revision::new(1), Verdict::Accepted));
}

/// Generates objects with few names, which often refer to each other, conflict or are deleted.
fn any_objects() -> impl Strategy<Value = Vec<StoredObject>> {
    let name = prop::sample::select(vec!["a", "b", "c"]);
    let any_service = (
        name.clone(),
        0_i64..3,
        prop::collection::btree_set(name.clone(), 0..3),
    )
        .prop_map(|(name, slots, calls)| {
            let calls: Vec<&str> = calls.into_iter().collect();
            service(name, 1, slots, &calls)
        });
    let path = prop::sample::select(vec!["/x", "/y"]);
    let any_kind = (name.clone(), name, path)
        .prop_map(|(name, service, path)| request_kind(name, 1, service, path));
    let any_object = prop_oneof![any_service, any_kind];
    prop::collection::vec(any_object, 0..8).prop_map(|objects| {
        let by_id: BTreeMap<ResourceId, StoredObject> = objects
            .into_iter()
            .map(|object| (object.id.clone(), object))
            .collect();
        by_id.into_values().collect()
    })
}

const SEED: u64 = 12;

#[test]
fn an_acceptor_ignores_revisions_that_are_not_newer() {
    let mut acceptor = Acceptor::new(first_snapshot());
    assert!(!acceptor.replace(Revision::new(2), []));
    assert!(acceptor.replace(Revision::new(3), first_objects()));
    assert!(!acceptor.put(Revision::new(3), &service("back", 3, 9, &[])));
    assert!(!acceptor.delete(
        Revision::new(2),
        &ResourceId::new(ResourceKind::RequestKind, "look_up")
    ));
    assert_eq!(*acceptor.snapshot(), first_snapshot());
    assert!(acceptor.put(Revision::new(4), &service("back", 4, 0, &[])));
    assert_eq!(rejected(acceptor.acceptance()).len(), 1);
    assert!(acceptor.put(Revision::new(5), &service("back", 5, 9, &[])));
    assert_eq!(rejected(acceptor.acceptance()), []);
    assert_eq!(acceptor.snapshot().services["back"].slots, 9);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_accepted_snapshot_never_has_an_error(steps in prop::collection::vec(any_objects(), 1..6)) {
        let mut last = Snapshot::default();
        for (index, objects) in steps.iter().enumerate() {
            let revision = Revision::new(index as u64 + 1);
            let acceptance = accept(&last, revision, objects);
            let findings = validate_snapshot(&acceptance.snapshot);
            prop_assert!(findings.iter().all(|finding| finding.severity() == Severity::Warning));
            let again = accept(&acceptance.snapshot, revision, objects);
            prop_assert_eq!(&again.snapshot, &acceptance.snapshot, "the same objects change nothing");
            last = acceptance.snapshot;
        }
    }

    #[test]
    fn single_changes_give_the_same_result_as_full_lists(objects in any_objects(), later in any_objects()) {
        let mut by_change = Acceptor::default();
        let mut by_list = Acceptor::default();
        let mut current = BTreeMap::new();
        for (index, object) in objects.iter().chain(&later).enumerate() {
            let revision = Revision::new(index as u64 + 1);
            current.insert(object.id.clone(), object.clone());
            by_change.put(revision, object);
            by_list.replace(revision, current.values().cloned());
            prop_assert_eq!(by_change.acceptance(), by_list.acceptance());
        }
        for (index, id) in current.clone().keys().enumerate() {
            let revision = Revision::new(100 + index as u64);
            current.remove(id);
            by_change.delete(revision, id);
            by_list.replace(revision, current.values().cloned());
            prop_assert_eq!(by_change.acceptance(), by_list.acceptance());
        }
        prop_assert_eq!(by_change.snapshot().ids().count(), 0);
    }
}

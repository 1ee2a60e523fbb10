//! Contract of the object API between the client and the emulated platform, without faults.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wharfquay_core::time::Timestamp;
use wharfquay_emulator::platform::FaultSwitches;
use wharfquay_emulator::platform::machines::Machines;

use crate::support::{client_of, overwrite, service_key, service_spec, start_platform};
use wharfquay_platform::client::LeaseOutcome;
use wharfquay_platform::conversion::{ConversionError, resource_from_object};
use wharfquay_platform::wire::{Machine, MachineState, ObjectKey, WatchEvent};
use wharfquay_platform::{PlatformError, WriteRequest};
use wharfquay_resources::kinds::Resource;
use wharfquay_resources::snapshot::Revision;

const LOG_CAPACITY: usize = 100;

#[tokio::test]
async fn each_write_and_deletion_gets_the_next_version() {
    let platform = start_platform(LOG_CAPACITY).await;
    let client = client_of(&platform);

    let booking = client
        .put(
            service_key("booking"),
            Revision::ZERO,
            "ada",
            service_spec("booking", 8),
        )
        .await
        .expect("create");
    assert_eq!(booking.version, Some(Revision::new(1)));
    let slot = client
        .put(
            service_key("slot"),
            Revision::ZERO,
            "ada",
            service_spec("slot", 6),
        )
        .await
        .expect("create");
    assert_eq!(slot.version, Some(Revision::new(2)));

    let list = client.list().await.expect("list");
    assert_eq!(list.version, Revision::new(2));
    let names: Vec<&str> = list
        .objects
        .iter()
        .map(|object| object.key.name.as_str())
        .collect();
    assert_eq!(names, ["booking", "slot"]);

    let deleted = client
        .delete(service_key("booking"), Revision::new(1), "ada o'neill & co")
        .await
        .expect("delete");
    assert_eq!(deleted.version, Some(Revision::new(3)));
    assert_eq!(
        client.get(&service_key("booking")).await.expect("get"),
        None
    );
}

#[tokio::test]
async fn a_conflict_names_author_and_version_of_the_earlier_write() {
    let platform = start_platform(LOG_CAPACITY).await;
    let client = client_of(&platform);
    let key = service_key("booking");
    let put = |author: &'static str, slots| {
        let spec = service_spec("booking", slots);
        client.put(key.clone(), Revision::ZERO, author, spec)
    };
    put("ada", 8).await.expect("first write");

    let error = put("bola", 9).await.expect_err("second write");
    let text = error.to_string();
    assert_eq!(
        text,
        "6008: write of service/booking expected no object, but \"ada\" made version 1 of it"
    );
    let PlatformError::Conflict(conflict) = error else {
        panic!("not a conflict: {text}");
    };
    assert!(!conflict.earlier_attempt_unresolved);
}

#[tokio::test]
async fn deleting_an_object_that_another_writer_deleted_is_a_conflict() {
    let platform = start_platform(LOG_CAPACITY).await;
    let client = client_of(&platform);
    let key = service_key("booking");
    let spec = service_spec("booking", 8);
    client
        .put(key.clone(), Revision::ZERO, "ada", spec)
        .await
        .expect("create");
    client
        .delete(key.clone(), Revision::new(1), "ada")
        .await
        .expect("delete");
    let request = WriteRequest::delete(key, Revision::new(1), "bola");
    let error = client
        .write_with_retry(&request)
        .await
        .expect_err("second delete");
    assert_eq!(error.number(), 6008, "{error}");
}

#[tokio::test]
async fn a_watch_sends_past_events_then_a_bookmark_then_new_events() {
    let platform = start_platform(LOG_CAPACITY).await;
    let client = client_of(&platform);
    for name in ["a", "b"] {
        let spec = service_spec(name, 8);
        client
            .put(service_key(name), Revision::ZERO, "ada", spec)
            .await
            .expect("create");
    }
    let mut watch = client.watch(Revision::new(1)).await.expect("watch");
    let backlog = watch.next().await.expect("event").expect("no error");
    assert!(matches!(&backlog, WatchEvent::Put { object, .. } if object.key.name == "b"));
    let bookmark = watch.next().await.expect("event").expect("no error");
    assert_eq!(
        bookmark,
        WatchEvent::Bookmark {
            version: Revision::new(2)
        }
    );

    client
        .delete(service_key("a"), Revision::new(1), "ada")
        .await
        .expect("delete");
    let deleted = loop {
        match watch.next().await.expect("event").expect("no error") {
            WatchEvent::Bookmark { .. } => {}
            event => break event,
        }
    };
    assert!(matches!(&deleted, WatchEvent::Delete { version, .. } if version.number() == 3));
}

#[tokio::test]
async fn status_objects_have_separate_versions() {
    let platform = start_platform(LOG_CAPACITY).await;
    let client = client_of(&platform);
    let key = service_key("booking");
    let status = serde_json::json!({"in_force": 7});
    let written = client
        .put_status(key.clone(), Revision::ZERO, "reader", status.clone())
        .await
        .expect("status");
    assert_eq!(written.version, Some(Revision::new(1)));
    let read = client.get_status(&key).await.expect("get").expect("exists");
    assert_eq!(read.spec, status);
    assert_eq!(client.list().await.expect("list").version, Revision::ZERO);
}

#[tokio::test]
async fn a_lease_has_one_holder_until_it_is_released() {
    let platform = start_platform(LOG_CAPACITY).await;
    let client = client_of(&platform);
    let long = Duration::from_secs(60);
    let granted = client
        .acquire_lease("reader", "a", long)
        .await
        .expect("lease");
    assert!(matches!(granted, LeaseOutcome::Granted(_)));
    let refused = client
        .acquire_lease("reader", "b", long)
        .await
        .expect("lease");
    assert!(matches!(refused, LeaseOutcome::HeldBy(held) if held.holder == "a"));
    client.release_lease("reader", "a").await.expect("release");
    let granted = client
        .acquire_lease("reader", "b", long)
        .await
        .expect("lease");
    assert!(matches!(granted, LeaseOutcome::Granted(_)));
}

#[tokio::test]
async fn the_machine_list_follows_writes_and_deletions() {
    let platform = start_platform(LOG_CAPACITY).await;
    let client = client_of(&platform);
    let machine = machine("booking-1");
    client.put_machine(&machine).await.expect("put");
    let list = client.machines().await.expect("machines");
    assert_eq!(list.machines, [machine]);
    let known = list.version;
    let unchanged = client.machines_if_changed(known).await.expect("machines");
    assert_eq!(unchanged, None);
    client.delete_machine("booking-1").await.expect("delete");
    let changed = client.machines_if_changed(known).await.expect("machines");
    assert!(changed.is_some_and(|list| list.machines.is_empty()));
}

#[tokio::test]
async fn an_object_converts_to_a_resource_or_to_an_error_with_the_reason() {
    let platform = start_platform(LOG_CAPACITY).await;
    let client = client_of(&platform);
    let put = |key, spec| client.put(key, Revision::ZERO, "ada", spec);
    let good = put(service_key("a"), service_spec("a", 8))
        .await
        .expect("put");
    let misnamed = put(service_key("b"), service_spec("c", 8))
        .await
        .expect("put");
    let unknown = put(ObjectKey::new("quota", "d"), service_spec("d", 8))
        .await
        .expect("put");
    let malformed = put(service_key("e"), serde_json::json!({"name": "e"}))
        .await
        .expect("put");
    let convert = |receipt: wharfquay_platform::WriteReceipt| {
        resource_from_object(&receipt.object.expect("object"))
    };
    assert!(matches!(convert(good), Ok(Resource::Service(service)) if service.slots == 8));
    assert!(matches!(
        convert(misnamed),
        Err(ConversionError::NameMismatch { .. })
    ));
    assert!(matches!(
        convert(unknown),
        Err(ConversionError::UnknownKind { .. })
    ));
    let error = convert(malformed).expect_err("no slots");
    assert_eq!(
        error.to_string(),
        "6102: object service/e: spec: missing field `slots`"
    );
}

#[tokio::test]
async fn the_client_rejects_names_that_are_invalid_in_a_path() {
    let platform = start_platform(LOG_CAPACITY).await;
    let client = client_of(&platform);
    for name in ["", ".", "..", "a/b", "a b", "a?b", "ö"] {
        let error = client.get(&service_key(name)).await.expect_err("refused");
        assert_eq!(error.number(), 6012, "{name:?}: {error}");
    }
}

#[tokio::test]
async fn a_watch_from_a_version_before_the_event_log_fails() {
    let platform = start_platform(2).await;
    let client = client_of(&platform);
    for slots in 1..=4 {
        overwrite(&platform, "booking", slots, "ada");
    }
    let error = client.watch(Revision::new(1)).await.expect_err("too old");
    assert_eq!(error.number(), 6009, "{error}");
    client
        .watch(Revision::new(2))
        .await
        .expect("the event log starts after this version");
}

#[tokio::test]
async fn a_change_of_the_machine_list_is_visible_after_the_lag_and_stays_visible() {
    let platform = start_platform(LOG_CAPACITY).await;
    let client = client_of(&platform);
    let lag = |millis| FaultSwitches {
        machine_list_lag_ms: millis,
        ..FaultSwitches::default()
    };
    let machine_ids = async || -> Vec<String> {
        let list = client.machines().await.expect("machines");
        list.machines
            .into_iter()
            .map(|machine| machine.id)
            .collect()
    };
    const LONG_LAG_MS: u64 = 3_600_000;
    platform.set_faults(lag(LONG_LAG_MS));
    client
        .put_machine(&machine("booking-1"))
        .await
        .expect("put");
    assert!(machine_ids().await.is_empty());
    platform.set_faults(lag(0));
    assert_eq!(machine_ids().await, ["booking-1"]);
    platform.set_faults(lag(LONG_LAG_MS));
    client.delete_machine("booking-1").await.expect("delete");
    assert_eq!(machine_ids().await, ["booking-1"]);
}

#[test]
fn the_lag_of_the_machine_list_is_measured_from_each_change() {
    let lag = Duration::from_secs(10);
    let mut machines = Machines::default();
    machines.put(Timestamp::from_millis(1_000), machine("a"));
    machines.put(Timestamp::from_millis(3_000), machine("b"));
    // (milliseconds, machines visible, version)
    let rows = [
        (10_999, 0, 0),
        (11_000, 1, 1),
        (12_999, 1, 1),
        (13_000, 2, 2),
    ];
    for (millis, visible, version) in rows {
        let list = machines.list(Timestamp::from_millis(millis), lag);
        assert_eq!(
            (list.machines.len(), list.version),
            (visible, version),
            "at {millis} ms"
        );
    }
}

#[tokio::test]
async fn fault_switches_are_set_over_http_and_unknown_ones_rejected() {
    let platform = start_platform(LOG_CAPACITY).await;
    let address = platform.address();
    let accepted = put_faults(address, r#"{"down":true,"delay_ms":5}"#).await;
    assert!(accepted.starts_with("HTTP/1.1 200"), "{accepted}");
    let faults = platform.faults();
    assert!(faults.down && faults.delay_ms == 5);
    let rejected = put_faults(address, r#"{"dwon":false}"#).await;
    assert!(rejected.starts_with("HTTP/1.1 400"), "{rejected}");
    assert!(
        rejected.contains("unknown field `dwon`, expected one of `down`"),
        "{rejected}"
    );
    assert!(
        platform.faults().down,
        "a rejected body must not change the faults"
    );
}

async fn put_faults(address: SocketAddr, body: &str) -> String {
    let mut connection = TcpStream::connect(address).await.expect("connect");
    let request = format!(
        "PUT /v1/faults HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    connection
        .write_all(request.as_bytes())
        .await
        .expect("send");
    let mut response = String::new();
    connection
        .read_to_string(&mut response)
        .await
        .expect("read");
    response
}

fn machine(id: &str) -> Machine {
    Machine {
        id: id.to_owned(),
        zone: "ikeja".to_owned(),
        service: Some("booking".to_owned()),
        state: MachineState::Live,
        call_address: "127.0.0.1:7001".parse().expect("address"),
        control_address: "127.0.0.1:7002".parse().expect("address"),
    }
}

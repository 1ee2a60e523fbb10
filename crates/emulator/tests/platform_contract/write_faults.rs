//! Writes under faults: the client recognises a write that took effect although the response was lost,
//! and reports success, conflict or failure only if that is certain.

use std::time::Duration;

use serde_json::json;
use wharfquay_platform::wire::Object;

use wharfquay_emulator::platform::{FaultSwitches, RunningPlatform};
use wharfquay_platform::{Client, PlatformError, WriteAction, WriteReceipt, WriteRequest};
use wharfquay_resources::snapshot::Revision;

use crate::support::{
    client_with_short_timeouts, long_timeout_settings, overwrite, reserve_address, service_key,
    service_spec, short_timeout_settings, start_platform, wait_until,
};

const NAME: &str = "booking";
const AUTHOR: &str = "ada";
const OTHER_AUTHOR: &str = "bola";

#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    Create,
    Update,
    Delete,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    /// The response was received without any timeout.
    Confirmed,
    /// The write took effect; whether its response was received depends on timing.
    TookEffect,
    /// The response was lost and the client recognised the effect of the write.
    Recognised,
    /// A conflict with the other author after an attempt without a response.
    ConflictAfterOpenAttempt,
    /// The client reports that the outcome is unknown.
    Unresolved,
}

/// Event during the write.
#[derive(Clone, Debug, PartialEq)]
enum EventDuringWrite {
    NoEvent,
    /// The faults end after this many milliseconds.
    FaultsEnd(u64),
    /// The faults end as soon as the write has taken effect.
    FaultsEndOnceApplied,
    /// After this many milliseconds all faults end except reads from an older version.
    OnlyOldReadsRemain(u64),
    /// Another writer replaces the object as soon as the write has taken effect.
    Overwritten,
}

struct Case {
    name: &'static str,
    action: Action,
    faults: FaultSwitches,
    event: EventDuringWrite,
    expected: Expected,
}

fn lost_responses(count: u32) -> FaultSwitches {
    FaultSwitches {
        lose_answers: count,
        ..FaultSwitches::default()
    }
}

fn down() -> FaultSwitches {
    FaultSwitches {
        down: true,
        ..FaultSwitches::default()
    }
}

fn hanging() -> FaultSwitches {
    FaultSwitches {
        hang: true,
        ..FaultSwitches::default()
    }
}

fn old_reads() -> FaultSwitches {
    FaultSwitches {
        serve_older_version: Some(0),
        ..FaultSwitches::default()
    }
}

fn slow(delay_ms: u64) -> FaultSwitches {
    FaultSwitches {
        delay_ms,
        ..FaultSwitches::default()
    }
}

fn case(
    name: &'static str,
    action: Action,
    faults: FaultSwitches,
    event: EventDuringWrite,
    expected: Expected,
) -> Case {
    Case {
        name,
        action,
        faults,
        event,
        expected,
    }
}

fn cases() -> Vec<Case> {
    use Action::{Create, Delete, Update};
    use EventDuringWrite::{
        FaultsEnd, FaultsEndOnceApplied, NoEvent, OnlyOldReadsRemain, Overwritten,
    };
    use Expected::{Confirmed, ConflictAfterOpenAttempt, Recognised, TookEffect, Unresolved};
    let older = FaultSwitches {
        lose_answers: 1,
        ..old_reads()
    };
    let hanging_and_old = FaultSwitches {
        hang: true,
        ..old_reads()
    };
    let slow_and_lost = FaultSwitches {
        delay_ms: 40,
        ..lost_responses(1)
    };
    // Much longer than the client waits for one response.
    let too_slow = short_timeout_settings().call_timeout.as_millis() as u64 + 1_000;
    vec![
        case(
            "create, response lost",
            Create,
            lost_responses(1),
            NoEvent,
            Recognised,
        ),
        case(
            "update, response lost",
            Update,
            lost_responses(1),
            NoEvent,
            Recognised,
        ),
        case(
            "delete, response lost",
            Delete,
            lost_responses(1),
            NoEvent,
            Recognised,
        ),
        case(
            "create, response lost, reads are old",
            Create,
            older.clone(),
            NoEvent,
            Recognised,
        ),
        case(
            "update, response lost, reads are old",
            Update,
            older.clone(),
            NoEvent,
            Recognised,
        ),
        case(
            "delete, response lost, reads are old",
            Delete,
            older.clone(),
            NoEvent,
            Recognised,
        ),
        case(
            "delete, hanging for a while, reads are old",
            Delete,
            hanging_and_old,
            OnlyOldReadsRemain(500),
            TookEffect,
        ),
        case(
            "update, slow and response lost",
            Update,
            slow_and_lost.clone(),
            NoEvent,
            Recognised,
        ),
        case(
            "delete, slow and response lost",
            Delete,
            slow_and_lost,
            NoEvent,
            Recognised,
        ),
        case(
            "create, response lost, then replaced",
            Create,
            lost_responses(1),
            Overwritten,
            ConflictAfterOpenAttempt,
        ),
        case(
            "update, response lost, then replaced",
            Update,
            lost_responses(1),
            Overwritten,
            ConflictAfterOpenAttempt,
        ),
        case("create, slow", Create, slow(40), NoEvent, Confirmed),
        case(
            "create, too slow for a while",
            Create,
            slow(too_slow),
            FaultsEndOnceApplied,
            Recognised,
        ),
        case(
            "update, too slow for a while",
            Update,
            slow(too_slow),
            FaultsEndOnceApplied,
            Recognised,
        ),
        case(
            "delete, too slow for a while",
            Delete,
            slow(too_slow),
            FaultsEndOnceApplied,
            Recognised,
        ),
        case(
            "update, too slow all the time",
            Update,
            slow(too_slow),
            NoEvent,
            Unresolved,
        ),
        case(
            "create, down for a while",
            Create,
            down(),
            FaultsEnd(500),
            Confirmed,
        ),
        case(
            "delete, down for a while",
            Delete,
            down(),
            FaultsEnd(500),
            Confirmed,
        ),
        case(
            "create, down all the time",
            Create,
            down(),
            NoEvent,
            Unresolved,
        ),
        case(
            "update, hanging for a while",
            Update,
            hanging(),
            FaultsEnd(500),
            TookEffect,
        ),
    ]
}

#[tokio::test]
async fn the_result_of_a_write_states_only_what_is_known() {
    let runs = cases().into_iter().map(|case| tokio::spawn(run(case)));
    for run in runs.collect::<Vec<_>>() {
        run.await.expect("the case passes");
    }
}

async fn run(case: Case) {
    let platform = start_platform(100).await;
    let settings = match case.expected {
        Expected::Confirmed => long_timeout_settings(),
        _ => short_timeout_settings(),
    };
    let client = Client::new(vec![platform.address()], settings);
    let request = prepared_request(&platform, case.action);
    platform.set_faults(case.faults);
    let write = client.write_with_retry(&request);
    let (result, ()) = tokio::join!(write, apply_event(&platform, &request, case.event));
    let context = format!("{}: {result:?}", case.name);
    platform.set_faults(FaultSwitches::default());
    match (outcome(&result), case.expected) {
        (Some(Expected::Confirmed | Expected::Recognised), Expected::TookEffect) => {}
        (outcome, expected) => assert_eq!(outcome, Some(expected), "{context}"),
    }
    match case.expected {
        Expected::Confirmed | Expected::Recognised | Expected::TookEffect => {
            assert!(has_taken_effect(&platform, &request), "{context}");
            assert_eq!(writes_made(&platform, case.action), 1, "{context}");
        }
        Expected::ConflictAfterOpenAttempt => assert!(!has_taken_effect(&platform, &request)),
        Expected::Unresolved => {}
    }
}

fn prepared_request(platform: &RunningPlatform, action: Action) -> WriteRequest {
    let key = service_key(NAME);
    if action == Action::Create {
        return WriteRequest::put(key, Revision::ZERO, AUTHOR, service_spec(NAME, 9));
    }
    let version = overwrite(platform, NAME, 8, OTHER_AUTHOR);
    match action {
        Action::Delete => WriteRequest::delete(key, version, AUTHOR),
        _ => WriteRequest::put(key, version, AUTHOR, service_spec(NAME, 9)),
    }
}

async fn apply_event(platform: &RunningPlatform, request: &WriteRequest, event: EventDuringWrite) {
    match event {
        EventDuringWrite::NoEvent => {}
        EventDuringWrite::FaultsEnd(millis) => {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            platform.set_faults(FaultSwitches::default());
        }
        EventDuringWrite::FaultsEndOnceApplied => {
            wait_until("the write takes effect", || {
                has_taken_effect(platform, request)
            })
            .await;
            platform.set_faults(FaultSwitches::default());
        }
        EventDuringWrite::OnlyOldReadsRemain(millis) => {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            platform.set_faults(old_reads());
        }
        EventDuringWrite::Overwritten => {
            wait_until("the write takes effect", || {
                has_taken_effect(platform, request)
            })
            .await;
            overwrite(platform, NAME, 10, OTHER_AUTHOR);
        }
    }
}

fn outcome(result: &Result<WriteReceipt, PlatformError>) -> Option<Expected> {
    match result {
        Ok(receipt) if receipt.recognised_after_lost_reply => Some(Expected::Recognised),
        Ok(_) => Some(Expected::Confirmed),
        Err(PlatformError::WriteUnresolved { .. }) => Some(Expected::Unresolved),
        Err(PlatformError::Conflict(conflict)) => {
            let current = conflict.current.as_ref()?;
            let is_known = conflict.earlier_attempt_unresolved && current.author == OTHER_AUTHOR;
            is_known.then_some(Expected::ConflictAfterOpenAttempt)
        }
        Err(_) => None,
    }
}

fn has_taken_effect(platform: &RunningPlatform, request: &WriteRequest) -> bool {
    platform.with_store(|store| {
        let object = store.objects.get(&request.key);
        match request.action {
            WriteAction::Delete => object.is_none(),
            WriteAction::Put(_) => {
                object.is_some_and(|object| object.operation == request.operation)
            }
        }
    })
}

/// Returns the number of writes after the preparation of the case.
fn writes_made(platform: &RunningPlatform, action: Action) -> u64 {
    let prepared = u64::from(action != Action::Create);
    platform.with_store(|store| store.objects.version().number()) - prepared
}

#[tokio::test]
async fn a_write_without_any_connection_is_reported_as_not_applied() {
    let (_reserved, address) = reserve_address();
    let client = Client::new(vec![address], short_timeout_settings());
    let request = WriteRequest::put(
        service_key(NAME),
        Revision::ZERO,
        AUTHOR,
        service_spec(NAME, 9),
    );
    let error = client
        .write_with_retry(&request)
        .await
        .expect_err("no platform");
    assert_eq!(error.number(), 6011, "{error}");
}

#[tokio::test]
async fn of_concurrent_writers_with_lost_responses_one_wins_each_version() {
    const WRITERS: u32 = 8;
    let platform = start_platform(100).await;
    platform.set_faults(lost_responses(3));
    let writers = (0..WRITERS).map(|number| {
        let client = client_with_short_timeouts(&platform);
        tokio::spawn(async move {
            let author = format!("writer-{number}");
            let spec = service_spec(NAME, number + 1);
            let request = WriteRequest::put(service_key(NAME), Revision::ZERO, author, spec);
            (request.operation, client.write_with_retry(&request).await)
        })
    });
    let mut winners = Vec::new();
    for writer in writers.collect::<Vec<_>>() {
        match writer.await.expect("no panic") {
            (operation, Ok(_)) => winners.push(operation),
            (_, Err(error)) => assert_eq!(error.number(), 6008, "{error}"),
        }
    }
    let in_force = platform.with_store(|store| {
        let object = store.objects.get(&service_key(NAME));
        object.expect("one write took effect").operation
    });
    assert_eq!(winners, [in_force]);
}

#[tokio::test]
async fn concurrent_status_updates_with_lost_responses_are_all_applied() {
    const WRITERS: u32 = 6;
    let platform = start_platform(100).await;
    platform.set_faults(lost_responses(4));
    let writers = (0..WRITERS).map(|number| {
        let client = client_with_short_timeouts(&platform);
        tokio::spawn(async move {
            let add_writer = |current: Option<&Object>| {
                let mut spec = current.map_or_else(|| json!({}), |object| object.spec.clone());
                spec[format!("writer-{number}")] = json!(true);
                Some(spec)
            };
            let key = service_key(NAME);
            client.update_status(&key, AUTHOR, add_writer).await
        })
    });
    for writer in writers.collect::<Vec<_>>() {
        writer.await.expect("no panic").expect("update");
    }
    platform.with_store(|store| {
        let status = store.status.get(&service_key(NAME)).expect("written");
        let fields = status.spec.as_object().expect("object");
        assert_eq!(fields.len(), WRITERS as usize, "{fields:?}");
        assert_eq!(store.objects.version(), Revision::ZERO);
    });
}

//! Writes under faults: what took effect is recognised, and nothing is claimed that isn't known.

use std::time::Duration;

use serde_json::json;
use wharfquay_platform::wire::Object;

use wharfquay_emulator::platform::{FaultSwitches, RunningPlatform};
use wharfquay_platform::{Client, PlatformError, WriteAction, WriteReceipt, WriteRequest};
use wharfquay_resources::snapshot::Revision;

use crate::support::{
    eventually, hasty_client_of, hasty_client_settings, overwrite, patient_client_settings,
    reserve_address, service_key, service_spec, start_platform,
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
    /// The answer arrived; nothing timed out.
    Answered,
    /// The write took effect, and whether the answer arrived depends on timing.
    TookEffect,
    /// The answer was lost and the effect was recognised.
    Recognised,
    /// A conflict with the other author after an attempt without an answer.
    ConflictAfterOpenAttempt,
    /// Nobody knows.
    Unresolved,
}

/// What happens while the write is under way.
#[derive(Clone, Debug, PartialEq)]
enum Meanwhile {
    Nothing,
    /// The faults end after this many milliseconds.
    FaultsEnd(u64),
    /// The faults end as soon as the write has taken effect.
    FaultsEndOnceApplied,
    /// Only reads from an old state are left of the faults after this many milliseconds.
    OnlyOldReadsStay(u64),
    /// Another writer replaces the object as soon as the write has taken effect.
    Overwritten,
}

struct Case {
    name: &'static str,
    action: Action,
    faults: FaultSwitches,
    meanwhile: Meanwhile,
    expected: Expected,
}

fn lost(answers: u32) -> FaultSwitches {
    FaultSwitches {
        lose_answers: answers,
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
    meanwhile: Meanwhile,
    expected: Expected,
) -> Case {
    Case {
        name,
        action,
        faults,
        meanwhile,
        expected,
    }
}

fn cases() -> Vec<Case> {
    use Action::{Create, Delete, Update};
    use Expected::{Answered, ConflictAfterOpenAttempt, Recognised, TookEffect, Unresolved};
    use Meanwhile::{FaultsEnd, FaultsEndOnceApplied, Nothing, OnlyOldReadsStay, Overwritten};
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
        ..lost(1)
    };
    // Much longer than the client waits for one answer.
    let too_slow = hasty_client_settings().call_timeout.as_millis() as u64 + 1_000;
    vec![
        case("create, answer lost", Create, lost(1), Nothing, Recognised),
        case("update, answer lost", Update, lost(1), Nothing, Recognised),
        case("delete, answer lost", Delete, lost(1), Nothing, Recognised),
        case(
            "create, answer lost, reads are old",
            Create,
            older.clone(),
            Nothing,
            Recognised,
        ),
        case(
            "update, answer lost, reads are old",
            Update,
            older.clone(),
            Nothing,
            Recognised,
        ),
        case(
            "delete, answer lost, reads are old",
            Delete,
            older.clone(),
            Nothing,
            Recognised,
        ),
        case(
            "delete, hanging for a while, reads are old",
            Delete,
            hanging_and_old,
            OnlyOldReadsStay(500),
            TookEffect,
        ),
        case(
            "update, slow and answer lost",
            Update,
            slow_and_lost.clone(),
            Nothing,
            Recognised,
        ),
        case(
            "delete, slow and answer lost",
            Delete,
            slow_and_lost,
            Nothing,
            Recognised,
        ),
        case(
            "create, answer lost, then replaced",
            Create,
            lost(1),
            Overwritten,
            ConflictAfterOpenAttempt,
        ),
        case(
            "update, answer lost, then replaced",
            Update,
            lost(1),
            Overwritten,
            ConflictAfterOpenAttempt,
        ),
        case("create, slow", Create, slow(40), Nothing, Answered),
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
            Nothing,
            Unresolved,
        ),
        case(
            "create, down for a while",
            Create,
            down(),
            FaultsEnd(500),
            Answered,
        ),
        case(
            "delete, down for a while",
            Delete,
            down(),
            FaultsEnd(500),
            Answered,
        ),
        case(
            "create, down all the time",
            Create,
            down(),
            Nothing,
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
async fn a_write_ends_as_what_is_known_about_it() {
    let runs = cases().into_iter().map(|case| tokio::spawn(run(case)));
    for run in runs.collect::<Vec<_>>() {
        run.await.expect("the case holds");
    }
}

async fn run(case: Case) {
    let platform = start_platform(100).await;
    let settings = match case.expected {
        Expected::Answered => patient_client_settings(),
        _ => hasty_client_settings(),
    };
    let client = Client::new(vec![platform.address()], settings);
    let request = prepared_request(&platform, case.action);
    platform.set_faults(case.faults);
    let write = client.write_with_retry(&request);
    let (result, ()) = tokio::join!(write, happen(&platform, &request, case.meanwhile));
    let context = format!("{}: {result:?}", case.name);
    platform.set_faults(FaultSwitches::default());
    match (outcome(&result), case.expected) {
        (Some(Expected::Answered | Expected::Recognised), Expected::TookEffect) => {}
        (outcome, expected) => assert_eq!(outcome, Some(expected), "{context}"),
    }
    match case.expected {
        Expected::Answered | Expected::Recognised | Expected::TookEffect => {
            assert!(takes_effect(&platform, &request), "{context}");
            assert_eq!(writes_made(&platform, case.action), 1, "{context}");
        }
        Expected::ConflictAfterOpenAttempt => assert!(!takes_effect(&platform, &request)),
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

async fn happen(platform: &RunningPlatform, request: &WriteRequest, meanwhile: Meanwhile) {
    match meanwhile {
        Meanwhile::Nothing => {}
        Meanwhile::FaultsEnd(millis) => {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            platform.set_faults(FaultSwitches::default());
        }
        Meanwhile::FaultsEndOnceApplied => {
            eventually("the write takes effect", || takes_effect(platform, request)).await;
            platform.set_faults(FaultSwitches::default());
        }
        Meanwhile::OnlyOldReadsStay(millis) => {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            platform.set_faults(old_reads());
        }
        Meanwhile::Overwritten => {
            eventually("the write takes effect", || takes_effect(platform, request)).await;
            overwrite(platform, NAME, 10, OTHER_AUTHOR);
        }
    }
}

fn outcome(result: &Result<WriteReceipt, PlatformError>) -> Option<Expected> {
    match result {
        Ok(receipt) if receipt.recognised_after_lost_reply => Some(Expected::Recognised),
        Ok(_) => Some(Expected::Answered),
        Err(PlatformError::WriteUnresolved { .. }) => Some(Expected::Unresolved),
        Err(PlatformError::Conflict(conflict)) => {
            let current = conflict.current.as_ref()?;
            let told = conflict.earlier_attempt_unresolved && current.author == OTHER_AUTHOR;
            told.then_some(Expected::ConflictAfterOpenAttempt)
        }
        Err(_) => None,
    }
}

fn takes_effect(platform: &RunningPlatform, request: &WriteRequest) -> bool {
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

/// Writes since the preparation.
fn writes_made(platform: &RunningPlatform, action: Action) -> u64 {
    let prepared = u64::from(action != Action::Create);
    platform.with_store(|store| store.objects.version().number()) - prepared
}

#[tokio::test]
async fn a_write_that_never_met_a_connection_is_known_not_to_have_taken_effect() {
    let (_reserved, address) = reserve_address();
    let client = Client::new(vec![address], hasty_client_settings());
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
async fn of_many_writers_with_lost_answers_one_wins_each_version() {
    const WRITERS: u32 = 8;
    let platform = start_platform(100).await;
    platform.set_faults(lost(3));
    let writers = (0..WRITERS).map(|number| {
        let client = hasty_client_of(&platform);
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
async fn status_updates_by_many_writers_with_lost_answers_are_all_kept() {
    const WRITERS: u32 = 6;
    let platform = start_platform(100).await;
    platform.set_faults(lost(4));
    let writers = (0..WRITERS).map(|number| {
        let client = hasty_client_of(&platform);
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

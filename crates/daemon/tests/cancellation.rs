//! Tests of callers that disconnect: waiting calls are withdrawn, running calls are cancelled, and
//! no response reaches another caller.

mod support;

use std::time::Duration;

use support::client::{self, Call};
use support::deployment::{Deployment, request_kind, service};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_daemon::metrics::Side;
use wharfquay_resources::kinds::Resource;

/// Connection limit of the backend in these tests.
const CONNECTIONS: u32 = 8;

/// One service whose backend executes `slots` calls concurrently.
fn resources(slots: u32, connections: u32) -> Vec<Resource> {
    let Resource::Service(mut booking) = service("booking", &[]) else {
        unreachable!("a service was made");
    };
    booking.slots = slots;
    booking.connections = connections;
    booking.queue_wait_ms = 2_000;
    vec![
        Resource::Service(booking),
        request_kind("booking", "GET", true),
        request_kind("booking", "POST", false),
    ]
}

async fn admission(deployment: &Deployment) -> serde_json::Value {
    let admin = deployment.members[0].daemon.addresses().admin.unwrap();
    let status = client::send(admin, Call::get("admin", "/status")).await;
    serde_json::from_str::<serde_json::Value>(&status.unwrap().text()).unwrap()["admission"].clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_cancels_the_whole_chain() {
    for http2 in [false, true] {
        let deployment = Deployment::start(&["booking", "slot", "record"]).await;
        let mut call = Call::post("booking", "/call/slot/call/record/slow/60000", "");
        call.http2 = http2;
        let edge = deployment.edge_address();
        let caller = tokio::spawn(client::send(edge, call));
        let record = &deployment.members[2].backend;
        support::eventually("the last call runs", async || {
            record.executions("/slow/60000") == 1
        })
        .await;
        caller.abort();
        for member in &deployment.members {
            support::eventually("the execution is cancelled", async || {
                member.backend.cancelled() == 1
            })
            .await;
        }
        support::eventually("the slot is free", async || {
            admission(&deployment).await["in_flight"] == 0
        })
        .await;
        assert_eq!(deployment.edge.metrics().cancelled(Side::Edge), 1);
        for member in &deployment.members {
            assert_eq!(member.daemon.metrics().cancelled(Side::Inbound), 1);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_waiting_call_that_is_withdrawn_never_runs() {
    let deployment = Deployment::start_with(&["booking"], &resources(1, CONNECTIONS)).await;
    let edge = deployment.edge_address();
    let running = tokio::spawn(client::send(edge, Call::post("booking", "/slow/300", "")));
    support::eventually("the slot is taken", async || {
        admission(&deployment).await["in_flight"] == 1
    })
    .await;
    let waiting = tokio::spawn(client::send(edge, Call::post("booking", "/waiting", "")));
    support::eventually("the second call waits", async || {
        eprintln!(
            "{:?} {}",
            waiting.is_finished(),
            admission(&deployment).await
        );
        admission(&deployment).await["queued"] == 1
    })
    .await;
    waiting.abort();
    support::eventually("the second call is withdrawn", async || {
        admission(&deployment).await["queued"] == 0
    })
    .await;
    let response = running.await.unwrap().unwrap();
    assert_eq!(response.text(), "slow response");
    let next = deployment.send(Call::post("booking", "/next", "")).await;
    assert_eq!(next.text(), "response to /next");
    assert_eq!(deployment.members[0].backend.executions("/waiting"), 0);
}

/// Repeats the race of a cancellation with a dispatch: each call runs at most once, and the slot is
/// always released.
#[tokio::test(flavor = "multi_thread")]
async fn cancellations_that_race_a_dispatch_leak_no_slot() {
    let deployment = Deployment::start_with(&["booking"], &resources(1, CONNECTIONS)).await;
    let edge = deployment.edge_address();
    for round in 0..100_u64 {
        let path = format!("/race/{round}");
        let first = tokio::spawn(client::send(edge, Call::post("booking", "/echo", "a")));
        let second = tokio::spawn(client::send(edge, Call::post("booking", &path, "")));
        tokio::time::sleep(Duration::from_micros(round * 20)).await;
        second.abort();
        assert_eq!(first.await.unwrap().unwrap().text(), "POST /echo a");
        assert!(deployment.members[0].backend.executions(&path) <= 1);
    }
    support::eventually("the slot is free", async || {
        admission(&deployment).await["in_flight"] == 0
    })
    .await;
    let next = deployment.send(Call::post("booking", "/next", "")).await;
    assert_eq!(next.code(), Some(ResultCode::Answered));
}

/// Responses that were abandoned at the head, in the body or by their deadline must not reach other
/// callers.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_responses_reach_no_other_caller() {
    let deployment = Deployment::start_with(&["booking"], &resources(4, CONNECTIONS)).await;
    let edge = deployment.edge_address();
    for round in 0..50_u64 {
        let slow = Call::post("booking", "/slow/20", "").header("wharfquay-deadline-ms", "10");
        let long = client::send_head(edge, Call::post("booking", "/truncate", ""));
        let (late, long) = tokio::join!(client::send(edge, slow), long);
        drop(long);
        assert_ne!(late.unwrap().code(), Some(ResultCode::Answered));
        let own = format!("/own/{round}");
        let response = deployment.send(Call::post("booking", &own, "")).await;
        assert_eq!(response.text(), format!("response to {own}"));
    }
    let open = admission(&deployment).await["open_connections"].as_u64();
    assert!(open.unwrap() <= u64::from(CONNECTIONS), "{open:?}");
}

/// A call above the connection limit waits in the admission queue and holds no connection.
#[tokio::test(flavor = "multi_thread")]
async fn calls_above_the_connection_limit_wait_without_a_connection() {
    let deployment = Deployment::start_with(&["booking"], &resources(1, 1)).await;
    let edge = deployment.edge_address();
    let first = tokio::spawn(client::send(edge, Call::post("booking", "/slow/200", "")));
    support::eventually("the connection is taken", async || {
        admission(&deployment).await["open_connections"] == 1
    })
    .await;
    let second = deployment.send(Call::post("booking", "/second", "")).await;
    assert_eq!(second.text(), "response to /second");
    assert_eq!(first.await.unwrap().unwrap().text(), "slow response");
    let calls = (0..50).map(|_| client::send(edge, Call::post("booking", "/echo", "x")));
    let calls: Vec<_> = calls.map(tokio::spawn).collect();
    for call in calls {
        let response = call.await.unwrap().unwrap();
        let refused = response.code().unwrap().outcome() == OutcomeClass::NotRun;
        assert!(refused || response.text() == "POST /echo x", "{response:?}");
        assert_ne!(response.code(), Some(ResultCode::ConnectionLimit));
    }
    assert_eq!(deployment.members[0].backend.call_connections(), 1);
}

//! Slots, queue, connections, deadline, cancellation, drain and cold start.

use std::time::Duration;

use http::{Method, StatusCode};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use wharfquay_emulator::backend::RunningBackend;
use wharfquay_emulator::backend::faults::{Faults, HealthMode};
use wharfquay_emulator::backend::record::ExecutionState;
use wharfquay_emulator::backend::speed::cold_factor;
use wharfquay_protocol::headers;

use super::support::{
    Observed, complete_response, look, request, send, start, start_with, states, wait_until,
};

const SHORT_LIMIT: Duration = Duration::from_millis(500);

/// Sends a request that occupies a slot for 20 s on average, until its task is aborted.
fn occupy(backend: &RunningBackend, token: &str) -> tokio::task::JoinHandle<Observed> {
    let path = format!("/wait?token={token}&call={token}-1");
    let request = request(Method::GET, backend.address(), &path);
    tokio::spawn(send(request, Duration::from_secs(30)))
}

async fn get(backend: &RunningBackend, path: &str) -> serde_json::Value {
    let Observed::Response(status, body) =
        send(request(Method::GET, backend.address(), path), SHORT_LIMIT).await
    else {
        panic!("no response from {path}");
    };
    assert_eq!(status, StatusCode::OK, "{path}");
    serde_json::from_slice(&body).expect("JSON")
}

#[tokio::test]
async fn a_call_chain_responds_with_the_body_for_the_token() {
    let deep = start("deep").await;
    let front = start("front").await;
    front.set_outbound(deep.address());
    for token in ["t1", "t2"] {
        assert_eq!(look(&front, token).await, complete_response("front", token));
    }
    let calls: Vec<_> = deep
        .report()
        .executions
        .into_iter()
        .map(|e| e.call)
        .collect();
    assert!(calls[0].starts_with("t1-1.front-1-"), "{calls:?}");
}

#[tokio::test]
async fn a_request_without_a_free_slot_is_queued_and_refused_once_the_queue_is_full() {
    let deep = start_with("deep", |settings| settings.queue_limit = 1).await;
    let first = occupy(&deep, "a");
    wait_until("first runs", || states(&deep).len() == 1).await;
    let second = occupy(&deep, "b");
    wait_for_load(&deep, "queued", 1).await;
    let third = occupy(&deep, "c").await.expect("task");
    assert!(
        matches!(
            third,
            Observed::Response(StatusCode::SERVICE_UNAVAILABLE, _)
        ),
        "{third:?}"
    );
    first.abort();
    wait_until("second runs", || {
        states(&deep) == [ExecutionState::Cancelled, ExecutionState::Running]
    })
    .await;
    second.abort();
    wait_until("second is cancelled", || {
        states(&deep) == [ExecutionState::Cancelled, ExecutionState::Cancelled]
    })
    .await;
}

async fn wait_for_load(backend: &RunningBackend, field: &str, value: u64) {
    for _ in 0..1_000 {
        if get(backend, "/wharfquay/load").await[field] == value {
            return;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    panic!("{field} did not reach {value}");
}

#[tokio::test]
async fn a_connection_over_the_limit_is_closed() {
    let deep = start("deep").await;
    let mut open = Vec::new();
    for _ in 0..8 {
        open.push(TcpStream::connect(deep.address()).await.expect("connects"));
    }
    let mut excess_connection = TcpStream::connect(deep.address()).await.expect("connects");
    let mut byte = [0];
    let read = tokio::time::timeout(Duration::from_secs(5), excess_connection.read(&mut byte));
    // A closed connection is read as end of stream or as a reset.
    assert!(matches!(read.await.expect("closed"), Ok(0) | Err(_)));
    assert_eq!(deep.report().unexecuted.connections_over_limit, 1);
}

#[tokio::test]
async fn the_deadline_cancels_executions_and_queued_requests() {
    let deep = start("deep").await;
    let with_deadline = || {
        let mut request = request(Method::GET, deep.address(), "/wait?token=t&call=t-1");
        let value = http::HeaderValue::from_static("40");
        request.headers_mut().insert(headers::DEADLINE, value);
        send(request, Duration::from_secs(5))
    };
    let (first, second) = tokio::join!(with_deadline(), with_deadline());
    for got in [first, second] {
        assert!(
            matches!(got, Observed::Response(StatusCode::GATEWAY_TIMEOUT, _)),
            "{got:?}"
        );
    }
    let report = deep.report();
    assert_eq!(report.executions[0].state, ExecutionState::DeadlineExceeded);
    let cancelled = report.executions.len() as u64 + report.unexecuted.left_queue;
    assert_eq!(cancelled, 2, "{report:?}");
}

#[tokio::test]
async fn a_draining_backend_refuses_new_requests_and_completes_those_in_flight() {
    let front = start("front").await;
    let deep = start_with("deep", |settings| settings.faults.slow = 100.0).await;
    front.set_outbound(deep.address());
    let address = front.address();
    let path = "/look?token=t&call=t-1";
    let running = tokio::spawn(send(
        request(Method::GET, address, path),
        Duration::from_secs(5),
    ));
    wait_until("deep runs", || states(&deep).len() == 1).await;
    front.drain();
    assert_eq!(get(&front, "/wharfquay/health").await["state"], "leaving");
    let refused = look(&front, "u").await;
    assert!(
        matches!(
            refused,
            Observed::Response(StatusCode::SERVICE_UNAVAILABLE, _)
        ),
        "{refused:?}"
    );
    assert_eq!(front.report().unexecuted.after_drain, 1);
    deep.set_faults(Faults::default());
    assert_eq!(
        running.await.expect("task"),
        complete_response("front", "t")
    );
}

#[tokio::test]
async fn health_and_load_endpoints_report_injected_values() {
    let deep = start("deep").await;
    let running = occupy(&deep, "a");
    wait_until("runs", || states(&deep).len() == 1).await;
    let table = [
        (HealthMode::Truthful, 1.0, "live", 1),
        (HealthMode::AlwaysLeaving, 0.0, "leaving", 0),
        (HealthMode::AlwaysLive, 3.0, "live", 3),
    ];
    for (health, load_factor, state, in_flight) in table {
        deep.set_faults(Faults {
            health,
            load_factor,
            ..Faults::default()
        });
        assert_eq!(get(&deep, "/wharfquay/health").await["state"], state);
        assert_eq!(get(&deep, "/wharfquay/load").await["in_flight"], in_flight);
    }
    deep.set_faults(Faults {
        report_lag_ms: 60_000,
        ..Faults::default()
    });
    assert_eq!(
        get(&deep, "/wharfquay/load").await["in_flight"],
        0,
        "lagging"
    );
    running.abort();
}

#[test]
fn a_cold_backend_starts_three_times_slower_and_speeds_up_linearly() {
    let cold_start = Duration::from_secs(4);
    let table = [(0, 3.0), (1, 2.5), (2, 2.0), (4, 1.0), (9, 1.0)];
    for (age, factor) in table {
        let got = cold_factor(Duration::from_secs(age), cold_start);
        assert!((got - factor).abs() < 1e-9, "age {age} s: {got}");
    }
}

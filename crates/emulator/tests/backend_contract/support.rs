//! A scenario of two services and a client of its backends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use wharfquay_emulator::backend::record::ExecutionState;
use wharfquay_emulator::backend::{BackendSettings, RunningBackend};
use wharfquay_emulator::response_body;
use wharfquay_emulator::scenario::Scenario;

const SCENARIO: &str = r#"
name = "two"
zones = ["a"]
latency = { same_zone_us = 100, between_zones_us = 500, client_us = 1000 }
callers = { attempts = 1, retry_wait_ms = 50, impatient_share = 0.0 }

[[service]]
name = "front"
backends = 1
slots = 4
connections = 8
connect_us = 0

[[service]]
name = "deep"
backends = 1
slots = 1
connections = 8
connect_us = 0

[[request]]
kind = "look"
method = "GET"
path = "/look"
entry = "front"
priority = 2
deadline_ms = 1000
repeatable = true
rate = 10.0
step = [
    { service = "front", work_us = 1000, calls = ["deep"] },
    { service = "deep", work_us = 1000 },
]

[[request]]
kind = "wait"
method = "GET"
path = "/wait"
entry = "deep"
priority = 2
deadline_ms = 60000
repeatable = true
rate = 10.0
step = [{ service = "deep", work_us = 20000000 }]
"#;

/// Result of a request, as its client sees it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Observed {
    /// A complete response.
    Response(StatusCode, Bytes),
    /// The connection closed before a complete response.
    ConnectionClosed,
    /// No complete response within the time limit.
    Timeout,
}

pub(crate) fn scenario() -> Arc<Scenario> {
    Arc::new(Scenario::parse("two.toml", SCENARIO).expect("scenario parses"))
}

pub(crate) async fn start(service: &str) -> RunningBackend {
    start_with(service, |_| {}).await
}

pub(crate) async fn start_with(
    service: &str,
    change: impl FnOnce(&mut BackendSettings),
) -> RunningBackend {
    let mut settings = BackendSettings::new(scenario(), service, &format!("{service}-1"));
    change(&mut settings);
    RunningBackend::start(settings).await.expect("starts")
}

pub(crate) fn client() -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new()).build_http()
}

pub(crate) fn request(
    method: Method,
    address: SocketAddr,
    path_and_query: &str,
) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path_and_query}"))
        .body(Full::default())
        .expect("request")
}

/// Sends a request and waits at most `limit` for its complete response.
pub(crate) async fn send(request: Request<Full<Bytes>>, limit: Duration) -> Observed {
    let exchange = async {
        let Ok(response) = client().request(request).await else {
            return Observed::ConnectionClosed;
        };
        let status = response.status();
        match response.into_body().collect().await {
            Ok(body) => Observed::Response(status, body.to_bytes()),
            Err(_) => Observed::ConnectionClosed,
        }
    };
    tokio::time::timeout(limit, exchange)
        .await
        .unwrap_or(Observed::Timeout)
}

/// Sends `GET /look` with this token and waits at most 500 ms.
pub(crate) async fn look(backend: &RunningBackend, token: &str) -> Observed {
    let path = format!("/look?token={token}&call={token}-1");
    let request = request(Method::GET, backend.address(), &path);
    send(request, Duration::from_millis(500)).await
}

/// Returns the complete response of `service` to this token.
pub(crate) fn complete_response(service: &str, token: &str) -> Observed {
    Observed::Response(StatusCode::OK, response_body::render(service, token))
}

pub(crate) fn states(backend: &RunningBackend) -> Vec<ExecutionState> {
    let executions = backend.report().executions;
    executions.iter().map(|execution| execution.state).collect()
}

/// Polls until `holds` returns true; panics after five seconds.
pub(crate) async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let limit = Instant::now() + Duration::from_secs(5);
    while !holds() {
        assert!(Instant::now() < limit, "not within five seconds: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

//! Bytes that are no response, without end, from the backend: calls, refusals and health checks keep
//! their limits on time and connections, and other requests are served meanwhile.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use support::backend::Behaviour;
use support::client::{call, new_request_id, request};
use support::endless::{EndlessPart, EndlessPeer};
use support::platform::EmulatedPlatform;
use support::{Machine, configuration, dialect, eventually, route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wharfquay_daemon::clock::Clock;
use wharfquay_sidecar::configuration::Service;
use wharfquay_sidecar::inbound::backend::LocalBackend;
use wharfquay_sidecar::settings::RetryBounds;

/// Timeout of the routes in these tests, with time for the response.
const ROUTE_LIMIT: Duration = Duration::from_millis(2_500);
/// Maximum time of a request that is served while others get no end.
const SERVED_WITHIN: Duration = Duration::from_millis(500);
/// Heads whose body does not end: of a response, and of a refusal.
const RESPONSE: &str = "HTTP/1.1 200 OK\r\ntest-request-id: endless\r\ntest-signature: s\r\n";
const REFUSAL: &str = "HTTP/1.1 503 Full\r\ntest-request-id: endless\r\ntest-not-executed: 1\r\n";

async fn machine() -> (Arc<EmulatedPlatform>, Machine) {
    let routes = vec![route("/writes/", "shelf", false)];
    let platform = Arc::new(EmulatedPlatform::new(Some(configuration(1, routes))));
    let machine = Machine::start(&platform, "machine-a", "shelf").await;
    machine.ready().await;
    let end = Instant::now() + support::MAX_WAIT;
    while write(&machine, &new_request_id()).await != 200 {
        assert!(Instant::now() < end, "never served");
    }
    (platform, machine)
}

async fn write(machine: &Machine, id: &str) -> u16 {
    let text = request("POST", "/writes/1", id, "Content-Length: 2\r\n") + "{}";
    call(machine.outbound, &text).await.status
}

/// Guards against a request, a connection or the whole process that is held by bytes without end.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_with_a_response_without_end_ends_and_others_are_served() {
    let parts = [
        EndlessPart::Head,
        EndlessPart::Interim,
        EndlessPart::Junk,
        EndlessPart::Body(RESPONSE),
        EndlessPart::Body(REFUSAL),
    ];
    let (_platform, machine) = machine().await;
    for part in parts {
        machine.backend.expect(&[Behaviour::Endless(part)]);
        let address = machine.outbound;
        let started = Instant::now();
        let endless = tokio::spawn(async move {
            let text = request("POST", "/writes/1", "endless", "Content-Length: 2\r\n") + "{}";
            // The response to a body without end breaks off, which the helper takes for an error.
            tokio::spawn(async move { call(address, &text).await.status }).await
        });
        eventually("the backend sends without end, or has", || {
            machine.backend.endless_responses() > 0 || endless.is_finished()
        })
        .await;
        let sent = Instant::now();
        assert_eq!(write(&machine, &new_request_id()).await, 200, "{part:?}");
        assert!(sent.elapsed() < SERVED_WITHIN, "{part:?}");
        let ended = tokio::time::timeout(ROUTE_LIMIT, endless).await;
        if let Ok(status) = ended.expect("the request ends in time").unwrap() {
            assert_ne!(status, 200, "{part:?}");
        }
        eventually("the connection is closed", || {
            machine.backend.endless_responses() == 0
        })
        .await;
        assert!(started.elapsed() < ROUTE_LIMIT + SERVED_WITHIN, "{part:?}");
    }
}

/// Guards against a body without end that is relayed beyond the deadline of its request, because it is
/// sent as fast as it is read.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_is_cut_at_the_deadline_of_its_request() {
    let (_platform, machine) = machine().await;
    let part = EndlessPart::Body(RESPONSE);
    machine.backend.expect(&[Behaviour::Endless(part)]);
    let mut stream = TcpStream::connect(machine.outbound).await.unwrap();
    let text = request("POST", "/writes/1", "endless", "Content-Length: 2\r\n") + "{}";
    stream.write_all(text.as_bytes()).await.unwrap();
    let started = Instant::now();
    let mut piece = vec![0; 64 * 1024];
    let reading = async { while let Ok(1..) = stream.read(&mut piece).await {} };
    let read = tokio::time::timeout(ROUTE_LIMIT, reading).await;
    assert!(read.is_ok(), "still sent after {:?}", started.elapsed());
    eventually("the connection is closed", || {
        machine.backend.endless_responses() == 0
    })
    .await;
}

/// Guards against a health check that holds a connection, memory or the process.
#[tokio::test]
async fn a_health_check_with_a_response_without_end_ends() {
    let parts = [
        EndlessPart::Head,
        EndlessPart::Interim,
        EndlessPart::Junk,
        EndlessPart::Body("HTTP/1.1 200 OK\r\ntest-instance: machine-a-1\r\n"),
    ];
    for part in parts {
        let peer = EndlessPeer::start(part).await;
        let retries = RetryBounds::default();
        let backend = LocalBackend::new("shelf", peer.address, dialect(), Clock::start(), retries);
        backend.configure(&Service {
            health_path: "/health".to_owned(),
            connections: 64,
        });
        let started = Instant::now();
        let report = backend.check_health().await;
        let is_complete = matches!(part, EndlessPart::Body(_));
        assert_eq!(report.is_some(), is_complete, "{part:?}");
        assert!(started.elapsed() < SERVED_WITHIN, "{part:?}");
        eventually("the connection is closed", || peer.open() == 0).await;
    }
}

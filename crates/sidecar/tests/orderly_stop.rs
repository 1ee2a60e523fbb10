//! Tests of the orderly stop: no response is cut, and no request is lost with its connection.

mod support;

use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use support::backend::Behaviour;
use support::client::{Connection, request};
use support::platform::EmulatedPlatform;
use support::{Machine, configuration, eventually, route};

/// More than the buffers of two sockets hold, so most of it waits in the sidecar for its reader.
const LONG_BODY: usize = 24 * 1024 * 1024;
/// Time after which the caller reads the response: later than a sidecar without calls stops, and
/// earlier than the grace period ends.
const READING_PAUSE: Duration = Duration::from_millis(1_000);
/// Starts two machines. The first runs another service than the one that the route leads to.
async fn caller_and_callee() -> (Machine, Machine) {
    let routes = configuration(1, vec![route("/shelf/", "shelf", false)]);
    let platform = Arc::new(EmulatedPlatform::new(Some(routes)));
    let caller = Machine::start(&platform, "machine-a", "counter").await;
    let callee = Machine::start(&platform, "machine-b", "shelf").await;
    caller.ready().await;
    let both = "wharfquay_members{state=\"alive\"} 2";
    eventually("the sidecars have discovered each other", || {
        caller.sidecar.metrics_text().contains(both)
    })
    .await;
    (caller, callee)
}

/// Guards against a planned stop that cuts the response to a caller that reads slowly: the calls are
/// complete, but the sidecar still holds what its caller has not read.
#[tokio::test]
async fn a_stop_waits_until_responses_are_written() {
    let (caller, callee) = caller_and_callee().await;
    callee.backend.expect(&[Behaviour::Long(LONG_BODY)]);
    let mut connection = Connection::open(caller.outbound).await;
    connection
        .send(&request("GET", "/shelf/1", "long", ""))
        .await;
    eventually("the request runs", || callee.backend.executed().len() == 1).await;
    let sidecar = Arc::clone(&caller.sidecar);
    let stop = tokio::spawn(async move { sidecar.stop().await });
    tokio::time::sleep(READING_PAUSE).await;
    assert!(!stop.is_finished(), "stopped with a response in progress");
    let response = connection.response().await.expect("a whole response");
    assert_eq!((response.status, response.body.len()), (200, LONG_BODY));
    stop.await.unwrap();
}

/// Guards against requests that are lost with connections that a process has not accepted when it
/// ends: the kernel accepts them as long as there is a listener.
#[tokio::test]
async fn a_stopped_sidecar_refuses_connections() {
    let (caller, _callee) = caller_and_callee().await;
    caller.sidecar.stop().await;
    for address in [caller.outbound, caller.inbound, caller.control] {
        let connected = TcpStream::connect(address).map_err(|error| error.kind());
        assert_eq!(connected.err(), Some(ErrorKind::ConnectionRefused));
    }
}

//! Bodies of requests that are cut on their way through two sidecars.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::client::{Connection, call, new_request_id, request};
use support::platform::EmulatedPlatform;
use support::{Machine, configuration, eventually, route};

/// More than the part of a body that a sidecar reads before it starts the request.
const FIRST_PART: usize = 200 * 1024;
/// Time in which a body that was cut would reach the backend as a complete one.
const OBSERVATION: Duration = Duration::from_millis(300);

/// Where an upload is cut.
#[derive(Clone, Copy, Debug)]
enum Cut {
    CallerCloses,
    StopOfTheCallersSidecar,
    StopOfTheBackendsSidecar,
}

/// Uploads a part of a body in chunks, cuts it, and returns what the backend then executed besides the
/// first request.
async fn executed_after(cut: Cut) -> usize {
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
    let first = request("GET", "/shelf/1", &new_request_id(), "");
    assert_eq!(call(caller.outbound, &first).await.status, 200);
    let begun = callee.backend.begun();
    let mut connection = Connection::open(caller.outbound).await;
    let chunked = "Transfer-Encoding: chunked\r\n";
    let head = request("POST", "/shelf/2", &new_request_id(), chunked);
    let chunk = format!("{FIRST_PART:x}\r\n{}\r\n", "x".repeat(FIRST_PART));
    connection.send(&(head + &chunk)).await;
    eventually("the backend reads the body", || {
        callee.backend.begun() > begun
    })
    .await;
    match cut {
        Cut::CallerCloses => drop(connection),
        Cut::StopOfTheCallersSidecar => caller.sidecar.stop().await,
        Cut::StopOfTheBackendsSidecar => callee.sidecar.stop().await,
    }
    tokio::time::sleep(OBSERVATION).await;
    callee.backend.executed().len() - 1
}

/// Guards against a part of a body that reaches a backend as a complete one, wherever it was cut.
#[tokio::test]
async fn a_cut_body_is_complete_at_no_hop() {
    for cut in [
        Cut::CallerCloses,
        Cut::StopOfTheCallersSidecar,
        Cut::StopOfTheBackendsSidecar,
    ] {
        assert_eq!(executed_after(cut).await, 0, "{cut:?}");
    }
}

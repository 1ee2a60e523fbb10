//! Callers that stop reading for some time.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::backend::Behaviour;
use support::client::{Connection, call, new_request_id, request};
use support::platform::EmulatedPlatform;
use support::{Machine, configuration, eventually, route};

/// Size of a response that a sidecar reads completely before it relays it, in bytes; more than the
/// receive buffer of the caller.
const BODY: usize = 180 * 1024;
/// Size of the caller's receive buffer in bytes.
const RECEIVE_BUFFER: u32 = 8 * 1024;
/// Longer than the time after which unacknowledged bytes show that a peer is unreachable.
const READING_PAUSE: Duration = Duration::from_secs(3);

/// Guards against a caller that loses its response because it reads nothing for three seconds: its
/// window is closed meanwhile, which is no sign that it is unreachable.
#[tokio::test]
async fn a_caller_that_pauses_for_three_seconds_gets_the_whole_response() {
    let routes = configuration(1, vec![route("/shelf/", "shelf", true)]);
    let platform = Arc::new(EmulatedPlatform::new(Some(routes)));
    let machine = Machine::start(&platform, "machine-a", "shelf").await;
    machine.ready().await;
    let first = request("GET", "/shelf/1", &new_request_id(), "");
    assert_eq!(call(machine.outbound, &first).await.status, 200);
    machine.backend.expect(&[Behaviour::Long(BODY)]);
    let mut connection = Connection::open_with_buffer(machine.outbound, RECEIVE_BUFFER).await;
    let text = request("GET", "/shelf/2", &new_request_id(), "");
    connection.send(&text).await;
    eventually("the request executes", || {
        machine.backend.executed().len() == 2
    })
    .await;
    tokio::time::sleep(READING_PAUSE).await;
    let response = connection.response().await.expect("the whole response");
    assert_eq!((response.status, response.body.len()), (200, BODY));
}

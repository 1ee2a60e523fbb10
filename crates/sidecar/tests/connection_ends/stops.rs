//! What a stop at any moment leaves of pipelined requests.

use std::time::Duration;

use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use tokio::runtime::Runtime;
use wharfquay_sidecar::outbound::connection::lifecycle::ConnectionEnd;
use wharfquay_sidecar::stop_phase::StopPhase;

use super::server::Server;
use super::support::client::{Connection, Response, new_request_id, request};

const CASES: u32 = 60;
/// Maximum time that a request takes, in milliseconds.
const MAX_WORK_MS: u64 = 60;
/// Maximum time between two steps of the caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 20;
/// Size of the part of a chunked body; some bodies are held in memory, others are streamed.
const MAX_BODY: usize = 100 * 1024;

/// One request of a caller.
#[derive(Clone, Debug)]
struct Call {
    /// Time before it is sent, in milliseconds.
    pause_ms: u64,
    work_ms: u64,
    /// Size of its body, which is sent in one chunk; `None` for a request without a body.
    body: Option<usize>,
}

impl Call {
    fn path(&self) -> String {
        format!("/wait/{}", self.work_ms)
    }

    fn text(&self, id: &str) -> String {
        let Some(size) = self.body else {
            return request("GET", &self.path(), id, "");
        };
        let head = request("POST", &self.path(), id, "Transfer-Encoding: chunked\r\n");
        head + &format!("{size:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(size))
    }
}

fn calls() -> impl Strategy<Value = Vec<Call>> {
    let call = (0..MAX_PAUSE_MS, 0..MAX_WORK_MS, option::of(1..MAX_BODY));
    let call = call.prop_map(|(pause_ms, work_ms, body)| Call {
        pause_ms,
        work_ms,
        body,
    });
    vec(call, 1..8)
}

/// Sends requests on one connection while the server stops, and returns the responses in their order.
async fn responses(
    server: &Server,
    connection: &mut Connection,
    calls: &[Call],
    stop_ms: u64,
) -> Vec<Response> {
    let ids: Vec<String> = calls.iter().map(|_| new_request_id()).collect();
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(stop_ms)).await;
        server.advance(StopPhase::Draining);
    };
    let sending = async {
        for (call, id) in calls.iter().zip(&ids) {
            tokio::time::sleep(Duration::from_millis(call.pause_ms)).await;
            // The server may have closed the connection.
            connection.try_send(&call.text(id)).await;
        }
    };
    tokio::join!(stopping, sending);
    let mut received = Vec::new();
    for _ in calls {
        let Some(response) = connection.response().await else {
            break;
        };
        let closes = response.header("connection") == Some("close");
        received.push(response);
        if closes {
            break;
        }
    }
    received
}

async fn check(calls: &[Call], stop_ms: u64) -> Result<(), TestCaseError> {
    let mut server = Server::start().await;
    let mut connection = Connection::open(server.address).await;
    let received = responses(&server, &mut connection, calls, stop_ms).await;
    let started = server.handled.started();
    prop_assert_eq!(
        received.len(),
        started.len(),
        "one response to each request that was started"
    );
    for (number, (response, call)) in received.iter().zip(calls).enumerate() {
        prop_assert_eq!((response.status, response.text()), (200, call.path()));
        let closes = response.header("connection") == Some("close");
        prop_assert!(
            !closes || number + 1 == received.len(),
            "a response after the last one"
        );
    }
    if received.len() < calls.len() {
        let last = received.last();
        let announced = last.and_then(|response| response.header("connection"));
        prop_assert_eq!(announced, Some("close"), "an end without an announcement");
    }
    server.advance(StopPhase::Closing);
    if received.len() < calls.len() {
        // The server would wait for this after it has closed its side.
        drop(connection);
    }
    let end = server.connection_end().await;
    prop_assert!(
        matches!(end, ConnectionEnd::Complete | ConnectionEnd::Idle),
        "{:?}",
        end
    );
    let cut = server.cut(ConnectionEnd::Stopped) + server.cut(ConnectionEnd::CallerGone);
    prop_assert_eq!(
        (cut, server.handled.cancelled(), server.in_flight()),
        (0, 0, 0)
    );
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, ..ProptestConfig::default() })]

    /// Guards against a stop that cuts a request which was taken, answers one out of turn, or ends a
    /// connection without saying so, whatever is in progress and whatever arrives meanwhile.
    #[test]
    fn a_stop_answers_exactly_what_was_taken(calls in calls(), stop_ms in 0..120_u64) {
        Runtime::new().unwrap().block_on(check(&calls, stop_ms))?;
    }
}

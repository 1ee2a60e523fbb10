//! How connections of callers end: for each reason, which requests are executed and what the caller
//! receives.

mod bodies;
mod server;
mod stops;
#[path = "../support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use server::{IDLE_TIMEOUT, ReceivedBody, Server};
use support::client::{Connection, Response, new_request_id, request};
use support::{eventually, log_lines};
use wharfquay_sidecar::outbound::connection::lifecycle::ConnectionEnd;
use wharfquay_sidecar::stop_phase::StopPhase;

/// More than the part of a body that is read before its request is started.
const LONG_BODY: usize = 200 * 1024;
/// Time for which a request that must not be started is observed.
const OBSERVATION: Duration = Duration::from_millis(150);

fn get(path: &str) -> String {
    request("GET", path, &new_request_id(), "")
}

/// Sends requests for these paths at once, without waiting for a response.
async fn pipeline(connection: &mut Connection, paths: &[&str]) {
    let text: String = paths.iter().map(|path| get(path)).collect();
    connection.send(&text).await;
}

async fn started(server: &Server, count: usize) {
    let handled = &server.handled;
    eventually("the requests are started", || {
        handled.started().len() == count
    })
    .await;
}

fn announces_close(response: &Response) -> bool {
    response.header("connection") == Some("close")
}

/// Reads the responses to these paths. Only the last one may announce the end of the connection, and
/// must do so if `is_last` is set.
async fn assert_answered(connection: &mut Connection, paths: &[&str], is_last: bool) {
    for (number, path) in paths.iter().enumerate() {
        let response = connection.response().await.expect("a whole response");
        assert_eq!((response.status, response.text().as_str()), (200, *path));
        let must_close = is_last && number + 1 == paths.len();
        assert_eq!(announces_close(&response), must_close, "{}", response.head);
    }
}

/// Guards against a stop that answers the first request of a connection and cancels those behind it,
/// which backends execute.
#[tokio::test]
async fn a_stop_answers_every_request_that_was_taken() {
    let mut server = Server::start().await;
    let mut connection = Connection::open(server.address).await;
    let paths = ["/wait/100", "/wait/300", "/wait/200"];
    pipeline(&mut connection, &paths).await;
    started(&server, paths.len()).await;
    server.advance(StopPhase::Draining);
    assert_answered(&mut connection, &paths, true).await;
    assert!(connection.is_closed().await);
    drop(connection);
    assert_eq!(server.connection_end().await, ConnectionEnd::Complete);
    assert_eq!(
        (server.handled.answered(), server.handled.cancelled()),
        (3, 0)
    );
}

/// Guards against a stop that goes on as long as a caller sends requests, and against requests that
/// are executed though the connection ends before them.
#[tokio::test]
async fn a_stop_takes_no_request_behind_those_in_progress() {
    let server = Server::start().await;
    let mut connection = Connection::open(server.address).await;
    pipeline(&mut connection, &["/wait/300"]).await;
    started(&server, 1).await;
    server.advance(StopPhase::Draining);
    pipeline(&mut connection, &["/late/1", "/late/2"]).await;
    assert_answered(&mut connection, &["/wait/300"], true).await;
    assert!(connection.is_closed().await);
    assert_eq!(server.handled.started(), ["/wait/300"]);
}

/// Guards against a stop that refuses the callers of open connections before they could notice it,
/// and against one that takes more than one request from each.
#[tokio::test]
async fn a_stop_takes_one_more_request_from_an_idle_connection() {
    let server = Server::start().await;
    let mut connection = Connection::open(server.address).await;
    pipeline(&mut connection, &["/first"]).await;
    assert_answered(&mut connection, &["/first"], false).await;
    server.advance(StopPhase::Draining);
    tokio::time::sleep(OBSERVATION).await;
    pipeline(&mut connection, &["/wait/50", "/third"]).await;
    assert_answered(&mut connection, &["/wait/50"], true).await;
    assert!(connection.is_closed().await);
    assert_eq!(server.handled.started(), ["/first", "/wait/50"]);
}

/// Guards against a stop that drops a request of which a part has arrived while nothing else is in
/// progress on its connection.
#[tokio::test]
async fn a_stop_answers_a_request_that_arrives_in_parts() {
    let server = Server::start().await;
    let body = "x".repeat(1_000);
    let length = format!("Content-Length: {}\r\n", body.len());
    let text = request("POST", "/parts", &new_request_id(), &length) + &body;
    for cut in [20, text.len() - 500] {
        let mut connection = Connection::open(server.address).await;
        connection.send(&text[..cut]).await;
        tokio::time::sleep(OBSERVATION).await;
        server.advance(StopPhase::Draining);
        tokio::time::sleep(OBSERVATION).await;
        connection.send(&text[cut..]).await;
        assert_answered(&mut connection, &["/parts"], true).await;
    }
}

/// Guards against connections that wait for requests after the listener was closed.
#[tokio::test]
async fn idle_connections_close_at_the_end_of_a_stop() {
    let mut server = Server::start().await;
    let mut connection = Connection::open(server.address).await;
    pipeline(&mut connection, &["/first"]).await;
    assert_answered(&mut connection, &["/first"], false).await;
    server.advance(StopPhase::Closing);
    assert!(connection.is_closed().await);
    assert_eq!(server.connection_end().await, ConnectionEnd::Idle);
}

/// Guards against a caller that keeps sending on an open connection and thereby keeps it from
/// closing.
#[tokio::test]
async fn a_caller_that_keeps_sending_does_not_keep_the_connection_open() {
    let mut server = Server::start().await;
    let mut connection = Connection::open(server.address).await;
    pipeline(&mut connection, &["/wait/100"]).await;
    started(&server, 1).await;
    server.advance(StopPhase::Draining);
    let sending = tokio::spawn(async move {
        while connection.try_send(&get("/more")).await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    assert_eq!(server.connection_end().await, ConnectionEnd::Complete);
    sending.await.unwrap();
    assert_eq!(server.handled.started(), ["/wait/100"]);
}

/// Guards against requests that the end of the grace period cuts without a trace.
#[tokio::test]
async fn the_end_of_the_grace_period_reports_each_request_that_it_cuts() {
    log_lines::capture();
    let mut server = Server::start().await;
    let mut connection = Connection::open(server.address).await;
    let ids = [new_request_id(), new_request_id()];
    for id in &ids {
        connection
            .send(&request("GET", "/wait/60000", id, ""))
            .await;
    }
    started(&server, ids.len()).await;
    server.advance(StopPhase::Draining);
    server.advance(StopPhase::Cutting);
    assert_eq!(server.connection_end().await, ConnectionEnd::Stopped);
    assert!(connection.response().await.is_none());
    assert_eq!(server.cut(ConnectionEnd::Stopped), ids.len());
    assert_eq!(server.in_flight(), 0);
    for id in &ids {
        let lines = log_lines::about_request("request_cut", id);
        assert!(
            matches!(&lines[..], [line] if line.contains("reason=stopped sent=none")),
            "{lines:?}"
        );
    }
    eventually("both are cancelled", || server.handled.cancelled() == 2).await;
}

/// Guards against a last request that takes the ones before it along, or is followed by others.
#[tokio::test]
async fn a_request_to_close_is_the_last_one_and_all_are_answered() {
    let mut server = Server::start().await;
    let mut connection = Connection::open(server.address).await;
    let close = request("GET", "/close", &new_request_id(), "Connection: close\r\n");
    let text = get("/wait/200") + &close + &get("/behind");
    connection.send(&text).await;
    assert_answered(&mut connection, &["/wait/200", "/close"], true).await;
    assert!(connection.is_closed().await);
    drop(connection);
    assert_eq!(server.connection_end().await, ConnectionEnd::Complete);
    assert_eq!(server.handled.started(), ["/wait/200", "/close"]);
}

/// Guards against a rejected request that takes those before it along.
#[tokio::test]
async fn a_rejected_request_is_the_last_one_and_all_are_answered() {
    let mut server = Server::start().await;
    let mut connection = Connection::open(server.address).await;
    let text = get("/wait/200") + "nonsense\r\n\r\n" + &get("/behind");
    connection.send(&text).await;
    assert_answered(&mut connection, &["/wait/200"], false).await;
    let rejection = connection.response().await.expect("a rejection");
    assert_eq!(rejection.status, 400);
    assert!(announces_close(&rejection));
    assert!(connection.is_closed().await);
    drop(connection);
    assert_eq!(server.connection_end().await, ConnectionEnd::Complete);
    assert_eq!(server.handled.started(), ["/wait/200"]);
}

/// Guards against two responses to one request: its own, and one to the rest of its body, which is
/// malformed or late.
#[tokio::test]
async fn a_request_whose_body_breaks_off_gets_one_response() {
    for rest in ["no chunk\r\n", ""] {
        let mut server = Server::with_idle_timeout(Duration::from_millis(400)).await;
        let mut connection = Connection::open(server.address).await;
        let chunked = "Transfer-Encoding: chunked\r\n";
        let head = request("POST", "/broken", &new_request_id(), chunked);
        let chunk = format!("{LONG_BODY:x}\r\n{}\r\n", "x".repeat(LONG_BODY));
        connection
            .send(&(get("/wait/200") + &head + &chunk + rest))
            .await;
        assert_answered(&mut connection, &["/wait/200"], false).await;
        let response = connection.response().await.expect("a response");
        let received = (response.status, response.text());
        assert_eq!(received, (502, "/broken".to_owned()));
        assert!(announces_close(&response));
        assert!(connection.response().await.is_none(), "a second response");
        drop(connection);
        assert_eq!(server.connection_end().await, ConnectionEnd::Complete);
        assert_eq!(server.handled.started(), ["/wait/200", "/broken"]);
        let broken = ReceivedBody::Broken;
        assert!(server.handled.bodies().contains(&broken));
    }
}

/// Guards against a task that fails and takes the requests behind it along.
#[tokio::test]
async fn a_failed_task_gets_a_failure_and_the_other_requests_are_answered() {
    log_lines::capture();
    let server = Server::start().await;
    let mut connection = Connection::open(server.address).await;
    let failing = new_request_id();
    let text = get("/wait/50") + &request("GET", "/panic", &failing, "") + &get("/wait/100");
    connection.send(&text).await;
    assert_answered(&mut connection, &["/wait/50"], false).await;
    let failure = connection.response().await.expect("a response");
    assert_eq!(failure.status, 502);
    assert_eq!(failure.header("test-request-id"), Some(failing.as_str()));
    assert_answered(&mut connection, &["/wait/100"], false).await;
    pipeline(&mut connection, &["/after"]).await;
    assert_answered(&mut connection, &["/after"], false).await;
    assert_eq!(
        log_lines::about_request("request_failed", &failing).len(),
        1
    );
}

/// Guards against an idle time that counts from the arrival of the last request: a caller that waits
/// for a long response then loses its connection shortly after it.
#[tokio::test]
async fn the_idle_timeout_counts_from_the_last_response() {
    let idle_timeout = Duration::from_millis(600);
    let mut server = Server::with_idle_timeout(idle_timeout).await;
    let mut connection = Connection::open(server.address).await;
    pipeline(&mut connection, &["/wait/450"]).await;
    assert_answered(&mut connection, &["/wait/450"], false).await;
    tokio::time::sleep(idle_timeout / 2).await;
    pipeline(&mut connection, &["/again"]).await;
    assert_answered(&mut connection, &["/again"], false).await;
    let last = Instant::now();
    assert_eq!(server.connection_end().await, ConnectionEnd::Idle);
    assert!(last.elapsed() >= idle_timeout / 2, "{:?}", last.elapsed());
    assert!(connection.is_closed().await);
}

/// Guards against an idle timeout that ends a connection with requests in progress.
#[tokio::test]
async fn the_idle_timeout_does_not_apply_while_requests_are_in_progress() {
    let server = Server::with_idle_timeout(Duration::from_millis(100)).await;
    let mut connection = Connection::open(server.address).await;
    let paths = ["/wait/350", "/wait/250"];
    pipeline(&mut connection, &paths).await;
    assert_answered(&mut connection, &paths, false).await;
    assert!(connection.is_closed().await);
}

/// Guards against work for a caller that is gone. The end of its input counts as well.
#[tokio::test]
async fn requests_of_a_caller_that_is_gone_are_cancelled() {
    for closes_completely in [true, false] {
        let mut server = Server::start().await;
        let mut connection = Connection::open(server.address).await;
        pipeline(&mut connection, &["/wait/60000", "/wait/60000"]).await;
        started(&server, 2).await;
        match closes_completely {
            true => drop(connection),
            false => connection.end_input().await,
        }
        assert_eq!(server.connection_end().await, ConnectionEnd::CallerGone);
        assert_eq!(server.cut(ConnectionEnd::CallerGone), 2);
        eventually("both are cancelled", || server.handled.cancelled() == 2).await;
    }
}

/// Guards against a request that is counted as cut though its response was written.
#[tokio::test]
async fn answered_requests_do_not_count_as_cut() {
    let mut server = Server::with_idle_timeout(IDLE_TIMEOUT).await;
    let mut connection = Connection::open(server.address).await;
    pipeline(&mut connection, &["/one", "/two"]).await;
    assert_answered(&mut connection, &["/one", "/two"], false).await;
    drop(connection);
    server.connection_end().await;
    let cut: usize = ConnectionEnd::ALL.map(|end| server.cut(end)).iter().sum();
    assert_eq!((cut, server.in_flight()), (0, 0));
}

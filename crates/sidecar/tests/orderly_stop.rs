//! Tests of the orderly stop: no response is cut, and no request is lost with its connection.

mod support;

use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use support::backend::Behaviour;
use support::client::{Connection, call, new_request_id, request};
use support::platform::EmulatedPlatform;
use support::{Machine, configuration, eventually, log_lines, route};

/// More than the buffers of two sockets hold, so most of it waits in the sidecar for its reader.
const LONG_BODY: usize = 24 * 1024 * 1024;
/// Time after which the caller reads the response: later than a sidecar without calls stops, and
/// earlier than the grace period ends.
const READING_PAUSE: Duration = Duration::from_millis(1_000);
/// Longer than the grace period of a stop.
const ENDLESS: Duration = Duration::from_secs(30);
/// Limit of the response bodies that a sidecar buffers, in bytes, and some more.
const STREAMED_BODY: usize = 1024 * 1024;

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

/// Serves one request, after which the sidecar beside the backend knows that no rate limit holds back
/// the next ones.
async fn serve_one(caller: &Machine) {
    let text = request("GET", "/shelf/first", &new_request_id(), "");
    assert_eq!(call(caller.outbound, &text).await.status, 200);
}

/// Waits until a number of requests after the first have begun to execute.
async fn executing(callee: &Machine, count: usize) {
    let executed = || callee.backend.executed().len();
    eventually("the requests execute", || executed() == count + 1).await;
}

/// Sends requests on one connection without waiting for a response, and returns their ids.
async fn pipeline(connection: &mut Connection, count: usize) -> Vec<String> {
    let ids: Vec<String> = (0..count).map(|_| new_request_id()).collect();
    let texts = ids.iter().map(|id| request("GET", "/shelf/1", id, ""));
    connection.send(&texts.collect::<String>()).await;
    ids
}

/// Captures the log and starts two requests on one connection that do not end by themselves. Returns
/// the connection and their ids.
async fn two_endless_requests(caller: &Machine, callee: &Machine) -> (Connection, Vec<String>) {
    log_lines::capture();
    serve_one(caller).await;
    callee.backend.set_service_time(ENDLESS);
    let mut connection = Connection::open(caller.outbound).await;
    let ids = pipeline(&mut connection, 2).await;
    executing(callee, 2).await;
    (connection, ids)
}

fn spawn_stop(machine: &Machine) -> tokio::task::JoinHandle<()> {
    let sidecar = Arc::clone(&machine.sidecar);
    tokio::spawn(async move { sidecar.stop().await })
}

/// Guards against a planned stop that answers the first request of a connection and cancels those
/// behind it, which backends execute.
#[tokio::test]
async fn a_stop_answers_pipelined_requests() {
    let (caller, callee) = caller_and_callee().await;
    serve_one(&caller).await;
    let times = [200, 500].map(|millis| Behaviour::Slow(Duration::from_millis(millis)));
    callee.backend.expect(&times);
    let mut connection = Connection::open(caller.outbound).await;
    let ids = pipeline(&mut connection, times.len()).await;
    executing(&callee, times.len()).await;
    let stop = spawn_stop(&caller);
    for (number, id) in ids.iter().enumerate() {
        let response = connection.response().await.expect("a whole response");
        assert_eq!(response.status, 200);
        assert_eq!(response.header("test-request-id"), Some(id.as_str()));
        let is_last = number + 1 == ids.len();
        assert_eq!(response.header("connection").is_some(), is_last);
    }
    assert!(connection.is_closed().await);
    stop.await.unwrap();
    assert_eq!(callee.backend.abandoned(), 0);
}

/// Guards against a stop that cuts requests of callers and doesn't report them.
#[tokio::test]
async fn a_stop_reports_each_request_that_it_cuts() {
    let (caller, callee) = caller_and_callee().await;
    let (mut connection, ids) = two_endless_requests(&caller, &callee).await;
    spawn_stop(&caller).await.unwrap();
    assert!(connection.response().await.is_none());
    for id in &ids {
        let lines = log_lines::about_request("request_cut", id);
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert!(lines[0].contains("reason=stopped"), "{lines:?}");
    }
    let stopped = log_lines::of_event("stopped");
    assert!(
        stopped.contains(&"event=stopped calls_cut=0 responses_cut=2".to_owned()),
        "{stopped:?}"
    );
    eventually("the backend notices", || callee.backend.abandoned() == 2).await;
}

/// Guards against a stop that cuts calls of other sidecars and doesn't report them. Their callers
/// learn that the calls may have been executed.
#[tokio::test]
async fn a_stop_reports_each_call_that_it_cuts() {
    let (caller, callee) = caller_and_callee().await;
    let (mut connection, ids) = two_endless_requests(&caller, &callee).await;
    spawn_stop(&callee).await.unwrap();
    for id in &ids {
        let response = connection.response().await.expect("a response");
        assert_eq!(response.status, 502, "{}", response.head);
        assert_eq!(log_lines::about_request("call_cut", id).len(), 1);
    }
    let stopped = log_lines::of_event("stopped");
    assert!(
        stopped.contains(&"event=stopped calls_cut=2 responses_cut=0".to_owned()),
        "{stopped:?}"
    );
}

/// Guards against requests that are cut without a trace behind a response that breaks off: nothing
/// can follow it on its connection.
#[tokio::test]
async fn a_response_that_breaks_off_ends_the_connection_and_is_reported() {
    log_lines::capture();
    let (caller, callee) = caller_and_callee().await;
    serve_one(&caller).await;
    // The first response holds back the others until all three requests execute.
    let behaviours = [
        Behaviour::Slow(Duration::from_millis(800)),
        Behaviour::TruncateLong(STREAMED_BODY),
        Behaviour::Slow(ENDLESS),
    ];
    callee.backend.expect(&behaviours);
    let mut connection = Connection::open(caller.outbound).await;
    let mut ids = Vec::new();
    for count in 1..=behaviours.len() {
        ids.extend(pipeline(&mut connection, 1).await);
        executing(&callee, count).await;
    }
    let first = connection.response().await.expect("a whole response");
    assert_eq!(first.status, 200);
    assert!(connection.response().await.is_none(), "it looks complete");
    for (id, sent) in ids[1..].iter().zip(["partial", "none"]) {
        let expected = format!("reason=response_broken sent={sent}");
        let lines = log_lines::about_request("request_cut", id);
        assert!(
            matches!(&lines[..], [line] if line.contains(&expected)),
            "{lines:?}"
        );
    }
}

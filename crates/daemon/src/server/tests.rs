//! Tests of what becomes of requests on connections that a stop closes.

use std::io::{Read, Write};
use std::net::TcpStream as Caller;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::{Protocols, builder, serve};
use crate::body::ResponseBody;
use crate::settings::LimitSettings;

const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a request is executed.
const EXECUTION_TIME: Duration = Duration::from_millis(200);

/// Guards against requests that are lost with their connection: they have arrived when the process
/// stops, but were not read yet.
#[tokio::test]
async fn a_request_that_was_not_read_before_the_stop_gets_a_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = Caller::connect(listener.local_addr().unwrap()).unwrap();
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: booking\r\n\r\n")
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let stop = CancellationToken::new();
    stop.cancel();
    let builder = builder(Protocols::Any, &LimitSettings::default());
    serve(builder, stream, stop, |_| async {
        let mut refusal = Response::new(ResponseBody::from_bytes("draining"));
        *refusal.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        refusal
    })
    .await;
    caller.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut response = String::new();
    let read = caller.read_to_string(&mut response);
    assert!(
        response.starts_with("HTTP/1.1 503"),
        "{read:?}: {response:?}"
    );
}

/// What a caller received on a connection, and how many of its requests were executed.
struct Served {
    received: String,
    executed: usize,
}

/// Sends two requests at once on one connection and stops while the first is executed.
async fn stop_within_the_first_of_two_requests() -> Served {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = Caller::connect(listener.local_addr().unwrap()).unwrap();
    caller
        .write_all(
            b"GET /1 HTTP/1.1\r\nhost: booking\r\n\r\nGET /2 HTTP/1.1\r\nhost: booking\r\n\r\n",
        )
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let stop = CancellationToken::new();
    let executed = Arc::new(AtomicUsize::new(0));
    let (stopping, counter) = (stop.clone(), Arc::clone(&executed));
    let builder = builder(Protocols::Any, &LimitSettings::default());
    serve(builder, stream, stop, move |_| {
        counter.fetch_add(1, Ordering::Relaxed);
        stopping.cancel();
        async {
            tokio::time::sleep(EXECUTION_TIME).await;
            Response::new(ResponseBody::from_bytes("done"))
        }
    })
    .await;
    caller.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut received = Vec::new();
    // A reset after the response is an end as well.
    let _ = caller.read_to_end(&mut received);
    Served {
        received: String::from_utf8(received).unwrap(),
        executed: executed.load(Ordering::Relaxed),
    }
}

/// Guards against a stop that executes a request and closes its connection without the response: a
/// request behind the one in progress is not executed.
#[tokio::test]
async fn a_stop_answers_each_request_that_it_executes() {
    let served = stop_within_the_first_of_two_requests().await;
    let received = &served.received;
    assert_eq!(served.executed, 1);
    assert_eq!(received.matches("HTTP/1.1 200 OK").count(), 1, "{received}");
    assert!(received.contains("connection: close"), "{received}");
}

/// Guards against a stop that cuts streams of an HTTP/2 connection which are in progress, and
/// against a handler that fails and takes the other streams of its connection along.
#[tokio::test]
async fn streams_in_progress_survive_a_stop_and_a_failed_handler() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connected = tokio::net::TcpStream::connect(address).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let stop = CancellationToken::new();
    let stopping = stop.clone();
    let builder = builder(Protocols::Http2, &LimitSettings::default());
    tokio::spawn(serve(builder, stream, stop, move |request: Request<_>| {
        let fails = request.uri().path() == "/fails";
        async move {
            tokio::time::sleep(EXECUTION_TIME).await;
            assert!(!fails, "this handler fails");
            Response::new(ResponseBody::from_bytes("done"))
        }
    }));
    let executor = TokioExecutor::new();
    let handshake = hyper::client::conn::http2::handshake(executor, TokioIo::new(connected));
    let (mut sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    let mut send = |path| {
        let request = Request::get(format!("http://booking{path}"));
        sender.send_request(request.body(String::new()).unwrap())
    };
    let responses = (send("/one"), send("/fails"), send("/two"));
    let stopped = async {
        tokio::time::sleep(EXECUTION_TIME / 2).await;
        stopping.cancel();
    };
    let (one, failed, two, ()) = tokio::join!(responses.0, responses.1, responses.2, stopped);
    assert!(failed.is_err(), "{failed:?}");
    for response in [one, two] {
        assert_eq!(response.expect("a response").status(), StatusCode::OK);
    }
}

//! Tests of how the end of an HTTP/2 stream is classified: a request counts as unprocessed only if
//! the peer reports that.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use support::UnusedPort;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wharfquay_daemon::body::RequestBody;
use wharfquay_daemon::peers::{PeerError, PeerPool};

const TIMEOUT: Duration = Duration::from_secs(1);
const HEADER_BYTES: u32 = 16_384;

/// Types and error codes of HTTP/2 frames.
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const GOAWAY: u8 = 7;
const NO_ERROR: u32 = 0;
const INTERNAL_ERROR: u32 = 2;
const REFUSED_STREAM: u32 = 7;
const CANCEL: u32 = 8;

const PREFACE_LENGTH: usize = 24;
const FRAME_HEAD_LENGTH: usize = 9;
/// The stream of the first request on a connection.
const FIRST_STREAM: u32 = 1;

fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let mut bytes = length[1..].to_vec();
    bytes.extend([kind, 0]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

fn reset(code: u32) -> Vec<u8> {
    frame(RST_STREAM, FIRST_STREAM, &code.to_be_bytes())
}

fn go_away(last_stream: u32, code: u32) -> Vec<u8> {
    let payload = [last_stream.to_be_bytes(), code.to_be_bytes()].concat();
    frame(GOAWAY, 0, &payload)
}

/// Reads until the head of the first request has arrived.
async fn read_request(stream: &mut TcpStream) {
    let mut preface = [0; PREFACE_LENGTH];
    stream.read_exact(&mut preface).await.unwrap();
    loop {
        let mut head = [0; FRAME_HEAD_LENGTH];
        stream.read_exact(&mut head).await.unwrap();
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
        let mut payload = vec![0; length as usize];
        stream.read_exact(&mut payload).await.unwrap();
        if head[3] == HEADERS {
            return;
        }
    }
}

/// Starts a peer that accepts one request, sends `final_frames` and closes the connection.
async fn peer(final_frames: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.write_all(&frame(SETTINGS, 0, &[])).await.unwrap();
        read_request(&mut stream).await;
        stream.write_all(&final_frames).await.unwrap();
        stream.shutdown().await.unwrap();
    });
    address
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    NotSent,
    Unprocessed,
    Lost,
}

async fn outcome(address: SocketAddr) -> Expected {
    let pool = PeerPool::new(TIMEOUT, HEADER_BYTES);
    let request = Request::builder()
        .uri("http://booking/echo")
        .body(RequestBody::Held(None))
        .unwrap();
    match pool.send(address, request).await.unwrap_err() {
        PeerError::NotSent(_) => Expected::NotSent,
        PeerError::Unprocessed => Expected::Unprocessed,
        PeerError::Lost => Expected::Lost,
    }
}

#[tokio::test]
async fn a_request_is_unprocessed_only_if_the_peer_reports_it() {
    let cases = [
        ("closed", Vec::new(), Expected::Lost),
        ("refused", reset(REFUSED_STREAM), Expected::Unprocessed),
        ("cancelled", reset(CANCEL), Expected::Lost),
        ("failed", reset(INTERNAL_ERROR), Expected::Lost),
        (
            "stopped before it",
            go_away(0, NO_ERROR),
            Expected::Unprocessed,
        ),
        (
            "failed before it",
            go_away(0, INTERNAL_ERROR),
            Expected::Unprocessed,
        ),
        (
            "stopped after it",
            go_away(FIRST_STREAM, NO_ERROR),
            Expected::Lost,
        ),
        (
            "failed after it",
            go_away(FIRST_STREAM, INTERNAL_ERROR),
            Expected::Lost,
        ),
    ];
    for (what, final_frames, expected) in cases {
        let address = peer(final_frames).await;
        assert_eq!(outcome(address).await, expected, "{what}");
    }
}

#[tokio::test]
async fn a_request_to_an_unreachable_peer_is_not_sent() {
    let unused_port = UnusedPort::bind();
    assert_eq!(outcome(unused_port.address()).await, Expected::NotSent);
}

/// Guards against a lost request: a closing listener resets the connections in its accept queue.
#[tokio::test]
async fn a_request_is_not_sent_before_the_peer_accepts_the_connection() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let closing = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        drop(listener);
    };
    let (outcome, ()) = tokio::join!(outcome(address), closing);
    assert_eq!(outcome, Expected::NotSent);
}

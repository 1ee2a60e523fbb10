use std::borrow::Cow;
use std::net::SocketAddr;

use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use wharfquay_core::call::{OriginId, Repeatability};
use wharfquay_core::priority::{AdmissionLevel, Priority};

use super::*;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const TIME_LIMIT: Duration = Duration::from_secs(5);
/// Maximum time of a refusal, and maximum time after it until its connection is closed.
const REFUSAL_LIMIT: Duration = Duration::from_millis(400);
const TRICKLE_PAUSE: Duration = Duration::from_millis(10);
static PIECE: [u8; 64 * 1024] = [b'x'; 64 * 1024];

/// What a peer sends after its response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Rest {
    /// Nothing; it closes the connection.
    Nothing,
    /// Bytes without end, as fast as the link allows.
    Endless,
    /// Single bytes without end, with a pause after each.
    Trickle,
}

/// Starts a peer that sends each connection one response, whatever it receives. The receiver gets a
/// message when a connection has ended.
async fn peer(response: String, rest: Rest) -> (SocketAddr, mpsc::UnboundedReceiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (ended, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut received = [0; 4_096];
            let _ = stream.read(&mut received).await;
            let _ = stream.write_all(response.as_bytes()).await;
            let piece: &[u8] = if rest == Rest::Trickle { b"x" } else { &PIECE };
            while rest != Rest::Nothing && stream.write_all(piece).await.is_ok() {
                if rest == Rest::Trickle {
                    tokio::time::sleep(TRICKLE_PAUSE).await;
                }
            }
            let _ = ended.send(());
        }
    });
    (address, receiver)
}

/// Returns the head of a refusal of an attempt.
fn refusal(attempt: Option<AttemptId>, framing: &str) -> String {
    let metadata = attempt.map(|attempt| {
        let metadata = ResponseMetadata::unloaded(attempt, RetryAllowance::NONE);
        format!("{}: {}\r\n", names::RESPONSE_METADATA, metadata.encode())
    });
    let code = ResultCode::RefusedByBackend.number();
    let metadata = metadata.unwrap_or_default();
    format!(
        "HTTP/1.1 503 No\r\n{}: {code}\r\n{metadata}{framing}\r\n",
        names::RESULT
    )
}

fn context(clock: &Clock, attempt: AttemptId) -> CallContext {
    CallContext {
        origin: OriginId::from_u128(1),
        attempt,
        request_kind: "write".to_owned(),
        priority: Priority::HIGHEST,
        deadline: clock.now() + TIME_LIMIT,
        allowance: RetryAllowance::NONE,
        repeatability: Repeatability::AtMostOnce,
        idempotency_key: None,
        depth: 0,
        admitted_below: AdmissionLevel::OPEN,
        is_repeat: false,
        fingerprint: None,
        terminated_backends: 0,
        rank: None,
    }
}

/// Sends an attempt to a peer and returns the result code.
async fn send_to(address: SocketAddr, attempt: AttemptId) -> ResultCode {
    let clock = Clock::start();
    let pool = BackendPool::new(address, 1, CONNECT_TIMEOUT);
    let head = RequestHead {
        method: Method::DELETE,
        target: "/writes/1".parse().unwrap(),
        headers: HeaderMap::new(),
    };
    let callee = Callee {
        service: Cow::Borrowed("shelf"),
        sidecar: Cow::Borrowed("machine-a"),
    };
    let context = context(&clock, attempt);
    let body = RequestBody::Held(None);
    let outcome = send(&pool, &clock, &head, &context, &callee, body).await;
    outcome.result.err().expect("the peer refuses").code
}

/// Guards against a refusal that is believed for an attempt that it does not belong to, which would
/// then be sent again although it may be executed.
#[tokio::test]
async fn only_a_refusal_that_names_the_attempt_is_believed() {
    let attempt = AttemptId::new(7);
    let cases = [
        (Some(attempt), ResultCode::RefusedByBackend),
        (None, ResultCode::MalformedAnswer),
        (Some(AttemptId::new(8)), ResultCode::MalformedAnswer),
    ];
    for (refused, expected) in cases {
        let response = refusal(refused, "content-length: 0\r\n");
        let (address, _ended) = peer(response, Rest::Nothing).await;
        assert_eq!(send_to(address, attempt).await, expected, "{refused:?}");
    }
}

/// Guards against a call, or a connection, that is held by a refusal of another sidecar whose body
/// does not end.
#[tokio::test]
async fn a_refusal_without_end_holds_neither_the_call_nor_its_connection() {
    let attempt = AttemptId::new(7);
    for rest in [Rest::Endless, Rest::Trickle] {
        let (address, mut ended) = peer(refusal(Some(attempt), ""), rest).await;
        let sending = tokio::time::timeout(REFUSAL_LIMIT, send_to(address, attempt));
        assert_eq!(sending.await, Ok(ResultCode::RefusedByBackend));
        let closed = tokio::time::timeout(REFUSAL_LIMIT, ended.recv()).await;
        assert_eq!(closed, Ok(Some(())), "the connection is closed");
    }
}

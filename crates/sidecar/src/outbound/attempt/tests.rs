use std::borrow::Cow;
use std::net::SocketAddr;

use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use wharfquay_core::call::{OriginId, Repeatability};
use wharfquay_core::priority::{AdmissionLevel, Priority};

use super::*;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Starts a peer that sends each connection one response, whatever it receives.
async fn peer(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut received = [0; 4_096];
            let _ = stream.read(&mut received).await;
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

fn refusal(attempt: Option<AttemptId>) -> String {
    let metadata = attempt.map(|attempt| {
        let metadata = ResponseMetadata::unloaded(attempt, RetryAllowance::NONE);
        format!("{}: {}\r\n", names::RESPONSE_METADATA, metadata.encode())
    });
    let code = ResultCode::RefusedByBackend.number();
    let metadata = metadata.unwrap_or_default();
    format!(
        "HTTP/1.1 503 No\r\n{}: {code}\r\n{metadata}content-length: 0\r\n\r\n",
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

/// Sends an attempt to a peer that refuses the attempt with this id.
async fn send_to_peer(attempt: AttemptId, refused: Option<AttemptId>) -> ResultCode {
    let clock = Clock::start();
    let pool = BackendPool::new(peer(refusal(refused)).await, 1, CONNECT_TIMEOUT);
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
    let named = send_to_peer(attempt, Some(attempt)).await;
    assert_eq!(named, ResultCode::RefusedByBackend);
    for refused in [None, Some(AttemptId::new(8))] {
        let code = send_to_peer(attempt, refused).await;
        assert_eq!(code, ResultCode::MalformedAnswer, "{refused:?}");
    }
}

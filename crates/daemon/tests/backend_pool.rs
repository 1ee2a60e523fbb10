//! Tests of the backend connection pool: a connection is reused after a complete response and
//! closed otherwise.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::Request;
use http_body_util::BodyExt;
use support::UnusedPort;
use support::backend::BackendStub;
use wharfquay_clock::since_boot;
use wharfquay_daemon::backend_pool::{BackendError, BackendPool, Lease, RequestKey, SendError};
use wharfquay_daemon::body::{BodyEnd, BodyObserver, RequestBody};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum wait for an expected state.
const MAX_WAIT: Duration = Duration::from_secs(10);

fn request(path: &str) -> Request<RequestBody> {
    Request::builder()
        .uri(path)
        .header("host", "booking")
        .body(RequestBody::Held(None))
        .unwrap()
}

/// Runs one call on a lease up to the end of the response body and reports `end` to the lease.
async fn exchange(backend: &BackendStub, mut lease: Lease, path: &str, end: BodyEnd) {
    let response = lease.send(request(path)).await.unwrap();
    if path == "/truncate" {
        backend.truncate.notify_one();
    }
    let body = response.into_body().collect().await;
    assert_eq!(body.is_ok(), end == BodyEnd::Complete || path == "/echo");
    Box::new(lease).ended(end);
}

/// Guards against a refusal by the connection limit while the connection of the previous call is
/// about to become ready.
#[tokio::test]
async fn a_connection_is_reused_after_a_complete_response() {
    let backend = BackendStub::start().await;
    let pool = BackendPool::new(backend.address, 1, CONNECT_TIMEOUT);
    for _ in 0..100 {
        let lease = pool.checkout().await.unwrap();
        exchange(&backend, lease, "/echo", BodyEnd::Complete).await;
    }
    assert_eq!(backend.connections(), 1);
}

/// Guards against connections that stay open after the surge that needed them.
#[tokio::test]
async fn connections_idle_for_too_long_are_closed() {
    let backend = BackendStub::start().await;
    let max_idle_time = Duration::from_millis(40);
    let pool = BackendPool::with_max_idle_time(
        backend.address,
        8,
        CONNECT_TIMEOUT,
        max_idle_time,
        since_boot,
    );
    let mut leases = Vec::new();
    for _ in 0..3 {
        leases.push(pool.checkout().await.unwrap());
    }
    for lease in leases {
        exchange(&backend, lease, "/echo", BodyEnd::Complete).await;
    }
    assert_eq!(pool.open_connections(), 3);
    let end = Instant::now() + MAX_WAIT;
    while pool.open_connections() > 0 {
        assert!(Instant::now() < end, "{} open", pool.open_connections());
        tokio::time::sleep(Duration::from_millis(5)).await;
        pool.close_idle();
    }
}

static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

fn suspendable() -> Duration {
    since_boot() + Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed))
}

/// During a suspension of the machine the backend may close an idle connection, although the steady
/// clock does not advance. Reusing the connection would fail the next call.
#[tokio::test]
async fn a_connection_idle_through_a_suspension_is_not_reused() {
    let backend = BackendStub::start().await;
    let max_idle_time = Duration::from_secs(5);
    let pool = BackendPool::with_max_idle_time(
        backend.address,
        8,
        CONNECT_TIMEOUT,
        max_idle_time,
        suspendable,
    );
    for (suspended_ms, connections) in [(0, 1), (0, 1), (5_000, 2)] {
        SUSPENDED_MS.fetch_add(suspended_ms, Ordering::Relaxed);
        let lease = pool.checkout().await.unwrap();
        exchange(&backend, lease, "/echo", BodyEnd::Complete).await;
        assert_eq!(backend.connections(), connections);
    }
}

#[tokio::test]
async fn a_connection_is_closed_after_an_incomplete_response() {
    let backend = BackendStub::start().await;
    let pool = BackendPool::new(backend.address, 1, CONNECT_TIMEOUT);
    let ends = [
        ("/echo", BodyEnd::Failed),
        ("/echo", BodyEnd::Abandoned),
        ("/truncate", BodyEnd::Failed),
    ];
    for (number, (path, end)) in ends.into_iter().enumerate() {
        exchange(&backend, pool.checkout().await.unwrap(), path, end).await;
        assert_eq!(pool.open_connections(), 0, "{path} {end:?}");
        assert_eq!(backend.connections(), number + 1, "{path} {end:?}");
    }
    drop(pool.checkout().await.unwrap());
    assert_eq!(pool.open_connections(), 0);
}

#[tokio::test]
async fn the_connection_limit_is_enforced() {
    let backend = BackendStub::start().await;
    let pool = BackendPool::new(backend.address, 2, CONNECT_TIMEOUT);
    let first = pool.checkout().await.unwrap();
    let _second = pool.checkout().await.unwrap();
    assert_eq!(
        pool.checkout().await.unwrap_err(),
        BackendError::ConnectionLimit
    );
    let waiting = tokio::spawn({
        let pool = pool.clone();
        async move { pool.checkout().await.is_ok() }
    });
    tokio::task::yield_now().await;
    exchange(&backend, first, "/echo", BodyEnd::Complete).await;
    assert!(waiting.await.unwrap());
    assert_eq!(backend.connections(), 2);
}

#[tokio::test]
async fn failed_connection_attempts_do_not_count_against_the_limit() {
    let unused_port = UnusedPort::bind();
    let address = unused_port.address();
    let pool = BackendPool::new(address, 1, CONNECT_TIMEOUT);
    for _ in 0..3 {
        assert_eq!(
            pool.checkout().await.unwrap_err(),
            BackendError::ConnectFailed
        );
        assert_eq!(pool.open_connections(), 0);
    }
}

/// Guards against an untrue "not executed": a request that was written to a connection in the accept
/// queue of a listener that closes looks like one that was lost during its execution.
#[tokio::test]
async fn a_request_lost_with_the_accept_queue_may_have_been_executed() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let pool = BackendPool::new(address, 1, CONNECT_TIMEOUT);
    let mut lease = pool.checkout().await.unwrap();
    let closing = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        drop(listener);
    };
    let (sent, ()) = tokio::join!(lease.send(request("/echo")), closing);
    let lost = matches!(sent, Err(SendError::Failed(BackendError::Lost)));
    assert!(lost, "{sent:?}");
}

async fn exchange_identified(backend: &BackendStub, pool: &Arc<BackendPool>, id: &str) {
    let lease = pool.checkout_for(RequestKey::of(id)).await.unwrap();
    exchange(backend, lease, "/echo", BodyEnd::Complete).await;
}

/// Guards against a late response to one sending of a request that is taken for the response to its
/// next sending, also where the connection limit leaves no room for a second connection.
#[tokio::test]
async fn a_connection_carries_a_request_once() {
    const CASES: [(usize, &[&str], usize); 2] =
        [(1, &["a", "a", "b", "a"], 3), (8, &["a", "a", "b"], 2)];
    for (limit, ids, connections) in CASES {
        let backend = BackendStub::start().await;
        let pool = BackendPool::new(backend.address, limit, CONNECT_TIMEOUT);
        for id in ids {
            exchange_identified(&backend, &pool, id).await;
        }
        assert_eq!(backend.connections(), connections, "limit {limit}");
    }
}

/// Guards against memory for the requests of a connection that grows as long as it is open.
#[tokio::test]
async fn a_connection_is_closed_when_it_can_remember_no_further_request() {
    const MAX_REQUESTS_PER_CONNECTION: usize = 512;
    let backend = BackendStub::start().await;
    let pool = BackendPool::new(backend.address, 1, CONNECT_TIMEOUT);
    for number in 0..=MAX_REQUESTS_PER_CONNECTION {
        exchange_identified(&backend, &pool, &number.to_string()).await;
    }
    assert_eq!(backend.connections(), 2);
}

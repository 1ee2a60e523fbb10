//! Bytes that are no response, without end: the pool's limits on time, memory and connections.

#[path = "support/endless.rs"]
mod endless;

use std::time::{Duration, Instant};

use endless::{EndlessPart, EndlessPeer};
use http::Request;
use wharfquay_daemon::backend_pool::{BackendPool, SendError};
use wharfquay_daemon::body::RequestBody;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for a head without end to be given up.
const HEAD_LIMIT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that a peer can send: those that are read, and those in socket buffers.
const MAX_BYTES: usize = 16 * 1024 * 1024;
/// Number of concurrent responses without end.
const CONCURRENT: usize = 8;

async fn send(pool: &std::sync::Arc<BackendPool>) -> Result<(), SendError> {
    let mut lease = pool.checkout().await.unwrap();
    let request = Request::get("/x").header("host", "shelf");
    let request = request.body(RequestBody::Held(None)).unwrap();
    lease.send(request).await.map(|_| ())
}

/// Guards against a process that is blocked, or grows, while peers send heads, interim responses or
/// junk without end.
#[tokio::test]
async fn a_response_head_without_end_is_given_up() {
    for part in [EndlessPart::Head, EndlessPart::Interim, EndlessPart::Junk] {
        let peer = EndlessPeer::start(part).await;
        let pool = BackendPool::new(peer.address, CONCURRENT, CONNECT_TIMEOUT);
        let started = Instant::now();
        let sending = (0..CONCURRENT).map(|_| {
            let pool = std::sync::Arc::clone(&pool);
            tokio::spawn(async move { send(&pool).await })
        });
        for sent in sending.collect::<Vec<_>>() {
            assert!(sent.await.unwrap().is_err(), "{part:?}");
        }
        let took = started.elapsed();
        assert!(took < HEAD_LIMIT * CONCURRENT as u32, "{part:?}: {took:?}");
        let end = Instant::now() + HEAD_LIMIT;
        while peer.open() + pool.open_connections() > 0 {
            assert!(Instant::now() < end, "{part:?}: connections stay open");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let sent = peer.sent();
        assert!(sent < MAX_BYTES * CONCURRENT, "{part:?}: {sent} bytes");
    }
}

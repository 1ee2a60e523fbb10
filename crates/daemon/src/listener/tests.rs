//! Tests of what becomes of connections when a listener closes.

use std::net::TcpStream as Caller;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio_util::sync::CancellationToken;

use super::BoundListener;
use crate::metrics::Metrics;

const CALLERS: usize = 8;

/// Guards against requests that are lost with the connections in the accept queue: closing the
/// listener resets them, and no caller can tell whether its request was executed.
#[tokio::test]
async fn connections_in_the_accept_queue_are_served_after_the_stop() {
    let bound = BoundListener::bind(([127, 0, 0, 1], 0).into())
        .await
        .unwrap();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| Caller::connect(bound.address))
        .collect();
    let stop = CancellationToken::new();
    stop.cancel();
    let served = AtomicUsize::new(0);
    let count = |_| {
        served.fetch_add(1, Ordering::Relaxed);
    };
    bound.accept_until(stop, &Metrics::default(), count).await;
    assert!(callers.iter().all(Result::is_ok));
    assert_eq!(served.into_inner(), CALLERS);
}

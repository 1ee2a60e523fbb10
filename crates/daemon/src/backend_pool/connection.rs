//! One connection of the pool, in use or idle.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;
use wharfquay_core::time::Timestamp;

use crate::body::RequestBody;

/// Counts one connection as open until it is dropped.
#[derive(Debug)]
pub(super) struct ConnectionSlot(Arc<AtomicUsize>);

impl ConnectionSlot {
    /// Takes over a count that the caller has already added to `open`.
    pub(super) const fn new(open: Arc<AtomicUsize>) -> Self {
        Self(open)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Number of connections that this process has opened to backends and peers.
static OPENED_CONNECTIONS: AtomicU64 = AtomicU64::new(0);

/// Which connection carries a request, and its position among the requests on that connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Number of the connection, unique in this process.
    pub connection: u64,
    /// Number of requests that were passed to the connection so far.
    pub exchanges: u32,
}

/// An open connection; dropping it closes it.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<RequestBody>,
    task: AbortHandle,
    usage: ConnectionUse,
    _slot: ConnectionSlot,
}

impl Connection {
    pub(super) fn new(
        sender: SendRequest<RequestBody>,
        task: AbortHandle,
        slot: ConnectionSlot,
    ) -> Self {
        Self {
            sender,
            task,
            usage: ConnectionUse {
                connection: OPENED_CONNECTIONS.fetch_add(1, Ordering::Relaxed) + 1,
                exchanges: 0,
            },
            _slot: slot,
        }
    }

    pub(super) const fn usage(&self) -> ConnectionUse {
        self.usage
    }

    /// Counts a request that is passed to the connection.
    pub(super) const fn count_exchange(&mut self) {
        self.usage.exchanges = self.usage.exchanges.saturating_add(1);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An idle connection of the pool.
#[derive(Debug)]
pub(super) struct IdleConnection {
    pub(super) connection: Connection,
    pub(super) since: Timestamp,
    pub(super) max_idle_time: Duration,
}

impl IdleConnection {
    /// True if the connection is open and has not been idle for too long.
    pub(super) fn is_usable(&self, now: Timestamp) -> bool {
        let idle_time = now.saturating_since(self.since);
        !self.connection.sender.is_closed() && idle_time < self.max_idle_time
    }
}

/// Closes the connections that have been idle for too long. The connection that became idle last is
/// reused first, so after a surge the surplus connections stay idle and expire.
pub(super) fn close_idle(idle: &mut Vec<IdleConnection>, now: Timestamp) {
    let unusable = idle
        .iter()
        .take_while(|idle_connection| !idle_connection.is_usable(now));
    let count = unusable.count();
    idle.drain(..count);
}

//! One connection of the pool, in use or idle.

use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock};
use std::time::Duration;

use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;
use wharfquay_core::time::Timestamp;

use super::head_limit::HeadLimit;
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

/// Maximum number of identified requests that one connection carries. It bounds the memory for their
/// keys.
pub(super) const MAX_IDENTIFIED_REQUESTS: usize = 512;

/// Identity of a request on its connections. A connection carries no two requests with the same key,
/// so a response that names a request belongs to one sending of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKey(u64);

impl RequestKey {
    /// Returns the key of the request with this identifier. Two identifiers may share a key, which
    /// only keeps their requests on different connections.
    #[must_use]
    pub fn of(identifier: &str) -> Self {
        static HASHER: LazyLock<RandomState> = LazyLock::new(RandomState::new);
        Self(HASHER.hash_one(identifier))
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
    head_limit: HeadLimit,
    usage: ConnectionUse,
    /// Keys of the identified requests that the connection has carried.
    carried: Vec<RequestKey>,
    _slot: ConnectionSlot,
}

impl Connection {
    pub(super) fn new(
        sender: SendRequest<RequestBody>,
        task: AbortHandle,
        head_limit: HeadLimit,
        slot: ConnectionSlot,
    ) -> Self {
        Self {
            sender,
            task,
            head_limit,
            usage: ConnectionUse {
                connection: OPENED_CONNECTIONS.fetch_add(1, Ordering::Relaxed) + 1,
                exchanges: 0,
            },
            carried: Vec::new(),
            _slot: slot,
        }
    }

    pub(super) const fn usage(&self) -> ConnectionUse {
        self.usage
    }

    /// Records a request that is passed to the connection.
    pub(super) fn begin_exchange(&mut self, request: Option<RequestKey>) {
        self.usage.exchanges = self.usage.exchanges.saturating_add(1);
        self.carried.extend(request);
        self.head_limit.begin();
    }

    /// Records that the head of the response has arrived.
    pub(super) fn end_head(&self) {
        self.head_limit.lift();
    }

    /// True if the connection may carry this request.
    fn accepts(&self, request: Option<RequestKey>) -> bool {
        request.is_none_or(|request| !self.carried.contains(&request))
    }

    /// True if the connection can't remember a further request.
    pub(super) const fn is_used_up(&self) -> bool {
        self.carried.len() >= MAX_IDENTIFIED_REQUESTS
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

/// Removes the connection that became idle last among those that may carry the request, and closes
/// unusable ones that became idle later.
pub(super) fn take_idle(
    idle: &mut Vec<IdleConnection>,
    request: Option<RequestKey>,
    now: Timestamp,
) -> Option<Connection> {
    for index in (0..idle.len()).rev() {
        if !idle[index].is_usable(now) {
            idle.remove(index);
        } else if idle[index].connection.accepts(request) {
            return Some(idle.remove(index).connection);
        }
    }
    None
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

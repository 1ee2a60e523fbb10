//! A pool of keep-alive HTTP/1.1 connections to the local backend, within its connection limit.
//!
//! A connection whose response was abandoned is closed; otherwise a later request could receive
//! that response. A backend may also send a response twice, and late. Responses name their request,
//! but not which sending of it, so a connection carries each identified request at most once.

mod connection;
mod head_limit;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::sync::Notify;
use wharfquay_clock::{Clock, TimeSource, since_boot};

use crate::body::{BodyEnd, BodyObserver, RequestBody};
use crate::connect::connect;
use crate::events::{Event, Quoted, RateLimit, log_event};
use crate::sync::lock;

use connection::{Connection, ConnectionSlot, IdleConnection, close_idle, take_idle};
pub use connection::{ConnectionUse, RequestKey};
use head_limit::{HeadLimit, LimitedStream};

/// Maximum wait for a connection at the connection limit. Admission keeps executions within that
/// limit, so the wait only covers the time in which a connection becomes idle or closes.
const CONNECTION_LIMIT_WAIT: Duration = Duration::from_millis(20);
/// Maximum time from the end of a response until its connection is ready for the next request;
/// reached when a backend responds before it has read the whole request.
const READY_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum size of a connection's read buffer in bytes, which is also that of a response head.
const MAX_READ_BUFFER: usize = 64 * 1024;
/// Subtracted from the idle timeout that a backend advertises, which avoids sending a request on a
/// connection that the backend is about to close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// Parameter of the `Keep-Alive` header with the idle timeout in seconds.
const KEEP_ALIVE_TIMEOUT: &str = "timeout=";

/// An error that prevented a response of the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendError {
    /// The backend's connection limit is reached.
    ConnectionLimit,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection was lost after bytes of the request were written to it.
    Lost,
    /// The response is malformed, or the end of its body can't be distinguished from a lost
    /// connection.
    MalformedResponse,
}

/// A pool of connections to one backend.
#[derive(Debug)]
pub struct BackendPool {
    address: SocketAddr,
    clock: Clock,
    connect_timeout: Duration,
    limit: AtomicUsize,
    /// Idle time after which a connection is not reused, unless the backend advertises another one.
    max_idle_time: Duration,
    open: Arc<AtomicUsize>,
    idle: Mutex<Vec<IdleConnection>>,
    connection_freed: Notify,
    /// Rate limit for log events about failed connection attempts.
    connect_failures: RateLimit,
}

impl BackendPool {
    /// Creates a pool that opens at most `limit` connections to `address`.
    #[must_use]
    pub fn new(address: SocketAddr, limit: usize, connect_timeout: Duration) -> Arc<Self> {
        Self::with_max_idle_time(address, limit, connect_timeout, Duration::MAX, since_boot)
    }

    /// Creates a pool like [`Self::new`] for a backend that closes connections after an idle time.
    #[must_use]
    pub fn with_max_idle_time(
        address: SocketAddr,
        limit: usize,
        connect_timeout: Duration,
        max_idle_time: Duration,
        time_source: TimeSource,
    ) -> Arc<Self> {
        Arc::new(Self {
            address,
            clock: Clock::from_source(time_source),
            connect_timeout,
            limit: AtomicUsize::new(limit),
            max_idle_time,
            open: Arc::default(),
            idle: Mutex::default(),
            connection_freed: Notify::new(),
            connect_failures: RateLimit::default(),
        })
    }

    /// Sets the connection limit. Open connections above it are kept, but no further one is opened.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns the number of open connections, in use or idle.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns a connection that is ready for a request: an idle or a new one. At the connection
    /// limit it waits briefly for a connection to become idle or to close.
    ///
    /// # Errors
    /// [`BackendError::ConnectionLimit`] or [`BackendError::ConnectFailed`]; the backend received
    /// nothing of the request.
    pub async fn checkout(self: &Arc<Self>) -> Result<Lease, BackendError> {
        self.lease(None).await
    }

    /// Like [`Self::checkout`], for an identified request. Returns a connection that has not carried
    /// a request with this key.
    ///
    /// # Errors
    /// As [`Self::checkout`].
    pub async fn checkout_for(
        self: &Arc<Self>,
        request: RequestKey,
    ) -> Result<Lease, BackendError> {
        self.lease(Some(request)).await
    }

    async fn lease(self: &Arc<Self>, request: Option<RequestKey>) -> Result<Lease, BackendError> {
        let reserved = match self.try_reserve(request) {
            Some(reserved) => reserved,
            None => self.wait_for_connection(request).await?,
        };
        let connection = match reserved {
            Reserved::Idle(connection) => connection,
            Reserved::Slot(slot) => self.open_connection(slot).await?,
        };
        Ok(Lease {
            pool: Arc::clone(self),
            connection: Some(connection),
            request,
            max_idle_time: self.max_idle_time,
        })
    }

    fn try_reserve(&self, request: Option<RequestKey>) -> Option<Reserved> {
        let idle = take_idle(&mut lock(&self.idle), request, self.clock.now());
        idle.map(Reserved::Idle)
            .or_else(|| self.reserve_slot().map(Reserved::Slot))
            .or_else(|| self.replace_idle().map(Reserved::Slot))
    }

    /// Closes an idle connection at the connection limit and reserves its place. The connections that
    /// are still idle can't carry the request.
    fn replace_idle(&self) -> Option<ConnectionSlot> {
        let closed = lock(&self.idle).pop()?;
        drop(closed);
        self.reserve_slot()
    }

    async fn wait_for_connection(
        &self,
        request: Option<RequestKey>,
    ) -> Result<Reserved, BackendError> {
        let waiting = async {
            loop {
                let connection_freed = self.connection_freed.notified();
                if let Some(reserved) = self.try_reserve(request) {
                    return reserved;
                }
                connection_freed.await;
            }
        };
        let waited = tokio::time::timeout(CONNECTION_LIMIT_WAIT, waiting).await;
        waited.map_err(|_| BackendError::ConnectionLimit)
    }

    fn reserve_slot(&self) -> Option<ConnectionSlot> {
        let limit = self.limit.load(Ordering::Relaxed);
        let reserved = self
            .open
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |open| {
                (open < limit).then_some(open + 1)
            });
        reserved
            .ok()
            .map(|_| ConnectionSlot::new(Arc::clone(&self.open)))
    }

    async fn open_connection(&self, slot: ConnectionSlot) -> Result<Connection, BackendError> {
        let connecting = connect(self.address, self.connect_timeout);
        let stream = connecting
            .await
            .map_err(|error| self.connect_failed(&error))?;
        let head_limit = HeadLimit::new();
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER)
            .handshake(TokioIo::new(LimitedStream::new(stream, head_limit.clone())));
        let (sender, connection) = handshake
            .await
            .map_err(|error| self.connect_failed(&error))?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log_event!(Event::BackendConnectionClosed, "error={}", Quoted(error));
            }
        });
        Ok(Connection::new(
            sender,
            task.abort_handle(),
            head_limit,
            slot,
        ))
    }

    /// Returns a connection whose response is complete to the pool once it can carry the next
    /// request.
    fn return_connection(self: Arc<Self>, mut connection: Connection, max_idle_time: Duration) {
        if connection.is_used_up() {
            drop(connection);
            self.connection_freed.notify_one();
            return;
        }
        if connection.sender.is_ready() {
            self.push_idle(connection, max_idle_time);
            return;
        }
        tokio::spawn(async move {
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                self.push_idle(connection, max_idle_time);
            } else {
                drop(connection);
                self.connection_freed.notify_one();
            }
        });
    }

    /// Closes the connections that have been idle for longer than their maximum idle time.
    pub fn close_idle(&self) {
        close_idle(&mut lock(&self.idle), self.clock.now());
    }

    fn push_idle(&self, connection: Connection, max_idle_time: Duration) {
        let mut idle = lock(&self.idle);
        let now = self.clock.now();
        close_idle(&mut idle, now);
        idle.push(IdleConnection {
            connection,
            since: now,
            max_idle_time,
        });
        drop(idle);
        self.connection_freed.notify_one();
    }

    fn connect_failed(&self, error: &dyn std::error::Error) -> BackendError {
        if let Some(suppressed) = self.connect_failures.allow(Instant::now()) {
            let (address, error) = (self.address, Quoted(error));
            log_event!(
                Event::BackendConnectFailed,
                "address={address} error={error} suppressed={suppressed}"
            );
        }
        BackendError::ConnectFailed
    }
}

/// An idle connection, or the permission to open a new one.
enum Reserved {
    Idle(Connection),
    Slot(ConnectionSlot),
}

/// The use of a connection for one request. The connection returns to the pool when the response is
/// complete and is closed otherwise.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<BackendPool>,
    connection: Option<Connection>,
    /// Key of the request that the connection is to carry, if it is identified.
    request: Option<RequestKey>,
    max_idle_time: Duration,
}

/// An error that prevented a response on a leased connection.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was written; contains the request.
    NotSent(Request<RequestBody>),
    /// The connection failed after bytes of the request were written.
    Failed(BackendError),
}

impl Lease {
    /// Returns which connection this is and how many requests it has carried.
    #[must_use]
    pub fn usage(&self) -> Option<ConnectionUse> {
        self.connection.as_ref().map(Connection::usage)
    }

    /// Sends the request and waits for the head of the response.
    ///
    /// # Errors
    /// [`SendError`] shows whether the backend may have received bytes of the request.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendError> {
        let Some(connection) = &mut self.connection else {
            return Err(SendError::NotSent(request));
        };
        connection.begin_exchange(self.request.take());
        let response = connection.sender.try_send_request(request).await;
        connection.end_head();
        if let Some(advertised) = response.as_ref().ok().and_then(advertised_idle_timeout) {
            self.max_idle_time = advertised;
        }
        response.map_err(|mut failed| match failed.take_message() {
            Some(request) => SendError::NotSent(request),
            None => SendError::Failed(classify(failed.error())),
        })
    }
}

/// Returns the idle timeout in the `Keep-Alive` header of a response, less a margin.
fn advertised_idle_timeout(response: &Response<Incoming>) -> Option<Duration> {
    let value = response.headers().get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix(KEEP_ALIVE_TIMEOUT))?;
    let advertised = Duration::from_secs(timeout.parse().ok()?);
    Some(advertised.saturating_sub(KEEP_ALIVE_MARGIN))
}

fn classify(error: &hyper::Error) -> BackendError {
    if error.is_parse() {
        BackendError::MalformedResponse
    } else {
        BackendError::Lost
    }
}

impl BodyObserver for Lease {
    fn ended(mut self: Box<Self>, end: BodyEnd) {
        if end != BodyEnd::Complete {
            return;
        }
        if let Some(connection) = self.connection.take() {
            Arc::clone(&self.pool).return_connection(connection, self.max_idle_time);
        }
    }
}

impl Drop for Lease {
    /// Closes a connection that was not returned to the pool.
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool.connection_freed.notify_one();
        }
    }
}

//! Connections to the local back end: HTTP/1.1, kept open, within the back end's connection limit.
//!
//! A connection whose answer was abandoned is closed, so that no later request can receive it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use wharfquay_clock::{Clock, TimeSource, since_boot};
use wharfquay_core::time::Timestamp;

use crate::body::{BodyEnd, BodyObserver, RequestBody};
use crate::connect::connect;
use crate::events::{Event, Quoted, RateLimit, log_event};
use crate::sync::lock;

/// Longest wait at the connection limit. Admission keeps executions within that limit, so this is
/// only the time that a connection takes to become idle or to close.
const LIMIT_WAIT: Duration = Duration::from_millis(20);
/// Longest time from the end of an answer until its connection must be ready again; a back end that
/// answered before it has read the request is not waited for longer.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// Taken off the time for which a back end says that it keeps an idle connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// Parameter of the `Keep-Alive` header that gives that time in seconds.
const KEEP_ALIVE_TIMEOUT: &str = "timeout=";

/// Why the back end gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendError {
    /// The back end's connection limit is reached.
    ConnectionLimit,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection was lost after bytes of the request were handed to it.
    Lost,
    /// The answer is malformed, or its end can't be told from a broken connection.
    MalformedAnswer,
}

/// Connections to one back end.
#[derive(Debug)]
pub struct BackendPool {
    address: SocketAddr,
    clock: Clock,
    connect_timeout: Duration,
    limit: AtomicUsize,
    /// Longest rest of a connection that is used again, where the back end says nothing else.
    longest_rest: Duration,
    open: Arc<AtomicUsize>,
    idle: Mutex<Vec<Resting>>,
    freed: Notify,
    /// Bounds the log lines about connections that can't be opened.
    connect_failures: RateLimit,
}

impl BackendPool {
    /// A pool that opens at most `limit` connections to `address`.
    #[must_use]
    pub fn new(address: SocketAddr, limit: usize, connect_timeout: Duration) -> Arc<Self> {
        Self::with_longest_rest(address, limit, connect_timeout, Duration::MAX, since_boot)
    }

    /// As [`Self::new`], for a back end that closes connections after a rest.
    #[must_use]
    pub fn with_longest_rest(
        address: SocketAddr,
        limit: usize,
        connect_timeout: Duration,
        longest_rest: Duration,
        time_source: TimeSource,
    ) -> Arc<Self> {
        Arc::new(Self {
            address,
            clock: Clock::from_source(time_source),
            connect_timeout,
            limit: AtomicUsize::new(limit),
            longest_rest,
            open: Arc::default(),
            idle: Mutex::default(),
            freed: Notify::new(),
            connect_failures: RateLimit::default(),
        })
    }

    /// Changes the connection limit; connections above it are not closed, but none is opened.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Connections that are open now.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// A connection that is ready for a request: an idle one, or a new one. At the connection limit
    /// it waits a moment for one that is about to become idle.
    ///
    /// # Errors
    /// [`BackendError::ConnectionLimit`] or [`BackendError::ConnectFailed`]; the back end saw
    /// nothing of the request.
    pub async fn checkout(self: &Arc<Self>) -> Result<Lease, BackendError> {
        let reserved = match self.try_reserve() {
            Some(reserved) => reserved,
            None => self.wait_for_connection().await?,
        };
        let connection = match reserved {
            Reserved::Idle(connection) => connection,
            Reserved::Slot(slot) => self.open_connection(slot).await?,
        };
        Ok(Lease {
            pool: Arc::clone(self),
            connection: Some(connection),
            longest_rest: self.longest_rest,
        })
    }

    fn try_reserve(&self) -> Option<Reserved> {
        let idle = self.take_idle().map(Reserved::Idle);
        idle.or_else(|| self.reserve_slot().map(Reserved::Slot))
    }

    async fn wait_for_connection(&self) -> Result<Reserved, BackendError> {
        let waiting = async {
            loop {
                let freed = self.freed.notified();
                if let Some(reserved) = self.try_reserve() {
                    return reserved;
                }
                freed.await;
            }
        };
        let waited = tokio::time::timeout(LIMIT_WAIT, waiting).await;
        waited.map_err(|_| BackendError::ConnectionLimit)
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        while let Some(resting) = idle.pop() {
            if resting.is_usable(self.clock.now()) {
                return Some(resting.connection);
            }
        }
        None
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
            .map(|_| ConnectionSlot(Arc::clone(&self.open)))
    }

    async fn open_connection(&self, slot: ConnectionSlot) -> Result<Connection, BackendError> {
        let connecting = connect(self.address, self.connect_timeout);
        let stream = connecting
            .await
            .map_err(|error| self.connect_failed(&error))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| self.connect_failed(&error))?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log_event!(Event::BackendConnectionClosed, "error={}", Quoted(error));
            }
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            _slot: slot,
        })
    }

    /// Takes back a connection whose answer is whole, as soon as it can carry the next request.
    fn give_back(self: Arc<Self>, mut connection: Connection, longest_rest: Duration) {
        if connection.sender.is_ready() {
            self.push_idle(connection, longest_rest);
            return;
        }
        tokio::spawn(async move {
            let ready = tokio::time::timeout(SETTLE_TIME, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                self.push_idle(connection, longest_rest);
            } else {
                drop(connection);
                self.freed.notify_one();
            }
        });
    }

    /// Closes connections that have rested longer than they may.
    pub fn close_rested(&self) {
        close_rested(&mut lock(&self.idle), self.clock.now());
    }

    fn push_idle(&self, connection: Connection, longest_rest: Duration) {
        let mut idle = lock(&self.idle);
        let now = self.clock.now();
        close_rested(&mut idle, now);
        idle.push(Resting {
            connection,
            since: now,
            longest_rest,
        });
        drop(idle);
        self.freed.notify_one();
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

/// A connection that carries no request.
#[derive(Debug)]
struct Resting {
    connection: Connection,
    since: Timestamp,
    longest_rest: Duration,
}

impl Resting {
    fn is_usable(&self, now: Timestamp) -> bool {
        let rest = now.saturating_since(self.since);
        !self.connection.sender.is_closed() && rest < self.longest_rest
    }
}

/// Closes the connections at rest for too long. The last one to rest is the first to be used, so that after
/// a surge the ones that rested longest are not needed any more.
fn close_rested(idle: &mut Vec<Resting>, now: Timestamp) {
    let unusable = idle.iter().take_while(|resting| !resting.is_usable(now));
    let count = unusable.count();
    idle.drain(..count);
}

/// What a request can be sent on.
enum Reserved {
    Idle(Connection),
    Slot(ConnectionSlot),
}

/// Counts one open connection for as long as it lives.
#[derive(Debug)]
struct ConnectionSlot(Arc<AtomicUsize>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One connection; dropping it closes it.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<RequestBody>,
    task: AbortHandle,
    _slot: ConnectionSlot,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The use of a connection for one request. It goes back to the pool when the answer is whole and is
/// closed otherwise.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<BackendPool>,
    connection: Option<Connection>,
    longest_rest: Duration,
}

/// Why a request got no answer on a leased connection.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was written; here it is back.
    NotSent(Request<RequestBody>),
    /// The connection failed after that.
    Failed(BackendError),
}

impl Lease {
    /// Sends the request and waits for the head of the answer.
    ///
    /// # Errors
    /// [`SendError`] says whether the back end may have seen the request.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendError> {
        let Some(connection) = &mut self.connection else {
            return Err(SendError::NotSent(request));
        };
        let answer = connection.sender.try_send_request(request).await;
        if let Some(told) = answer.as_ref().ok().and_then(told_rest) {
            self.longest_rest = told;
        }
        answer.map_err(|mut failed| match failed.take_message() {
            Some(request) => SendError::NotSent(request),
            None => SendError::Failed(classify(failed.error())),
        })
    }
}

/// How long the back end says that it keeps the connection of this answer, less a margin.
fn told_rest(answer: &Response<Incoming>) -> Option<Duration> {
    let value = answer.headers().get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix(KEEP_ALIVE_TIMEOUT))?;
    let told = Duration::from_secs(timeout.parse().ok()?);
    Some(told.saturating_sub(KEEP_ALIVE_MARGIN))
}

fn classify(error: &hyper::Error) -> BackendError {
    if error.is_parse() {
        BackendError::MalformedAnswer
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
            Arc::clone(&self.pool).give_back(connection, self.longest_rest);
        }
    }
}

impl Drop for Lease {
    /// Closes a connection that was not given back.
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool.freed.notify_one();
        }
    }
}

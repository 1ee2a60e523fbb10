//! Connections to the local back end: HTTP/1.1, kept open, within the back end's connection limit.
//!
//! A connection whose answer was abandoned is closed, so that no later request can receive it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use crate::body::{BodyEnd, BodyObserver, RequestBody};
use crate::connect::connect;
use crate::sync::lock;

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
    connect_timeout: Duration,
    limit: AtomicUsize,
    open: Arc<AtomicUsize>,
    idle: Mutex<Vec<Connection>>,
}

impl BackendPool {
    /// A pool that opens at most `limit` connections to `address`.
    #[must_use]
    pub fn new(address: SocketAddr, limit: usize, connect_timeout: Duration) -> Arc<Self> {
        Arc::new(Self {
            address,
            connect_timeout,
            limit: AtomicUsize::new(limit),
            open: Arc::default(),
            idle: Mutex::default(),
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

    /// A connection that is ready for a request: an idle one, or a new one.
    ///
    /// # Errors
    /// [`BackendError::ConnectionLimit`] or [`BackendError::ConnectFailed`]; the back end saw
    /// nothing of the request.
    pub async fn checkout(self: &Arc<Self>) -> Result<Lease, BackendError> {
        let connection = match self.take_idle() {
            Some(connection) => connection,
            None => self.open_connection().await?,
        };
        Ok(Lease {
            pool: Arc::clone(self),
            connection: Some(connection),
        })
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        idle.retain(|connection| !connection.sender.is_closed());
        let position = idle
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        Some(idle.swap_remove(position))
    }

    async fn open_connection(&self) -> Result<Connection, BackendError> {
        let slot = self.reserve().ok_or(BackendError::ConnectionLimit)?;
        let connecting = connect(self.address, self.connect_timeout);
        let stream = connecting
            .await
            .map_err(|error| self.connect_failed(&error))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| self.connect_failed(&error))?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=backend_connection_closed error=\"{error}\"");
            }
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            _slot: slot,
        })
    }

    fn reserve(&self) -> Option<ConnectionSlot> {
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

    fn connect_failed(&self, error: &dyn std::error::Error) -> BackendError {
        let address = self.address;
        log::warn!("event=backend_connect_failed address={address} error=\"{error}\"");
        BackendError::ConnectFailed
    }
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
        answer.map_err(|mut failed| match failed.take_message() {
            Some(request) => SendError::NotSent(request),
            None => SendError::Failed(classify(failed.error())),
        })
    }
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
        let Some(connection) = self.connection.take() else {
            return;
        };
        if end == BodyEnd::Complete && !connection.sender.is_closed() {
            lock(&self.pool.idle).push(connection);
        }
    }
}

//! Connections to other daemons: one multiplexed HTTP/2 connection for each peer.
//!
//! Dropping the future of a request, or the body of its response, resets the stream. The peer takes
//! the reset as the cancellation of the call.

mod first_read;

use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::time::Instant;

use self::first_read::FirstReadStream;
use crate::body::RequestBody;
use crate::connect::connect;
use crate::events::{Event, Quoted, log_event};
use crate::sync::lock;

/// HTTP/2 flow-control window of each stream, in bytes.
const STREAM_WINDOW: u32 = 1024 * 1024;
/// HTTP/2 flow-control window of each connection, in bytes.
const CONNECTION_WINDOW: u32 = 8 * 1024 * 1024;
/// Time between two HTTP/2 keep-alive pings.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which a connection with an unacknowledged ping is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum delay after the first failed connection attempt; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);
/// Maximum delay between two connection attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// An error that prevented a response of a peer.
#[derive(Debug)]
pub enum PeerError {
    /// The peer received nothing of the request; contains the request.
    NotSent(Request<RequestBody>),
    /// The peer reported, by a refused stream or a GOAWAY frame, that it did not process the
    /// request.
    Unprocessed,
    /// The connection was lost after the request was sent; the peer may have processed it.
    Lost,
}

/// A pool with one connection for each peer that was called.
#[derive(Debug)]
pub struct PeerPool {
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
    connect_timeout: Duration,
    header_bytes: u32,
}

impl PeerPool {
    /// Creates a pool without connections; `header_bytes` is the largest accepted response head.
    #[must_use]
    pub fn new(connect_timeout: Duration, header_bytes: u32) -> Self {
        Self {
            peers: Mutex::default(),
            connect_timeout,
            header_bytes,
        }
    }

    /// Sends a request to the daemon at `address` and waits for the head of its response.
    ///
    /// # Errors
    /// [`PeerError`] shows whether the peer may have processed the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, PeerError> {
        let peer = self.peer(address);
        let Some(mut sender) = peer.sender(self).await else {
            return Err(PeerError::NotSent(request));
        };
        let response = sender.try_send_request(request).await;
        response.map_err(|mut failed| match failed.take_message() {
            Some(request) => PeerError::NotSent(request),
            None => classify(failed.error()),
        })
    }

    /// Returns the number of peers with an open connection.
    #[must_use]
    pub fn connected(&self) -> usize {
        let peers = lock(&self.peers);
        peers.values().filter(|peer| peer.open().is_some()).count()
    }

    /// Removes the peers whose connection is closed and for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        lock(&self.peers).retain(|address, peer| keep(address) || peer.open().is_some());
    }

    fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        let mut peers = lock(&self.peers);
        let peer = peers
            .entry(address)
            .or_insert_with(|| Arc::new(Peer::new(address)));
        Arc::clone(peer)
    }
}

/// A peer and its connection.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    connection: Mutex<Option<SendRequest<RequestBody>>>,
    connecting: tokio::sync::Mutex<Backoff>,
}

/// Backoff after failed connection attempts.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
    not_before: Option<Instant>,
}

impl Backoff {
    fn allows(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|earliest| now >= earliest)
    }

    fn failed(&mut self, now: Instant) {
        let factor = 1_u32 << self.failures.min(16);
        let maximum = INITIAL_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.not_before = Some(now + maximum.mul_f64(rand::random_range(0.5..=1.0)));
    }
}

impl Peer {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: Mutex::default(),
            connecting: tokio::sync::Mutex::default(),
        }
    }

    fn open(&self) -> Option<SendRequest<RequestBody>> {
        let connection = lock(&self.connection);
        connection
            .as_ref()
            .filter(|sender| !sender.is_closed())
            .cloned()
    }

    async fn sender(&self, pool: &PeerPool) -> Option<SendRequest<RequestBody>> {
        if let Some(sender) = self.open() {
            return Some(sender);
        }
        let mut backoff = self.connecting.lock().await;
        if let Some(sender) = self.open() {
            return Some(sender);
        }
        if !backoff.allows(Instant::now()) {
            return None;
        }
        match self.connect(pool).await {
            Ok(sender) => {
                *backoff = Backoff::default();
                *lock(&self.connection) = Some(sender.clone());
                Some(sender)
            }
            Err(error) => {
                backoff.failed(Instant::now());
                let (peer, error) = (self.address, Quoted(error));
                log_event!(Event::PeerConnectFailed, "peer={peer} error={error}");
                None
            }
        }
    }

    async fn connect(
        &self,
        pool: &PeerPool,
    ) -> Result<SendRequest<RequestBody>, Box<dyn Error + Send + Sync>> {
        let stream = connect(self.address, pool.connect_timeout).await?;
        let (stream, first_read) = FirstReadStream::new(stream);
        let handshake = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_header_list_size(pool.header_bytes)
            .keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = tokio::time::timeout(pool.connect_timeout, handshake).await??;
        let address = self.address;
        tokio::spawn(async move {
            let ended = connection.await;
            let error = ended.err().map(|error| error.to_string());
            let error = error.unwrap_or_default();
            log_event!(Event::PeerLost, "peer={address} error={}", Quoted(error));
        });
        // A listener that closes resets the connections that it has not accepted yet. A request is
        // sent only once the peer has accepted the connection, which its first bytes show.
        tokio::time::timeout(pool.connect_timeout, first_read).await??;
        log_event!(Event::PeerConnected, "peer={address}");
        Ok(sender)
    }
}

/// Classifies the error of a stream. The peer did not process the stream if it refused the stream,
/// or closed the connection with a GOAWAY frame whose last stream precedes this one; hyper reports
/// a remote GOAWAY as the error of a stream only in the latter case.
fn classify(error: &hyper::Error) -> PeerError {
    let cause = error.source().and_then(|source| source.downcast_ref());
    let unprocessed = cause.is_some_and(|cause: &h2::Error| {
        let refused = cause.is_reset() && cause.reason() == Some(h2::Reason::REFUSED_STREAM);
        cause.is_remote() && (refused || cause.is_go_away())
    });
    if unprocessed {
        PeerError::Unprocessed
    } else {
        PeerError::Lost
    }
}

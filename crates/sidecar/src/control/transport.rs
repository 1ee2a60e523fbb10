//! Transport of control messages: datagrams, and streams for messages that are too large for one.

use crate::events::Event;
use crate::exchange::Exchange;
use crate::log_event;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use wharfquay_daemon::backend_pool::BackendPool;
use wharfquay_daemon::body::{RequestBody, ResponseBody};
use wharfquay_protocol::envelope::MAX_STREAM_MESSAGE;

/// Path for gossip and configuration messages.
const PATH: &str = "/wharfquay/control";
/// Header with the control address of the sender of a streamed message.
const SENDER: HeaderName = HeaderName::from_static("wharfquay-control-address");
/// Maximum number of streamed messages that wait for the task. Further ones are refused;
/// anti-entropy sends their content again.
const INBOX_CAPACITY: usize = 256;
/// Timeout of one streamed message.
const STREAM_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for opening the connection of a streamed message.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of the receive buffer. Larger datagrams are truncated and fail to decode.
const DATAGRAM_BUFFER: usize = 2_048;
/// Pause after a socket error, which prevents a persistent error from occupying a core.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// A received control message.
#[derive(Debug)]
pub(super) struct ReceivedMessage {
    /// Control address of the sender.
    pub(super) source: SocketAddr,
    /// The encoded message.
    pub(super) bytes: Bytes,
}

/// Receives streamed messages on the control listener.
#[derive(Clone, Debug)]
pub(crate) struct StreamInbox {
    sender: mpsc::Sender<ReceivedMessage>,
}

/// Creates an inbox and the receiver that the task reads.
pub(super) fn inbox() -> (StreamInbox, mpsc::Receiver<ReceivedMessage>) {
    let (sender, receiver) = mpsc::channel(INBOX_CAPACITY);
    (StreamInbox { sender }, receiver)
}

impl StreamInbox {
    /// Handles an HTTP request that carries a message from another sidecar: puts the message in the
    /// inbox and responds with a status and no body.
    pub(crate) async fn serve(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Infallible> {
        let status = self.accept(request).await;
        let mut response = Response::new(ResponseBody::from_bytes(Bytes::new()));
        *response.status_mut() = status;
        Ok(response)
    }

    async fn accept(&self, request: Request<Incoming>) -> StatusCode {
        if request.uri().path() != PATH {
            return StatusCode::NOT_FOUND;
        }
        let sender = request.headers().get(SENDER);
        let source = sender.and_then(|value| value.to_str().ok()?.parse().ok());
        let Some(source) = source else {
            return StatusCode::BAD_REQUEST;
        };
        let body = Limited::new(request.into_body(), MAX_STREAM_MESSAGE);
        let Ok(body) = body.collect().await else {
            return StatusCode::PAYLOAD_TOO_LARGE;
        };
        let bytes = body.to_bytes();
        match self.sender.try_send(ReceivedMessage { source, bytes }) {
            Ok(()) => StatusCode::NO_CONTENT,
            Err(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The datagram socket, which gossip shares with the exchange.
#[derive(Debug)]
pub(super) struct Datagrams {
    socket: Arc<UdpSocket>,
    exchange: Arc<Exchange>,
    buffer: Vec<u8>,
}

impl Datagrams {
    pub(super) fn new(socket: Arc<UdpSocket>, exchange: Arc<Exchange>) -> Self {
        Self {
            socket,
            exchange,
            buffer: vec![0; DATAGRAM_BUFFER],
        }
    }

    /// Returns the next gossip datagram. Passes datagrams of the exchange on to it. Cancel safe.
    pub(super) async fn receive(&mut self) -> ReceivedMessage {
        loop {
            match self.socket.recv_from(&mut self.buffer).await {
                Ok((length, source)) if Exchange::is_exchange(&self.buffer[..length]) => {
                    self.exchange.receive(source, &self.buffer[..length]);
                }
                Ok((length, source)) => {
                    let bytes = Bytes::copy_from_slice(&self.buffer[..length]);
                    return ReceivedMessage { source, bytes };
                }
                Err(_) => tokio::time::sleep(SOCKET_ERROR_PAUSE).await,
            }
        }
    }

    /// Sends a datagram. One that can't be sent is treated as lost.
    pub(super) fn send(&self, to: SocketAddr, bytes: &[u8]) {
        match self.socket.try_send_to(bytes, to) {
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => log_event!(Event::ControlSendFailed, "to={to} error=\"{error}\""),
        }
    }
}

/// Sends a message over a new connection. One that does not arrive is treated as lost.
pub(super) fn send_stream(own_address: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
    let request = Request::post(PATH)
        .header(http::header::HOST, to.to_string())
        .header(SENDER, own_address.to_string())
        .body(RequestBody::held(bytes.into()));
    let Ok(request) = request else {
        return;
    };
    tokio::spawn(async move {
        let sending = async {
            let pool: Arc<BackendPool> = BackendPool::new(to, 1, CONNECT_TIMEOUT);
            let mut lease = pool.checkout().await.ok()?;
            lease.send(request).await.ok()
        };
        let sent = tokio::time::timeout(STREAM_TIMEOUT, sending).await;
        if !matches!(sent, Ok(Some(_))) {
            log_event!(Event::ControlSendFailed, "to={to} error=\"no reply\"");
        }
    });
}

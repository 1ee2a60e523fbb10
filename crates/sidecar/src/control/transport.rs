//! Control messages on the network: datagrams, and streams for what is too large for one.

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
use wharfquay_daemon::body::{AnswerBody, RequestBody};
use wharfquay_protocol::envelope::MAX_STREAM_MESSAGE;

/// Path that takes gossip and configuration messages.
const PATH: &str = "/wharfquay/control";
/// Control address of the sender of a streamed message.
const SENDER: HeaderName = HeaderName::from_static("wharfquay-control-address");
/// Messages over streams that wait for the task; more are refused and come again by anti-entropy.
const INBOX_CAPACITY: usize = 256;
/// Longest time for one message over a stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time to open a connection for one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest datagram that is read; larger ones are cut and fail to decode.
const DATAGRAM_BUFFER: usize = 2_048;
/// Pause after an error of the socket, so that it does not keep a core busy.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// A message that arrived.
#[derive(Debug)]
pub(super) struct Received {
    /// The sender's control address.
    pub(super) source: SocketAddr,
    /// The encoded message.
    pub(super) bytes: Bytes,
}

/// Takes streamed messages that arrive on the control listener.
#[derive(Clone, Debug)]
pub(crate) struct StreamInbox {
    sender: mpsc::Sender<Received>,
}

/// An inbox and the end at which the task reads it.
pub(super) fn inbox() -> (StreamInbox, mpsc::Receiver<Received>) {
    let (sender, receiver) = mpsc::channel(INBOX_CAPACITY);
    (StreamInbox { sender }, receiver)
}

impl StreamInbox {
    /// Takes the message that a request carries.
    pub(crate) async fn serve(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Infallible> {
        let status = self.take(request).await;
        let mut response = Response::new(AnswerBody::own(Bytes::new()));
        *response.status_mut() = status;
        Ok(response)
    }

    async fn take(&self, request: Request<Incoming>) -> StatusCode {
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
        match self.sender.try_send(Received { source, bytes }) {
            Ok(()) => StatusCode::NO_CONTENT,
            Err(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The socket for datagrams, which gossip shares with the exchange.
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

    /// The next datagram of gossip; hands those of the exchange over. Cancel safe.
    pub(super) async fn receive(&mut self) -> Received {
        loop {
            match self.socket.recv_from(&mut self.buffer).await {
                Ok((length, source)) if Exchange::is_exchange(&self.buffer[..length]) => {
                    self.exchange.receive(source, &self.buffer[..length]);
                }
                Ok((length, source)) => {
                    let bytes = Bytes::copy_from_slice(&self.buffer[..length]);
                    return Received { source, bytes };
                }
                Err(_) => tokio::time::sleep(SOCKET_ERROR_PAUSE).await,
            }
        }
    }

    /// Sends a datagram; one that can't be sent counts as lost.
    pub(super) fn send(&self, to: SocketAddr, bytes: &[u8]) {
        match self.socket.try_send_to(bytes, to) {
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => log_event!(Event::ControlSendFailed, "to={to} error=\"{error}\""),
        }
    }
}

/// Sends a message over a stream of its own; one that does not arrive counts as lost.
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
            log_event!(Event::ControlSendFailed, "to={to} error=\"no answer\"");
        }
    });
}

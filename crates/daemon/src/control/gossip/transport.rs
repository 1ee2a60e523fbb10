//! Control messages on the network: datagrams, and streams for what is too large for one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;
use wharfquay_protocol::envelope::MAX_STREAM_MESSAGE;

use crate::body::{AnswerBody, RequestBody};
use crate::events::{Event, Quoted, log_event};
use crate::metrics::{Direction, Metrics, Transport};
use crate::peers::PeerPool;

/// Path on the control listener that takes gossip and configuration messages.
pub(crate) const PATH: &str = "/wharfquay/control";
/// Control address of the sender of a streamed message.
const SENDER: HeaderName = HeaderName::from_static("wharfquay-control-address");
/// Messages over streams that wait for the task; more are refused and come again by anti-entropy.
const INBOX_CAPACITY: usize = 256;
/// Longest time for one message over a stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest datagram that is read; larger ones are cut and fail to decode.
const DATAGRAM_BUFFER: usize = 2_048;
/// Pause after an error of the socket, so that it does not keep a core busy.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// A message that arrived over a stream.
#[derive(Debug)]
pub(crate) struct ReceivedStream {
    /// The sender's control address.
    pub(super) source: SocketAddr,
    /// The encoded message.
    pub(super) bytes: Bytes,
}

/// Takes messages that arrive on the control listener.
#[derive(Clone, Debug)]
pub(crate) struct StreamInbox {
    sender: mpsc::Sender<ReceivedStream>,
}

/// An inbox and the end at which the task reads it.
pub(super) fn inbox() -> (StreamInbox, mpsc::Receiver<ReceivedStream>) {
    let (sender, receiver) = mpsc::channel(INBOX_CAPACITY);
    (StreamInbox { sender }, receiver)
}

impl StreamInbox {
    /// Whether a request carries a control message.
    pub(crate) fn takes(request: &Request<Incoming>) -> bool {
        request.method() == Method::POST && request.uri().path() == PATH
    }

    /// Serves a request for which [`Self::takes`] holds.
    pub(crate) async fn serve(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let sender = request.headers().get(SENDER);
        let source = sender.and_then(|value| value.to_str().ok()?.parse().ok());
        let Some(source) = source else {
            return plain(StatusCode::BAD_REQUEST);
        };
        let body = Limited::new(request.into_body(), MAX_STREAM_MESSAGE);
        let Ok(body) = body.collect().await else {
            return plain(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let bytes = body.to_bytes();
        match self.sender.try_send(ReceivedStream { source, bytes }) {
            Ok(()) => plain(StatusCode::NO_CONTENT),
            Err(_) => plain(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

fn plain(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::own(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// The socket for datagrams.
#[derive(Debug)]
pub(super) struct Datagrams {
    socket: UdpSocket,
    buffer: Vec<u8>,
    metrics: Arc<Metrics>,
}

impl Datagrams {
    pub(super) fn new(socket: UdpSocket, metrics: Arc<Metrics>) -> Self {
        Self {
            socket,
            buffer: vec![0; DATAGRAM_BUFFER],
            metrics,
        }
    }

    /// The next datagram. Cancel safe.
    pub(super) async fn receive(&mut self) -> (SocketAddr, Vec<u8>) {
        loop {
            match self.socket.recv_from(&mut self.buffer).await {
                Ok((length, source)) => {
                    self.count(Direction::Received, length);
                    return (source, self.buffer[..length].to_vec());
                }
                Err(error) => {
                    log_event!(Event::ControlReceiveFailed, "error={}", Quoted(error));
                    tokio::time::sleep(SOCKET_ERROR_PAUSE).await;
                }
            }
        }
    }

    /// Sends a datagram; one that can't be sent counts as lost.
    pub(super) async fn send(&self, to: SocketAddr, bytes: &[u8]) {
        match self.socket.send_to(bytes, to).await {
            Ok(length) => self.count(Direction::Sent, length),
            Err(error) => {
                log_event!(Event::ControlSendFailed, "to={to} error={}", Quoted(error));
            }
        }
    }

    fn count(&self, direction: Direction, bytes: usize) {
        let bytes = bytes as u64;
        self.metrics
            .control_message(Transport::Datagram, direction, bytes);
    }
}

/// Sends messages over streams, each in a task of its own.
#[derive(Debug)]
pub(super) struct StreamSender {
    peers: Arc<PeerPool>,
    tasks: TaskTracker,
    own_address: SocketAddr,
}

impl StreamSender {
    pub(super) fn new(peers: PeerPool, tasks: TaskTracker, own_address: SocketAddr) -> Self {
        Self {
            peers: Arc::new(peers),
            tasks,
            own_address,
        }
    }

    /// Sends a message; one that does not arrive counts as lost.
    pub(super) fn send(&self, to: SocketAddr, bytes: Vec<u8>) {
        let request = Request::post(format!("http://{to}{PATH}"))
            .header(SENDER, self.own_address.to_string())
            .body(RequestBody::held(bytes.into()));
        let Ok(request) = request else {
            return;
        };
        let peers = Arc::clone(&self.peers);
        self.tasks.spawn(async move {
            let sent = tokio::time::timeout(STREAM_TIMEOUT, peers.send(to, request)).await;
            if !matches!(sent, Ok(Ok(_))) {
                log_event!(Event::ControlStreamFailed, "to={to}");
            }
        });
    }
}

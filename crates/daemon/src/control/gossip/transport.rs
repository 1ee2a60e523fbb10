//! Transport of control messages: datagrams, and streams for messages too large for a datagram.

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

use crate::body::{RequestBody, ResponseBody};
use crate::events::{Event, Quoted, log_event};
use crate::metrics::{Direction, Metrics, Transport};
use crate::peers::PeerPool;

/// Path of gossip and configuration messages on the control listener.
pub(crate) const PATH: &str = "/wharfquay/control";
/// Header with the control address of the sender of a streamed message.
const SENDER: HeaderName = HeaderName::from_static("wharfquay-control-address");
/// Maximum number of streamed messages that wait for the task. Further ones are refused;
/// anti-entropy transfers their content later.
const INBOX_CAPACITY: usize = 256;
/// Maximum time to send one message over a stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the receive buffer in bytes; larger datagrams are truncated and fail to decode.
const DATAGRAM_BUFFER: usize = 2_048;
/// Pause after a socket error; without it a persistent error would keep a core busy.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// A message that arrived over a stream.
#[derive(Debug)]
pub(crate) struct ReceivedStream {
    /// The sender's control address.
    pub(super) source: SocketAddr,
    /// The encoded message.
    pub(super) bytes: Bytes,
}

/// Receives streamed messages from the control listener.
#[derive(Clone, Debug)]
pub(crate) struct StreamInbox {
    sender: mpsc::Sender<ReceivedStream>,
}

/// Creates an inbox and the receiver from which the task reads it.
pub(super) fn inbox() -> (StreamInbox, mpsc::Receiver<ReceivedStream>) {
    let (sender, receiver) = mpsc::channel(INBOX_CAPACITY);
    (StreamInbox { sender }, receiver)
}

impl StreamInbox {
    /// Returns true if a request carries a control message.
    pub(crate) fn accepts(request: &Request<Incoming>) -> bool {
        request.method() == Method::POST && request.uri().path() == PATH
    }

    /// Handles a request for which [`Self::accepts`] returns true.
    pub(crate) async fn serve(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let sender = request.headers().get(SENDER);
        let source = sender.and_then(|value| value.to_str().ok()?.parse().ok());
        let Some(source) = source else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let body = Limited::new(request.into_body(), MAX_STREAM_MESSAGE);
        let Ok(body) = body.collect().await else {
            return empty_response(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let bytes = body.to_bytes();
        match self.sender.try_send(ReceivedStream { source, bytes }) {
            Ok(()) => empty_response(StatusCode::NO_CONTENT),
            Err(_) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from_bytes(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// The UDP socket for control messages.
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

    /// Receives the next datagram. Cancel safe.
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

    /// Sends a datagram; a failure is logged and treated like packet loss.
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
            .record_control_message(Transport::Datagram, direction, bytes);
    }
}

/// Sends messages over streams, each in a separate task.
#[derive(Debug)]
pub(super) struct StreamSender {
    peers: Arc<PeerPool>,
    tasks: TaskTracker,
    local_address: SocketAddr,
}

impl StreamSender {
    pub(super) fn new(peers: PeerPool, tasks: TaskTracker, local_address: SocketAddr) -> Self {
        Self {
            peers: Arc::new(peers),
            tasks,
            local_address,
        }
    }

    /// Sends a message; a failure is logged and treated like packet loss.
    pub(super) fn send(&self, to: SocketAddr, bytes: Vec<u8>) {
        let request = Request::post(format!("http://{to}{PATH}"))
            .header(SENDER, self.local_address.to_string())
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

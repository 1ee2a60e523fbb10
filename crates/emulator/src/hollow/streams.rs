//! Control messages that are too large for a datagram, as HTTP/2 requests like a real daemon's.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use wharfquay_protocol::envelope::MAX_STREAM_MESSAGE;

/// Path that takes control messages.
const PATH: &str = "/wharfquay/control";
/// Control address of the sender.
const SENDER: HeaderName = HeaderName::from_static("wharfquay-control-address");
/// Longest time for one message.
const STREAM_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after an error of the listener.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A message that arrived over a stream.
#[derive(Debug)]
pub(super) struct ReceivedStream {
    /// The sender's control address.
    pub(super) source: SocketAddr,
    /// The encoded message.
    pub(super) bytes: Bytes,
}

/// Takes messages for ever.
pub(super) async fn accept(listener: TcpListener, inbox: mpsc::Sender<ReceivedStream>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, inbox.clone()));
            }
            Err(error) => {
                log::debug!("event=hollow_accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, inbox: mpsc::Sender<ReceivedStream>) {
    let service = service_fn(move |request| {
        let inbox = inbox.clone();
        async move { Ok::<_, Infallible>(answer(request, &inbox).await) }
    });
    let builder = auto::Builder::new(TokioExecutor::new());
    let served = builder.serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!("event=hollow_connection_ended error=\"{error}\"");
    }
}

async fn answer(
    request: Request<Incoming>,
    inbox: &mpsc::Sender<ReceivedStream>,
) -> Response<Full<Bytes>> {
    if request.method() != Method::POST || request.uri().path() != PATH {
        return plain(StatusCode::NOT_FOUND);
    }
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
    match inbox.try_send(ReceivedStream { source, bytes }) {
        Ok(()) => plain(StatusCode::NO_CONTENT),
        Err(_) => plain(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Sends a message in a task of its own; one that does not arrive counts as lost.
pub(super) fn send(from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
    tokio::spawn(async move {
        let sent = tokio::time::timeout(STREAM_TIMEOUT, post(from, to, bytes)).await;
        if !matches!(sent, Ok(Some(()))) {
            log::debug!("event=hollow_stream_failed to={to}");
        }
    });
}

async fn post(from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) -> Option<()> {
    let stream = TcpStream::connect(to).await.ok()?;
    let io = TokioIo::new(stream);
    let handshake = http2::handshake(TokioExecutor::new(), io).await;
    let (mut sender, connection) = handshake.ok()?;
    tokio::spawn(connection);
    let request = Request::post(format!("http://{to}{PATH}"))
        .header(SENDER, from.to_string())
        .body(Full::new(Bytes::from(bytes)))
        .ok()?;
    let answer = sender.send_request(request).await.ok()?;
    answer.status().is_success().then_some(())
}

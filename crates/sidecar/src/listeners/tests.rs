//! Memory of the requests in progress, and what a stop does to connections of peers.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use wharfquay_daemon::body::ResponseBody;

use super::{Closing, serve_peer};
use crate::inbound::InboundHandler;
use crate::outbound::OutboundHandler;
use crate::stop_phase::{StopPhase, StopSignal};

/// Maximum size of the future of one request, in bytes. It is allocated and moved for each request,
/// and each connection from another sidecar keeps room for one.
const MAX_FUTURE_SIZE: usize = 8 * 1024;

fn future_size<'handler, H, B, F>(_handle: fn(&'handler H, Request<B>) -> F) -> usize {
    size_of::<F>()
}

/// Guards against wrappers that take a future by value, each of which doubles its size.
#[test]
fn futures_of_requests_stay_small() {
    let outbound = future_size(OutboundHandler::handle);
    let inbound = future_size(InboundHandler::handle);
    assert!(outbound <= MAX_FUTURE_SIZE, "outbound: {outbound} bytes");
    assert!(inbound <= MAX_FUTURE_SIZE, "inbound: {inbound} bytes");
}

/// A connection of a peer whose requests take a time, and the state of the stop.
struct PeerConnection {
    stream: TcpStream,
    stop: watch::Sender<StopPhase>,
    started: Arc<AtomicUsize>,
    closing: Closing,
}

impl PeerConnection {
    /// Serves a connection whose requests each take `time`.
    async fn open(time: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await;
        let (accepted, _) = listener.accept().await.unwrap();
        let (stop, signal) = StopSignal::channel();
        let (closing, started) = (Closing::new(signal), Arc::new(AtomicUsize::new(0)));
        let counter = Arc::clone(&started);
        let handle = move |_request| {
            counter.fetch_add(1, Ordering::Relaxed);
            async move {
                tokio::time::sleep(time).await;
                Ok::<_, Infallible>(Response::new(ResponseBody::from_bytes("done")))
            }
        };
        tokio::spawn(serve_peer(accepted, handle, closing.clone()));
        Self {
            stream: stream.unwrap(),
            stop,
            started,
            closing,
        }
    }

    async fn send_two_requests(&mut self) {
        let text = "GET /1 HTTP/1.1\r\nhost: peer\r\n\r\nGET /2 HTTP/1.1\r\nhost: peer\r\n\r\n";
        self.stream.write_all(text.as_bytes()).await.unwrap();
        while self.started.load(Ordering::Relaxed) == 0 {
            tokio::task::yield_now().await;
        }
    }

    /// Reads until the connection ends; a reset counts as an end.
    async fn read_to_end(&mut self) -> String {
        let mut received = Vec::new();
        let mut piece = [0; 1024];
        while let Ok(length) = self.stream.read(&mut piece).await {
            if length == 0 {
                break;
            }
            received.extend_from_slice(&piece[..length]);
        }
        String::from_utf8(received).unwrap()
    }
}

/// Guards against a stop that executes a request of a peer and closes its connection without the
/// response: a request behind the one in progress is not executed.
#[tokio::test]
async fn a_stop_answers_each_request_of_a_peer_that_it_executes() {
    let mut peer = PeerConnection::open(Duration::from_millis(200)).await;
    peer.send_two_requests().await;
    peer.stop.send_replace(StopPhase::Closing);
    let received = peer.read_to_end().await;
    assert_eq!(received.matches("HTTP/1.1 200 OK").count(), 1, "{received}");
    assert!(received.contains("connection: close"), "{received}");
    assert_eq!(peer.started.load(Ordering::Relaxed), 1);
}

/// Guards against a call that goes on after the grace period, when nobody waits for its response.
#[tokio::test]
async fn the_end_of_the_grace_period_closes_connections_of_peers() {
    let mut peer = PeerConnection::open(Duration::from_secs(60)).await;
    peer.send_two_requests().await;
    peer.stop.send_replace(StopPhase::Cutting);
    assert_eq!(peer.read_to_end().await, "");
    while peer.closing.open_connections() > 0 {
        tokio::task::yield_now().await;
    }
}

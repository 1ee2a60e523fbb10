//! A server of connections of callers whose handler follows the path of each request.
#![allow(unreachable_pub, reason = "a module of one test program")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderMap;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use wharfquay_daemon::body::{RequestBody, ResponseBody};
use wharfquay_sidecar::configuration::ConnectionLimits;
use wharfquay_sidecar::metrics::{Gauges, Metrics};
use wharfquay_sidecar::outbound::connection::lifecycle::ConnectionEnd;
use wharfquay_sidecar::outbound::connection::{ConnectionSettings, RequestHandler, serve};
use wharfquay_sidecar::stop_phase::{StopPhase, StopSignal};

const REQUEST_ID: &str = "test-request-id";
/// Maximum wait for the end of a connection.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Idle timeout of connections unless a test sets another one.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// What became of the requests whose handling began.
#[derive(Debug, Default)]
pub struct Handled {
    started: Mutex<Vec<String>>,
    answered: AtomicUsize,
    cancelled: AtomicUsize,
    bodies: Mutex<Vec<ReceivedBody>>,
    receiving: AtomicUsize,
}

/// A body as its recipient saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReceivedBody {
    /// It ended; these are its bytes.
    Complete(Bytes),
    /// It was broken off.
    Broken,
}

impl Handled {
    /// Returns the paths of the requests whose handling began.
    pub fn started(&self) -> Vec<String> {
        self.started.lock().unwrap().clone()
    }

    /// Returns the number of requests that got a response.
    pub fn answered(&self) -> usize {
        self.answered.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that were cancelled.
    pub fn cancelled(&self) -> usize {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// Returns the bodies that have ended.
    pub fn bodies(&self) -> Vec<ReceivedBody> {
        self.bodies.lock().unwrap().clone()
    }

    /// Returns true while a body is received.
    pub fn is_receiving(&self) -> bool {
        self.receiving.load(Ordering::Relaxed) > 0
    }

    async fn receive(&self, body: RequestBody) -> ReceivedBody {
        let _receiving = Receiving::begin(&self.receiving);
        let received = match body.collect().await {
            Ok(collected) => ReceivedBody::Complete(collected.to_bytes()),
            Err(_) => ReceivedBody::Broken,
        };
        self.bodies.lock().unwrap().push(received.clone());
        received
    }
}

/// Counts a body that is received until it has ended or its recipient was cancelled.
struct Receiving<'handled>(&'handled AtomicUsize);

impl<'handled> Receiving<'handled> {
    fn begin(counter: &'handled AtomicUsize) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request as cancelled if it is dropped without a response.
struct Handling<'handled> {
    handled: &'handled Handled,
    is_answered: bool,
}

impl Drop for Handling<'_> {
    fn drop(&mut self) {
        let counter = match self.is_answered {
            true => &self.handled.answered,
            false => &self.handled.cancelled,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Handles `/wait/MS` by answering after that time, `/panic` by a panic, `/early` by answering before
/// it goes on to receive the body, and anything else once the body has ended.
struct PathHandler(Arc<Handled>);

impl RequestHandler for PathHandler {
    async fn handle(&self, request: Request<RequestBody>) -> Response<ResponseBody> {
        let path = request.uri().path().to_owned();
        let mut handling = Handling {
            handled: &self.0,
            is_answered: false,
        };
        self.0.started.lock().unwrap().push(path.clone());
        assert_ne!(path, "/panic", "this request fails its task");
        if path == "/early" {
            let handled = Arc::clone(&self.0);
            tokio::spawn(async move { handled.receive(request.into_body()).await });
            handling.is_answered = true;
            return Response::new(ResponseBody::from_bytes(path));
        }
        let status = match self.0.receive(request.into_body()).await {
            ReceivedBody::Complete(_) => StatusCode::OK,
            ReceivedBody::Broken => StatusCode::BAD_GATEWAY,
        };
        if let Some(millis) = path.strip_prefix("/wait/") {
            let wait = Duration::from_millis(millis.parse().unwrap());
            tokio::time::sleep(wait).await;
        }
        handling.is_answered = true;
        let mut response = Response::new(ResponseBody::from_bytes(path));
        *response.status_mut() = status;
        response
    }

    fn request_id<'head>(&self, headers: &'head HeaderMap) -> Option<&'head HeaderValue> {
        headers.get(REQUEST_ID)
    }

    fn failed(&self, request_id: Option<&HeaderValue>) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::from_bytes("failed"));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        if let Some(id) = request_id {
            response.headers_mut().insert(REQUEST_ID, id.clone());
        }
        response
    }
}

/// A listener whose connections are served.
pub struct Server {
    pub address: SocketAddr,
    pub handled: Arc<Handled>,
    stop: watch::Sender<StopPhase>,
    metrics: Arc<Metrics>,
    in_flight: Arc<AtomicUsize>,
    ends: mpsc::UnboundedReceiver<ConnectionEnd>,
    _limits: watch::Sender<ConnectionLimits>,
}

impl Server {
    pub async fn start() -> Self {
        Self::with_idle_timeout(IDLE_TIMEOUT).await
    }

    pub async fn with_idle_timeout(idle_timeout: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let handled = Arc::new(Handled::default());
        let metrics = Arc::new(Metrics::new().unwrap());
        let (limit_sender, limits) = watch::channel(ConnectionLimits {
            idle_timeout_ms: u64::try_from(idle_timeout.as_millis()).unwrap(),
            ..ConnectionLimits::default()
        });
        let (stop, signal) = StopSignal::channel();
        let settings = ConnectionSettings {
            limits,
            stop: signal,
            open: Arc::default(),
            in_flight: Arc::default(),
            metrics: Arc::clone(&metrics),
        };
        let in_flight = Arc::clone(&settings.in_flight);
        let (end_sender, ends) = mpsc::unbounded_channel();
        let handler = Arc::new(PathHandler(Arc::clone(&handled)));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (handler, settings) = (Arc::clone(&handler), settings.clone());
                let end_sender = end_sender.clone();
                tokio::spawn(async move {
                    let end = serve(stream, handler, &settings).await;
                    // Not every test waits for the end.
                    let _ = end_sender.send(end);
                });
            }
        });
        Self {
            address,
            handled,
            stop,
            metrics,
            in_flight,
            ends,
            _limits: limit_sender,
        }
    }

    /// Advances the stop.
    pub fn advance(&self, phase: StopPhase) {
        self.stop.send_replace(phase);
    }

    /// Waits until a connection has ended and returns the reason.
    pub async fn connection_end(&mut self) -> ConnectionEnd {
        let end = tokio::time::timeout(MAX_WAIT, self.ends.recv());
        end.await.expect("no end in time").unwrap()
    }

    /// Returns the number of requests that were cut for a reason.
    pub fn cut(&self, reason: ConnectionEnd) -> usize {
        let name = format!(
            "wharfquay_requests_cut_total{{reason=\"{}\"}} ",
            reason.name()
        );
        let text = self.metrics.render(&Gauges::default());
        let count = text.lines().find_map(|line| line.strip_prefix(&name));
        count.map_or(0, |count| count.parse().unwrap())
    }

    /// Returns the number of requests whose response is not completely written.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

//! Listener and connections of an emulated backend.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use displaydoc::Display;
use http::{HeaderMap, HeaderValue, Request, StatusCode, Version};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use rand::RngExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use wharfquay_protocol::headers as names;

use super::body::complete;
use super::execution::{self, ResponseResult};
use super::faults::Faults;
use super::record::ExecutionReport;
use super::repeating_stream::{RepeatingStream, ResponseRepeater};
use super::request::BackendRequest;
use super::state::{BackendSettings, BackendState};
use super::{body::ConnectionAborted, endpoints};

/// Maximum size of a request body; a larger one gets status 413.
const MAX_BODY_BYTES: usize = 1_024 * 1_024;
/// Announced rate limit that is no number.
const GARBLED_RATE_LIMIT: &str = "-many";
/// Maximum time after which a response is sent a second time.
const MAX_REPEAT_DELAY: Duration = Duration::from_millis(10);
/// Time from the termination of a backend until it listens again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Time between two samples of the reported state.
const REPORT_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum age of the stored samples; a longer report lag yields the oldest of them.
const REPORT_HISTORY: Duration = Duration::from_secs(60);

/// An error that prevents a backend from starting.
#[derive(Debug, Display)]
pub enum StartError {
    /// listen {address}: {source}
    Listen {
        /// Address of the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// service: "{0}" is not in the scenario (allowed: {1})
    UnknownService(String, String),
}

impl std::error::Error for StartError {}

/// A running emulated backend; dropping it stops it.
pub struct RunningBackend {
    address: SocketAddr,
    state: Arc<BackendState>,
    stop: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningBackend {
    /// Starts a backend.
    ///
    /// # Errors
    /// [`StartError`] if the scenario lacks the service or the address can't be bound.
    pub async fn start(settings: BackendSettings) -> Result<Self, StartError> {
        let Some(model) = settings.scenario.service(&settings.service).cloned() else {
            return Err(unknown_service(&settings));
        };
        let listener = listen(settings.listen).await?;
        let address = listener.local_addr().map_err(|source| StartError::Listen {
            address: settings.listen,
            source,
        })?;
        let state = Arc::new(BackendState::new(settings, model));
        state.sample_report(REPORT_HISTORY);
        let stop = CancellationToken::new();
        let serving = tokio::spawn(serve_with_restarts(
            listener,
            Arc::clone(&state),
            stop.clone(),
        ));
        let sampling = tokio::spawn(sample_reports(Arc::clone(&state), stop.clone()));
        Ok(Self {
            address,
            state,
            stop,
            tasks: vec![serving, sampling],
        })
    }

    /// Returns the address that the backend listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address that outbound calls are sent to.
    pub fn set_outbound(&self, address: SocketAddr) {
        self.state.calls.set_outbound(address);
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// Starts the drain: further requests are refused, executions in flight complete.
    pub fn drain(&self) {
        self.state.set_leaving(true);
    }

    /// Returns a copy of the execution log.
    #[must_use]
    pub fn report(&self) -> ExecutionReport {
        let settings = &self.state.settings;
        self.state.log.report(&settings.id, &settings.service)
    }

    /// Closes the listener and all connections, which cancels the executions in flight.
    pub async fn shutdown(mut self) {
        self.stop.cancel();
        for task in std::mem::take(&mut self.tasks) {
            // The result doesn't matter: a task that panicked has stopped as well.
            let _result = task.await;
        }
    }
}

impl Drop for RunningBackend {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn unknown_service(settings: &BackendSettings) -> StartError {
    let services = settings.scenario.services.iter();
    let names: Vec<_> = services.map(|service| service.name.as_str()).collect();
    StartError::UnknownService(settings.service.clone(), names.join(", "))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Listen { address, source })
}

async fn sample_reports(state: Arc<BackendState>, stop: CancellationToken) {
    let mut interval = tokio::time::interval(REPORT_SAMPLE_INTERVAL);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = interval.tick() => state.sample_report(REPORT_HISTORY),
        }
    }
}

/// Serves until `stop`. When a request terminates the backend, closes the listener and all
/// connections like the exit of a process and listens on the same address again after
/// [`RESTART_DELAY`].
async fn serve_with_restarts(
    first: TcpListener,
    state: Arc<BackendState>,
    stop: CancellationToken,
) {
    let Ok(address) = first.local_addr() else {
        return;
    };
    let mut listener = first;
    loop {
        let incarnation = stop.child_token();
        tokio::select! {
            () = accept_connections(listener, Arc::clone(&state), incarnation.clone()) => return,
            () = state.terminate.notified() => incarnation.cancel(),
        }
        tokio::time::sleep(RESTART_DELAY).await;
        match listen(address).await {
            Ok(rebound) => listener = rebound,
            Err(error) => return log::error!("event=backend_not_back error=\"{error}\""),
        }
    }
}

async fn accept_connections(
    listener: TcpListener,
    state: Arc<BackendState>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let Some(open) = OpenConnection::count(&state) else {
            continue;
        };
        tokio::spawn(serve_connection(stream, open, stop.clone()));
    }
}

/// Counts one open connection until it is dropped.
struct OpenConnection(Arc<BackendState>);

impl OpenConnection {
    /// Counts one more connection, or returns `None` if the limit is reached.
    fn count(state: &Arc<BackendState>) -> Option<Self> {
        let open = state.connections.fetch_add(1, Ordering::Relaxed);
        let counted = Self(Arc::clone(state));
        if open < state.model.connections as usize {
            return Some(counted);
        }
        state
            .log
            .update_counts(|counts| counts.connections_over_limit += 1);
        None
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(stream: TcpStream, open: OpenConnection, stop: CancellationToken) {
    let setup_time = Duration::from_micros(open.0.model.connect_us);
    if !setup_time.is_zero() {
        tokio::time::sleep(setup_time).await;
    }
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let state = Arc::clone(&open.0);
    let repeater = ResponseRepeater::default();
    let stream = RepeatingStream::new(stream, repeater.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (state, repeater) = (Arc::clone(&state), repeater.clone());
        async move {
            let is_sequential = request.version() == Version::HTTP_11;
            let response = respond(Arc::clone(&state), request).await?;
            if is_sequential && state.should_inject(state.faults().twice) {
                let delay = state.rng().random_range(Duration::ZERO..=MAX_REPEAT_DELAY);
                repeater.repeat_next(delay);
            }
            Ok::<_, ConnectionAborted>(response)
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    builder.http2().timer(TokioTimer::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = stop.cancelled() => {}
        // An error means that the peer lost the connection or an injected fault closed it.
        _result = connection => {}
    }
}

async fn respond(state: Arc<BackendState>, request: Request<Incoming>) -> ResponseResult {
    let (head, body) = request.into_parts();
    let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            let mut response = http::Response::new(complete("body too large".into()));
            *response.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
            return Ok(response);
        }
        Err(_) => return Err(ConnectionAborted),
    };
    if endpoints::handles(head.uri.path()) {
        let path = head.uri.path();
        let mut response = endpoints::serve(&state, &head.method, path, &body);
        announce(&state, response.headers_mut());
        return Ok(response);
    }
    let request = Request::from_parts(head, ());
    let request = BackendRequest::new(&request, body);
    let mut response = execution::serve(Arc::clone(&state), request).await?;
    announce(&state, response.headers_mut());
    Ok(response)
}

/// Adds what the backend announces about itself to the headers of a response.
fn announce(state: &BackendState, headers: &mut HeaderMap) {
    if state.time_since_drain_started().is_some() {
        headers.insert(names::LEAVING, HeaderValue::from_static("1"));
    }
    if let Some(name) = &state.settings.load_report
        && let Ok(value) = HeaderValue::from_str(&state.load_report())
    {
        headers.insert(name, value);
    }
    let text = match state.should_inject(state.faults().garble_rate_limit) {
        true => Some(GARBLED_RATE_LIMIT.to_owned()),
        false => state.announced_rate_limit(),
    };
    if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(names::RATE_LIMIT, value);
    }
}

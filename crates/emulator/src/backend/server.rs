//! Listener and connections of a back end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use displaydoc::Display;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::body::whole;
use super::execution::{self, Answer};
use super::faults::Faults;
use super::record::ExecutionReport;
use super::request::BackendRequest;
use super::state::{BackendSettings, BackendState};
use super::{body::ConnectionAborted, endpoints};

const LARGEST_BODY: usize = 1_024 * 1_024;
/// Time until a back end that ended is back.
const TIME_DOWN: Duration = Duration::from_secs(1);
const REPORT_SAMPLE: Duration = Duration::from_millis(100);
const REPORT_HISTORY: Duration = Duration::from_secs(60);

/// Why a back end can't start.
#[derive(Debug, Display)]
pub enum StartError {
    /// listen {address}: {source}
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the operating system reported.
        source: std::io::Error,
    },
    /// service: "{0}" is not in the scenario (allowed: {1})
    UnknownService(String, String),
}

impl std::error::Error for StartError {}

/// A back end that serves.
pub struct RunningBackend {
    address: SocketAddr,
    state: Arc<BackendState>,
    stop: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningBackend {
    /// Starts a back end.
    ///
    /// # Errors
    /// [`StartError`] when the service is unknown or the address can't be listened on.
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
        let accepting = tokio::spawn(live(listener, Arc::clone(&state), stop.clone()));
        let sampling = tokio::spawn(sample_reports(Arc::clone(&state), stop.clone()));
        Ok(Self {
            address,
            state,
            stop,
            tasks: vec![accepting, sampling],
        })
    }

    /// Where the back end listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where deeper calls go.
    pub fn set_outbound(&self, address: SocketAddr) {
        self.state.calls.set_outbound(address);
    }

    /// Puts faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// Begins the drain.
    pub fn drain(&self) {
        self.state.set_leaving(true);
    }

    /// Everything recorded so far.
    #[must_use]
    pub fn report(&self) -> ExecutionReport {
        let settings = &self.state.settings;
        self.state.log.report(&settings.id, &settings.service)
    }

    /// Closes listener and connections; executions under way are cancelled.
    pub async fn shutdown(mut self) {
        self.stop.cancel();
        for task in std::mem::take(&mut self.tasks) {
            // A task that panicked has ended too.
            let _ended = task.await;
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
    let mut interval = tokio::time::interval(REPORT_SAMPLE);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = interval.tick() => state.sample_report(REPORT_HISTORY),
        }
    }
}

/// Serves, ends as a process would when a request ends the back end, and is back at the same address a while later.
async fn live(first: TcpListener, state: Arc<BackendState>, stop: CancellationToken) {
    let Ok(address) = first.local_addr() else {
        return;
    };
    let mut listener = first;
    loop {
        let life = stop.child_token();
        tokio::select! {
            () = accept(listener, Arc::clone(&state), life.clone()) => return,
            () = state.end.notified() => life.cancel(),
        }
        tokio::time::sleep(TIME_DOWN).await;
        match listen(address).await {
            Ok(again) => listener = again,
            Err(error) => return log::error!("event=backend_not_back error=\"{error}\""),
        }
    }
}

async fn accept(listener: TcpListener, state: Arc<BackendState>, stop: CancellationToken) {
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

/// Counts a connection for as long as it lives.
struct OpenConnection(Arc<BackendState>);

impl OpenConnection {
    /// Counts one more connection, unless the limit is reached.
    fn count(state: &Arc<BackendState>) -> Option<Self> {
        let open = state.connections.fetch_add(1, Ordering::Relaxed);
        let counted = Self(Arc::clone(state));
        if open < state.model.connections as usize {
            return Some(counted);
        }
        state.log.note(|counts| counts.connections_over_limit += 1);
        None
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(stream: TcpStream, open: OpenConnection, stop: CancellationToken) {
    let set_up = Duration::from_micros(open.0.model.connect_us);
    if !set_up.is_zero() {
        tokio::time::sleep(set_up).await;
    }
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let state = Arc::clone(&open.0);
    let service = service_fn(move |request| respond(Arc::clone(&state), request));
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    builder.http2().timer(TokioTimer::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = stop.cancelled() => {}
        // An error here is the peer's loss of the connection, or a fault that closed it.
        _ended = connection => {}
    }
}

async fn respond(state: Arc<BackendState>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let body = match Limited::new(body, LARGEST_BODY).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            let mut response = http::Response::new(whole("body too large".into()));
            *response.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
            return Ok(response);
        }
        Err(_) => return Err(ConnectionAborted),
    };
    if endpoints::owns(head.uri.path()) {
        let path = head.uri.path();
        return Ok(endpoints::serve(&state, &head.method, path, &body));
    }
    let request = Request::from_parts(head, ());
    execution::serve(state, BackendRequest::new(&request, body)).await
}

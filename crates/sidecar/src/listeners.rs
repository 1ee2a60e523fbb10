//! The listeners of a sidecar and their accept loops.

#[cfg(test)]
mod tests;

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::header::HeaderMap;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use wharfquay_daemon::accept_queue::take_queued;
use wharfquay_daemon::body::{RequestBody, ResponseBody};
use wharfquay_daemon::connect::{set_keepalive_options, set_keepalive_probes};

use crate::control::StreamInbox;
use crate::events::Event;
use crate::in_flight::InFlight;
use crate::inbound::InboundHandler;
use crate::log_event;
use crate::outbound::OutboundHandler;
use crate::outbound::connection::{ConnectionSettings, RequestHandler, serve};
use crate::settings::Settings;
use crate::sidecar::StartError;
use crate::stop_phase::{StopPhase, StopSignal};

/// Pause after a failed accept, which prevents a lack of file descriptors from occupying a core.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Time for which connections are still served after the end of a stop: a request that was sent
/// meanwhile is then refused as not executed instead of being lost with its connection.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

impl RequestHandler for OutboundHandler {
    fn handle(
        &self,
        request: Request<RequestBody>,
    ) -> impl Future<Output = Response<ResponseBody>> + Send {
        Self::handle(self, request)
    }

    fn request_id<'head>(&self, headers: &'head HeaderMap) -> Option<&'head HeaderValue> {
        headers.get(&self.dialect.request_id)
    }

    fn failed(&self, request_id: Option<&HeaderValue>) -> Response<ResponseBody> {
        Self::failed(self, request_id)
    }
}

/// The stop, as listeners and connections of peers receive it, and the connections that it waits for.
#[derive(Clone, Debug)]
pub(crate) struct Closing {
    signal: StopSignal,
    /// Number of open connections of callers and peers.
    connections: Arc<AtomicUsize>,
}

impl Closing {
    pub(crate) fn new(signal: StopSignal) -> Self {
        Self {
            signal,
            connections: Arc::default(),
        }
    }

    /// Returns the counter of open connections.
    pub(crate) const fn connections(&self) -> &Arc<AtomicUsize> {
        &self.connections
    }

    /// Returns the number of connections of callers and peers that are still open.
    pub(crate) fn open_connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Completes when listeners and idle connections are to be closed.
    async fn begins(&mut self) {
        self.signal.reached(StopPhase::Closing).await;
    }

    /// Completes when the grace period is over.
    async fn cuts(&mut self) {
        self.signal.reached(StopPhase::Cutting).await;
    }
}

/// The bound listeners of one sidecar.
pub(crate) struct Listeners {
    pub(crate) outbound: TcpListener,
    pub(crate) inbound: TcpListener,
    pub(crate) control: TcpListener,
    pub(crate) datagrams: UdpSocket,
}

impl Listeners {
    /// Binds every listener.
    ///
    /// # Errors
    /// [`StartError::Bind`] with the address that can't be bound.
    pub(crate) async fn bind(settings: &Settings) -> Result<Self, StartError> {
        let listen = async |side, address| {
            let bound = TcpListener::bind(address).await;
            let listener = bound.map_err(|error| StartError::Bind {
                side,
                address,
                error,
            })?;
            Ok::<_, StartError>(listener)
        };
        let outbound = listen("outbound", settings.outbound).await?;
        // Callers may read slowly. Writing to them has a timeout of its own.
        set_keepalive_probes(&outbound);
        let inbound = listen("inbound", settings.inbound).await?;
        let control = listen("control", settings.control).await?;
        set_keepalive_options(&inbound);
        set_keepalive_options(&control);
        let datagrams =
            UdpSocket::bind(settings.control)
                .await
                .map_err(|error| StartError::Bind {
                    side: "control datagrams",
                    address: settings.control,
                    error,
                })?;
        Ok(Self {
            outbound,
            inbound,
            control,
            datagrams,
        })
    }
}

/// Accepts connections until everything is to be closed, then those in the accept queue; failed
/// accepts are logged. Options other than `TCP_NODELAY` are inherited from the listener: most
/// connections carry one request, and each option costs a system call.
async fn accept(listener: TcpListener, mut closing: Closing, serve: impl Fn(TcpStream)) {
    let serve = move |stream: TcpStream| {
        // If this fails, small writes are only slower.
        let _ = stream.set_nodelay(true);
        serve(stream);
    };
    let address = listener.local_addr().ok();
    let log_failure = |error| {
        log_event!(
            Event::AcceptFailed,
            "listener={address:?} error=\"{error}\""
        );
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.begins() => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                log_failure(error);
                tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
    }
    match take_queued(listener) {
        Ok(queued) => queued.into_iter().for_each(serve),
        Err(error) => log_failure(error),
    }
}

/// Serves callers on this machine and the local backend.
pub(crate) fn spawn_outbound(
    listener: TcpListener,
    handler: OutboundHandler,
    settings: ConnectionSettings,
    closing: Closing,
) {
    let handler = Arc::new(handler);
    let settings = Arc::new(settings);
    tokio::spawn(accept(listener, closing, move |stream| {
        let (handler, settings) = (Arc::clone(&handler), Arc::clone(&settings));
        // The connection itself reports each request that it cut.
        tokio::spawn(async move { serve(stream, handler, &settings).await });
    }));
}

/// Serves calls from other sidecars.
pub(crate) fn spawn_inbound(listener: TcpListener, handler: InboundHandler, closing: Closing) {
    spawn_server(listener, closing, move |request| {
        let handler = handler.clone();
        async move { handler.handle(request).await }
    });
}

/// Receives control messages over streams.
pub(crate) fn spawn_control(listener: TcpListener, inbox: StreamInbox, closing: Closing) {
    spawn_server(listener, closing, move |request| {
        let inbox = inbox.clone();
        async move { inbox.serve(request).await }
    });
}

/// Serves the connections of peers.
fn spawn_server<H, F>(listener: TcpListener, closing: Closing, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<ResponseBody>, Infallible>> + Send + 'static,
{
    tokio::spawn(accept(listener, closing.clone(), move |stream| {
        let (handle, closing) = (handle.clone(), closing.clone());
        tokio::spawn(serve_peer(stream, handle, closing));
    }));
}

/// Serves one connection of a peer until it closes, or until its requests are completed after
/// everything is to be closed.
async fn serve_peer<H, F>(stream: TcpStream, handle: H, mut closing: Closing)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Response<ResponseBody>, Infallible>>,
{
    let _open = InFlight::begin(&closing.connections);
    let connection = server().serve_connection(TokioIo::new(stream), service_fn(handle));
    let mut connection = pin!(connection);
    let mut cutting = closing.clone();
    let delayed = async {
        closing.begins().await;
        tokio::time::sleep(CLOSE_DELAY).await;
    };
    // Each request is reported separately. The result only shows how the peer closed the
    // connection.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = delayed => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                _ = connection => {}
                () = cutting.cuts() => {}
            }
        }
    }
}

fn server() -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(None);
    // Responses sent to other zones carry the backend's headers only.
    builder.auto_date_header(false);
    builder
}

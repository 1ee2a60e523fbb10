//! The listeners of a sidecar, and the loops that accept connections on them.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use wharfquay_daemon::body::{AnswerBody, RequestBody};
use wharfquay_daemon::connect::notice_silence;

use crate::control::StreamInbox;
use crate::events::Event;
use crate::inbound::InboundHandler;
use crate::log_event;
use crate::outbound::OutboundHandler;
use crate::outbound::connection::{ConnectionSettings, RequestHandler, serve};
use crate::settings::Settings;
use crate::sidecar::StartError;

/// Pause after a failed accept, so that a lack of file descriptors does not keep a core busy.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// The outbound handler, with the requests in progress counted.
pub(crate) struct CountedHandler {
    pub(crate) handler: OutboundHandler,
    pub(crate) in_flight: Arc<AtomicUsize>,
}

impl RequestHandler for CountedHandler {
    async fn handle(&self, request: Request<RequestBody>) -> Response<AnswerBody> {
        let _in_flight = crate::inbound::InFlight::begin(&self.in_flight);
        self.handler.handle(request).await
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
    /// [`StartError::Bind`] names the address that can't be used.
    pub(crate) async fn bind(settings: &Settings) -> Result<Self, StartError> {
        let listen = async |side, address| {
            let bound = TcpListener::bind(address).await;
            let listener = bound.map_err(|error| StartError::Bind {
                side,
                address,
                error,
            })?;
            notice_silence(&listener);
            Ok(listener)
        };
        let datagrams =
            UdpSocket::bind(settings.control)
                .await
                .map_err(|error| StartError::Bind {
                    side: "control datagrams",
                    address: settings.control,
                    error,
                })?;
        Ok(Self {
            outbound: listen("outbound", settings.outbound).await?,
            inbound: listen("inbound", settings.inbound).await?,
            control: listen("control", settings.control).await?,
            datagrams,
        })
    }
}

/// Accepts connections for ever; failed accepts end nothing. Options other than the delay of small writes
/// come from the listener: most connections carry one request, and each option is a system call.
async fn accept(listener: TcpListener, serve: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without it small writes are only slower.
                let _ = stream.set_nodelay(true);
                serve(stream);
            }
            Err(error) => {
                let address = listener.local_addr().ok();
                log_event!(
                    Event::AcceptFailed,
                    "listener={address:?} error=\"{error}\""
                );
                tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
    }
}

/// Serves callers on this machine and the local back end, for ever.
pub(crate) fn spawn_outbound(
    listener: TcpListener,
    handler: CountedHandler,
    settings: ConnectionSettings,
) {
    let handler = Arc::new(handler);
    let settings = Arc::new(settings);
    tokio::spawn(accept(listener, move |stream| {
        let (handler, settings) = (Arc::clone(&handler), Arc::clone(&settings));
        tokio::spawn(async move { serve(stream, handler, &settings).await });
    }));
}

/// Serves the calls of other sidecars, for ever.
pub(crate) fn spawn_inbound(listener: TcpListener, handler: InboundHandler) {
    tokio::spawn(accept(listener, move |stream| {
        let handler = handler.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let handler = handler.clone();
            async move { handler.handle(request).await }
        });
        tokio::spawn(async move {
            // Its calls are told of one by one; what is left is how the peer closed the connection.
            let _ = server()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }));
}

/// Takes control messages that come over streams, for ever.
pub(crate) fn spawn_control(listener: TcpListener, inbox: StreamInbox) {
    tokio::spawn(accept(listener, move |stream| {
        let inbox = inbox.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let inbox = inbox.clone();
            async move { inbox.serve(request).await }
        });
        tokio::spawn(async move {
            // Its calls are told of one by one; what is left is how the peer closed the connection.
            let _ = server()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }));
}

fn server() -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(None);
    // Answers cross zones with the back end's headers only.
    builder.auto_date_header(false);
    builder
}

//! The listeners of a sidecar and their accept loops.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use wharfquay_daemon::body::{RequestBody, ResponseBody};
use wharfquay_daemon::connect::set_keepalive_options;

use crate::control::StreamInbox;
use crate::events::Event;
use crate::inbound::InboundHandler;
use crate::log_event;
use crate::outbound::OutboundHandler;
use crate::outbound::connection::{ConnectionSettings, RequestHandler, serve};
use crate::settings::Settings;
use crate::sidecar::StartError;

/// Pause after a failed accept, which prevents a lack of file descriptors from occupying a core.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

impl RequestHandler for OutboundHandler {
    async fn handle(&self, request: Request<RequestBody>) -> Response<ResponseBody> {
        Self::handle(self, request).await
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
            set_keepalive_options(&listener);
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

/// Accepts connections until the process terminates; failed accepts are logged. Options other than
/// `TCP_NODELAY` are inherited from the listener: most connections carry one request, and each
/// option costs a system call.
async fn accept(listener: TcpListener, serve: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // If this fails, small writes are only slower.
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

/// Serves callers on this machine and the local backend.
pub(crate) fn spawn_outbound(
    listener: TcpListener,
    handler: OutboundHandler,
    settings: ConnectionSettings,
) {
    let handler = Arc::new(handler);
    let settings = Arc::new(settings);
    tokio::spawn(accept(listener, move |stream| {
        let (handler, settings) = (Arc::clone(&handler), Arc::clone(&settings));
        tokio::spawn(async move { serve(stream, handler, &settings).await });
    }));
}

/// Serves calls from other sidecars.
pub(crate) fn spawn_inbound(listener: TcpListener, handler: InboundHandler) {
    tokio::spawn(accept(listener, move |stream| {
        let handler = handler.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let handler = handler.clone();
            async move { handler.handle(request).await }
        });
        tokio::spawn(async move {
            // Each call is reported separately. The result only shows how the peer closed the
            // connection.
            let _ = server()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }));
}

/// Receives control messages over streams.
pub(crate) fn spawn_control(listener: TcpListener, inbox: StreamInbox) {
    tokio::spawn(accept(listener, move |stream| {
        let inbox = inbox.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let inbox = inbox.clone();
            async move { inbox.serve(request).await }
        });
        tokio::spawn(async move {
            // Each message is handled separately. The result only shows how the peer closed the
            // connection.
            let _ = server()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }));
}

fn server() -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(None);
    // Responses sent to other zones carry the backend's headers only.
    builder.auto_date_header(false);
    builder
}

//! Connections of callers: requests are read ahead, executed concurrently, and responses are sent
//! in order.
//!
//! The HTTP library serves a pipelined connection one request at a time. Callers on this platform
//! abandon a request that is not read within a second, which is why this module reads connections
//! itself, with the parser that the library uses.
//!
//! [`lifecycle`] decides when a connection ends; `reader` takes requests, `response_writer` answers
//! them, and both ask it.

pub mod lifecycle;

mod reader;
mod response_writer;
mod taken_request;

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use http::header::HeaderMap;
use http::{HeaderValue, Request, Response};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use wharfquay_daemon::body::{RequestBody, ResponseBody};

use self::lifecycle::{ConnectionEnd, Lifecycle};
use self::reader::Reader;
use self::response_writer::write_responses;
use crate::configuration::ConnectionLimits;
use crate::in_flight::InFlight;
use crate::metrics::Metrics;
use crate::stop_phase::{StopPhase, StopSignal};

/// Maximum number of requests in progress on one connection.
const MAX_PIPELINED: usize = 64;
/// Number of bytes read from a connection at a time.
const READ_SIZE: usize = 8 * 1024;
/// Time for which a connection is still read after the last response. Closing it with unread data
/// would reset it and could lose that response.
const LINGER: Duration = Duration::from_secs(1);

/// Handles the requests of a connection.
pub trait RequestHandler: Send + Sync + 'static {
    /// Returns the final response. Dropping the future cancels the request.
    fn handle(
        &self,
        request: Request<RequestBody>,
    ) -> impl Future<Output = Response<ResponseBody>> + Send;

    /// Returns the id of a request; `None` if it has none.
    fn request_id<'head>(&self, headers: &'head HeaderMap) -> Option<&'head HeaderValue>;

    /// Returns the response to a request whose handling ended without one. It may have been
    /// executed.
    fn failed(&self, request_id: Option<&HeaderValue>) -> Response<ResponseBody>;
}

/// Settings shared by the connections of one listener.
#[derive(Clone, Debug)]
pub struct ConnectionSettings {
    /// Connection limits in force.
    pub limits: watch::Receiver<ConnectionLimits>,
    /// Phase of the orderly stop.
    pub stop: StopSignal,
    /// Number of open connections.
    pub open: Arc<AtomicUsize>,
    /// Number of requests, on all connections, whose response is not completely written.
    pub in_flight: Arc<AtomicUsize>,
    /// Counts the requests that were cut.
    pub metrics: Arc<Metrics>,
}

/// Serves one connection until it ends and returns the reason.
pub async fn serve<H: RequestHandler>(
    mut stream: TcpStream,
    handler: Arc<H>,
    settings: &ConnectionSettings,
) -> ConnectionEnd {
    let _open = InFlight::begin(&settings.open);
    let lifecycle = Arc::new(Lifecycle::new(settings.stop.clone()));
    let (read_half, write_half) = stream.split();
    let (sender, mut taken) = mpsc::channel(MAX_PIPELINED);
    let mut reader = Reader::new(read_half, Arc::clone(&handler), &lifecycle, settings);
    let mut reading = pin!(reader.run(sender));
    let writing = pin!(write_responses(
        write_half, &mut taken, &*handler, &lifecycle
    ));
    let mut stop = settings.stop.clone();
    let mut cutting = pin!(stop.reached(StopPhase::Cutting));
    // The reason is known before the requests in progress are dropped, which report it.
    tokio::select! {
        () = reading.as_mut() => {}
        () = writing => {}
        () = cutting.as_mut() => lifecycle.end(ConnectionEnd::Stopped),
    }
    if lifecycle.reason() == ConnectionEnd::Complete {
        tokio::select! {
            () = reading => {}
            () = tokio::time::sleep(LINGER) => {}
            () = cutting => {}
        }
    }
    lifecycle.reason()
}

//! Serves HTTP on accepted connections.

use std::convert::Infallible;
use std::pin::pin;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::body::ResponseBody;
use crate::events::{Event, Quoted, log_event};
use crate::settings::LimitSettings;

#[cfg(test)]
mod tests;

/// HTTP/2 flow-control window of each stream, in bytes.
const STREAM_WINDOW: u32 = 1024 * 1024;
/// HTTP/2 flow-control window of each connection, in bytes.
const CONNECTION_WINDOW: u32 = 8 * 1024 * 1024;
/// Maximum time in which a caller must send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Request heads of up to this many times the limit are read, which allows a refusal with a result
/// code.
const HEAD_LIMIT_FACTOR: u32 = 4;
/// Time for which an open connection is still served after the stop: the request that a caller has
/// sent meanwhile is then refused as not executed instead of being lost with its connection.
const CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of reset streams that the server has not processed yet. The limit is generous
/// because many callers that time out simultaneously are no attack.
const MAX_PENDING_RESETS: usize = 1_024;

/// The protocols that a listener accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Protocols {
    /// HTTP/1.1 and HTTP/2, distinguished by the first bytes.
    Any,
    /// HTTP/2 only.
    Http2,
}

/// Creates the connection builder of one listener.
pub(crate) fn builder(
    protocols: Protocols,
    limits: &LimitSettings,
) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    if protocols == Protocols::Http2 {
        builder = builder.http2_only();
    }
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size((limits.header_bytes * HEAD_LIMIT_FACTOR) as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(limits.streams_per_peer)
        .max_pending_accept_reset_streams(MAX_PENDING_RESETS)
        .max_header_list_size(limits.header_bytes * HEAD_LIMIT_FACTOR);
    builder
}

/// Serves one connection until it closes. It is closed shortly after `stop` is cancelled, once its
/// requests are completed.
pub(crate) async fn serve<H, F>(
    builder: auto::Builder<TokioExecutor>,
    stream: TcpStream,
    stop: CancellationToken,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let service = service_fn(move |request| {
        let response = handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = delayed(&stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log_event!(Event::ConnectionEnded, "error={}", Quoted(error));
    }
}

/// Completes [`CLOSE_DELAY`] after `stop` is cancelled.
async fn delayed(stop: &CancellationToken) {
    stop.cancelled().await;
    tokio::time::sleep(CLOSE_DELAY).await;
}

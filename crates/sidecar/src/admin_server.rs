//! HTTP server for short administrative calls: readiness, heartbeats, metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Pause after a failed accept.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Binds an address and serves it in a new task.
///
/// # Errors
/// The error of the operating system if the address can't be bound.
pub async fn serve<H, F>(address: SocketAddr, handle: H) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
                continue;
            };
            // If this fails, responses are only slightly delayed.
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            let service = service_fn(move |request| {
                let response = handle(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            tokio::spawn(async move {
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                // The client repeats a call whose connection failed.
                let _ = connection.await;
            });
        }
    });
    Ok(())
}

/// Builds a response with this status and JSON body.
#[must_use]
pub fn json_response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

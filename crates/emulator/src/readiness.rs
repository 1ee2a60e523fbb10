//! Waits until a daemon has its configuration and knows the backends.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use displaydoc::Display;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// daemon {admin}: not ready in time: {reason}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct NotReady {
    /// Admin address of the daemon.
    pub admin: SocketAddr,
    /// Last status received, or why it could not be read.
    pub reason: String,
}

impl std::error::Error for NotReady {}

/// The fields of a daemon's status from which readiness is determined.
#[derive(Deserialize)]
struct Status {
    ready: bool,
    endpoints: Vec<serde::de::IgnoredAny>,
}

/// Polls the daemon's status until it is ready and knows at least this many endpoints.
///
/// # Errors
/// [`NotReady`] if it is not so at `limit`.
pub async fn wait(admin: SocketAddr, endpoints: usize, limit: Instant) -> Result<(), NotReady> {
    loop {
        let reason = match status(admin).await {
            Ok(status) if status.ready && status.endpoints.len() >= endpoints => return Ok(()),
            Ok(status) => format!(
                "ready={} endpoints={} (required: {endpoints})",
                status.ready,
                status.endpoints.len()
            ),
            Err(reason) => reason,
        };
        if Instant::now() >= limit {
            return Err(NotReady { admin, reason });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn status(admin: SocketAddr) -> Result<Status, String> {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::get(format!("http://{admin}/status")).body(Full::default());
    let request = request.map_err(|error| error.to_string())?;
    let response = client.request(request).await;
    let response = response.map_err(|error| error.to_string())?;
    let body = response.into_body().collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

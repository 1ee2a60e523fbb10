//! Polls the health endpoint of the local backend and reads what its responses announce. The reported
//! state may lag or be wrong, so it is only one of several sources for whether the backend is leaving.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::Request;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::sync::watch;
use wharfquay_core::rate_limit::ResponseSource;

use crate::backend_pool::MAX_READ_BUFFER;
use crate::connect::connect;
use crate::events::{Event, Quoted, log_event};
use crate::inbound::BackendAnnouncements;

/// Largest accepted response of a health endpoint, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024;

/// Polls the health endpoint and publishes whether the backend is leaving.
pub(super) struct HealthPoller {
    pub(super) address: SocketAddr,
    pub(super) path: String,
    pub(super) interval: Duration,
    pub(super) leaving: watch::Sender<bool>,
    pub(super) announcements: Arc<BackendAnnouncements>,
}

/// The response of a health endpoint; other fields are ignored.
#[derive(Debug, Deserialize)]
struct Health {
    state: HealthState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum HealthState {
    Live,
    Leaving,
}

/// An error that prevented reading the health endpoint.
#[derive(Debug, Display)]
enum HealthError {
    /// no response before the timeout
    Timeout,
    /// cannot connect: {0}
    Connect(std::io::Error),
    /// no complete response: {0}
    Exchange(Box<dyn std::error::Error + Send + Sync>),
    /// the response is not a health report: {0}
    Malformed(serde_json::Error),
}

impl HealthPoller {
    /// Polls the endpoint; never returns. A failed read leaves the published state unchanged.
    pub(super) async fn run(self) {
        loop {
            let read = tokio::time::timeout(self.interval, self.read());
            match read.await.unwrap_or(Err(HealthError::Timeout)) {
                Ok(state) => self.publish(state == HealthState::Leaving),
                Err(error) => log_event!(Event::HealthReadFailed, "error={}", Quoted(error)),
            }
            tokio::time::sleep(self.interval).await;
        }
    }

    async fn read(&self) -> Result<HealthState, HealthError> {
        let stream = connect(self.address, self.interval).await;
        let stream = stream.map_err(HealthError::Connect)?;
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER)
            .handshake(TokioIo::new(stream));
        let (mut sender, connection) = handshake.await.map_err(exchange_error)?;
        let request = Request::get(&self.path)
            .header(http::header::HOST, self.address.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(exchange_error)?;
        let exchange = async move {
            let sent_at = self.announcements.now();
            let response = sender.send_request(request).await.map_err(exchange_error)?;
            let (source, headers) = (ResponseSource::HealthEndpoint, response.headers());
            self.announcements.read(source, sent_at, headers);
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
            let body = body.collect().await.map_err(HealthError::Exchange)?;
            Ok(body.to_bytes())
        };
        // The connection closes after the exchange, when its sender is dropped.
        let (body, _) = tokio::join!(exchange, connection);
        let health: Health = serde_json::from_slice(&body?).map_err(HealthError::Malformed)?;
        Ok(health.state)
    }

    fn publish(&self, leaving: bool) {
        let changed = self.leaving.send_if_modified(|current| {
            let changed = *current != leaving;
            *current = leaving;
            changed
        });
        if changed {
            log_event!(Event::BackendHealthChanged, "leaving={leaving}");
        }
    }
}

fn exchange_error(error: impl std::error::Error + Send + Sync + 'static) -> HealthError {
    HealthError::Exchange(Box::new(error))
}

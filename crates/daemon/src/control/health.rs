//! Polls the health endpoint of the local backend and reads what its responses announce. The reported
//! state may lag or be wrong, so it is only one of several sources for whether the backend is leaving.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use http::Request;
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use tokio::sync::watch;
use wharfquay_core::rate_limit::ResponseSource;

use crate::backend_pool::BackendPool;
use crate::body::RequestBody;
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
    /// cannot connect
    Connect,
    /// no response on the connection
    NoResponse,
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
        // Each check has a connection of its own, so no other response can be due on it.
        let pool = BackendPool::new(self.address, 1, self.interval);
        let mut lease = pool.checkout().await.map_err(|_| HealthError::Connect)?;
        let request = Request::get(&self.path)
            .header(http::header::HOST, self.address.to_string())
            .body(RequestBody::Held(None))
            .map_err(exchange_error)?;
        let sent_at = self.announcements.now();
        let response = lease.send(request).await;
        let response = response.map_err(|_| HealthError::NoResponse)?;
        let (source, headers) = (ResponseSource::HealthEndpoint, response.headers());
        self.announcements.read(source, sent_at, headers);
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.map_err(HealthError::Exchange)?;
        let health: Health =
            serde_json::from_slice(&body.to_bytes()).map_err(HealthError::Malformed)?;
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

//! What a sidecar is told when it starts.

use std::net::SocketAddr;
use std::time::Duration;

use wharfquay_clock::TimeSource;

/// Settings of one sidecar.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity, unique in the deployment and kept across restarts.
    pub id: String,
    /// Zone that it runs in.
    pub zone: String,
    /// Service of the back end beside it.
    pub service: String,
    /// Address of that back end.
    pub backend: SocketAddr,
    /// Listener for callers and for the back end's own calls.
    pub outbound: SocketAddr,
    /// Listener for calls of other sidecars.
    pub inbound: SocketAddr,
    /// Address for gossip and configuration messages, datagrams and streams.
    pub control: SocketAddr,
    /// Whether the whole deployment starts for the first time, so that no earlier process can have left anything
    /// at the platform.
    pub is_first_start: bool,
    /// Bounds that the deployment sets.
    pub bounds: Bounds,
    /// Where time comes from.
    pub time_source: TimeSource,
}

/// Bounds that the deployment sets.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time from the signal to stop until the process is killed.
    pub stop_grace: Duration,
    /// Repeated arrivals that a service has to bear.
    pub retries: RetryBounds,
    /// Time between two heartbeats of a back end.
    pub heartbeat_interval: Duration,
    /// Time after which an API key that was taken away must not work at any sidecar, cut off or not; none where the
    /// configuration in force at a sidecar decides.
    pub key_revocation: Option<Duration>,
}

/// Repeated arrivals that a service has to bear in any window, from all sidecars together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// For each request to the service.
    pub ratio: f64,
    /// In addition, in each window.
    pub extra: f64,
    /// Length of a window.
    pub window: Duration,
}

impl Default for RetryBounds {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            extra: 50.0,
            window: Duration::from_secs(10),
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stop_grace: Duration::from_secs(6),
            retries: RetryBounds::default(),
            heartbeat_interval: Duration::from_millis(1_500),
            key_revocation: None,
        }
    }
}

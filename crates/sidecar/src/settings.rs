//! What a sidecar is told when it starts.

use std::net::SocketAddr;
use std::time::Duration;

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
    /// Bounds that the deployment sets.
    pub bounds: Bounds,
}

/// Bounds that the deployment sets.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time from the signal to stop until the process is killed.
    pub stop_grace: Duration,
    /// Repeated arrivals per request that a service has to bear, over all sidecars.
    pub retry_ratio: f64,
    /// Time between two heartbeats of a back end.
    pub heartbeat_interval: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stop_grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            heartbeat_interval: Duration::from_millis(1_500),
        }
    }
}

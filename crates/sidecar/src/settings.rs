//! Settings of a sidecar at its start.

use std::net::SocketAddr;
use std::time::Duration;

use wharfquay_clock::TimeSource;

/// Settings of one sidecar.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity, unique in the deployment and kept across restarts.
    pub id: String,
    /// Zone in which the sidecar runs.
    pub zone: String,
    /// Service of the backend beside it.
    pub service: String,
    /// Address of the backend beside it.
    pub backend: SocketAddr,
    /// Listen address for callers and for the backend's own calls.
    pub outbound: SocketAddr,
    /// Listen address for calls from other sidecars.
    pub inbound: SocketAddr,
    /// Address for gossip and configuration messages, both datagrams and streams.
    pub control: SocketAddr,
    /// True if the whole deployment starts for the first time, which means that no earlier process
    /// can have left data at the platform.
    pub is_first_start: bool,
    /// Limits specified for the deployment.
    pub bounds: Bounds,
    /// Source of the monotonic time.
    pub time_source: TimeSource,
}

/// Limits specified for the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time from the stop signal until the process is killed.
    pub stop_grace: Duration,
    /// Specified limit on the repeats that a service receives from all sidecars together. Each
    /// sidecar enforces its part at its own backend.
    pub retries: RetryBounds,
    /// Interval between two heartbeats of a backend.
    pub heartbeat_interval: Duration,
    /// Time within which a key revocation must take effect at every sidecar, including ones that
    /// are cut off: a sidecar refuses requests if its last confirmation that its configuration is
    /// the newest is older than nine tenths of this time. `None` if sidecars serve requests however
    /// old the last confirmation is.
    pub key_revocation: Option<Duration>,
}

/// Specified limit on the repeats that a service receives in any window, from all sidecars
/// together: `ratio` times the requests in the window, plus `extra`. A repeat is an arrival that is
/// not the first of its call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Repeats per request to the service.
    pub ratio: f64,
    /// Repeats allowed in each window in addition to `ratio`. The sidecars leave this part of the
    /// limit unused.
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

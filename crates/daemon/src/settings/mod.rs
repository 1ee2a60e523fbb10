//! Settings of one daemon: typed fields with their units, ranges and defaults.

mod load;

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

pub use load::{SettingsError, load, parse};

/// The settings file of one daemon, read once at its start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of this daemon, unique in the deployment and equal to its id on the machine list. 1 to
    /// 128 characters.
    pub id: String,
    /// Zone that this daemon runs in. 1 to 128 characters.
    pub zone: String,
    /// The backend beside this daemon; absent at an edge.
    pub backend: Option<BackendSettings>,
    /// Listener for callers; only at an edge.
    pub edge: Option<ListenSettings>,
    /// Listener for calls of other daemons; required beside a backend.
    pub inbound: Option<ListenSettings>,
    /// Listener for the calls of the local backend.
    pub outbound: Option<ListenSettings>,
    /// The admin pages for operators.
    pub admin: AdminSettings,
    /// Gossip and configuration relay with other daemons. If it is absent, the daemon itself reads
    /// the configuration from the store.
    pub control: Option<ControlSettings>,
    /// Access to the platform's object API.
    pub platform: PlatformSettings,
    /// Settings of the log output.
    #[serde(default)]
    pub log: LogSettings,
    /// Size limits, timeouts and concurrency limits of this process.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Settings of the backend beside the daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Service that the backend belongs to. 1 to 128 characters.
    pub service: String,
    /// Address at which the backend accepts HTTP/1.1, as ip:port.
    #[serde(deserialize_with = "load::socket_address")]
    pub address: SocketAddr,
    /// Path of the backend's health endpoint, which responds with JSON whose field `state` is
    /// `live` or `leaving`. Default empty: the endpoint is not read.
    #[serde(default)]
    pub health_path: String,
    /// Time between two reads of the health endpoint, in milliseconds. 50 to 60000, default 500.
    #[serde(default = "default_health_interval_ms")]
    pub health_interval_ms: u64,
}

const fn default_health_interval_ms() -> u64 {
    500
}

/// Settings of a listener.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address to bind, as ip:port; port 0 lets the operating system choose.
    #[serde(deserialize_with = "load::socket_address")]
    pub listen: SocketAddr,
}

/// Settings of gossip and of the configuration relay.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Address to bind for datagrams and streams, as ip:port; port 0 lets the operating system
    /// choose. Other daemons use this address to reach this one.
    #[serde(deserialize_with = "load::socket_address")]
    pub listen: SocketAddr,
    /// Control addresses of daemons to contact at the start, in addition to those of the machine
    /// list, as ip:port. Default none.
    #[serde(default, deserialize_with = "load::socket_addresses")]
    pub seeds: Vec<SocketAddr>,
    /// Number of the deployment; control messages of other deployments are dropped. 0 to
    /// 4294967295, default 0.
    #[serde(default)]
    pub deployment: u32,
}

/// Settings of the admin pages for operators.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// Listener for health, readiness, metrics, status and decisions, as ip:port.
    #[serde(deserialize_with = "load::socket_address")]
    pub listen: SocketAddr,
    /// Number of the edge's latest decision records that are kept for `/decisions`. 0 to 100000,
    /// default 0: none.
    #[serde(default)]
    pub decision_records: u32,
}

/// Settings for access to the platform's object API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Addresses of the object API, as ip:port, contacted in turn. 1 to 16 entries.
    #[serde(deserialize_with = "load::socket_addresses")]
    pub addresses: Vec<SocketAddr>,
    /// Time between two reads of the machine list, in milliseconds. 50 to 60000, default 500.
    #[serde(default = "default_poll_interval_ms")]
    pub poll_interval_ms: u64,
    /// Maximum time to wait for one response of the platform, in milliseconds. 50 to 60000, default
    /// 2000.
    #[serde(default = "default_request_timeout_ms")]
    pub request_timeout_ms: u64,
}

const fn default_poll_interval_ms() -> u64 {
    500
}

const fn default_request_timeout_ms() -> u64 {
    2_000
}

/// Settings of logging.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is logged: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    /// Default `info`.
    #[serde(default = "default_log_level")]
    pub level: String,
}

fn default_log_level() -> String {
    "info".to_owned()
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: default_log_level(),
        }
    }
}

/// Size limits, timeouts and concurrency limits of one process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest accepted request head, in bytes. 8192 to 1048576, default 32768.
    pub header_bytes: u32,
    /// Maximum time to open a connection to a backend or a peer, in milliseconds. 1 to 60000,
    /// default 1000.
    pub connect_timeout_ms: u64,
    /// Maximum time for which a requested stop waits for calls in flight to complete, in
    /// milliseconds. 0 to 3600000, default 30000.
    pub drain_limit_ms: u64,
    /// Number of calls that one peer may have in flight at this daemon. 1 to 100000, default 4096.
    pub streams_per_peer: u32,
    /// Number of threads that serve calls; an edge should have one for each processor. 1 to 256,
    /// default 2.
    pub worker_threads: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            header_bytes: 32_768,
            connect_timeout_ms: 1_000,
            drain_limit_ms: 30_000,
            streams_per_peer: 4_096,
            worker_threads: 2,
        }
    }
}

impl LimitSettings {
    /// Returns the maximum time to open a connection to a backend or a peer.
    #[must_use]
    pub const fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Returns the maximum time for which a requested stop of the daemon waits for calls in flight
    /// to complete.
    #[must_use]
    pub const fn drain_limit(&self) -> Duration {
        Duration::from_millis(self.drain_limit_ms)
    }
}

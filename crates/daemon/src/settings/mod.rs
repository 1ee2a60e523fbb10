//! Settings of one daemon: typed fields with units, ranges and defaults.

mod load;

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

pub use load::{SettingsError, load, parse};

/// Settings of one daemon, read once at its start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this daemon, unique in the deployment; the machine list uses the same. 1 to 128
    /// characters.
    pub id: String,
    /// Zone that this daemon runs in. 1 to 128 characters.
    pub zone: String,
    /// The back end beside this daemon; absent at an edge.
    pub backend: Option<BackendSettings>,
    /// Listener for callers; only at an edge.
    pub edge: Option<ListenSettings>,
    /// Listener for other daemons; needed beside a back end.
    pub inbound: Option<ListenSettings>,
    /// Listener for the local back end's own calls.
    pub outbound: Option<ListenSettings>,
    /// What is served to operators.
    pub admin: AdminSettings,
    /// Gossip and configuration relay with other daemons; without it the daemon reads the store by
    /// itself.
    pub control: Option<ControlSettings>,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Bounds on what one process accepts and waits for.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// The back end beside the daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Service that the back end belongs to. 1 to 128 characters.
    pub service: String,
    /// Address at which the back end accepts HTTP/1.1, as ip:port.
    #[serde(deserialize_with = "load::socket_address")]
    pub address: SocketAddr,
    /// Path of the back end's health endpoint, which answers with JSON whose field `state` is `live`
    /// or `leaving`. Default empty: it is not read.
    #[serde(default)]
    pub health_path: String,
    /// Time between two reads of the health endpoint, in milliseconds. 50 to 60000, default 500.
    #[serde(default = "default_health_interval_ms")]
    pub health_interval_ms: u64,
}

const fn default_health_interval_ms() -> u64 {
    500
}

/// Where a listener is bound.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address to bind, as ip:port; port 0 lets the operating system choose.
    #[serde(deserialize_with = "load::socket_address")]
    pub listen: SocketAddr,
}

/// Gossip and configuration relay.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Address to bind for datagrams and streams, as ip:port; port 0 lets the operating system
    /// choose. Other daemons reach this one under it.
    #[serde(deserialize_with = "load::socket_address")]
    pub listen: SocketAddr,
    /// Control addresses of daemons to contact at the start, beside those of the machine list; as
    /// ip:port. Default none.
    #[serde(default, deserialize_with = "load::socket_addresses")]
    pub seeds: Vec<SocketAddr>,
    /// Number of the deployment; control messages of another one are dropped. 0 to 4294967295,
    /// default 0.
    #[serde(default)]
    pub deployment: u32,
}

/// What is served to operators.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// Listener for health, readiness, metrics, status and decisions, as ip:port.
    #[serde(deserialize_with = "load::socket_address")]
    pub listen: SocketAddr,
    /// Latest decisions of the edge that are kept for `/decisions`, in records. 0 to 100000, default
    /// 0: none.
    #[serde(default)]
    pub decision_records: u32,
}

/// The platform's object API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Addresses of the object API, as ip:port, tried in turn. 1 to 16 entries.
    #[serde(deserialize_with = "load::socket_addresses")]
    pub addresses: Vec<SocketAddr>,
    /// Time between two reads of the machine list, in milliseconds. 50 to 60000, default 500.
    #[serde(default = "default_poll_interval_ms")]
    pub poll_interval_ms: u64,
    /// Longest time to wait for one answer, in milliseconds. 50 to 60000, default 2000.
    #[serde(default = "default_request_timeout_ms")]
    pub request_timeout_ms: u64,
}

const fn default_poll_interval_ms() -> u64 {
    500
}

const fn default_request_timeout_ms() -> u64 {
    2_000
}

/// Logging.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is written: `off`, `error`, `warn`, `info`, `debug` or `trace`.
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

/// Bounds on what one process accepts and waits for.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest request head, in bytes. 8192 to 1048576, default 32768.
    pub header_bytes: u32,
    /// Longest time to open a connection to a back end or a peer, in milliseconds. 1 to 60000,
    /// default 1000.
    pub connect_timeout_ms: u64,
    /// Longest time that calls in flight may take to end after a stop was asked for, in
    /// milliseconds. 0 to 3600000, default 30000.
    pub drain_limit_ms: u64,
    /// Calls that one peer may have in flight at this daemon. 1 to 100000, default 4096.
    pub streams_per_peer: u32,
    /// Threads that serve calls; an edge wants one for each processor. 1 to 256, default 2.
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
    /// Longest time to open a connection.
    #[must_use]
    pub const fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Longest time that calls in flight may take to end.
    #[must_use]
    pub const fn drain_limit(&self) -> Duration {
        Duration::from_millis(self.drain_limit_ms)
    }
}

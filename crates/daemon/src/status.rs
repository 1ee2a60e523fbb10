//! Types of the `/status` page, which shows the state of one daemon as JSON.

use serde::{Deserialize, Serialize};

/// The state of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Id of the daemon.
    pub id: String,
    /// Zone that the daemon runs in.
    pub zone: String,
    /// Service of the backend beside the daemon; null at an edge.
    pub service: Option<String>,
    /// True if the daemon can serve calls.
    pub ready: bool,
    /// Reason why the daemon can't serve calls; null if it can.
    pub unready_reason: Option<String>,
    /// True once a stop of the daemon was requested.
    pub stopping: bool,
    /// True if the backend beside the daemon is marked as leaving.
    pub leaving: bool,
    /// Progress of the drain of the backend beside the daemon; null while it is not leaving.
    pub drain: Option<DrainStatus>,
    /// Revision of the configuration in force; 0 before the first one.
    pub revision: u64,
    /// True if the platform responded to the last read of the machine list.
    pub platform_available: bool,
    /// Number of calls that have not completed.
    pub calls_in_flight: usize,
    /// Number of daemons to which a connection for calls is open.
    pub peers_connected: usize,
    /// Number of live members in gossip, including this daemon; 0 without a control listener.
    pub members_live: usize,
    /// The endpoint table, sorted by service.
    pub endpoints: Vec<EndpointStatus>,
    /// Admission at the backend; null at an edge.
    pub admission: Option<AdmissionStatus>,
    /// This daemon's replica of the claims on idempotency keys.
    pub claims: ClaimStatus,
}

/// The drain of the local backend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Names of the drains that cover the backend; empty if only the machine list or the health
    /// endpoint marks it as leaving.
    pub drains: Vec<String>,
    /// Time limit for the calls in flight, in milliseconds: the shortest limit of the drains that
    /// cover the backend; null if none does.
    pub limit_ms: Option<u64>,
    /// Number of calls that have not completed.
    pub calls_left: usize,
}

/// A backend in the endpoint table of this daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Service that the backend belongs to.
    pub service: String,
    /// Id of the daemon beside the backend.
    pub id: String,
    /// Zone that the backend runs in.
    pub zone: String,
    /// Address at which the backend's daemon accepts calls, as ip:port.
    pub address: String,
    /// Unix time in milliseconds at which the backend's daemon started, the latest one known from
    /// gossip and its responses; 0 if none is known yet, null if this daemon routes no calls to the
    /// backend.
    pub incarnation: Option<u64>,
    /// True if the backend is leaving and gets no new calls from this daemon.
    pub leaving: bool,
    /// Names of the drains that cover the backend.
    pub drains: Vec<String>,
}

/// Admission at the backend.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionStatus {
    /// Admission level, 0 (closed) to 32768 (open).
    pub level: u16,
    /// Number of calls in execution.
    pub in_flight: u32,
    /// Concurrency limit in force: the maximum number of calls in execution.
    pub limit: u32,
    /// Rate limit that the backend announces, in requests per second; `None` if it announces none.
    #[serde(default)]
    pub rate_limit: Option<f64>,
    /// Number of calls that wait for admission.
    pub queued: u32,
    /// Number of open connections to the backend.
    pub open_connections: usize,
    /// Number of calls in execution on whose behalf the backend may make calls.
    pub open_scopes: usize,
}

/// Status of a daemon's replica of the claims on idempotency keys. A claim is the exclusive right to
/// dispatch the request with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimStatus {
    /// Epoch of the claim group in force; 0 without one.
    pub epoch: u64,
    /// True if the replica of this daemon votes in the claim group.
    pub voting: bool,
    /// Number of idempotency keys that the replica stores.
    pub records: usize,
    /// Size of the responses that the replica stores for repeats, in bytes.
    pub content_bytes: usize,
}

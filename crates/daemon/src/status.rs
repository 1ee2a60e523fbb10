//! State of one daemon, as its `/status` page shows it in JSON.

use serde::{Deserialize, Serialize};

/// State of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Name of the daemon.
    pub id: String,
    /// Zone that it runs in.
    pub zone: String,
    /// Service of its back end; null at an edge.
    pub service: Option<String>,
    /// Whether it can serve.
    pub ready: bool,
    /// Why it can't; null when it can.
    pub unready_reason: Option<String>,
    /// Whether a stop was asked for.
    pub stopping: bool,
    /// Whether its back end is marked as leaving.
    pub leaving: bool,
    /// Progress of that drain; null while the back end is not leaving.
    pub drain: Option<DrainStatus>,
    /// Revision in force; 0 before the first one.
    pub revision: u64,
    /// Whether the platform answered the last read of the machine list.
    pub platform_available: bool,
    /// Calls that have not ended.
    pub calls_in_flight: usize,
    /// Daemons with an open connection for calls.
    pub peers_connected: usize,
    /// Daemons that gossip takes for alive, this one included; 0 without a control listener.
    pub members_live: usize,
    /// The endpoint table, in order of service.
    pub endpoints: Vec<EndpointStatus>,
    /// Admission at the back end; null at an edge.
    pub admission: Option<AdmissionStatus>,
    /// The daemon's replica of the claim group.
    pub claims: ClaimStatus,
}

/// A drain of the daemon's own back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Names of the drains that cover the back end; empty when only the machine list or the health
    /// endpoint says so.
    pub drains: Vec<String>,
    /// Longest time that calls in flight may take by the shortest of these drains, in milliseconds;
    /// null without a drain.
    pub limit_ms: Option<u64>,
    /// Calls that are still to end.
    pub calls_left: usize,
}

/// One back end, as this daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Service that it belongs to.
    pub service: String,
    /// Id of the daemon beside it.
    pub id: String,
    /// Zone that it runs in.
    pub zone: String,
    /// Where its daemon takes calls, as ip:port.
    pub address: String,
    /// Unix time in milliseconds at which its daemon started; 0 where that is not known yet, null
    /// before calls are routed to it.
    pub incarnation: Option<u64>,
    /// Whether it gets no new work from here.
    pub leaving: bool,
    /// Names of the drains that cover it.
    pub drains: Vec<String>,
}

/// Admission at the back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionStatus {
    /// Admission level, 0 (closed) to 32768 (open).
    pub level: u16,
    /// Calls in execution.
    pub in_flight: u32,
    /// Concurrency limit in force.
    pub limit: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Open connections to the back end.
    pub open_connections: usize,
    /// Calls in execution that may make calls of their own.
    pub open_scopes: usize,
}

/// The daemon's replica of the claim group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimStatus {
    /// Epoch of the claim group in force; 0 without one.
    pub epoch: u64,
    /// Whether the daemon holds a replica that votes in it.
    pub voting: bool,
    /// Keys that the replica remembers.
    pub records: usize,
    /// Bytes of answers that it keeps for repeats.
    pub content_bytes: usize,
}

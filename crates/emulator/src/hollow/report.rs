//! What a process of hollow daemons reports, as one JSON line.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;

use super::process;

/// State and traffic of one hollow daemon. Times are milliseconds since the Unix epoch.
#[derive(Clone, Debug, Serialize)]
pub struct DaemonReport {
    /// Identity.
    pub id: String,
    /// Zone.
    pub zone: String,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Messages sent over streams.
    pub streams_sent: u64,
    /// Control bytes sent, with the headers of the network layers.
    pub bytes_sent: u64,
    /// Control bytes received, with the headers of the network layers.
    pub bytes_received: u64,
    /// Live members known.
    pub members: usize,
    /// When that number last changed.
    pub members_changed_at_ms: u64,
    /// Whether the daemon is ready.
    pub ready: bool,
    /// Whether the daemon reads the store.
    pub reader: bool,
    /// Revision in force.
    pub revision: u64,
    /// When it came into force.
    pub adopted_at_ms: u64,
    /// Members that this daemon declared dead.
    pub declared_dead: u64,
    /// Messages that were malformed or foreign.
    pub dropped: u64,
    /// Payloads of the configuration that could not be decoded.
    pub undecodable: u64,
    /// When the watched member was first seen leaving.
    pub watched_leaving_at_ms: Option<u64>,
    /// Bytes that member table and configuration log take by count.
    pub state_bytes: usize,
}

/// The whole process.
#[derive(Clone, Debug, Serialize)]
pub struct HollowReport {
    /// When the report was made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Time since the start, in seconds.
    pub uptime_seconds: f64,
    /// Processor time of the process, user and system, in seconds.
    pub processor_seconds: f64,
    /// Resident memory of the process, in bytes.
    pub resident_bytes: u64,
    /// The daemons.
    pub daemons: Vec<DaemonReport>,
}

impl HollowReport {
    pub(super) fn new(uptime: Duration, daemons: Vec<DaemonReport>) -> Self {
        Self {
            at_ms: wall_clock_ms(),
            uptime_seconds: uptime.as_secs_f64(),
            processor_seconds: process::processor_time().as_secs_f64(),
            resident_bytes: process::resident_bytes(),
            daemons,
        }
    }
}

/// Milliseconds since the Unix epoch; zero when the clock stands before it.
pub(super) fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

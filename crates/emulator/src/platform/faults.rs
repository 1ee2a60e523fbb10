//! Fault switches of the emulated platform.

use serde::{Deserialize, Serialize};

/// Faults that the emulated platform injects; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSwitches {
    /// Every call gets a response with status 503, and open watches are aborted.
    pub down: bool,
    /// Every call is accepted and never gets a response; open watches stay open and send nothing.
    pub hang: bool,
    /// Delay of every call and watch event, in milliseconds. A delayed write takes effect even if
    /// its client has disconnected in the meantime.
    pub delay_ms: u64,
    /// Number of subsequent writes that take effect and whose response is never sent; each such write
    /// decrements it.
    pub lose_answers: u32,
    /// Time until a change of the machine list becomes visible to readers, in milliseconds.
    pub machine_list_lag_ms: u64,
    /// Version of the configuration objects from which lists, reads and watches are served. The
    /// oldest version that can be served is the one before the first event of the event log.
    pub serve_older_version: Option<u64>,
}

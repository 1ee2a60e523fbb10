//! Fault switches of the stand-in.

use serde::{Deserialize, Serialize};

/// What is wrong with the stand-in; the default is nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSwitches {
    /// Every call is answered with 503 and open watches are cut.
    pub down: bool,
    /// Every call is accepted and never answered; open watches fall silent.
    pub hang: bool,
    /// Every call and watch event is held up for this time, in milliseconds. A write that is held
    /// up takes effect even if its caller has left in the meantime.
    pub delay_ms: u64,
    /// Number of writes yet to come that take effect and whose answer is never sent.
    pub lose_answers: u32,
    /// Time after which a change of the machine list becomes visible, in milliseconds.
    pub machine_list_lag_ms: u64,
    /// Lists, reads and watches of the configuration answer as of this version. The oldest version
    /// that can be served is the one before the event log.
    pub serve_older_version: Option<u64>,
}

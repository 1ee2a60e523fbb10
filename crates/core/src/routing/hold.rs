//! Times during which an endpoint gets nothing though it is listed as live.

use crate::time::Timestamp;

/// Why an endpoint gets nothing for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HoldReason {
    /// Callers saw it fail.
    Ejected,
    /// It refused a call as leaving.
    Leaving,
    /// It refused a connection.
    ConnectionLimit,
}

/// A reason with the time at which it ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    pub(super) until: Timestamp,
    pub(super) reason: HoldReason,
}

impl Hold {
    /// Whether the hold still counts.
    pub(super) fn is_active(&self, now: Timestamp) -> bool {
        now < self.until
    }
}

//! Holds: periods during which a live endpoint gets no calls.

use crate::time::Timestamp;

/// Reason for which an endpoint gets no calls for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HoldReason {
    /// Too many attempts at the endpoint failed.
    Ejected,
    /// The endpoint refused a call as leaving.
    Leaving,
    /// The endpoint refused a connection.
    ConnectionLimit,
}

/// Period during which a live endpoint gets no calls, with its end and reason.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    pub(super) until: Timestamp,
    pub(super) reason: HoldReason,
}

impl Hold {
    /// Returns true if the hold has not ended.
    pub(super) fn is_active(&self, now: Timestamp) -> bool {
        now < self.until
    }
}

//! Age of the configuration in force: when it was last known to be the newest version.
//!
//! A confirmation states that version `version` was the newest at time `at`. That time is when the
//! request was sent, on the requester's monotonic clock, so delays of any length make a
//! confirmation older, never younger. For a confirmation received from another process, it is the
//! time of the request minus the age in the reply.

use crate::time::Timestamp;

/// Latest confirmations of the configuration's version that one process has received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// Latest time at which the version in force was confirmed to be the newest; `None` if it has
    /// never been confirmed.
    confirmed: Option<Timestamp>,
    /// Version and time of the latest confirmation of a version that is not in force yet.
    ahead: Option<(u64, Timestamp)>,
}

impl Freshness {
    /// Records that `version` was the newest one at `at`, while version `in_force` is in force
    /// here.
    pub fn confirm(&mut self, version: u64, at: Timestamp, in_force: u64) {
        self.promote(in_force);
        if version <= in_force {
            self.confirmed = self.confirmed.max(Some(at));
        } else if self.ahead.is_none_or(|(_, known)| known < at) {
            self.ahead = Some((version, at));
        }
    }

    /// Returns the latest time at which `in_force`, the version in force, was confirmed to be the
    /// newest; `None` if it has never been confirmed.
    pub fn confirmed_at(&mut self, in_force: u64) -> Option<Timestamp> {
        self.promote(in_force);
        self.confirmed
    }

    fn promote(&mut self, in_force: u64) {
        if let Some((version, at)) = self.ahead
            && version <= in_force
        {
            self.confirmed = self.confirmed.max(Some(at));
            self.ahead = None;
        }
    }
}

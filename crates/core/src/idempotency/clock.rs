//! Wall-clock time and the limits that it sets on idempotency keys.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::call::IdempotencyKey;

/// Wall-clock time of one machine, in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(u64);

impl UnixMillis {
    /// Wraps a number of milliseconds since the Unix epoch.
    #[must_use]
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the number of milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time `duration` later; saturates.
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }

    /// Returns the time at which the caller created a key.
    #[must_use]
    pub const fn of_key(key: IdempotencyKey) -> Self {
        Self(key.created_at_unix_millis())
    }
}

/// Time span in which a key may be claimed, according to one machine's clock.
///
/// The clocks of two machines of the system differ by at most `clock_skew`. Nothing is assumed
/// about the clock of the caller that created the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyWindow {
    /// Maximum difference between the clocks of two machines of the system.
    pub clock_skew: Duration,
    /// Time after its creation during which a key may be repeated.
    pub retention: Duration,
}

impl KeyWindow {
    /// Returns true if a replica must not vote on the key yet.
    #[must_use]
    pub fn is_too_early(&self, key: IdempotencyKey, wall: UnixMillis) -> bool {
        UnixMillis::of_key(key) > wall.plus(self.clock_skew)
    }

    /// Returns true if no replica can have voted on the key so far, for any clock within the skew.
    ///
    /// A replica votes on keys up to one skew ahead of its own clock, which may be ahead of this
    /// one by another skew.
    #[must_use]
    pub fn is_unclaimable_yet(&self, key: IdempotencyKey, wall: UnixMillis) -> bool {
        UnixMillis::of_key(key) > wall.plus(self.clock_skew * 2)
    }

    /// Returns true if the key is older than the retention, in which case no replica may vote on
    /// it.
    #[must_use]
    pub fn is_expired(&self, key: IdempotencyKey, wall: UnixMillis) -> bool {
        UnixMillis::of_key(key).plus(self.retention) < wall
    }

    /// Returns true if the record of the key may be dropped: the key stays expired even if this
    /// machine's clock is set back within the allowed skew.
    #[must_use]
    pub fn is_droppable(&self, key: IdempotencyKey, wall: UnixMillis) -> bool {
        UnixMillis::of_key(key).plus(self.retention + self.clock_skew * 2) < wall
    }

    /// Returns the latest creation time of a key on which a process that ran before `start` can
    /// have voted.
    ///
    /// Twice the skew is added: once because a replica accepts keys up to one skew ahead of its
    /// clock, and once because the earlier process may have run on a machine whose clock was ahead
    /// of this one's.
    #[must_use]
    pub fn horizon(&self, start: UnixMillis) -> UnixMillis {
        start.plus(self.clock_skew * 2)
    }
}

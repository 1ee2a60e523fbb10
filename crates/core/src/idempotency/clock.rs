//! Wall-clock time and the bounds that it puts on idempotency keys.

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

    /// The number of milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The time that lies `duration` later; saturates.
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }

    /// The time at which the caller minted a key.
    #[must_use]
    pub const fn of_key(key: IdempotencyKey) -> Self {
        Self(key.minted_at_unix_millis())
    }
}

/// The time span in which a key may be claimed, seen from one machine's clock.
///
/// Two machines of the system differ by at most `clock_skew`. Nothing is assumed about the clock of
/// the caller that minted the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyWindow {
    /// Largest difference between the clocks of two machines of the system.
    pub clock_skew: Duration,
    /// Time after its minting during which a key may be repeated.
    pub retention: Duration,
}

impl KeyWindow {
    /// Whether a replica must not vote on the key yet.
    #[must_use]
    pub fn is_too_early(&self, key: IdempotencyKey, wall: UnixMillis) -> bool {
        UnixMillis::of_key(key) > wall.plus(self.clock_skew)
    }

    /// Whether no replica can have voted on the key so far, whatever its clock.
    ///
    /// A replica votes up to one skew ahead of its own clock, which may lead by another.
    #[must_use]
    pub fn is_unclaimable_yet(&self, key: IdempotencyKey, wall: UnixMillis) -> bool {
        UnixMillis::of_key(key) > wall.plus(self.clock_skew * 2)
    }

    /// Whether the key is older than the retention, so that no replica may vote on it.
    #[must_use]
    pub fn is_expired(&self, key: IdempotencyKey, wall: UnixMillis) -> bool {
        UnixMillis::of_key(key).plus(self.retention) < wall
    }

    /// Whether the record of the key may be dropped: the key stays expired even if this machine's
    /// clock is set back inside the allowed skew.
    #[must_use]
    pub fn is_forgettable(&self, key: IdempotencyKey, wall: UnixMillis) -> bool {
        UnixMillis::of_key(key).plus(self.retention + self.clock_skew * 2) < wall
    }

    /// The newest minting time on which a process that ran before `start` can have voted.
    ///
    /// One skew, because a replica accepts keys from up to one skew ahead of its clock; another,
    /// because the earlier process may have run on a machine whose clock led this one's.
    #[must_use]
    pub fn horizon(&self, start: UnixMillis) -> UnixMillis {
        start.plus(self.clock_skew * 2)
    }
}

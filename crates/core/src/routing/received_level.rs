//! Latest admission level received from an endpoint.

use std::time::Duration;

use crate::priority::{AdmissionKey, AdmissionLevel};
use crate::time::Timestamp;

/// A level and the time at which it was received. It reopens linearly with time, since an endpoint
/// that gets no calls can't report that it has recovered.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReceivedLevel {
    level: AdmissionLevel,
    received_at: Timestamp,
}

impl ReceivedLevel {
    /// Records a level that came with a response.
    pub(super) const fn record(&mut self, now: Timestamp, level: AdmissionLevel) {
        self.level = level;
        self.received_at = now;
    }

    /// Returns the level that is assumed at `now`: the received one, rising linearly to fully open
    /// over the time `reopen` since it was received.
    pub(super) fn assumed(&self, now: Timestamp, reopen: Duration) -> AdmissionLevel {
        let age = now.saturating_since(self.received_at).as_micros();
        let reopen_micros = reopen.as_micros();
        if age >= reopen_micros {
            return AdmissionLevel::OPEN;
        }
        let closed = u128::from(AdmissionLevel::OPEN.number() - self.level.number());
        let reopened = u16::try_from(closed * age / reopen_micros).unwrap_or(u16::MAX);
        AdmissionLevel::new(self.level.number().saturating_add(reopened))
    }

    /// Returns the time until a call with this key is assumed to be admitted.
    pub(super) fn wait_for(&self, now: Timestamp, reopen: Duration, key: AdmissionKey) -> Duration {
        let closed = u64::from(AdmissionLevel::OPEN.number() - self.level.number());
        if self.level.admits(key) || closed == 0 {
            return Duration::ZERO;
        }
        let missing = u64::from(key.number() - self.level.number()) + 1;
        let reopen_micros = u64::try_from(reopen.as_micros()).unwrap_or(u64::MAX);
        let needed = reopen_micros.saturating_mul(missing).div_ceil(closed);
        let admitted_at = self.received_at + Duration::from_micros(needed);
        admitted_at.saturating_since(now)
    }
}

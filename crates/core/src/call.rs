//! Identifiers and context of a call, propagated across every hop.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::admission::RequestProgress;
use crate::priority::{AdmissionKey, AdmissionLevel, Priority, Rank};
use crate::quarantine::RequestFingerprint;
use crate::time::Timestamp;

/// Depth of a request at the backend that its caller sent it to.
const CALLER_REQUEST_DEPTH: u8 = 1;

/// Identity of an originating request, a version 7 UUID. Every call of its call tree carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OriginId(u128);

impl OriginId {
    /// Wraps the 128 bits of a UUID.
    #[must_use]
    pub const fn from_u128(value: u128) -> Self {
        Self(value)
    }

    /// Returns the 128 bits of the UUID.
    #[must_use]
    pub const fn as_u128(self) -> u128 {
        self.0
    }
}

/// Identity of one attempt of a call, unique among the attempts of an originating request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(u64);

impl AttemptId {
    /// Wraps an attempt number.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the attempt number.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

/// Key under which a caller may repeat a request that must take effect at most once.
///
/// The key is a version 7 UUID: its first 48 bits are the Unix time in milliseconds at which the
/// caller created it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(u128);

impl IdempotencyKey {
    const TIMESTAMP_SHIFT: u32 = 80;

    /// Wraps the 128 bits of a version 7 UUID.
    #[must_use]
    pub const fn from_u128(value: u128) -> Self {
        Self(value)
    }

    /// Returns the 128 bits of the UUID.
    #[must_use]
    pub const fn as_u128(self) -> u128 {
        self.0
    }

    /// Returns the Unix time in milliseconds at which the key was created.
    #[must_use]
    pub const fn created_at_unix_millis(self) -> u64 {
        (self.0 >> Self::TIMESTAMP_SHIFT) as u64
    }
}

/// Policy on executing a call more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// Executing the call twice has the same effect as executing it once.
    Repeatable,
    /// The call must take effect at most once.
    AtMostOnce,
}

/// Number of retries that a call and all calls below it in the call tree may still spend.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RetryAllowance(u16);

impl RetryAllowance {
    /// An allowance of zero retries.
    pub const NONE: Self = Self(0);

    /// Creates an allowance of `count` retries.
    #[must_use]
    pub const fn new(count: u16) -> Self {
        Self(count)
    }

    /// Returns the number of retries.
    #[must_use]
    pub const fn count(self) -> u16 {
        self.0
    }
}

/// Context of one call attempt, as held by one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallContext {
    /// Identity of the originating request.
    pub origin: OriginId,
    /// Identity of this attempt.
    pub attempt: AttemptId,
    /// Name of the request kind that the originating request matched.
    pub request_kind: String,
    /// Importance, set by the request kind.
    pub priority: Priority,
    /// Local time after which a response is of no use to the caller.
    pub deadline: Timestamp,
    /// Retries that this call and all calls below it may spend.
    pub allowance: RetryAllowance,
    /// Policy on executing the call more than once.
    pub repeatability: Repeatability,
    /// Idempotency key; `None` if the request carries none.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Number of daemons that the originating request passed before this one; zero at the edge.
    pub depth: u8,
    /// Admission level that the edge applied when it admitted the originating request; open if the
    /// edge applied none. A callee uses it to estimate how many similar requests were refused.
    pub admitted_below: AdmissionLevel,
    /// True if an earlier attempt of this call, or of a call above it, may have reached a backend.
    /// The called service's limit on repeats applies to such calls.
    pub is_repeat: bool,
    /// Fingerprint of the request, used for quarantine; `None` if the first hop provides none.
    pub fingerprint: Option<RequestFingerprint>,
    /// Number of backends that terminated while they executed earlier attempts of this call.
    pub terminated_backends: u8,
    /// Rank that the edge assigned to the originating request; `None` if it assigned none, in which
    /// case the hash of the origin is the rank.
    pub rank: Option<Rank>,
}

impl CallContext {
    /// Returns the call's position in the order of refusal.
    #[must_use]
    pub fn admission_key(&self) -> AdmissionKey {
        let rank = self.rank.unwrap_or_else(|| Rank::of(self.origin));
        AdmissionKey::new(self.priority, rank)
    }

    /// Returns whether work was already done for the originating request when the call reaches its
    /// backend.
    #[must_use]
    pub const fn progress(&self) -> RequestProgress {
        if self.depth > CALLER_REQUEST_DEPTH {
            RequestProgress::InProgress
        } else {
            RequestProgress::New
        }
    }

    /// Returns the time left until the deadline; zero once it has passed.
    #[must_use]
    pub const fn remaining(&self, now: Timestamp) -> Duration {
        self.deadline.saturating_since(now)
    }
}

//! What a call carries across every hop.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::priority::{AdmissionKey, AdmissionLevel, Priority, Rank};
use crate::quarantine::RequestFingerprint;
use crate::time::Timestamp;

/// Identity of one originating request; every call of its tree carries it. A version 7 UUID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OriginId(u128);

impl OriginId {
    /// Wraps the 128 bits of a UUID.
    #[must_use]
    pub const fn from_u128(value: u128) -> Self {
        Self(value)
    }

    /// The 128 bits of the UUID.
    #[must_use]
    pub const fn as_u128(self) -> u128 {
        self.0
    }
}

/// Identity of one attempt of one call; unique among the attempts of an originating request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(u64);

impl AttemptId {
    /// Wraps an attempt number.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// The attempt number.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

/// Key under which a caller repeats a request that must take effect at most once.
///
/// The key is a version 7 UUID: its first 48 bits are the Unix time in milliseconds at which the
/// caller minted it.
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

    /// The 128 bits of the UUID.
    #[must_use]
    pub const fn as_u128(self) -> u128 {
        self.0
    }

    /// Unix time in milliseconds at which the key was minted.
    #[must_use]
    pub const fn minted_at_unix_millis(self) -> u64 {
        (self.0 >> Self::TIMESTAMP_SHIFT) as u64
    }
}

/// Whether a call may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// Executing the call twice has the effect of executing it once.
    Repeatable,
    /// The call must take effect at most once.
    AtMostOnce,
}

/// Number of retries that a call and all calls below it may still spend.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RetryAllowance(u16);

impl RetryAllowance {
    /// No retry at all.
    pub const NONE: Self = Self(0);

    /// An allowance of `count` retries.
    #[must_use]
    pub const fn new(count: u16) -> Self {
        Self(count)
    }

    /// The number of retries.
    #[must_use]
    pub const fn count(self) -> u16 {
        self.0
    }
}

/// The context of one call attempt, as one process holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallContext {
    /// The originating request.
    pub origin: OriginId,
    /// This attempt.
    pub attempt: AttemptId,
    /// Name of the request kind that the originating request matched.
    pub request_kind: String,
    /// Importance, from the request kind.
    pub priority: Priority,
    /// Point in local time after which an answer is worthless to the caller.
    pub deadline: Timestamp,
    /// Retries that this call and everything below it may spend.
    pub allowance: RetryAllowance,
    /// Whether the call may be executed again.
    pub repeatability: Repeatability,
    /// Key of a request that the caller may repeat.
    pub idempotency_key: Option<IdempotencyKey>,
    /// How many daemons the originating request crossed before this one; zero at the edge.
    pub depth: u8,
    /// Level below which requests were admitted at the edge when the originating request came there;
    /// open where its edge did not apply one. Callees learn from it how many requests like this one
    /// were turned away.
    pub admitted_below: AdmissionLevel,
    /// Whether an earlier attempt of this call, or of one that it is made for, may have arrived at a back
    /// end. The called service's bound on repeats applies to it.
    pub is_repeat: bool,
    /// What is asked for; none where the first hop does not tell.
    pub fingerprint: Option<RequestFingerprint>,
    /// Back ends that ended while they executed earlier attempts of this call.
    pub ended_backends: u8,
}

impl CallContext {
    /// Position of the call in the order of refusal.
    #[must_use]
    pub fn admission_key(&self) -> AdmissionKey {
        AdmissionKey::new(self.priority, Rank::of(self.origin))
    }

    /// Time left until the deadline; zero once it has passed.
    #[must_use]
    pub const fn remaining(&self, now: Timestamp) -> Duration {
        self.deadline.saturating_since(now)
    }
}

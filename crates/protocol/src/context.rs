//! The call context between daemons.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use wharfquay_core::call::{
    AttemptId, CallContext, IdempotencyKey, OriginId, Repeatability, RetryAllowance,
};
use wharfquay_core::priority::{AdmissionLevel, Priority};
use wharfquay_core::quarantine::RequestFingerprint;
use wharfquay_core::time::Timestamp;

/// Longest header value that is decoded, in bytes.
pub const MAX_ENCODED_LENGTH: usize = 1_024;

/// Why a header value can't be decoded.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum DecodeError {
    /// the value has {0} bytes, more than allowed
    TooLong(usize),
    /// the value is not base64url: {0}
    Base64(String),
    /// the value is not a valid CBOR document: {0}
    Cbor(String),
    /// priority {0} is out of range (allowed: 0 to 7)
    Priority(u8),
    /// the message has version {found} (allowed: {expected})
    Version {
        /// The version that the message carries.
        found: u8,
        /// The version that this process speaks.
        expected: u8,
    },
}

impl std::error::Error for DecodeError {}

/// The sidecar that a call was sent to, as its sender knows it.
///
/// Addresses are used again: by the time a call arrives, another process may have the address. The
/// receiver compares before it hands the call on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Callee {
    /// Name of the service whose back end is to execute the call.
    #[serde(rename = "s")]
    pub service: String,
    /// Identity of the sidecar beside that back end.
    #[serde(rename = "n")]
    pub sidecar: String,
}

/// A [`CallContext`] as it crosses a hop: the deadline is the time that remains, since clocks of two
/// machines can't be compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireContext {
    #[serde(rename = "o")]
    origin: OriginId,
    #[serde(rename = "a")]
    attempt: AttemptId,
    #[serde(rename = "k")]
    request_kind: String,
    #[serde(rename = "p")]
    priority: u8,
    #[serde(rename = "t")]
    remaining_micros: u64,
    #[serde(rename = "r")]
    allowance: RetryAllowance,
    #[serde(rename = "s")]
    repeatability: Repeatability,
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    idempotency_key: Option<IdempotencyKey>,
    #[serde(rename = "d")]
    depth: u8,
    /// Absent while nothing is turned away, and in calls of processes that don't tell it.
    #[serde(rename = "l", default, skip_serializing_if = "is_open")]
    admitted_below: AdmissionLevel,
    /// Absent in first attempts, and in calls of processes that don't tell it.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    is_repeat: bool,
    /// Absent in calls of processes that don't tell it.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    fingerprint: Option<RequestFingerprint>,
    /// Absent while there is none.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    ended_backends: u8,
    /// Absent in calls of processes that don't name it.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    callee: Option<Callee>,
}

impl WireContext {
    /// The wire form of a context that is sent at `now`.
    #[must_use]
    pub fn from_context(context: &CallContext, now: Timestamp) -> Self {
        let remaining = context.remaining(now).as_micros();
        Self {
            origin: context.origin,
            attempt: context.attempt,
            request_kind: context.request_kind.clone(),
            priority: context.priority.number(),
            remaining_micros: u64::try_from(remaining).unwrap_or(u64::MAX),
            allowance: context.allowance,
            repeatability: context.repeatability,
            idempotency_key: context.idempotency_key,
            depth: context.depth,
            admitted_below: context.admitted_below,
            is_repeat: context.is_repeat,
            fingerprint: context.fingerprint,
            ended_backends: context.ended_backends,
            callee: None,
        }
    }

    /// The same context, addressed to one sidecar.
    #[must_use]
    pub fn addressed_to(mut self, callee: Callee) -> Self {
        self.callee = Some(callee);
        self
    }

    /// The sidecar that the call was sent to, where the sender named it.
    #[must_use]
    pub const fn callee(&self) -> Option<&Callee> {
        self.callee.as_ref()
    }

    /// The context as the receiver holds it from `now` on.
    ///
    /// # Errors
    /// [`DecodeError::Priority`] when the priority is out of range.
    pub fn into_context(self, now: Timestamp) -> Result<CallContext, DecodeError> {
        let priority = Priority::new(self.priority).ok_or(DecodeError::Priority(self.priority))?;
        Ok(CallContext {
            origin: self.origin,
            attempt: self.attempt,
            request_kind: self.request_kind,
            priority,
            deadline: now + Duration::from_micros(self.remaining_micros),
            allowance: self.allowance,
            repeatability: self.repeatability,
            idempotency_key: self.idempotency_key,
            depth: self.depth,
            admitted_below: self.admitted_below,
            is_repeat: self.is_repeat,
            fingerprint: self.fingerprint,
            ended_backends: self.ended_backends,
        })
    }

    /// The header value.
    #[must_use]
    pub fn encode(&self) -> String {
        encode_header(self)
    }

    /// Reads a header value.
    ///
    /// # Errors
    /// [`DecodeError`] when the value is too long, not base64url or not the expected CBOR.
    pub fn decode(value: &[u8]) -> Result<Self, DecodeError> {
        decode_header(value)
    }
}

/// Whether a level turns nothing away.
fn is_open(level: &AdmissionLevel) -> bool {
    *level == AdmissionLevel::OPEN
}

/// Whether a count can be left out.
fn is_zero(count: &u8) -> bool {
    *count == 0
}

/// Whether a mark can be left out.
fn is_false(mark: &bool) -> bool {
    !*mark
}

/// Encodes a small message as a header value: base64url of CBOR.
pub(crate) fn encode_header<T: Serialize>(message: &T) -> String {
    let mut bytes = Vec::with_capacity(128);
    // Writing to a Vec can't fail, and these messages hold no type that CBOR lacks.
    if ciborium::into_writer(message, &mut bytes).is_err() {
        bytes.clear();
    }
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Decodes a header value made by [`encode_header`].
pub(crate) fn decode_header<T: for<'de> Deserialize<'de>>(value: &[u8]) -> Result<T, DecodeError> {
    if value.len() > MAX_ENCODED_LENGTH {
        return Err(DecodeError::TooLong(value.len()));
    }
    let bytes = URL_SAFE_NO_PAD
        .decode(value)
        .map_err(|error| DecodeError::Base64(error.to_string()))?;
    ciborium::from_reader(bytes.as_slice()).map_err(|error| DecodeError::Cbor(error.to_string()))
}

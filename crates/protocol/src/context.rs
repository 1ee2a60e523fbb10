//! Call context that daemons exchange with a call.

use std::borrow::Cow;
use std::cell::Cell;
use std::time::Duration;

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::{DecodeSliceError, Engine};
use bytes::Bytes;
use displaydoc::Display;
use http::HeaderValue;
use serde::{Deserialize, Serialize};
use wharfquay_core::call::{
    AttemptId, CallContext, IdempotencyKey, OriginId, Repeatability, RetryAllowance,
};
use wharfquay_core::priority::{AdmissionLevel, Priority, Rank};
use wharfquay_core::quarantine::RequestFingerprint;
use wharfquay_core::time::Timestamp;

/// Maximum length of a header value that is decoded, in bytes.
pub const MAX_ENCODED_LENGTH: usize = 1_024;

/// An error that occurs when a header value or a control message is decoded.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum DecodeError {
    /// the value has {0} bytes, which exceeds the limit
    TooLong(usize),
    /// the value is not base64url: {0}
    Base64(String),
    /// the value is not a valid CBOR document: {0}
    Cbor(String),
    /// priority {0} is out of range (allowed: 0 to 7)
    Priority(u8),
    /// the message has version {found} (allowed: {expected})
    Version {
        /// Version carried by the message.
        found: u8,
        /// Version supported by this process.
        expected: u8,
    },
}

impl std::error::Error for DecodeError {}

/// Sidecar to which the sender addressed a call.
///
/// Addresses are reused: when a call arrives, another process may already have the address. The
/// receiver compares these names with its own before it forwards the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Callee<'name> {
    /// Name of the service whose backend should execute the call.
    #[serde(rename = "s")]
    pub service: Cow<'name, str>,
    /// Id of the sidecar of that backend.
    #[serde(rename = "n")]
    pub sidecar: Cow<'name, str>,
}

/// Wire form of a [`CallContext`]. The deadline is sent as the remaining time, because the clocks
/// of two machines can't be compared. Names are borrowed from the sender's context.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireContext<'name> {
    #[serde(rename = "o")]
    origin: OriginId,
    #[serde(rename = "a")]
    attempt: AttemptId,
    #[serde(rename = "k")]
    request_kind: Cow<'name, str>,
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
    /// Level below which the edge admitted requests when the originating request arrived. Absent
    /// while nothing is refused, and in calls from processes that don't send it.
    #[serde(rename = "l", default, skip_serializing_if = "is_open")]
    admitted_below: AdmissionLevel,
    /// True if an earlier attempt of this call, or of one that it is made for, may have reached a
    /// backend. Absent in first attempts, and in calls from processes that don't send it.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    is_repeat: bool,
    /// Fingerprint of the request. Absent in calls from processes that don't send it.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    fingerprint: Option<RequestFingerprint>,
    /// Number of backends that terminated while they executed earlier attempts of this call. Absent
    /// if zero.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    terminated_backends: u8,
    /// Number of the rank that the edge assigned to the originating request. Absent if the edge
    /// assigned none, and in calls from processes that don't send it; the hash of the origin is then
    /// the rank.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    rank: Option<u16>,
    /// Sidecar to which the call is addressed. Absent in calls from processes that don't send it.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    callee: Option<Callee<'name>>,
}

impl<'name> WireContext<'name> {
    /// Creates the wire form of a context that is sent at `now`.
    #[must_use]
    pub fn from_context(context: &'name CallContext, now: Timestamp) -> Self {
        let remaining = context.remaining(now).as_micros();
        Self {
            origin: context.origin,
            attempt: context.attempt,
            request_kind: Cow::Borrowed(&context.request_kind),
            priority: context.priority.number(),
            remaining_micros: u64::try_from(remaining).unwrap_or(u64::MAX),
            allowance: context.allowance,
            repeatability: context.repeatability,
            idempotency_key: context.idempotency_key,
            depth: context.depth,
            admitted_below: context.admitted_below,
            is_repeat: context.is_repeat,
            fingerprint: context.fingerprint,
            terminated_backends: context.terminated_backends,
            rank: context.rank.map(Rank::number),
            callee: None,
        }
    }

    /// Returns the same context, addressed to one sidecar.
    #[must_use]
    pub fn addressed_to(mut self, callee: Callee<'name>) -> Self {
        self.callee = Some(callee);
        self
    }

    /// Returns the sidecar to which the sender addressed the call, or `None` if the sender did not
    /// specify it.
    #[must_use]
    pub const fn callee(&self) -> Option<&Callee<'name>> {
        self.callee.as_ref()
    }

    /// Converts to the receiver's context. The remaining time is counted from `now`.
    ///
    /// # Errors
    /// Returns [`DecodeError::Priority`] if the priority is out of range.
    pub fn into_context(self, now: Timestamp) -> Result<CallContext, DecodeError> {
        let priority = Priority::new(self.priority).ok_or(DecodeError::Priority(self.priority))?;
        Ok(CallContext {
            origin: self.origin,
            attempt: self.attempt,
            request_kind: self.request_kind.into_owned(),
            priority,
            deadline: now + Duration::from_micros(self.remaining_micros),
            allowance: self.allowance,
            repeatability: self.repeatability,
            idempotency_key: self.idempotency_key,
            depth: self.depth,
            admitted_below: self.admitted_below,
            is_repeat: self.is_repeat,
            fingerprint: self.fingerprint,
            terminated_backends: self.terminated_backends,
            rank: self.rank.map(Rank::from_number),
        })
    }

    /// Returns the context encoded as a header value.
    #[must_use]
    pub fn encode(&self) -> String {
        encode_header(self)
    }

    /// Returns the context encoded as a header value, like [`Self::encode`].
    #[must_use]
    pub fn header_value(&self) -> HeaderValue {
        header_value(self)
    }

    /// Decodes a header value.
    ///
    /// # Errors
    /// Returns a [`DecodeError`] if the value is too long, not base64url or not the expected CBOR.
    pub fn decode(value: &[u8]) -> Result<Self, DecodeError> {
        decode_header(value)
    }
}

/// Returns true if the level refuses nothing, in which case the field is omitted.
fn is_open(level: &AdmissionLevel) -> bool {
    *level == AdmissionLevel::OPEN
}

fn is_zero(count: &u8) -> bool {
    *count == 0
}

fn is_false(flag: &bool) -> bool {
    !*flag
}

thread_local! {
    /// Buffer for the CBOR document of a header value, reused because two are encoded per call.
    static ENCODE_BUFFER: Cell<Vec<u8>> = const { Cell::new(Vec::new()) };
}

/// Encodes a small message as a header value: base64url of CBOR.
pub(crate) fn encode_header<T: Serialize>(message: &T) -> String {
    let mut bytes = ENCODE_BUFFER.take();
    bytes.clear();
    // Writing to a Vec can't fail, and CBOR can express every type in these messages.
    if ciborium::into_writer(message, &mut bytes).is_err() {
        bytes.clear();
    }
    let text = URL_SAFE_NO_PAD.encode(&bytes);
    ENCODE_BUFFER.set(bytes);
    text
}

/// Encodes a small message like [`encode_header`], without a copy of the text.
pub(crate) fn header_value<T: Serialize>(message: &T) -> HeaderValue {
    let text = Bytes::from(encode_header(message));
    // The characters of base64url are valid in a header.
    HeaderValue::from_maybe_shared(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Decodes a header value encoded by [`encode_header`].
pub(crate) fn decode_header<T: for<'de> Deserialize<'de>>(value: &[u8]) -> Result<T, DecodeError> {
    if value.len() > MAX_ENCODED_LENGTH {
        return Err(DecodeError::TooLong(value.len()));
    }
    let mut document = [0; MAX_ENCODED_LENGTH];
    let length =
        URL_SAFE_NO_PAD
            .decode_slice(value, &mut document)
            .map_err(|error| match error {
                DecodeSliceError::DecodeError(error) => DecodeError::Base64(error.to_string()),
                DecodeSliceError::OutputSliceTooSmall => DecodeError::TooLong(value.len()),
            })?;
    ciborium::from_reader(&document[..length]).map_err(|error| DecodeError::Cbor(error.to_string()))
}

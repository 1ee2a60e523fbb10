//! Metadata that a daemon returns to the calling daemon along with a response.

use std::time::Duration;

use http::HeaderValue;
use serde::{Deserialize, Serialize};
use wharfquay_core::backend_load::{ReportedExecution, Slowdown};
use wharfquay_core::call::{AttemptId, RetryAllowance};
use wharfquay_core::priority::AdmissionLevel;

use crate::context::{DecodeError, decode_header, encode_header, header_value};

/// Response metadata between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseMetadata {
    /// Attempt that the response belongs to. Absent in responses of processes that don't send it.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<AttemptId>,
    /// Unused retries of the call's allowance, which the caller takes back.
    #[serde(rename = "r")]
    pub unused_retries: RetryAllowance,
    /// Admission level of the responding backend.
    #[serde(rename = "l")]
    pub level: AdmissionLevel,
    /// Strictest admission level on the path of this request kind from the responding backend
    /// downward, that backend included.
    #[serde(rename = "f")]
    pub folded_level: AdmissionLevel,
    /// Incarnation of the responding daemon: Unix time of its start in milliseconds; 0 if not sent.
    #[serde(rename = "i", default)]
    pub incarnation: u64,
    /// Number of requests in execution at the responding backend.
    #[serde(rename = "n")]
    pub in_flight: u32,
    /// Concurrency limit in force at the responding backend.
    #[serde(rename = "c")]
    pub limit: u32,
    /// Number of requests waiting in the responding backend's queue.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Time in milliseconds for which the rate limit that the responding backend announces leaves no
    /// room for calls of this priority; 0 if it has room or announces no limit.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub rate_limited_ms: u32,
    /// Slowdown that the responding backend reported last, in percent; `None` if unknown.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub slowdown_percent: Option<u16>,
    /// Expected execution time of one more call at the responding backend in milliseconds; `None`
    /// if unknown.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub expected_execution_ms: Option<u32>,
    /// Share of the recent executions of the request's kind that completed at the responding
    /// backend, in permille; `None` if it is unknown or 1,000. A share is reported only for kinds
    /// whose executions make calls.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub completed_permille: Option<u16>,
}

/// Returns the value of [`ResponseMetadata::rate_limited_ms`], rounded up so that a limit that leaves no
/// room never counts as one that does.
#[must_use]
pub fn rate_limited_ms(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}

/// Most responses come from backends without a rate limit and omit the field.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Returns the values of [`ResponseMetadata::slowdown_percent`] and
/// [`ResponseMetadata::expected_execution_ms`]. The time is rounded up, because zero would compare
/// as free.
#[must_use]
pub fn execution_fields(execution: Option<ReportedExecution>) -> (Option<u16>, Option<u32>) {
    let Some(execution) = execution else {
        return (None, None);
    };
    let millis = execution.expected.as_micros().div_ceil(1_000).max(1);
    let millis = u32::try_from(millis).unwrap_or(u32::MAX);
    (Some(execution.slowdown.percent()), Some(millis))
}

impl ResponseMetadata {
    /// Creates the metadata of a response that reports no backend.
    #[must_use]
    pub const fn unloaded(attempt: AttemptId, unused_retries: RetryAllowance) -> Self {
        Self {
            attempt: Some(attempt),
            unused_retries,
            level: AdmissionLevel::OPEN,
            folded_level: AdmissionLevel::OPEN,
            incarnation: 0,
            in_flight: 0,
            limit: 0,
            queued: 0,
            rate_limited_ms: 0,
            slowdown_percent: None,
            expected_execution_ms: None,
            completed_permille: None,
        }
    }

    /// Returns the expected execution time of one more call; `None` if the sender does not know it
    /// or is of an earlier version, or if a value is invalid.
    #[must_use]
    pub fn execution(&self) -> Option<ReportedExecution> {
        let slowdown = Slowdown::from_percent(self.slowdown_percent?)?;
        let millis = self.expected_execution_ms.filter(|millis| *millis > 0)?;
        let expected = Duration::from_millis(u64::from(millis));
        Some(ReportedExecution { slowdown, expected })
    }

    /// Returns the metadata encoded as a header value.
    #[must_use]
    pub fn encode(&self) -> String {
        encode_header(self)
    }

    /// Returns the metadata encoded as a header value, like [`Self::encode`].
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

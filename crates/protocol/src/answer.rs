//! What a daemon tells the daemon before it along with an answer.

use serde::{Deserialize, Serialize};
use wharfquay_core::call::RetryAllowance;
use wharfquay_core::priority::AdmissionLevel;

use crate::context::{DecodeError, decode_header, encode_header};

/// Answer metadata between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireAnswer {
    /// Retries that the callee did not spend; the caller's ledger takes them back.
    #[serde(rename = "r")]
    pub returned: RetryAllowance,
    /// Admission level of the answering back end.
    #[serde(rename = "l")]
    pub level: AdmissionLevel,
    /// Strictest level on the path of this request kind below the answering back end, itself
    /// included.
    #[serde(rename = "f")]
    pub folded_level: AdmissionLevel,
    /// Incarnation of the answering daemon: Unix time of its start in milliseconds. 0 when not told.
    #[serde(rename = "i", default)]
    pub incarnation: u64,
    /// Requests in execution at the answering back end.
    #[serde(rename = "n")]
    pub in_flight: u32,
    /// Concurrency limit in force at the answering back end.
    #[serde(rename = "c")]
    pub limit: u32,
    /// Requests that wait in the answering back end's queue.
    #[serde(rename = "q")]
    pub queued: u32,
}

impl WireAnswer {
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

//! What tells a request from another one, however often and wherever it is sent.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Digest of what a caller asks for: two tries of the same request have the same one, whatever their ids.
///
/// Made from a cryptographic hash, so that no caller can give its own request the fingerprint of another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Wraps the first 64 bits of a digest.
    #[must_use]
    pub const fn new(bits: u64) -> Self {
        Self(bits)
    }

    /// Reads what [`fmt::Display`] writes.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }

    /// The 64 bits.
    #[must_use]
    pub const fn bits(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

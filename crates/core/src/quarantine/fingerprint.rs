//! Fingerprint that identifies a request across attempts, repeats and machines.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Digest of a request's content. Attempts and repeats of the same request have the same
/// fingerprint, regardless of their ids.
///
/// It is derived from a cryptographic hash, so a caller can't give its own request the fingerprint
/// of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Wraps the first 64 bits of a digest.
    #[must_use]
    pub const fn new(bits: u64) -> Self {
        Self(bits)
    }

    /// Parses the output of [`fmt::Display`].
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }

    /// Returns the 64 bits of the fingerprint.
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

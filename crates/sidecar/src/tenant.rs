//! Tenants: identification of callers by their API keys, and their rate limits.

use std::fmt;

use http::HeaderValue;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of bytes of a key's digest that are kept. Two keys have the same ones with a probability
/// of 2^-128.
const DIGEST_LENGTH: usize = 16;
/// Number of bytes of a digest that logs show.
const LOGGED_DIGEST_LENGTH: usize = 4;

/// Digest of an API key. Keys themselves are neither stored, forwarded to other sidecars nor
/// logged.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_LENGTH]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let hash = Sha256::digest(key);
        let mut digest = [0; DIGEST_LENGTH];
        digest.copy_from_slice(&hash[..DIGEST_LENGTH]);
        Self(digest)
    }
}

/// Formats the fingerprint: the first bytes as hexadecimal digits.
impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut bytes = self.0.iter().take(LOGGED_DIGEST_LENGTH);
        bytes.try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({self})")
    }
}

/// A customer on whose behalf callers send requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name, which backends receive in a header.
    pub name: String,
    /// Digests of the API keys that identify the tenant.
    pub keys: Vec<KeyDigest>,
    /// Importance of the tenant's requests, 0 is the highest; if absent, that of the route applies.
    pub priority: Option<u8>,
    /// Rate limit of the tenant; `None` if it has no limit.
    pub quota: Option<Quota>,
}

impl Tenant {
    /// Returns the name as a header value; `None` if it is not a valid one.
    #[must_use]
    pub fn header_value(&self) -> Option<HeaderValue> {
        let value = HeaderValue::from_str(&self.name).ok();
        value.filter(|value| !value.is_empty())
    }
}

/// Maximum number of requests of a tenant that all sidecars together send to backends: `rate_per_s`
/// times any time span, plus `burst`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Number of requests that the tenant may send per second, at all sidecars together.
    pub rate_per_s: f64,
    /// Number of requests that the tenant may send in any time span in addition to `rate_per_s`.
    pub burst: f64,
}

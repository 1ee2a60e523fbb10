//! Requests under which back ends end.

mod fingerprint;

pub use fingerprint::RequestFingerprint;

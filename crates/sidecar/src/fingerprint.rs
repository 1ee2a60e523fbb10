//! The fingerprint of a request. It identifies the same request regardless of its sender and id.

use bytes::Bytes;
use http_body::Body;
use sha2::{Digest, Sha256};
use wharfquay_core::quarantine::RequestFingerprint;
use wharfquay_daemon::body::RequestBody;

use crate::message::RequestHead;

/// First bytes of a body that is too long to be held. Stored in the extensions of its request.
#[derive(Clone, Debug)]
pub(crate) struct BodyPrefix(pub(crate) Bytes);

/// Computes the fingerprint from host, method, target, tenant and body. Of a streamed body only the
/// first bytes and, if known, the length are included.
pub(crate) fn fingerprint(
    host: &str,
    head: &RequestHead,
    tenant: Option<&str>,
    prefix: Option<&BodyPrefix>,
    body: &RequestBody,
) -> RequestFingerprint {
    let held = match body {
        RequestBody::Held(bytes) => bytes.as_ref(),
        _ => prefix.map(|prefix| &prefix.0),
    };
    let length = body.size_hint().exact().unwrap_or(u64::MAX);
    let parts: [&[u8]; 6] = [
        host.as_bytes(),
        head.method.as_str().as_bytes(),
        head.target.as_str().as_bytes(),
        tenant.unwrap_or_default().as_bytes(),
        held.map_or(&[], |bytes| bytes),
        &length.to_be_bytes(),
    ];
    let mut hash = Sha256::new();
    for part in parts {
        // The length prefix distinguishes different divisions of the same bytes.
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let digest = hash.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    RequestFingerprint::new(u64::from_be_bytes(first))
}

/// Returns a call's fingerprint as logs show it.
pub(crate) fn fingerprint_text(fingerprint: Option<RequestFingerprint>) -> String {
    fingerprint.map_or_else(|| "none".to_owned(), |fingerprint| fingerprint.to_string())
}

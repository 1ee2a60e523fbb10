//! Bodies whose content is derived from the originating request, which lets every receiver detect a
//! body that belongs to another request or is truncated or altered.
//!
//! A body consists of a header line with service, token, payload length and checksum, and of a
//! payload that is derived from service and token.

use bytes::Bytes;
use displaydoc::Display;

const MAGIC: &str = "wharfquay-answer";
const MIN_PAYLOAD_BYTES: u64 = 200;
const PAYLOAD_BYTES_RANGE: u64 = 1_800;
const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

/// An error that the verification of a body found.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum BodyError {
    /// the body ends before its payload is complete
    Truncated,
    /// the body belongs to another request
    OtherRequest,
    /// the body differs from the one derived from service and token
    Altered,
}

impl std::error::Error for BodyError {}

/// Returns the body with which `service` responds to the request with this token.
#[must_use]
pub fn render(service: &str, token: &str) -> Bytes {
    let payload = payload(service, token);
    let mut body = header_line(service, token, &payload).into_bytes();
    body.extend_from_slice(&payload);
    Bytes::from(body)
}

/// Checks that `body` is the complete response of `service` to the request with this token.
///
/// # Errors
/// [`BodyError`] if it is truncated, belongs to another request or was altered.
pub fn verify(body: &[u8], service: &str, token: &str) -> Result<(), BodyError> {
    let expected = render(service, token);
    if body == expected {
        return Ok(());
    }
    if expected.starts_with(body) {
        return Err(BodyError::Truncated);
    }
    if is_for_other_request(body, service, token) {
        return Err(BodyError::OtherRequest);
    }
    Err(BodyError::Altered)
}

fn is_for_other_request(body: &[u8], service: &str, token: &str) -> bool {
    let line = body.split(|&byte| byte == b'\n').next().unwrap_or(body);
    let Ok(line) = std::str::from_utf8(line) else {
        return false;
    };
    let prefix = format!("{MAGIC} service={service} token={token} ");
    line.starts_with(MAGIC) && !line.starts_with(&prefix)
}

fn header_line(service: &str, token: &str, payload: &[u8]) -> String {
    let checksum = fingerprint(payload);
    let length = payload.len();
    format!("{MAGIC} service={service} token={token} length={length} checksum={checksum:016x}\n")
}

fn payload(service: &str, token: &str) -> Vec<u8> {
    let mut state = fingerprint(service.as_bytes()) ^ fingerprint(token.as_bytes()).rotate_left(17);
    let length = MIN_PAYLOAD_BYTES + state % PAYLOAD_BYTES_RANGE;
    let mut payload = Vec::with_capacity(length as usize);
    for _ in 0..length {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        payload.push(ALPHABET[(state >> 58) as usize]);
    }
    payload
}

/// Returns the 64-bit FNV-1a hash.
fn fingerprint(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xCBF2_9CE4_8422_2325, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01B3)
    })
}

//! Headers in which a backend announces something about itself.

use http::{HeaderMap, HeaderName, HeaderValue};

/// Value of the header with which a backend announces that it is leaving.
const LEAVING: &str = "1";
/// Maximum length of an announced rate limit, in bytes.
const MAX_RATE_LIMIT_LENGTH: usize = 32;

/// An announcement in a response.
#[derive(Clone, Debug, PartialEq)]
pub enum Announcement<T> {
    /// The response does not have the header.
    Absent,
    /// The announced value.
    Valid(T),
    /// The header can't be used; contains the begin of its value.
    Malformed(String),
}

/// Returns the rate limit in a header: a finite number above zero, in requests per second. A header
/// that occurs twice is malformed.
#[must_use]
pub fn rate_limit(headers: &HeaderMap, name: &HeaderName) -> Announcement<f64> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Announcement::Absent;
    };
    match parse_rate(value) {
        Some(rate) if values.next().is_none() => Announcement::Valid(rate),
        _ => Announcement::Malformed(excerpt(value)),
    }
}

/// Returns whether a header announces that the backend is leaving.
#[must_use]
pub fn leaving(headers: &HeaderMap, name: &HeaderName) -> Announcement<()> {
    let values = headers.get_all(name);
    let is_leaving = |value: &HeaderValue| value.as_bytes() == LEAVING.as_bytes();
    match values.iter().next() {
        None => Announcement::Absent,
        Some(_) if values.iter().any(is_leaving) => Announcement::Valid(()),
        Some(value) => Announcement::Malformed(excerpt(value)),
    }
}

fn parse_rate(value: &HeaderValue) -> Option<f64> {
    let text = value.to_str().ok()?.trim();
    let rate: f64 = text.parse().ok()?;
    let is_usable = text.len() <= MAX_RATE_LIMIT_LENGTH && rate.is_finite() && rate > 0.0;
    is_usable.then_some(rate)
}

/// Returns the begin of a value for a log line.
fn excerpt(value: &HeaderValue) -> String {
    let text = String::from_utf8_lossy(value.as_bytes());
    text.chars().take(MAX_RATE_LIMIT_LENGTH).collect()
}

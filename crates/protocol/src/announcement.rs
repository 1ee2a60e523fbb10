//! Headers in which a backend announces something about itself.

use http::{HeaderMap, HeaderName, HeaderValue};
use wharfquay_core::backend_load::{BackendLoad, MAX_COUNT, Slowdown};

/// Value of the header with which a backend announces that it is leaving.
const LEAVING: &str = "1";
/// Maximum length of an announced rate limit, in bytes.
const MAX_RATE_LIMIT_LENGTH: usize = 32;

/// Maximum length of a load report, in bytes.
const MAX_LOAD_REPORT_LENGTH: usize = 64;
/// Maximum length of a value in a load report, in bytes.
const MAX_LOAD_VALUE_LENGTH: usize = 12;

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

/// Returns the load report in a header: requests running, requests waiting and slots, separated by
/// commas, and optionally how long work takes at the moment in percent of the usual time. A header
/// that occurs twice is malformed.
#[must_use]
pub fn load_report(headers: &HeaderMap, name: &HeaderName) -> Announcement<BackendLoad> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Announcement::Absent;
    };
    match parse_load(value) {
        Some(load) if values.next().is_none() => Announcement::Valid(load),
        _ => Announcement::Malformed(excerpt(value)),
    }
}

fn parse_load(value: &HeaderValue) -> Option<BackendLoad> {
    if value.len() > MAX_LOAD_REPORT_LENGTH {
        return None;
    }
    let mut fields = value.to_str().ok()?.split(',').map(str::trim);
    let running = parse_count(fields.next()?)?;
    let waiting = parse_count(fields.next()?)?;
    let slots = parse_count(fields.next()?).filter(|slots| *slots > 0)?;
    let slowdown = match fields.next() {
        None => None,
        Some(text) => Some(parse_slowdown(text)?),
    };
    let load = BackendLoad {
        running,
        waiting,
        slots,
        slowdown,
    };
    fields.next().is_none().then_some(load)
}

fn parse_count(text: &str) -> Option<u32> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number || text.len() > MAX_LOAD_VALUE_LENGTH {
        return None;
    }
    text.parse().ok().filter(|count| *count <= MAX_COUNT)
}

/// Parses a percentage with or without decimals; exponents, signs and names of numbers are invalid.
fn parse_slowdown(text: &str) -> Option<Slowdown> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !is_decimal || text.len() > MAX_LOAD_VALUE_LENGTH {
        return None;
    }
    let percent: f64 = text.parse().ok()?;
    if percent > f64::from(Slowdown::MAX_PERCENT) {
        return None;
    }
    Slowdown::from_percent(percent.round() as u16)
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

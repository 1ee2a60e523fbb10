//! Responses: result code, outcome class and `Retry-After` headers, failures that replace a
//! backend's response, and the metadata exchanged between daemons.

use std::sync::LazyLock;
use std::time::Duration;

use http::header::{self, HeaderMap, HeaderValue};
use http::{Response, StatusCode};
use wharfquay_core::outcome::ResultCode;
use wharfquay_protocol::headers as names;
use wharfquay_protocol::response::ResponseMetadata;

use crate::body::ResponseBody;

/// Header with the milliseconds after which a refused caller may retry; more precise than
/// `Retry-After`, whose unit is seconds.
pub const RETRY_AFTER_MS: header::HeaderName =
    header::HeaderName::from_static("wharfquay-retry-after-ms");

/// The number of the most frequent result, which is not formatted anew for each response.
static ANSWERED: LazyLock<HeaderValue> =
    LazyLock::new(|| HeaderValue::from(ResultCode::Answered.number()));

const MILLIS_PER_SECOND: u128 = 1_000;

/// A failure that this software reports instead of a backend's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Cause of the failure.
    pub code: ResultCode,
    /// Time after which the caller may retry; sent only if [`ResultCode::wants_retry_after`] holds.
    pub retry_after: Duration,
}

impl Failure {
    /// Creates a failure without a time to wait before a retry.
    #[must_use]
    pub const fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: Duration::ZERO,
        }
    }

    /// Creates a failure after which the caller should wait for `retry_after`.
    #[must_use]
    pub const fn with_retry_after(code: ResultCode, retry_after: Duration) -> Self {
        Self { code, retry_after }
    }

    /// Converts the failure into a response with its status, headers and a one-line text.
    #[must_use]
    pub fn into_response(self) -> Response<ResponseBody> {
        let status = StatusCode::from_u16(self.code.http_status());
        let text = format!("result={} name={}\n", self.code.number(), self.code.name());
        let mut response = Response::new(ResponseBody::from_bytes(text));
        *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/plain; charset=utf-8"),
        );
        set_result(headers, self.code);
        if self.code.wants_retry_after() {
            set_retry_after(headers, self.retry_after);
        }
        response
    }
}

/// Sets the headers for the result code and its outcome class.
pub fn set_result(headers: &mut HeaderMap, code: ResultCode) {
    let outcome = HeaderValue::from_static(code.outcome().as_str());
    let number = match code {
        ResultCode::Answered => ANSWERED.clone(),
        code => HeaderValue::from(code.number()),
    };
    headers.insert(names::RESULT, number);
    headers.insert(names::OUTCOME, outcome);
}

/// Reads the result code from the headers; `None` if it is missing or unknown.
pub fn result(headers: &HeaderMap) -> Option<ResultCode> {
    let text = headers.get(names::RESULT)?.to_str().ok()?;
    ResultCode::from_number(text.parse().ok()?)
}

fn set_retry_after(headers: &mut HeaderMap, retry_after: Duration) {
    let millis = retry_after.as_millis().max(1);
    let seconds = millis.div_ceil(MILLIS_PER_SECOND);
    let millis = u64::try_from(millis).unwrap_or(u64::MAX);
    let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
    headers.insert(RETRY_AFTER_MS, HeaderValue::from(millis));
    headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
}

/// Reads the time after which a refused caller may retry; zero if the header is missing or invalid.
pub fn retry_after(headers: &HeaderMap) -> Duration {
    let millis = headers
        .get(RETRY_AFTER_MS)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    Duration::from_millis(millis.unwrap_or_default())
}

/// Sets the header with the metadata for the daemon that sent the call.
pub fn set_metadata(headers: &mut HeaderMap, metadata: &ResponseMetadata) {
    headers.insert(names::RESPONSE_METADATA, metadata.header_value());
}

/// Removes the metadata header of the daemon that responded and decodes it; `None` if it is missing
/// or invalid.
pub fn take_metadata(headers: &mut HeaderMap) -> Option<ResponseMetadata> {
    let value = headers.remove(names::RESPONSE_METADATA)?;
    ResponseMetadata::decode(value.as_bytes()).ok()
}

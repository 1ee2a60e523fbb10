//! Responses that the sidecar itself sends to callers.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_daemon::body::ResponseBody;
use wharfquay_daemon::response::Failure;
use wharfquay_protocol::headers as names;

/// Shortest Retry-After that a caller receives.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Builds the response that replaces a backend's. A status that promises that the request was not
/// executed is used only where that holds.
pub(crate) fn refusal(failure: Failure) -> Response<ResponseBody> {
    let status = status_of(failure.code);
    let text = format!(
        "result={} name={}\n",
        failure.code.number(),
        failure.code.name()
    );
    let mut response = Response::new(ResponseBody::from_bytes(Bytes::from(text)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    headers.insert(names::RESULT, HeaderValue::from(failure.code.number()));
    if matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    ) {
        headers.insert(header::RETRY_AFTER, retry_after(failure.retry_after));
    }
    response
}

/// Returns the HTTP status that shows a caller of this platform whether its request may have been
/// executed.
pub(crate) fn status_of(code: ResultCode) -> StatusCode {
    match code {
        ResultCode::MalformedRequest | ResultCode::InvalidContext => StatusCode::BAD_REQUEST,
        ResultCode::RequestTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ResultCode::UnknownService => StatusCode::NOT_FOUND,
        ResultCode::DeadlineAfterDispatch => StatusCode::GATEWAY_TIMEOUT,
        ResultCode::UnknownApiKey => StatusCode::UNAUTHORIZED,
        ResultCode::OverQuota => StatusCode::TOO_MANY_REQUESTS,
        code if code.outcome() == OutcomeClass::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Formats a Retry-After in seconds with three decimals, at least [`MIN_RETRY_AFTER`].
fn retry_after(wait: Duration) -> HeaderValue {
    let wait = wait.max(MIN_RETRY_AFTER);
    let text = format!("{:.3}", wait.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("1"))
}

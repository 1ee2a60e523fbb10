//! Judging what the local back end answered.

use http::header::{self, HeaderMap};
use http::{Response, StatusCode};
use hyper::body::Incoming;
use wharfquay_core::outcome::ResultCode;

use crate::dialect::{Dialect, text};

/// What the head of an answer shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It is the back end's answer to this request.
    Answer,
    /// The back end proved that it did not execute the request.
    Refused,
    /// Another instance, of this name, has the address, and proved that it did not execute the request.
    Misdirected(Option<String>),
    /// It can't be used; the request may have been executed.
    Unusable(ResultCode),
}

/// Judges the head of an answer to the request with `request_id`.
pub(crate) fn judge(dialect: &Dialect, request_id: &str, response: &Response<Incoming>) -> Verdict {
    let (status, headers) = (response.status(), response.headers());
    let echoed = text(headers, &dialect.request_id);
    if echoed.is_some_and(|echoed| echoed != request_id) {
        return Verdict::Unusable(ResultCode::MalformedAnswer);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        let instance = text(headers, &dialect.instance).map(str::to_owned);
        return Verdict::Misdirected(instance);
    }
    if headers.contains_key(&dialect.not_executed) {
        return Verdict::Refused;
    }
    if echoed.is_none() || !is_plain(headers) || promises_not_run(status) {
        return Verdict::Unusable(ResultCode::MalformedAnswer);
    }
    if status.is_success() && !headers.contains_key(&dialect.signature) {
        return Verdict::Unusable(ResultCode::MalformedAnswer);
    }
    Verdict::Answer
}

/// Whether the body is the back end's own bytes.
fn is_plain(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_ENCODING)
}

/// Statuses that tell a caller that its request was not executed; an answer that does not prove it
/// must not pass as one.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

//! Classifies responses of the local backend by their head.

use http::header::{self, HeaderMap};
use http::{Response, StatusCode};
use hyper::body::Incoming;
use wharfquay_core::outcome::ResultCode;

use crate::dialect::{Dialect, text};
use crate::instance::InstanceId;

/// Classification of a response head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ResponseClass {
    /// The backend's response to this request.
    Usable,
    /// The backend proved that it did not execute the request.
    Refused,
    /// Another instance, with this name if it sent one, has the address and proved that it did not
    /// execute the request.
    Misdirected(Option<String>),
    /// The response can't be used. The request may have been executed.
    Unusable(ResultCode),
}

/// Classifies the head of the response to the request with `request_id`.
pub(crate) fn classify(
    dialect: &Dialect,
    request_id: &str,
    response: &Response<Incoming>,
) -> ResponseClass {
    let (status, headers) = (response.status(), response.headers());
    let echoed = text(headers, &dialect.request_id);
    if echoed.is_some_and(|echoed| echoed != request_id) {
        return ResponseClass::Unusable(ResultCode::MalformedAnswer);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        let instance = text(headers, &dialect.instance).map(str::to_owned);
        return ResponseClass::Misdirected(instance);
    }
    if headers.contains_key(&dialect.not_executed) {
        return ResponseClass::Refused;
    }
    if echoed.is_none() || !is_unencoded(headers) || claims_not_executed(status) {
        return ResponseClass::Unusable(ResultCode::MalformedAnswer);
    }
    if status.is_success() && !headers.contains_key(&dialect.signature) {
        return ResponseClass::Unusable(ResultCode::MalformedAnswer);
    }
    ResponseClass::Usable
}

/// True if a response was made by `instance` for the request with `request_id`. What its headers
/// announce then applies to that instance.
pub(crate) fn is_from_instance<B>(
    dialect: &Dialect,
    request_id: &str,
    instance: &InstanceId,
    response: &Response<B>,
) -> bool {
    let headers = response.headers();
    let is_other_instance =
        text(headers, &dialect.instance).is_some_and(|name| name != instance.name());
    response.status() != StatusCode::MISDIRECTED_REQUEST
        && text(headers, &dialect.request_id) == Some(request_id)
        && !is_other_instance
}

/// True if the body carries no content encoding and can be relayed unchanged.
fn is_unencoded(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_ENCODING)
}

/// True for statuses from which a caller concludes that its request was not executed. A response
/// without proof of that must not be relayed with one of them.
fn claims_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

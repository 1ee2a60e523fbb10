//! Classifies responses of the local backend by their head.

use http::header::{self, HeaderMap};
use http::{Response, StatusCode};
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

/// Whether a response names the request that it responds to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdEcho {
    /// It names the request.
    Matching,
    /// It names no request.
    Missing,
    /// It names another request.
    Other,
}

impl IdEcho {
    /// Returns the name used in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Matching => "matching",
            Self::Missing => "missing",
            Self::Other => "other",
        }
    }
}

/// What a response claims about the execution of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mark {
    /// The backend did not execute it.
    NotExecuted,
    /// Another instance has the address and did not execute it.
    Misdirected,
    /// Nothing.
    None,
}

impl Mark {
    /// Returns the name used in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NotExecuted => "not_executed",
            Self::Misdirected => "misdirected",
            Self::None => "none",
        }
    }
}

/// What the head of a response shows about the execution of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ResponseClaim {
    pub(crate) status: StatusCode,
    pub(crate) mark: Mark,
    pub(crate) echo: IdEcho,
}

impl ResponseClaim {
    /// Reads the head of a response to the request with `request_id`.
    pub(crate) fn read<B>(dialect: &Dialect, request_id: &str, response: &Response<B>) -> Self {
        let (status, headers) = (response.status(), response.headers());
        let mark = if status == StatusCode::MISDIRECTED_REQUEST {
            Mark::Misdirected
        } else if headers.contains_key(&dialect.not_executed) {
            Mark::NotExecuted
        } else {
            Mark::None
        };
        let echo = match text(headers, &dialect.request_id) {
            Some(echoed) if echoed == request_id => IdEcho::Matching,
            Some(_) => IdEcho::Other,
            None => IdEcho::Missing,
        };
        Self { status, mark, echo }
    }
}

/// Classifies the head of a response, of which `claim` was read. A response that does not name the
/// request may belong to an earlier one on the connection and proves nothing.
pub(crate) fn classify<B>(
    dialect: &Dialect,
    claim: ResponseClaim,
    response: &Response<B>,
) -> ResponseClass {
    let (status, headers) = (response.status(), response.headers());
    if claim.echo != IdEcho::Matching {
        return ResponseClass::Unusable(ResultCode::MalformedAnswer);
    }
    match claim.mark {
        Mark::Misdirected => {
            let instance = text(headers, &dialect.instance).map(str::to_owned);
            return ResponseClass::Misdirected(instance);
        }
        Mark::NotExecuted => return ResponseClass::Refused,
        Mark::None => {}
    }
    if !is_unencoded(headers) || claims_not_executed(status) {
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

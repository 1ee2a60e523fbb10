//! Outcome of one attempt of a caller.

use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::response::Parts;
use http::{HeaderMap, HeaderName, StatusCode};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_protocol::headers;

use crate::backend::{BEFORE_EXECUTION, REFUSED_HEADER};
use crate::response_body::{self, BodyError};

/// Outcome of an attempt, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete response to this request was received.
    Complete,
    /// The response has status 200 and its body ended cleanly, but the body isn't the complete
    /// response to this request.
    InvalidBody(BodyError),
    /// The response states that the request was not executed.
    NotRun,
    /// The response states that it is unknown whether the request was executed.
    Unknown,
    /// The response is an error of the backend.
    ServerError,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection was lost before the response was complete.
    ConnectionLost,
    /// The response body was truncated because the deadline had passed.
    TruncatedAtDeadline,
    /// The caller gave up after the deadline and a grace period.
    TimedOut,
}

/// Result of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// HTTP status, if a response was received.
    pub status: Option<u16>,
    /// Result code, if the response carries one.
    pub result: Option<u16>,
    /// Value of the response's Retry-After header, if it has one.
    pub retry_after: Option<Duration>,
}

impl Attempt {
    /// Creates the result of an attempt without a response.
    #[must_use]
    pub const fn without_response(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            status: None,
            result: None,
            retry_after: None,
        }
    }

    /// Returns true if the caller may conclude that the request was not executed.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(
            self.outcome,
            AttemptOutcome::NotRun | AttemptOutcome::ConnectFailed
        )
    }

    /// Classifies a response whose body ended cleanly.
    #[must_use]
    pub fn from_response(head: &Parts, body: &Bytes, service: &str, token: &str) -> Self {
        let outcome = match head.status {
            StatusCode::OK => response_body::verify(body, service, token)
                .map_or_else(AttemptOutcome::InvalidBody, |()| AttemptOutcome::Complete),
            _ => outcome_of_error_response(&head.headers),
        };
        Self {
            outcome,
            status: Some(head.status.as_u16()),
            result: text(&head.headers, &headers::RESULT).and_then(|text| text.parse().ok()),
            retry_after: text(&head.headers, &RETRY_AFTER)
                .and_then(|text| text.parse().ok())
                .map(Duration::from_secs),
        }
    }
}

fn outcome_of_error_response(header_values: &HeaderMap) -> AttemptOutcome {
    if text(header_values, &REFUSED_HEADER) == Some(BEFORE_EXECUTION) {
        return AttemptOutcome::NotRun;
    }
    match outcome_class(header_values) {
        Some(OutcomeClass::NotRun) => AttemptOutcome::NotRun,
        Some(OutcomeClass::Unknown) => AttemptOutcome::Unknown,
        Some(OutcomeClass::Run) | None => AttemptOutcome::ServerError,
    }
}

fn outcome_class(header_values: &HeaderMap) -> Option<OutcomeClass> {
    let classes = [
        OutcomeClass::NotRun,
        OutcomeClass::Unknown,
        OutcomeClass::Run,
    ];
    let name = text(header_values, &headers::OUTCOME);
    let code = text(header_values, &headers::RESULT)
        .and_then(|text| text.parse().ok())
        .and_then(ResultCode::from_number);
    classes
        .into_iter()
        .find(|class| name == Some(class.as_str()))
        .or(code.map(ResultCode::outcome))
}

fn text<'a>(header_values: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    header_values.get(name)?.to_str().ok()
}

//! What one attempt of a caller came to.

use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::response::Parts;
use http::{HeaderMap, HeaderName, StatusCode};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_protocol::headers;

use crate::backend::{BEFORE_EXECUTION, REFUSED_HEADER};
use crate::response_body::{self, BodyError};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer to this request came back.
    Whole,
    /// An answer ended cleanly, but is not the whole answer to this request.
    Wrong(BodyError),
    /// The answer says that the request was not run.
    NotRun,
    /// The answer says that it is not known whether the request was run.
    Unknown,
    /// The back end's own answer is an error.
    ServerError,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection was lost before a whole answer.
    ConnectionLost,
    /// The body of the answer was broken off because the deadline had come.
    CutAtDeadline,
    /// The caller went away.
    TimedOut,
}

/// One attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// How it ended.
    pub end: AttemptEnd,
    /// HTTP status, when there was an answer.
    pub status: Option<u16>,
    /// Result code, when the answer carries one.
    pub result: Option<u16>,
    /// When the answer asks the caller to come back.
    pub retry_after: Option<Duration>,
}

impl Attempt {
    /// An attempt without an answer.
    #[must_use]
    pub const fn without_answer(end: AttemptEnd) -> Self {
        Self {
            end,
            status: None,
            result: None,
            retry_after: None,
        }
    }

    /// Whether the caller may conclude that nothing was executed.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(self.end, AttemptEnd::NotRun | AttemptEnd::ConnectFailed)
    }

    /// Judges an answer whose body ended cleanly.
    #[must_use]
    pub fn from_answer(head: &Parts, body: &Bytes, service: &str, token: &str) -> Self {
        let end = match head.status {
            StatusCode::OK => response_body::verify(body, service, token)
                .map_or_else(AttemptEnd::Wrong, |()| AttemptEnd::Whole),
            _ => end_of_refusal(&head.headers),
        };
        Self {
            end,
            status: Some(head.status.as_u16()),
            result: text(&head.headers, &headers::RESULT).and_then(|text| text.parse().ok()),
            retry_after: text(&head.headers, &RETRY_AFTER)
                .and_then(|text| text.parse().ok())
                .map(Duration::from_secs),
        }
    }
}

fn end_of_refusal(header_values: &HeaderMap) -> AttemptEnd {
    if text(header_values, &REFUSED_HEADER) == Some(BEFORE_EXECUTION) {
        return AttemptEnd::NotRun;
    }
    match outcome(header_values) {
        Some(OutcomeClass::NotRun) => AttemptEnd::NotRun,
        Some(OutcomeClass::Unknown) => AttemptEnd::Unknown,
        Some(OutcomeClass::Run) | None => AttemptEnd::ServerError,
    }
}

fn outcome(header_values: &HeaderMap) -> Option<OutcomeClass> {
    let classes = [
        OutcomeClass::NotRun,
        OutcomeClass::Unknown,
        OutcomeClass::Run,
    ];
    let given = text(header_values, &headers::OUTCOME);
    let code = text(header_values, &headers::RESULT)
        .and_then(|text| text.parse().ok())
        .and_then(ResultCode::from_number);
    classes
        .into_iter()
        .find(|class| given == Some(class.as_str()))
        .or(code.map(ResultCode::outcome))
}

fn text<'a>(header_values: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    header_values.get(name)?.to_str().ok()
}

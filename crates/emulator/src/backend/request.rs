//! Fields that a backend reads from a request: kind, token, ids and deadline.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request};
use wharfquay_protocol::headers;

use crate::scenario::{RequestModel, Scenario};

/// A request with its complete body.
#[derive(Clone, Debug)]
pub(super) struct BackendRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) token: String,
    pub(super) call: String,
    /// Origin id and scope, passed on unchanged to outbound calls.
    pub(super) origin: Option<HeaderValue>,
    pub(super) scope: Option<HeaderValue>,
    pub(super) idempotency_key: Option<String>,
    /// Time left until the deadline when the request was received.
    pub(super) deadline: Option<Duration>,
    pub(super) body: Bytes,
}

impl BackendRequest {
    /// Reads the fields from the head; absent query parameters become empty strings.
    pub(super) fn new<B>(request: &Request<B>, body: Bytes) -> Self {
        let query = request.uri().query().unwrap_or_default();
        let header_values = request.headers();
        Self {
            method: request.method().clone(),
            path: request.uri().path().to_owned(),
            token: query_value(query, "token").to_owned(),
            call: query_value(query, "call").to_owned(),
            origin: header_values.get(headers::ORIGIN).cloned(),
            scope: header_values.get(headers::SCOPE).cloned(),
            idempotency_key: header_text(header_values, &headers::IDEMPOTENCY_KEY)
                .map(str::to_owned),
            deadline: header_text(header_values, &headers::DEADLINE)
                .and_then(|text| text.parse().ok())
                .map(Duration::from_millis),
            body,
        }
    }

    /// Returns the request kind with the same method and the longest matching path prefix.
    pub(super) fn model<'a>(&self, scenario: &'a Scenario) -> Option<&'a RequestModel> {
        scenario
            .requests
            .iter()
            .filter(|model| model.method == self.method.as_str())
            .filter(|model| self.path.starts_with(&model.path))
            .max_by_key(|model| model.path.len())
    }

    /// Returns the origin id as text; empty without a daemon.
    pub(super) fn origin_text(&self) -> String {
        let text = self.origin.as_ref().and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    }
}

fn header_text<'a>(header_values: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    header_values.get(name)?.to_str().ok()
}

fn query_value<'a>(query: &'a str, name: &str) -> &'a str {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map_or("", |(_, value)| value)
}

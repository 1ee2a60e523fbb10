//! Removes headers that must not cross a hop.

use http::HeaderMap;
use http::header::{self, HeaderName};
use wharfquay_protocol::headers as names;

/// Headers that describe one connection and never cross a hop.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Internal headers that are removed from requests of callers and backends.
const INTERNAL_REQUEST_HEADERS: [HeaderName; 5] = [
    names::CONTEXT,
    names::SCOPE,
    names::ORIGIN,
    names::SERVICE,
    names::DEADLINE,
];

/// Internal headers that are removed from responses of backends.
const INTERNAL_RESPONSE_HEADERS: [HeaderName; 4] = [
    names::RESULT,
    names::OUTCOME,
    names::RESPONSE_METADATA,
    names::SCOPE,
];

/// Removes the hop-by-hop headers, including those that the `Connection` header lists.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// Removes internal headers from a request of a caller or a backend.
pub fn remove_internal_request_headers(headers: &mut HeaderMap) {
    for name in &INTERNAL_REQUEST_HEADERS {
        headers.remove(name);
    }
}

/// Removes internal headers from a response of a backend.
pub fn remove_internal_response_headers(headers: &mut HeaderMap) {
    for name in &INTERNAL_RESPONSE_HEADERS {
        headers.remove(name);
    }
}

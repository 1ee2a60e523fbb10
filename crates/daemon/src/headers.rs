//! Which headers cross a hop and which end there.

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

/// Headers of the system that a caller or a back end must not set towards other processes.
const INTERNAL_REQUEST: [HeaderName; 5] = [
    names::CONTEXT,
    names::SCOPE,
    names::ORIGIN,
    names::SERVICE,
    names::DEADLINE,
];

/// Headers of the system that a back end must not set in an answer.
const INTERNAL_ANSWER: [HeaderName; 3] = [names::RESULT, names::OUTCOME, names::ANSWER];

/// Removes the headers that describe the connection on which the message came.
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

/// Removes the system's own headers from a request of a caller or a back end.
pub fn remove_internal_request(headers: &mut HeaderMap) {
    for name in &INTERNAL_REQUEST {
        headers.remove(name);
    }
}

/// Removes the system's own headers from an answer of a back end.
pub fn remove_internal_answer(headers: &mut HeaderMap) {
    for name in &INTERNAL_ANSWER {
        headers.remove(name);
    }
}

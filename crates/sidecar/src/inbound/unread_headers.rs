//! Reports response headers of the backend that the sidecar relays without reading them.

use std::collections::HashSet;
use std::sync::Mutex;

use http::header::{self, HeaderMap, HeaderName};
use wharfquay_daemon::sync::lock;

use crate::dialect::Dialect;
use crate::events::Event;
use crate::log_event;

/// Maximum number of names that are reported.
const MAX_REPORTED: usize = 32;
/// Headers that HTTP defines for the message or the connection. The sidecar relays them unchanged
/// or its HTTP library processes them.
const STANDARD: [HeaderName; 7] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::CONTENT_TYPE,
    header::DATE,
    HeaderName::from_static("keep-alive"),
    header::SERVER,
    header::TRANSFER_ENCODING,
];

/// Names of the response headers that were reported as not read.
#[derive(Debug, Default)]
pub(crate) struct UnreadHeaders {
    reported: Mutex<HashSet<HeaderName>>,
}

impl UnreadHeaders {
    /// Logs each header that the sidecar does not read, once for each name.
    pub(super) fn report(&self, dialect: &Dialect, headers: &HeaderMap) {
        let unread = headers
            .keys()
            .filter(|name| !STANDARD.contains(name) && !dialect.response_headers().contains(name));
        for name in unread {
            let mut reported = lock(&self.reported);
            if reported.len() < MAX_REPORTED && reported.insert(name.clone()) {
                log_event!(Event::ResponseHeaderUnread, "name={name}");
            }
        }
    }
}

//! Platform-specific format of requests and responses.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use wharfquay_core::backend_load::BackendLoad;
use wharfquay_protocol::announcement::{self, Announcement};

/// Names of the headers used by a platform's callers and backends.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Identity of one attempt of a caller. It is repeated in the response.
    pub request_id: HeaderName,
    /// Time that the sender of a request will wait, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The addressed instance. Any other instance must refuse the request.
    pub target_instance: HeaderName,
    /// Service on whose machine the request entered the deployment.
    pub caller_service: HeaderName,
    /// Name of the tenant on whose behalf a request is executed.
    pub tenant: HeaderName,
    /// Present in a response that proves that the request was not executed.
    pub not_executed: HeaderName,
    /// Signature that marks a complete response of a backend.
    pub signature: HeaderName,
    /// Instance that sent the response.
    pub instance: HeaderName,
    /// Requests per second that the instance accepts from all senders together, for as long as its
    /// responses contain the header.
    pub rate_limit: HeaderName,
    /// Present with the value 1 in the responses of an instance that is leaving.
    pub leaving: HeaderName,
    /// Load of the instance; see [`announcement::load_report`] for the format.
    pub load_report: HeaderName,
}

impl Dialect {
    /// Returns the request id; `None` if it is missing, empty or not text.
    #[must_use]
    pub fn request_id<'headers>(&self, headers: &'headers HeaderMap) -> Option<&'headers str> {
        text(headers, &self.request_id).filter(|id| !id.is_empty())
    }

    /// Returns how long the sender will wait; `None` if the request does not specify it.
    #[must_use]
    pub fn deadline(&self, headers: &HeaderMap) -> Option<Duration> {
        let millis = text(headers, &self.deadline_ms)?.trim().parse().ok()?;
        Some(Duration::from_millis(millis))
    }

    /// Returns the rate limit that a response announces, in requests per second.
    #[must_use]
    pub fn rate_limit(&self, headers: &HeaderMap) -> Announcement<f64> {
        announcement::rate_limit(headers, &self.rate_limit)
    }

    /// Returns whether a response announces that its instance is leaving.
    #[must_use]
    pub fn leaving(&self, headers: &HeaderMap) -> Announcement<()> {
        announcement::leaving(headers, &self.leaving)
    }

    /// Returns the load that the instance reports in a response.
    #[must_use]
    pub fn load_report(&self, headers: &HeaderMap) -> Announcement<BackendLoad> {
        announcement::load_report(headers, &self.load_report)
    }

    /// Returns the response headers of the backend that the sidecar reads.
    #[must_use]
    pub fn response_headers(&self) -> [&HeaderName; 7] {
        [
            &self.request_id,
            &self.not_executed,
            &self.signature,
            &self.instance,
            &self.rate_limit,
            &self.leaving,
            &self.load_report,
        ]
    }

    /// Sets the time that this hop will wait, rounded down to whole milliseconds.
    pub fn set_deadline(&self, headers: &mut HeaderMap, remaining: Duration) {
        let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert(self.deadline_ms.clone(), HeaderValue::from(millis));
    }
}

/// Returns a header's value as text; `None` if it is missing or not visible ASCII.
#[must_use]
pub fn text<'headers>(headers: &'headers HeaderMap, name: &HeaderName) -> Option<&'headers str> {
    headers.get(name)?.to_str().ok()
}

/// Position of a request in the call tree, derived from its id.
///
/// The id of a backend's own call consists of the id of the request that the backend executes, a
/// dot and an id of the call. On a platform with another form of ids only the call tree is lost:
/// each call is its own origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLineage<'id> {
    id: &'id str,
}

/// Separates the id of a request from the id of a call made on its behalf.
const LINEAGE_SEPARATOR: char = '.';

impl<'id> RequestLineage<'id> {
    /// Creates the lineage of a request id.
    #[must_use]
    pub const fn of(id: &'id str) -> Self {
        Self { id }
    }

    /// Returns the id of the request that the client sent, from which the call tree begins.
    #[must_use]
    pub fn root(self) -> &'id str {
        self.id
            .split_once(LINEAGE_SEPARATOR)
            .map_or(self.id, |(root, _)| root)
    }

    /// Returns the id of the request on whose behalf this one was made; `None` for a root request.
    #[must_use]
    pub fn parent(self) -> Option<&'id str> {
        self.id
            .rsplit_once(LINEAGE_SEPARATOR)
            .map(|(parent, _)| parent)
    }
}

//! Request to a router for an endpoint, and the result.

use std::time::Duration;

use crate::outcome::ResultCode;
use crate::priority::AdmissionKey;

use super::endpoint::EndpointId;

/// A call that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'request> {
    /// Position of the call in the order of refusal.
    pub key: AdmissionKey,
    /// Endpoints that were already tried for this call.
    pub excluded: &'request [EndpointId],
}

/// What is known of the load of an endpoint when it is picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickBasis {
    /// The expected execution time that it reported, and the age of that report.
    ExpectedExecution(Duration),
    /// Its numbers of calls. It reports no slowdown.
    Counts,
    /// Its report has expired.
    Expired,
    /// It has reported nothing.
    NoReport,
}

/// Result of picking an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Send the call to this endpoint.
    Endpoint(EndpointId),
    /// No endpoint can take the call now.
    None {
        /// Code to respond with: no backend, connection limit or refused by level.
        reason: ResultCode,
        /// Value for the Retry-After header, with jitter.
        retry_after: Duration,
    },
}

//! The question to a router and its answer.

use std::time::Duration;

use crate::outcome::ResultCode;
use crate::priority::AdmissionKey;

use super::endpoint::EndpointId;

/// A call that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'request> {
    /// Position of the call in the order of refusal.
    pub key: AdmissionKey,
    /// Endpoints that were tried before.
    pub excluded: &'request [EndpointId],
}

/// The endpoint for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Send the call here.
    Endpoint(EndpointId),
    /// No endpoint can take the call now.
    None {
        /// What to answer: no back end, connection limit or refused by level.
        reason: ResultCode,
        /// When to come back.
        retry_after: Duration,
    },
}

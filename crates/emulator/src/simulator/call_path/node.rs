//! State of a simulated daemon: admission control for its backend, and routers, retry budgets and
//! admission levels for the services that it calls.

use std::time::Duration;

use wharfquay_core::admission::{AdmissionController, Load, PathLevels};
use wharfquay_core::call::RetryAllowance;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::AdmissionLevel;
use wharfquay_core::rate_limit::AnnouncedLimit;
use wharfquay_core::retry::DestinationBudget;
use wharfquay_core::routing::Router;
use wharfquay_core::time::Timestamp;

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptResult {
    /// The backend sent a complete response.
    Complete,
    /// The backend responded that a downstream call failed.
    DownstreamFailed,
    /// The backend did not respond; the code says why.
    Failed(ResultCode),
}

/// A response to an attempt, with the metadata that it carries.
#[derive(Clone, Copy, Debug)]
pub(super) struct Response {
    pub(super) result: AttemptResult,
    /// Absent if the connection was lost or the request is no longer known.
    pub(super) metadata: Option<Metadata>,
    /// Time after which the caller may repeat the request.
    pub(super) retry_after: Option<Duration>,
    /// Number of the originating request that the response belongs to; compared with the request that
    /// receives it.
    pub(super) origin: u64,
}

/// Metadata that a daemon sends with each response to the daemon that called it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Metadata {
    /// Unused part of the retry allowance that came with the attempt.
    pub(super) returned: RetryAllowance,
    /// Admission level of the responding daemon.
    pub(super) level: AdmissionLevel,
    /// Strictest of the responding daemon's level and the levels of the services that it calls.
    pub(super) path_level: AdmissionLevel,
    /// Load of the responding daemon.
    pub(super) load: Load,
    /// Time for which the announced rate limit of the backend leaves no room.
    pub(super) rate_limited_for: Duration,
}

/// State of one daemon.
#[derive(Debug)]
pub(super) struct Node {
    /// Absent at an edge and under [`Policy::None`](super::policy::Policy::None).
    pub(super) admission: Option<AdmissionController>,
    /// Rate limit that the backend announces.
    pub(super) limit: AnnouncedLimit,
    /// True if the backend has announced that it is leaving.
    pub(super) is_leaving: bool,
    /// Time of the earliest scheduled wakeup of the admission controller.
    pub(super) wake_at: Option<Timestamp>,
    /// Routers by service.
    pub(super) routers: Vec<Router>,
    /// Retry budgets by service.
    pub(super) budgets: Vec<DestinationBudget>,
    /// Admission levels received from the services that this daemon calls.
    pub(super) levels: PathLevels,
}

//! A daemon: admission beside its back end, and what it knows about the services it calls.

use std::time::Duration;

use wharfquay_core::admission::{AdmissionController, Load, PathLevels};
use wharfquay_core::call::RetryAllowance;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::AdmissionLevel;
use wharfquay_core::retry::DestinationBudget;
use wharfquay_core::routing::Router;
use wharfquay_core::time::Timestamp;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptResult {
    /// The back end's whole answer.
    Whole,
    /// The back end's own answer says that a deeper call failed.
    DeeperFailed,
    /// No answer of the back end.
    Failed(ResultCode),
}

/// An answer on its way back, with the metadata that rides on it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    pub(super) result: AttemptResult,
    pub(super) metadata: Option<Metadata>,
    pub(super) retry_after: Option<Duration>,
    /// Originating request that the answer belongs to; checked against the one that it reaches.
    pub(super) origin: u64,
}

/// What a daemon tells the daemon before it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Metadata {
    pub(super) returned: RetryAllowance,
    pub(super) level: AdmissionLevel,
    pub(super) folded: AdmissionLevel,
    pub(super) load: Load,
}

/// State of one daemon; an edge has no admission.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) admission: Option<AdmissionController>,
    pub(super) wake_at: Option<Timestamp>,
    /// By service.
    pub(super) routers: Vec<Router>,
    /// By service.
    pub(super) budgets: Vec<DestinationBudget>,
    pub(super) levels: PathLevels,
}

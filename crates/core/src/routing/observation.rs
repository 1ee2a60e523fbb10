//! What a caller learns from one attempt at an endpoint.

use std::time::Duration;

use crate::outcome::OutcomeClass;
use crate::priority::AdmissionLevel;

/// Load that an endpoint reports of itself. It may lag or mislead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in execution.
    pub in_flight: u32,
    /// Concurrency limit in force.
    pub limit: u32,
    /// Requests that wait.
    pub queued: u32,
}

impl ReportedLoad {
    /// Requests present as a share of the limit.
    #[must_use]
    pub fn utilisation(&self) -> f64 {
        let present = f64::from(self.in_flight) + f64::from(self.queued);
        present / f64::from(self.limit.max(1))
    }
}

/// The end of one attempt, as the caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Time from dispatch to the end of the attempt.
    pub latency: Duration,
    /// Class of the attempt's result.
    pub outcome: OutcomeClass,
    /// Whether the back end's whole answer says that it failed, such as one with a 5xx status.
    pub error_answer: bool,
    /// Whether the endpoint refused or answered as overloaded.
    pub overloaded: bool,
    /// Load that came with the answer.
    pub load: Option<ReportedLoad>,
    /// Admission level that came with the answer.
    pub level: Option<AdmissionLevel>,
}

impl Observation {
    /// Whether the attempt shows that the endpoint is broken, not merely busy.
    pub(super) fn is_failure(&self) -> bool {
        match self.outcome {
            OutcomeClass::Run => false,
            OutcomeClass::Unknown => true,
            OutcomeClass::NotRun => !self.overloaded,
        }
    }
}

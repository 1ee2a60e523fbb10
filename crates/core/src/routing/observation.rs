//! Measurements and reports that a caller obtains from one attempt at an endpoint.

use std::time::Duration;

use crate::backend_load::ReportedExecution;
use crate::outcome::OutcomeClass;
use crate::priority::AdmissionLevel;

/// Load that an endpoint reports. It may be outdated or wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in execution.
    pub in_flight: u32,
    /// Concurrency limit in force.
    pub limit: u32,
    /// Requests waiting in the queue.
    pub queued: u32,
    /// Expected execution time of one more call; `None` if the backend reports no slowdown or it is
    /// unknown.
    pub execution: Option<ReportedExecution>,
}

impl ReportedLoad {
    /// Returns executing and waiting requests as a share of the limit.
    #[must_use]
    pub fn utilisation(&self) -> f64 {
        let present = f64::from(self.in_flight) + f64::from(self.queued);
        present / f64::from(self.limit.max(1))
    }
}

/// Result of one attempt, as observed by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Time from dispatch to the completion of the attempt.
    pub latency: Duration,
    /// Outcome class of the attempt's result.
    pub outcome: OutcomeClass,
    /// True if the backend's complete response reports a failure, such as a 5xx status.
    pub error_response: bool,
    /// True if the endpoint refused the attempt or responded to it as overloaded.
    pub overloaded: bool,
    /// Load that the response reported; `None` if it reported none or there was no response.
    pub load: Option<ReportedLoad>,
    /// Admission level that the response reported; `None` if it reported none or there was no
    /// response.
    pub level: Option<AdmissionLevel>,
}

impl Observation {
    /// Returns true if the attempt indicates that the endpoint is faulty rather than busy.
    pub(super) fn is_failure(&self) -> bool {
        match self.outcome {
            OutcomeClass::Run => false,
            OutcomeClass::Unknown => true,
            OutcomeClass::NotRun => !self.overloaded,
        }
    }
}

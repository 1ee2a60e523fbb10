//! Load that a backend reports about itself in its responses.
//!
//! A report has three values, or four if the backend also reports how long work takes at the
//! moment. Only the fourth value influences decisions. It changes many times a second, so a report
//! that is not renewed becomes unknown after [`REPORT_LIFETIME`]; it never counts as idle.

mod execution_estimate;
mod slowdown;
mod state;

pub use execution_estimate::{ExecutionEstimate, ExecutionSample};
pub use slowdown::{Slowdown, SlowdownHistory, SlowdownMark};
pub use state::{LoadReport, LoadReportState, LoadReportUse};

use std::time::Duration;

/// Time after its reception at which a report becomes unknown.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Largest valid number of requests or slots in a report. No backend executes or holds more.
pub const MAX_COUNT: u32 = 1_000_000;

/// Load that a backend reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLoad {
    /// Requests in execution.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Requests that the backend executes concurrently.
    pub slots: u32,
    /// How long work takes at the moment; `None` if the backend does not report it.
    pub slowdown: Option<Slowdown>,
}

/// Execution time of one more call, as estimated by the sidecar beside a backend that reports its
/// slowdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedExecution {
    /// Slowdown that the backend reported last.
    pub slowdown: Slowdown,
    /// Expected time of an execution at this slowdown, without waiting for a slot.
    pub expected: Duration,
}

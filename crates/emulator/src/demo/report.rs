//! What a demonstration showed.

use std::fmt::{self, Display};

use serde::Serialize;

use crate::load::audit::{Audit, BrokenPromise};
use crate::load::report::LoadReport;

/// Result of a demonstration.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DemoReport {
    /// What became of the callers' requests.
    pub load: LoadReport,
    /// What the back ends' records say about it.
    pub audit: Audit,
    /// The promises that were broken.
    pub broken_promises: Vec<BrokenPromise>,
}

impl Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}{}", self.load, self.audit)?;
        if self.broken_promises.is_empty() {
            return writeln!(formatter, "no promise broken");
        }
        for broken in &self.broken_promises {
            writeln!(
                formatter,
                "broken promise: {} {}",
                broken.promise, broken.count
            )?;
        }
        Ok(())
    }
}

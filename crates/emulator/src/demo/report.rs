//! Report of a demonstration.

use std::fmt::{self, Display};

use serde::Serialize;

use crate::load::audit::{Audit, Violation};
use crate::load::report::LoadReport;

/// Result of a demonstration.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DemoReport {
    /// Outcomes of the callers' requests.
    pub load: LoadReport,
    /// Comparison with the execution logs of the backends.
    pub audit: Audit,
    /// The guarantees that were violated.
    pub broken_promises: Vec<Violation>,
}

impl Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}{}", self.load, self.audit)?;
        let inversions = self.load.priority_inversions();
        if inversions > 0 {
            writeln!(
                formatter,
                "priority order not checked: at most {inversions} requests were refused while less important \
                 ones were served"
            )?;
        }
        if self.broken_promises.is_empty() {
            let checked = if inversions > 0 { "checked " } else { "" };
            return writeln!(formatter, "no {checked}promise broken");
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

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
        let inversions = self.load.priority_inversions();
        if inversions > 0 {
            writeln!(
                formatter,
                "order of refusal not judged: at most {inversions} requests were refused beside answers to \
                 less important ones"
            )?;
        }
        if self.broken_promises.is_empty() {
            let judged = if inversions > 0 { "judged " } else { "" };
            return writeln!(formatter, "no {judged}promise broken");
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

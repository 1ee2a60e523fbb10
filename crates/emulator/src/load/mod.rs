//! Stand-in for callers: open-loop arrivals, impatient retries and a report per request kind.

pub mod arguments;
pub mod arrivals;
pub mod attempt;
pub mod audit;
mod caller;
mod inversions;
pub mod recovery;
pub mod report;
mod run;
mod tally;

pub use run::{LoadSettings, Progress, RunningLoad};

//! Load generator that emulates callers: open-loop arrivals, repeats by impatient callers, a report
//! per request kind and an audit against the execution logs of the backends.

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

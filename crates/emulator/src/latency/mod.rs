//! Added latency: the same requests straight to a back end and through daemons, in one run.

pub mod arguments;
mod measure;
mod processes;
mod report;

pub use measure::{LatencySettings, measure};
pub use report::{KindLatency, LatencyReport};

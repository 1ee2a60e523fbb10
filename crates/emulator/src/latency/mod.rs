//! Measurement of the latency that daemons add: one run sends the same requests directly to a
//! backend and through daemons.

pub mod arguments;
mod measure;
pub(crate) mod processes;
mod report;

pub use measure::{LatencySettings, measure};
pub use report::{KindLatency, LatencyReport};

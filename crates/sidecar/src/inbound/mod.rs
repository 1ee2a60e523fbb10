//! The inbound side: calls for the local back end, from this sidecar or from others.

pub mod backend;

mod answer;
mod dispatch;
mod end_detector;
mod execution;
mod handler;
mod report;

pub(crate) use end_detector::RunningRequest;
pub(crate) use execution::{InFlight, LocalExecutor};
pub(crate) use handler::InboundHandler;

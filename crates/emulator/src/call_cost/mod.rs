//! Measurement of the cost of a call: processor time, context switches, system calls and memory of two
//! sidecars between emulated callers, backends and platform. Several programs are compared in
//! alternating rounds of one run.

pub mod arguments;
mod backend;
mod deployment;
mod dialect;
mod http_client;
mod measure;
mod process;
mod report;
mod store;

pub use measure::{CallCostError, CallCostSettings, Program, measure};
pub use report::{CallCostReport, Row};

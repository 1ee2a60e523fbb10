//! Emulated platform, backends and callers for tests and demonstrations, the simulator and its
//! experiments.

pub mod arguments;
pub mod backend;
pub mod call_cost;
pub mod command;
pub mod demo;
pub mod experiment;
pub mod latency;
pub mod load;
pub mod platform;
pub mod readiness;
pub mod response_body;
pub mod scenario;
pub mod simulator;

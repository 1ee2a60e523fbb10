//! Stand-ins for the platform, back ends and callers, the simulator and its experiments.

pub mod arguments;
pub mod backend;
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

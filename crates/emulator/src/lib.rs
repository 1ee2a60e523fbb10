//! Stand-ins for the platform, back ends and callers, the simulator and its experiments.

pub mod backend;
pub mod demo;
pub mod experiment;
pub mod load;
pub mod platform;
pub mod scenario;
pub mod simulator;

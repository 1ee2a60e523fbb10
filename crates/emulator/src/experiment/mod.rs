//! Experiments: seeded runs of the simulators that compare policies and measure how cost and delay grow
//! with the size of a deployment.

pub mod churn;
pub mod control_command;
pub mod drain;
pub mod propagation;
pub mod start;
pub mod surge;

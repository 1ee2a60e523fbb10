//! Experiments: seeded runs of the simulator that compare policies and measure slopes.

pub mod churn;
pub mod control_command;
pub mod drain;
pub mod propagation;
pub mod start;
pub mod surge;

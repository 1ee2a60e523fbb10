//! Experiments: seeded runs of the simulator that compare policies and measure slopes.

pub mod surge;

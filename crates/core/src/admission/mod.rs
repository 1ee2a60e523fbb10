//! Admission at a back end: adaptive limit, bounded queue and admission level.
//!
//! [`controller::AdmissionController`] puts the parts together; the daemon and the simulator drive
//! it with the same calls. [`path::PathLevels`] holds what a caller or an edge has heard about the
//! levels further down, so that it refuses early what would be refused deep.

pub mod controller;
pub mod level;
pub mod limit;
pub mod path;
pub mod queue;
pub mod settings;

mod estimate;
mod reserve;

pub use controller::{
    AdmissionController, AdmissionEffect, CallTicket, Cancellation, Completion, Load, OfferedCall,
    Standing,
};
pub use limit::LimitAlgorithm;
pub use path::{PathLevels, PathTiming, Refusal, level_below};
pub use queue::QueueDiscipline;
pub use settings::AdmissionSettings;

//! Admission at a backend: adaptive limit, bounded queue and admission level.
//!
//! [`controller::AdmissionController`] combines them; the daemon and the simulator call it in the
//! same way. [`path::PathLevels`] holds the levels that a caller or an edge received from services
//! further down. It refuses calls early that would otherwise be refused after work was done for
//! them. [`completion::CompletionLimit`] limits the requests of a kind that are started while started
//! ones fail.

pub mod completion;
pub mod controller;
pub mod level;
pub mod limit;
pub mod path;
pub mod queue;
pub mod returns;
pub mod settings;
pub mod shares;

mod estimate;
mod reserve;

pub use controller::{
    AdmissionController, AdmissionEffect, CallTicket, Cancellation, Completion, Load, OfferedCall,
    RequestProgress,
};
pub use level::ExpiryCount;
pub use limit::LimitAlgorithm;
pub use path::{PathLevels, PathTiming, Refusal, level_below};
pub use queue::QueueDiscipline;
pub use settings::AdmissionSettings;

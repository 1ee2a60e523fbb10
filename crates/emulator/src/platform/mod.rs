//! Stand-in for the platform: object API, leases and machine list, with fault switches.
//!
//! [`store`] and what it holds are sans-I/O; [`server`] puts HTTP around them.

mod api;
pub mod faults;
pub mod keyspace;
pub mod leases;
pub mod machines;
mod routes;
pub mod server;
pub mod store;
mod watch;

pub use faults::FaultSwitches;
pub use server::{PlatformError, PlatformSettings, RunningPlatform, start, start_with_store};

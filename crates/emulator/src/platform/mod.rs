//! Emulated platform: object API, leases and machine list, with fault injection.
//!
//! [`store`] and the modules that it uses are sans-I/O; [`server`] exposes them over HTTP.

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

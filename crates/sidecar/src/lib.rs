//! The sidecar: wharfquay's call path on a platform that keeps its own HTTP/1.1 dialect.
//!
//! One sidecar process runs beside each backend. Callers and the backend itself send requests to
//! its [`outbound`] side; other sidecars send calls for the local backend to its [`inbound`] side.
//! The traits and types of [`platform`] provide the names and the storage of the platform.
//! `wharfquay_core`, `wharfquay_membership` and [`instance`] make all decisions (admission,
//! routing, retries, drains, adoption of configurations).

pub mod admin_server;
pub mod configuration;
pub mod control;
pub mod dialect;
pub mod events;
pub mod inbound;
pub mod instance;
pub mod log_output;
pub mod metrics;
pub mod outbound;
pub mod platform;
pub mod settings;
pub mod shared_records;
pub mod sidecar;
pub mod signals;
pub mod stop_phase;
pub mod store_era;
pub mod tenant;

mod body;
mod confirmation;
mod exchange;
mod exchange_handler;
mod fingerprint;
mod importance;
mod in_flight;
mod listeners;
mod message;
mod metered_platform;
mod orderly_stop;
mod quarantine;
mod quota;
mod scopes;

pub use sidecar::{Sidecar, StartError};

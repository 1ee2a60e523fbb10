//! The sidecar: wharfquay's call path on a platform that keeps its own HTTP/1.1 dialect.
//!
//! One process stands beside each back end. Callers and the back end itself send requests to its
//! [`outbound`] side; other sidecars send calls for the local back end to its [`inbound`] side. What
//! the platform names and stores comes through the traits and types of [`platform`]; every decision
//! (admission, routing, retries, drains, adoption of configurations) is taken by `wharfquay_core`,
//! `wharfquay_membership` and [`instance`].

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
pub mod small_server;
pub mod store_era;
pub mod tenant;

mod body;
mod confirmation;
mod exchange;
mod exchange_handler;
mod fingerprint;
mod importance;
mod listeners;
mod message;
mod metered;
mod quarantine;
mod quota;
mod scopes;

pub use sidecar::{Sidecar, StartError};

//! The daemon: edge, inbound, outbound, control and admin sides around the decision logic.
//!
//! All decisions are made by `wharfquay_core`, which performs no I/O. This crate turns network
//! messages and timers into its inputs and executes its effects.

pub mod accept_queue;
mod admin;
pub mod backend_pool;
pub mod body;
mod calls_in_flight;
pub mod clock;
pub mod connect;
pub mod control;
pub mod daemon;
mod decisions;
mod edge;
pub mod events;
pub mod headers;
pub mod inbound;
mod listener;
mod listeners;
pub mod logging;
pub mod metrics;
mod node;
mod outbound;
pub mod pause;
pub mod peers;
mod request;
pub mod response;
pub mod scopes;
mod server;
pub mod settings;
pub mod status;
pub mod sync;

pub use daemon::{Daemon, RunningDaemon};
pub use listeners::{Addresses, StartError};

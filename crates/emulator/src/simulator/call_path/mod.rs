//! Simulation of the call path on a virtual clock: callers, edges, daemons and backends of a scenario.
//!
//! Admission, routing and retry decisions are made by `wharfquay_core`, the same code that the daemon
//! runs; this module replaces only sockets, timers and the work of the backends. Two runs with the
//! same seed give identical records.
//!
//! Callers send requests to the edge of their zone, a daemon without a backend; every other daemon controls
//! admission to one backend. A session is one request of a caller with all attempts that the caller makes
//! for it. An execution that needs other services calls them through the daemon of its backend: these are
//! its downstream calls.

mod arena;
mod arrivals;
mod backend;
mod call;
mod engine;
mod event;
mod layout;
mod node;
pub mod policy;
pub mod record;
pub mod settings;

pub use arrivals::arrival_counts;
pub use engine::simulate;
pub use layout::{KindLayout, Layout, ServiceLayout, StepLayout};

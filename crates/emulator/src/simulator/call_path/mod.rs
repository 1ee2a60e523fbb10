//! The call path on a virtual clock: callers, edges, daemons and back ends of a scenario.
//!
//! The decisions are those of `wharfquay_core`, the very code that the daemon drives; this module
//! only stands in for sockets, timers and the back ends' work. One seed gives one run, to the byte.

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

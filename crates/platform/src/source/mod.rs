//! Reader of the platform's configuration: lists the objects, then watches from the listed version.
//!
//! [`ConfigurationSource`] is the sans-I/O state machine; [`spawn`] drives it with a
//! [`Client`](crate::Client) and yields [`SourceEvent`]s.

mod event;
mod state;
mod task;

pub use event::{
    RejectedObject, SourceChange, SourceEffect, SourceEvent, SourceInput, SourceSnapshot,
};
pub use state::{ConfigurationSource, SourceSettings};
pub use task::{RunningSource, spawn, spawn_leased};

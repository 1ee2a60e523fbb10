//! One reader of the platform's configuration: list, then watch from the listed version.
//!
//! [`ConfigurationSource`] decides and is sans-I/O; [`spawn`] drives it with a
//! [`Client`](crate::Client) and yields [`SourceEvent`]s.

mod event;
mod state;
mod task;

pub use event::{
    RejectedObject, SourceChange, SourceEffect, SourceEvent, SourceInput, SourceSnapshot,
};
pub use state::{ConfigurationSource, SourceSettings};
pub use task::{RunningSource, spawn, spawn_leased};

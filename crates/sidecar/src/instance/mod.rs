//! The back end beside this sidecar: which instance it is and whether it may get new work.

mod registry;
mod tracker;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

pub use registry::{Acknowledgement, Registry};
pub use tracker::{InstanceTracker, Standing, TrackerDecision};

/// Identity of one start of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceId(Arc<str>);

impl InstanceId {
    /// The text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for InstanceId {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// What an instance says about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// It takes new work.
    Ready,
    /// It ends what it has and will go.
    Draining,
}

/// One heartbeat of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The instance.
    pub instance: InstanceId,
    /// What it says about itself.
    pub state: ReportedState,
    /// Grows with each heartbeat of the instance, so that a late one can be told.
    pub sequence: u64,
    /// Requests that it executes at a time.
    pub slots: u32,
    /// How long it stays slow after its start.
    pub cold_left: Duration,
}

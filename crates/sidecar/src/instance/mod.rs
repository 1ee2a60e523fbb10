//! The backend beside this sidecar: its current instance and whether it may receive new work.

mod departures;
mod registry;
mod tracker;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use wharfquay_core::idempotency::clock::UnixMillis;

pub(crate) use departures::{DepartureIndex, DepartureReaders};
pub use registry::{Acknowledgement, Registry};
pub use tracker::{InstanceStatus, InstanceTracker, TrackerDecision};

/// Maximum time by which the clock of a backend may be ahead of this machine's.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(3_600);

/// Identity of one start of a backend. A backend may start again under the same name; the start
/// time distinguishes the two instances.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceId {
    name: Arc<str>,
    /// Start time by the backend's own clock; `None` if it is not known.
    started_at: Option<UnixMillis>,
}

impl InstanceId {
    /// Creates the identity of the instance with this name and start time.
    #[must_use]
    pub fn new(name: &str, started_at: Option<UnixMillis>) -> Self {
        let name = Arc::from(name);
        Self { name, started_at }
    }

    /// Creates the identity of an instance that reports its start time in milliseconds since the
    /// Unix epoch.
    ///
    /// # Errors
    /// The reason why the start time is rejected: it is in the future.
    pub fn from_start_time(
        name: &str,
        started_at: Option<u64>,
        now: UnixMillis,
    ) -> Result<Self, String> {
        let started_at = started_at.map(UnixMillis::new);
        match started_at {
            Some(started_at) if started_at > now.plus(MAX_CLOCK_SKEW) => {
                Err("its start time is in the future".to_owned())
            }
            _ => Ok(Self::new(name, started_at)),
        }
    }

    /// Returns the name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the start time; `None` if it is not known.
    #[must_use]
    pub const fn started_at(&self) -> Option<UnixMillis> {
        self.started_at
    }

    /// True if this instance terminated before `other` started. This is known only if both have a
    /// start time.
    #[must_use]
    pub fn is_before(&self, other: &Self) -> bool {
        self.started_at
            .zip(other.started_at)
            .is_some_and(|(own, other)| own < other)
    }

    /// Returns true if both have the same name and no different start times; an unknown start time
    /// matches any.
    #[must_use]
    pub fn may_be_same(&self, other: &Self) -> bool {
        let differs = self
            .started_at
            .zip(other.started_at)
            .is_some_and(|(own, other)| own != other);
        self.name == other.name && !differs
    }
}

impl From<&str> for InstanceId {
    fn from(name: &str) -> Self {
        Self::new(name, None)
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.name)?;
        match self.started_at {
            Some(started_at) => write!(formatter, "@{}", started_at.as_millis()),
            None => Ok(()),
        }
    }
}

/// State that an instance reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// The instance accepts new work.
    Ready,
    /// The instance completes the requests in execution and will then terminate.
    Draining,
}

/// One heartbeat of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The instance that sent it.
    pub instance: InstanceId,
    /// State that the instance reports.
    pub state: ReportedState,
    /// Increases with each heartbeat of the instance, which identifies heartbeats that arrive late.
    pub sequence: u64,
    /// Maximum number of requests that the instance executes concurrently.
    pub slots: u32,
    /// Remaining time for which the instance is slow after its start.
    pub warm_up_left: Duration,
}

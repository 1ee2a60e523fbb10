//! The back end beside this sidecar: which instance it is and whether it may get new work.

mod departures;
mod registry;
mod tracker;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use wharfquay_core::idempotency::clock::UnixMillis;

pub(crate) use departures::{DepartureIndex, DepartureReaders};
pub use registry::{Acknowledgement, Registry};
pub use tracker::{InstanceTracker, Standing, TrackerDecision};

/// Time by which the clock of a back end may be ahead of this machine's.
const MOST_AHEAD: Duration = Duration::from_secs(3_600);

/// Identity of one start of a back end. A back end may start again under its name; the time of its start tells the two
/// apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceId {
    name: Arc<str>,
    /// When it started, by its own clock; none where that is not known.
    born: Option<UnixMillis>,
}

impl InstanceId {
    /// The instance of this name that started at this time.
    #[must_use]
    pub fn new(name: &str, born: Option<UnixMillis>) -> Self {
        let name = Arc::from(name);
        Self { name, born }
    }

    /// The instance of this name that says it started so many milliseconds after the Unix epoch.
    ///
    /// # Errors
    /// Why no instance can say so: it would start in the future.
    pub fn of_start(name: &str, born: Option<u64>, now: UnixMillis) -> Result<Self, String> {
        let born = born.map(UnixMillis::new);
        match born {
            Some(born) if born > now.plus(MOST_AHEAD) => Err("it starts in the future".to_owned()),
            _ => Ok(Self::new(name, born)),
        }
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// When it started, where that is known.
    #[must_use]
    pub const fn born(&self) -> Option<UnixMillis> {
        self.born
    }

    /// Whether it ended before `other` started. Only known where both tell their start.
    #[must_use]
    pub fn is_before(&self, other: &Self) -> bool {
        self.born
            .zip(other.born)
            .is_some_and(|(own, other)| own < other)
    }

    /// Whether both may be the same start.
    #[must_use]
    pub fn may_be(&self, other: &Self) -> bool {
        let differs = self
            .born
            .zip(other.born)
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
        match self.born {
            Some(born) => write!(formatter, "@{}", born.as_millis()),
            None => Ok(()),
        }
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

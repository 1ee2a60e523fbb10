//! The overload control policies that the simulation compares.

use wharfquay_core::admission::{AdmissionSettings, LimitAlgorithm, QueueDiscipline};

/// An overload control policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Policy {
    /// Admission, retries and routing as `wharfquay_core` decides them.
    Wharfquay,
    /// No admission control; each hop retries a fixed number of times.
    None,
    /// A fixed concurrency limit and a first-in first-out queue at each backend; each hop retries a fixed
    /// number of times.
    Static,
}

impl Policy {
    /// Returns the name that the command line and the reports use.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Wharfquay => "wharfquay",
            Self::None => "none",
            Self::Static => "static",
        }
    }

    /// Returns true if each hop decides alone on retries and timeouts, without deadline propagation,
    /// cancellation or retry budgets.
    #[must_use]
    pub const fn is_naive(self) -> bool {
        !matches!(self, Self::Wharfquay)
    }
}

/// The source of a call's rank, which orders calls of the same priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RankSource {
    /// Derived from the origin id: the same at each hop.
    Origin,
    /// Drawn independently at each hop.
    PerHop,
    /// The same for all calls.
    Constant,
}

/// The mechanisms of [`Policy::Wharfquay`], each of which can be replaced by an alternative.
#[derive(Clone, Debug, PartialEq)]
pub struct Mechanisms {
    /// Settings of each backend's admission controller. Its initial and maximum limit are replaced by
    /// the backend's slots and connections.
    pub admission: AdmissionSettings,
    /// Source of the rank of a call, which orders calls of the same priority.
    pub rank: RankSource,
    /// True if daemons propagate admission levels up the call path, which lets edges and calling daemons
    /// refuse early.
    pub propagate_levels: bool,
    /// Factor on the number of slots that the daemon assumes for its backend; 1 is the true number.
    pub reported_slots: f64,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            admission: AdmissionSettings::default(),
            rank: RankSource::Origin,
            propagate_levels: true,
            reported_slots: 1.0,
        }
    }
}

/// Returns the admission settings of [`Policy::Static`].
#[must_use]
pub fn static_settings() -> AdmissionSettings {
    AdmissionSettings {
        algorithm: LimitAlgorithm::Fixed,
        discipline: QueueDiscipline::Fifo,
        adaptive_level: false,
        reserve: false,
        ..AdmissionSettings::default()
    }
}

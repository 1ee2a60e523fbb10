//! The ways of control that are compared.

use wharfquay_core::admission::{AdmissionSettings, LimitAlgorithm, QueueDiscipline};

/// How calls are controlled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Policy {
    /// The decisions of `wharfquay_core`.
    Wharfquay,
    /// No admission; naive retries at each hop.
    None,
    /// A fixed limit and a queue in order of arrival at each back end; naive retries at each hop.
    Static,
}

impl Policy {
    /// The name on the command line and in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Wharfquay => "wharfquay",
            Self::None => "none",
            Self::Static => "static",
        }
    }

    /// Whether retries, deadlines and cancellation are left to each hop on its own.
    #[must_use]
    pub const fn is_naive(self) -> bool {
        !matches!(self, Self::Wharfquay)
    }
}

/// How the rank of a call is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RankMode {
    /// From the origin id: the same at each hop.
    Origin,
    /// Anew at each hop.
    PerHop,
    /// The same for all calls.
    Constant,
}

/// The mechanisms of [`Policy::Wharfquay`], so that rivals can be compared.
#[derive(Clone, Debug, PartialEq)]
pub struct Mechanisms {
    /// Settings of each back end's admission controller, but for its limits.
    pub admission: AdmissionSettings,
    /// How ranks are found.
    pub rank: RankMode,
    /// Whether levels are folded back along the path so that callers and edges refuse early.
    pub folding: bool,
    /// Slots that the daemon is told, as a multiple of the true ones.
    pub reported_slots: f64,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            admission: AdmissionSettings::default(),
            rank: RankMode::Origin,
            folding: true,
            reported_slots: 1.0,
        }
    }
}

/// Admission settings of [`Policy::Static`].
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

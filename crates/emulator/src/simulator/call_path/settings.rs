//! Settings of a simulation run.

use std::time::Duration;

use super::policy::{Mechanisms, Policy};
use crate::backend::LimitCourse;

/// Faults of the network and of backends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FaultSettings {
    /// Share of attempts whose connection is lost before they reach the daemon, 0 to 1.
    pub lost_requests: f64,
    /// Share of attempts whose connection is lost before their response arrives, 0 to 1.
    pub lost_responses: f64,
    /// Number of times that a backend is killed, at random times over the whole run; each starts again,
    /// cold.
    pub kills: u32,
}

/// A service that is slow during the surge.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowService {
    /// Name of the service.
    pub service: String,
    /// Factor on its execution time.
    pub factor: f64,
}

/// What backends of a service announce in their responses during the surge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncingBackends {
    /// Name of the service.
    pub service: String,
    /// Number of its backends that announce it, the first ones.
    pub backends: usize,
    /// What they announce.
    pub announcement: Announcement,
}

/// What a backend announces in its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// A rate limit.
    RateLimit(LimitCourse),
    /// That it is leaving.
    Leaving,
}

/// Settings of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunSettings {
    /// Control policy.
    pub policy: Policy,
    /// Mechanisms of [`Policy::Wharfquay`]; other policies ignore most of them.
    pub mechanisms: Mechanisms,
    /// Seed of arrivals, execution times, routing and faults.
    pub seed: u64,
    /// Length of the phase before the surge.
    pub before: Duration,
    /// Length of the surge.
    pub surge: Duration,
    /// Length of the phase after the surge.
    pub after: Duration,
    /// Factor on the arrival rate during the surge.
    pub factor: f64,
    /// Services that are slower during the surge.
    pub slow: Vec<SlowService>,
    /// Backends that announce something during the surge.
    pub announcing: Vec<AnnouncingBackends>,
    /// Injected faults.
    pub faults: FaultSettings,
}

impl RunSettings {
    /// Creates the settings of a run without faults: 5 s before the surge, 10 s of surge, 10 s after it.
    #[must_use]
    pub fn new(policy: Policy, factor: f64, seed: u64) -> Self {
        Self {
            policy,
            mechanisms: Mechanisms::default(),
            seed,
            before: Duration::from_secs(5),
            surge: Duration::from_secs(10),
            after: Duration::from_secs(10),
            factor,
            slow: Vec::new(),
            announcing: Vec::new(),
            faults: FaultSettings::default(),
        }
    }

    /// Returns the length of the run up to the last arrival.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.before + self.surge + self.after
    }
}

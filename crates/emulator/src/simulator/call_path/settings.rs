//! What a run is made of.

use std::time::Duration;

use super::policy::{Mechanisms, Policy};

/// Faults of the network and of back ends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FaultSettings {
    /// Share of attempts whose connection is lost before they reach the daemon.
    pub lost_requests: f64,
    /// Share of attempts whose connection is lost before their answer arrives.
    pub lost_answers: f64,
    /// Kills of back ends in the whole run, at random times; each starts again, cold.
    pub kills: u32,
}

/// A service that is slow during the surge.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowService {
    /// Its name.
    pub service: String,
    /// Factor on its work.
    pub factor: f64,
}

/// One run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunSettings {
    /// How calls are controlled.
    pub policy: Policy,
    /// Mechanisms of the policy `wharfquay`.
    pub mechanisms: Mechanisms,
    /// Seed of arrivals, work and faults.
    pub seed: u64,
    /// Time before the surge.
    pub before: Duration,
    /// Length of the surge.
    pub surge: Duration,
    /// Time after the surge.
    pub after: Duration,
    /// Factor on the arrivals during the surge.
    pub factor: f64,
    /// Services that are slow during the surge.
    pub slow: Vec<SlowService>,
    /// Faults.
    pub faults: FaultSettings,
}

impl RunSettings {
    /// A run without faults.
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
            faults: FaultSettings::default(),
        }
    }

    /// Length of the run.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.before + self.surge + self.after
    }
}

//! The experiment `propagation`: time until an accepted configuration change is in force at every daemon,
//! and control traffic, by number of zones and daemons. Also the options shared by the experiments on
//! the control plane.

use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use wharfquay_membership::settings::Settings;

use crate::scenario::ScenarioError;
use crate::simulator::control::ControlSimulation;
use crate::simulator::control::measure::{
    HostMeter, HostUsage, Quantiles, TrafficRates, TrafficWindow, memory_per_daemon,
};
use crate::simulator::control::topology::Topology;

/// Configuration changes per second in the largest deployment that the system is designed for: 54,000 a
/// day.
pub const CHANGES_PER_SECOND: f64 = 54_000.0 / 86_400.0;
/// Simulated time before the measurement, in which the daemons' timers spread out and the readers open
/// their watches.
pub const WARM_UP: Duration = Duration::from_secs(20);
/// Simulated time after the last change or fault, in which the deployment converges.
pub const CONVERGENCE_TIME: Duration = Duration::from_secs(20);

/// Options of the experiments on the control plane.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlOptions {
    /// Name of the scenario: `lagos`, `gujarat` or `target`.
    pub scenario: String,
    /// Number of zones; that of the scenario if absent.
    pub zones: Option<usize>,
    /// Number of daemons; that of the scenario if absent.
    pub daemons: Option<usize>,
    /// Seed of all random choices.
    pub seed: u64,
    /// Simulated time in which changes and faults happen, in seconds.
    pub seconds: u64,
    /// Share of packets that are lost, from 0 to below 1.
    pub loss: f64,
}

impl Default for ControlOptions {
    fn default() -> Self {
        Self {
            scenario: "lagos".to_owned(),
            zones: None,
            daemons: None,
            seed: 1,
            seconds: 60,
            loss: 0.0,
        }
    }
}

impl ControlOptions {
    /// Creates a simulation in which every daemon runs and knows all others.
    ///
    /// # Errors
    /// Returns [`ScenarioError`] if an option is out of range.
    pub fn start(&self) -> Result<ControlSimulation, ScenarioError> {
        if !(0.0..1.0).contains(&self.loss) {
            return Err(ScenarioError::Invalid {
                field: "loss".to_owned(),
                problem: self.loss.to_string(),
                allowed: "0 to below 1".to_owned(),
            });
        }
        let topology = Topology::named(&self.scenario, self.zones, self.daemons)?;
        let mut simulation = ControlSimulation::new(topology, Settings::default(), self.seed);
        simulation.network.loss = self.loss;
        simulation.start_warm();
        Ok(simulation)
    }

    /// Returns the random source of changes and faults, which is separate from those of the daemons.
    #[must_use]
    pub fn random(&self) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed.rotate_left(32))
    }
}

/// Returns a random time between two events of a Poisson process.
pub fn exponential(events_per_second: f64, random: &mut Pcg64Mcg) -> Duration {
    let uniform: f64 = random.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / events_per_second)
}

/// Scenario, size and seed of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunSize {
    /// Name of the scenario.
    pub scenario: String,
    /// Number of zones.
    pub zones: usize,
    /// Number of daemons.
    pub daemons: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Share of packets that are lost.
    pub loss: f64,
    /// Total simulated time, in seconds.
    pub simulated_seconds: f64,
}

impl RunSize {
    /// Returns the size of a run that ends at the current virtual time.
    #[must_use]
    pub fn of(options: &ControlOptions, simulation: &ControlSimulation) -> Self {
        let topology = simulation.topology();
        let micros = Duration::from_micros(simulation.now().as_micros());
        Self {
            scenario: topology.name.clone(),
            zones: topology.zones.len(),
            daemons: topology.daemons,
            seed: options.seed,
            loss: options.loss,
            simulated_seconds: micros.as_secs_f64(),
        }
    }
}

/// Measurements of the configuration relay in one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RelayMeasurements {
    /// Number of accepted changes.
    pub changes: u64,
    /// Time from acceptance until a daemon has the change in force, in milliseconds, over all pairs of a
    /// change and a daemon that has run since before the acceptance.
    pub time_in_force_ms: Quantiles,
    /// Number of running daemons without the last revision at the end.
    pub without_last_revision: usize,
    /// Number of adopted revisions that were not newer than the one in force.
    pub revisions_reverted: u64,
    /// Number of times that a daemon reported ready with a revision older than one that it had in force
    /// before a restart.
    pub ready_with_older: u64,
    /// Largest number of concurrent readers of the store.
    pub store_readers: usize,
    /// Number of whole configurations read from the store.
    pub store_lists: u64,
}

impl RelayMeasurements {
    /// Returns the measurements of a run up to the current virtual time.
    #[must_use]
    pub fn of(simulation: &ControlSimulation) -> Self {
        let observations = &simulation.observations;
        let last = simulation.store.revision();
        let outdated = simulation
            .running()
            .filter(|&index| simulation.in_force(index) < last);
        Self {
            changes: last - 1,
            time_in_force_ms: Quantiles::of_micros(&observations.time_in_force),
            without_last_revision: outdated.count(),
            revisions_reverted: observations.revisions_reverted,
            ready_with_older: observations.ready_with_older,
            store_readers: simulation.store.peak_watchers(),
            store_lists: simulation.store.list_requests(),
        }
    }
}

/// Result of the experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PropagationReport {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// Size and seed.
    pub run: RunSize,
    /// Measurements of the configuration relay.
    pub relay: RelayMeasurements,
    /// Control traffic in the time in which changes were accepted.
    pub traffic: TrafficRates,
    /// State of a daemon, in bytes.
    pub memory_bytes: Quantiles,
    /// Number of declarations of death that were wrong: the daemon ran, and both it and the declaring daemon
    /// were connected.
    pub false_deaths: u64,
    /// Resources used on the host; they differ between runs with the same seed.
    pub host: HostUsage,
}

/// Runs the experiment.
///
/// # Errors
/// Returns [`ScenarioError`] if an option is out of range.
pub fn run(options: &ControlOptions) -> Result<PropagationReport, ScenarioError> {
    let host = HostMeter::start();
    let mut simulation = options.start()?;
    let mut random = options.random();
    simulation.run_for(WARM_UP);
    let window = TrafficWindow::open(&simulation);
    let end = simulation.now() + Duration::from_secs(options.seconds);
    loop {
        let next = simulation.now() + exponential(CHANGES_PER_SECOND, &mut random);
        if next >= end {
            break;
        }
        simulation.run_until(next);
        simulation.accept_change();
    }
    simulation.run_until(end);
    let traffic = window.close(&simulation);
    simulation.run_for(CONVERGENCE_TIME);
    let simulated = Duration::from_micros(simulation.now().as_micros());
    Ok(PropagationReport {
        experiment: "propagation",
        run: RunSize::of(options, &simulation),
        relay: RelayMeasurements::of(&simulation),
        traffic,
        memory_bytes: memory_per_daemon(&simulation),
        false_deaths: simulation.observations.false_deaths,
        host: host.usage(simulation.topology().daemons, simulated),
    })
}

impl fmt::Display for RunSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "scenario {}, {} zones, {} daemons, seed {}, loss {}, {:.0} s simulated",
            self.scenario, self.zones, self.daemons, self.seed, self.loss, self.simulated_seconds
        )
    }
}

impl fmt::Display for RelayMeasurements {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "changes                    {}", self.changes)?;
        writeln!(
            formatter,
            "time in force, ms          {}",
            self.time_in_force_ms
        )?;
        writeln!(
            formatter,
            "without last revision      {}",
            self.without_last_revision
        )?;
        writeln!(
            formatter,
            "revisions reverted         {}",
            self.revisions_reverted
        )?;
        writeln!(
            formatter,
            "ready with an older one    {}",
            self.ready_with_older
        )?;
        writeln!(
            formatter,
            "store readers, most        {}",
            self.store_readers
        )?;
        writeln!(formatter, "store lists                {}", self.store_lists)
    }
}

impl fmt::Display for PropagationReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}{}{}", self.run, self.relay, self.traffic)?;
        writeln!(
            formatter,
            "memory per daemon, bytes   {}",
            self.memory_bytes
        )?;
        writeln!(
            formatter,
            "false deaths               {}",
            self.false_deaths
        )?;
        write!(formatter, "{}", self.host)
    }
}

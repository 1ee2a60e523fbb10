//! How long an accepted configuration change takes until it is in force everywhere, and what the
//! control traffic costs, by number of zones and daemons.

use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use wharfquay_membership::settings::Settings;

use crate::scenario::ScenarioError;
use crate::simulator::control::ControlSimulation;
use crate::simulator::control::measure::{
    HostClock, HostFigures, Quantiles, TrafficFigures, TrafficWindow, memory_per_daemon,
};
use crate::simulator::control::topology::Topology;

/// Changes a second at the size that the system is built towards: 54,000 a day.
pub const CHANGES_PER_SECOND: f64 = 54_000.0 / 86_400.0;
/// Time before anything is measured, so that timers are out of step and readers watch.
pub const SETTLE: Duration = Duration::from_secs(20);
/// Time after the last change.
pub const AFTERWARDS: Duration = Duration::from_secs(20);

/// What to run; shared by the experiments on the control plane.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlOptions {
    /// `lagos`, `gujarat` or `target`.
    pub scenario: String,
    /// Number of zones; the scenario's when absent.
    pub zones: Option<usize>,
    /// Number of daemons; the scenario's when absent.
    pub daemons: Option<usize>,
    /// Seed of everything random.
    pub seed: u64,
    /// Simulated time in which changes and faults happen, in seconds.
    pub seconds: u64,
    /// Share of packets that are lost, 0 to 1.
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
    /// A simulation in which every daemon runs and knows all others.
    ///
    /// # Errors
    /// [`ScenarioError`] when an option is out of range.
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

    /// The random source of what happens, apart from the daemons' own.
    #[must_use]
    pub fn random(&self) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed.rotate_left(32))
    }
}

/// A waiting time between two events of a Poisson process.
pub fn exponential(events_per_second: f64, random: &mut Pcg64Mcg) -> Duration {
    let uniform: f64 = random.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / events_per_second)
}

/// Size and seed of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunSize {
    /// Scenario.
    pub scenario: String,
    /// Zones.
    pub zones: usize,
    /// Daemons.
    pub daemons: usize,
    /// Seed.
    pub seed: u64,
    /// Share of lost packets.
    pub loss: f64,
    /// Simulated time in all, in seconds.
    pub simulated_seconds: f64,
}

impl RunSize {
    /// The size of a run that ends now.
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

/// The configuration relay's promises and times in one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RelayFigures {
    /// Changes accepted.
    pub changes: u64,
    /// Time from acceptance until one daemon has the change in force, over all pairs of change and
    /// daemon that ran when it was accepted; in milliseconds.
    pub time_in_force_ms: Quantiles,
    /// Running daemons that lack the last revision at the end.
    pub without_last_revision: usize,
    /// Adoptions of a revision that was not newer.
    pub revisions_reverted: u64,
    /// Daemons that reported ready with less than they had in force before their restart.
    pub ready_with_older: u64,
    /// Most readers of the store at the same time.
    pub store_readers: usize,
    /// Whole configurations read from the store.
    pub store_lists: u64,
}

impl RelayFigures {
    /// The figures of a run up to now.
    #[must_use]
    pub fn of(simulation: &ControlSimulation) -> Self {
        let observations = &simulation.observations;
        let last = simulation.store.revision();
        let lacking = simulation
            .running()
            .filter(|&index| simulation.in_force(index) < last);
        Self {
            changes: last - 1,
            time_in_force_ms: Quantiles::of_micros(&observations.in_force),
            without_last_revision: lacking.count(),
            revisions_reverted: observations.reverted,
            ready_with_older: observations.ready_with_older,
            store_readers: simulation.store.most_watchers(),
            store_lists: simulation.store.lists(),
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
    /// The relay.
    pub relay: RelayFigures,
    /// Control traffic while changes come.
    pub traffic: TrafficFigures,
    /// Bytes of state of a daemon.
    pub memory_bytes: Quantiles,
    /// Running daemons that were declared dead.
    pub false_deaths: u64,
    /// Cost to this machine; differs from run to run.
    pub host: HostFigures,
}

/// Runs the experiment.
///
/// # Errors
/// [`ScenarioError`] when an option is out of range.
pub fn run(options: &ControlOptions) -> Result<PropagationReport, ScenarioError> {
    let host = HostClock::start();
    let mut simulation = options.start()?;
    let mut random = options.random();
    simulation.run_for(SETTLE);
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
    simulation.run_for(AFTERWARDS);
    let simulated = Duration::from_micros(simulation.now().as_micros());
    Ok(PropagationReport {
        experiment: "propagation",
        run: RunSize::of(options, &simulation),
        relay: RelayFigures::of(&simulation),
        traffic,
        memory_bytes: memory_per_daemon(&simulation),
        false_deaths: simulation.observations.false_deaths,
        host: host.figures(simulation.topology().daemons, simulated),
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

impl fmt::Display for RelayFigures {
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

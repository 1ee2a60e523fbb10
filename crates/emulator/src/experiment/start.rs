//! The experiment `start`: cost of starting and restarting a whole deployment, as calls to the platform's
//! directory and time until every daemon knows all others, for each strategy of keeping the directory.

use std::fmt;
use std::time::Duration;

use serde::Serialize;
use wharfquay_membership::directory::DirectorySettings;
use wharfquay_membership::settings::Settings;

use crate::scenario::ScenarioError;
use crate::simulator::control::ControlSimulation;
use crate::simulator::control::directory::Directory;
use crate::simulator::control::topology::Topology;

use super::propagation::ControlOptions;

/// Time over which the starts of the daemons are spread.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Time from the termination of all daemons until the first of them starts again.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Longest time to wait in a phase until every daemon knows all others.
const PHASE_LIMIT: Duration = Duration::from_secs(40);
/// Time that a phase continues after every daemon knows all others; daemons still write directory entries in
/// it.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Percentage of the daemons whose calls the directory refuses in one of the phases.
const REFUSED_PERCENT: usize = 33;
/// Time, from the start of the first daemon, for which the directory refuses calls in the phase with refused
/// calls.
const REFUSED_TIME: Duration = Duration::from_secs(4);
/// Time within which every daemon is notified that the directory's store was restored.
const RESTORE_NOTICE_TIME: Duration = Duration::from_millis(500);
/// Age of the directory listings for which the caller accepts stale data, in most phases.
const STALENESS: Duration = Duration::from_millis(500);
/// Age of the directory listings for which the caller accepts stale data, in the phase with a lagging store.
const LONG_STALENESS: Duration = Duration::from_secs(3);

/// Measurements of one phase.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PhaseMeasurements {
    /// Name of the phase. "end of all" means that all daemons are terminated at the same time and
    /// restarted.
    pub phase: &'static str,
    /// Cost of the calls to the platform's directory in the phase, per daemon: 1 for a write or a page of
    /// a listing, 0.1 for a page of a listing that may be stale.
    pub calls_per_daemon: f64,
    /// Number of writes to entries of the platform's directory in the phase, by all daemons.
    pub writes: u64,
    /// Number of entries in the platform's directory at the end of the phase.
    pub entries: usize,
    /// Time from the start of the daemons until every daemon knows all others, in milliseconds; `None` if
    /// that was not reached in the phase.
    #[serde(rename = "met_after_ms")]
    pub converged_after_ms: Option<u64>,
    /// Largest number of bytes that one daemon sent in the phase.
    pub most_bytes_sent: u64,
}

/// Measurements of one strategy of keeping the directory.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StrategyMeasurements {
    /// Name of the strategy: the platform's directory has an entry for each daemon, or a bounded number of
    /// entries.
    #[serde(rename = "way")]
    pub strategy: &'static str,
    /// Measurements of the phases, in order.
    pub phases: Vec<PhaseMeasurements>,
}

/// Result of the experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StartReport {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of zones.
    pub zones: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Measurements by strategy.
    #[serde(rename = "ways")]
    pub strategies: Vec<StrategyMeasurements>,
}

/// Runs the experiment.
///
/// # Errors
/// Returns [`ScenarioError`] if an option is out of range.
pub fn run(options: &ControlOptions) -> Result<StartReport, ScenarioError> {
    let strategies = [
        ("an entry for each", DirectorySettings::register_all()),
        ("a bounded number", DirectorySettings::default()),
    ];
    let measurements =
        strategies.map(|(strategy, settings)| run_strategy(options, strategy, &settings));
    let [each, bounded] = measurements;
    let topology = topology_of(options)?;
    Ok(StartReport {
        experiment: "start",
        daemons: topology.daemons,
        zones: topology.zones.len(),
        seed: options.seed,
        strategies: vec![each?, bounded?],
    })
}

fn topology_of(options: &ControlOptions) -> Result<Topology, ScenarioError> {
    Topology::named(&options.scenario, options.zones, options.daemons)
}

/// Runs the phases of one strategy of keeping the directory.
///
/// # Errors
/// Returns [`ScenarioError`] if an option is out of range.
pub fn run_strategy(
    options: &ControlOptions,
    strategy: &'static str,
    settings: &DirectorySettings,
) -> Result<StrategyMeasurements, ScenarioError> {
    let topology = topology_of(options)?;
    let phases = run_phases(options, &topology, settings);
    Ok(StrategyMeasurements { strategy, phases })
}

fn run_phases(
    options: &ControlOptions,
    topology: &Topology,
    settings: &DirectorySettings,
) -> Vec<PhaseMeasurements> {
    let simulate = |staleness| {
        let membership = Settings::for_short_lived_members();
        let mut simulation = ControlSimulation::new(topology.clone(), membership, options.seed);
        simulation.network.loss = options.loss;
        simulation.directory = Some(Directory::new(settings.clone(), staleness));
        simulation
    };
    let mut simulation = simulate(STALENESS);
    let before_first_start = simulation.now();
    let mut phases = vec![first_start(&mut simulation, "first start")];
    phases.push(restart_all(&mut simulation, "end of all", |_| {}));
    let refused_until = simulation.now() + DOWN_TIME + REFUSED_TIME;
    phases.push(restart_all(
        &mut simulation,
        "end of all, a third refused",
        |directory| {
            directory.refused_percent = REFUSED_PERCENT;
            directory.refused_until = refused_until;
        },
    ));
    phases.push(restore_store(&mut simulation, before_first_start));
    phases.push(restart_all(
        &mut simulation,
        "end of all, entries lost",
        |directory| {
            directory.restore(before_first_start);
        },
    ));
    phases.push(first_start(
        &mut simulate(LONG_STALENESS),
        "first start, listings 3 s old",
    ));
    phases
}

/// Starts all daemons without state.
fn first_start(simulation: &mut ControlSimulation, phase: &'static str) -> PhaseMeasurements {
    measure(simulation, phase, |simulation| {
        simulation.start_cold(START_SPREAD)
    })
}

/// Applies `change` to the directory, then terminates all daemons at the same time and restarts them.
fn restart_all(
    simulation: &mut ControlSimulation,
    phase: &'static str,
    change: impl FnOnce(&mut Directory),
) -> PhaseMeasurements {
    if let Some(directory) = &mut simulation.directory {
        directory.is_first_start = false;
        change(directory);
    }
    measure(simulation, phase, |simulation| {
        let daemons = simulation.topology().daemons;
        for index in 0..daemons {
            let spread = START_SPREAD.mul_f64(index as f64 / daemons as f64);
            simulation.restart(index, DOWN_TIME + spread);
        }
        simulation.run_for(DOWN_TIME);
    })
}

/// Restores the directory's store to its state at `copied_at`, while all daemons run.
fn restore_store(
    simulation: &mut ControlSimulation,
    copied_at: wharfquay_core::time::Timestamp,
) -> PhaseMeasurements {
    measure(simulation, "store restored, entries lost", |simulation| {
        simulation.restore_directory(copied_at, RESTORE_NOTICE_TIME);
    })
}

/// Runs `trigger` and measures the time until every daemon knows all others. The counters cover
/// [`SETTLE_TIME`] after that too.
fn measure(
    simulation: &mut ControlSimulation,
    phase: &'static str,
    trigger: impl FnOnce(&mut ControlSimulation),
) -> PhaseMeasurements {
    let daemons = simulation.topology().daemons;
    let counts = |simulation: &ControlSimulation| {
        let directory = simulation.directory.as_ref();
        directory.map_or((0.0, 0, 0), |directory| {
            (
                directory.call_cost(),
                directory.writes(),
                directory.entries(),
            )
        })
    };
    let sent = |simulation: &ControlSimulation| -> Vec<u64> {
        let each = (0..daemons).map(|index| simulation.traffic(index).bytes_sent);
        each.collect()
    };
    let (calls, writes, _) = counts(simulation);
    let sent_before = sent(simulation);
    trigger(simulation);
    let started_at = simulation.now();
    let converged = simulation.run_until_holds(PHASE_LIMIT, all_members_known);
    let converged_after = simulation.now().saturating_since(started_at).as_millis();
    simulation.run_for(SETTLE_TIME);
    let (calls_now, writes_now, entries) = counts(simulation);
    let sent_now = sent(simulation);
    let sent_each = sent_now.iter().zip(&sent_before);
    PhaseMeasurements {
        phase,
        calls_per_daemon: (calls_now - calls) / daemons as f64,
        writes: writes_now - writes,
        entries,
        converged_after_ms: converged.then(|| u64::try_from(converged_after).unwrap_or(u64::MAX)),
        most_bytes_sent: sent_each
            .map(|(now, before)| now - before)
            .max()
            .unwrap_or(0),
    }
}

fn all_members_known(simulation: &ControlSimulation) -> bool {
    let daemons = simulation.topology().daemons;
    (0..daemons).all(|index| {
        let node = simulation.node(index);
        node.is_some_and(|node| node.table().live_count() == daemons)
    })
}

impl fmt::Display for StartReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{} daemons, {} zones, seed {}",
            self.daemons, self.zones, self.seed
        )?;
        for strategy in &self.strategies {
            writeln!(formatter, "{}", strategy.strategy)?;
            for phase in &strategy.phases {
                let converged = phase.converged_after_ms;
                let converged = converged.map_or("never".to_owned(), |after| format!("{after} ms"));
                writeln!(
                    formatter,
                    "  {:30} calls/daemon {:.3}  writes {:6}  entries {:6}  all converged {:>9}  most sent {:.2} MB",
                    phase.phase,
                    phase.calls_per_daemon,
                    phase.writes,
                    phase.entries,
                    converged,
                    phase.most_bytes_sent as f64 / 1e6,
                )?;
            }
        }
        Ok(())
    }
}

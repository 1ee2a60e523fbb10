//! What it costs that a whole deployment starts, ends and starts again: calls to the platform's directory and the time
//! until everyone knows everyone, for each way of keeping the directory.

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

/// Time in which the machines of a deployment start.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Time from an end of all until the machines run again.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Longest time for which a phase is watched.
const PHASE_LIMIT: Duration = Duration::from_secs(40);
/// Time after everyone knows everyone, in which entries are still made.
const SETTLING: Duration = Duration::from_secs(10);
/// Percent of the machines that the store refuses in one of the phases.
const REFUSED_PERCENT: usize = 33;
/// Time after the machines' start for which it refuses them.
const REFUSED_TIME: Duration = Duration::from_secs(4);
/// Time within which news of a restored store reaches everyone.
const NEWS_TIME: Duration = Duration::from_millis(500);
/// Age of a listing that may be stale, in the phases that do not say otherwise.
const STALENESS: Duration = Duration::from_millis(500);
/// The same where the store lags.
const LONG_STALENESS: Duration = Duration::from_secs(3);

/// What one phase took.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PhaseFigures {
    /// Name of the phase.
    pub phase: &'static str,
    /// Calls to the directory by their price, for each daemon.
    pub calls_per_daemon: f64,
    /// Entries that were written.
    pub writes: u64,
    /// Entries at the end of the phase.
    pub entries: usize,
    /// Time from the start of the machines until everyone knows everyone, in milliseconds; none where that took longer
    /// than the phase.
    pub met_after_ms: Option<u64>,
    /// Most bytes that one daemon sent in the phase.
    pub most_bytes_sent: u64,
}

/// The figures of one way of keeping the directory.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WayFigures {
    /// Name of the way.
    pub way: &'static str,
    /// Its phases, in order.
    pub phases: Vec<PhaseFigures>,
}

/// Result of the experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StartReport {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// Daemons.
    pub daemons: usize,
    /// Zones.
    pub zones: usize,
    /// Seed.
    pub seed: u64,
    /// The ways.
    pub ways: Vec<WayFigures>,
}

/// Runs the experiment.
///
/// # Errors
/// [`ScenarioError`] when an option is out of range.
pub fn run(options: &ControlOptions) -> Result<StartReport, ScenarioError> {
    let ways = [
        ("an entry for each", DirectorySettings::register_all()),
        ("a bounded number", DirectorySettings::default()),
    ];
    let figures = ways.map(|(way, settings)| run_way(options, way, &settings));
    let [each, bounded] = figures;
    let topology = topology_of(options)?;
    Ok(StartReport {
        experiment: "start",
        daemons: topology.daemons,
        zones: topology.zones.len(),
        seed: options.seed,
        ways: vec![each?, bounded?],
    })
}

fn topology_of(options: &ControlOptions) -> Result<Topology, ScenarioError> {
    Topology::named(&options.scenario, options.zones, options.daemons)
}

/// Runs the phases of one way of keeping the directory.
///
/// # Errors
/// [`ScenarioError`] when an option is out of range.
pub fn run_way(
    options: &ControlOptions,
    way: &'static str,
    settings: &DirectorySettings,
) -> Result<WayFigures, ScenarioError> {
    let topology = topology_of(options)?;
    let phases = run_phases(options, &topology, settings);
    Ok(WayFigures { way, phases })
}

fn run_phases(
    options: &ControlOptions,
    topology: &Topology,
    settings: &DirectorySettings,
) -> Vec<PhaseFigures> {
    let simulate = |staleness| {
        let membership = Settings::for_short_lived_members();
        let mut simulation = ControlSimulation::new(topology.clone(), membership, options.seed);
        simulation.network.loss = options.loss;
        simulation.directory = Some(Directory::new(settings.clone(), staleness));
        simulation
    };
    let mut simulation = simulate(STALENESS);
    let before_the_start = simulation.now();
    let mut phases = vec![first_start(&mut simulation, "first start")];
    phases.push(end_of_all(&mut simulation, "end of all", |_| {}));
    let refused_until = simulation.now() + DOWN_TIME + REFUSED_TIME;
    phases.push(end_of_all(
        &mut simulation,
        "end of all, a third refused",
        |directory| {
            directory.refused_percent = REFUSED_PERCENT;
            directory.refused_until = refused_until;
        },
    ));
    phases.push(restoring(&mut simulation, before_the_start));
    phases.push(end_of_all(
        &mut simulation,
        "end of all, entries lost",
        |directory| {
            directory.restore(before_the_start);
        },
    ));
    phases.push(first_start(
        &mut simulate(LONG_STALENESS),
        "first start, listings 3 s old",
    ));
    phases
}

fn first_start(simulation: &mut ControlSimulation, phase: &'static str) -> PhaseFigures {
    measure(simulation, phase, |simulation| {
        simulation.start_cold(START_SPREAD)
    })
}

fn end_of_all(
    simulation: &mut ControlSimulation,
    phase: &'static str,
    change: impl FnOnce(&mut Directory),
) -> PhaseFigures {
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

fn restoring(
    simulation: &mut ControlSimulation,
    copied_at: wharfquay_core::time::Timestamp,
) -> PhaseFigures {
    measure(simulation, "store restored, entries lost", |simulation| {
        simulation.restore_directory(copied_at, NEWS_TIME);
    })
}

fn measure(
    simulation: &mut ControlSimulation,
    phase: &'static str,
    begin: impl FnOnce(&mut ControlSimulation),
) -> PhaseFigures {
    let daemons = simulation.topology().daemons;
    let counts = |simulation: &ControlSimulation| {
        let directory = simulation.directory.as_ref();
        directory.map_or((0.0, 0, 0), |directory| {
            (directory.calls(), directory.writes(), directory.entries())
        })
    };
    let sent = |simulation: &ControlSimulation| -> Vec<u64> {
        let each = (0..daemons).map(|index| simulation.traffic(index).bytes_sent);
        each.collect()
    };
    let (calls, writes, _) = counts(simulation);
    let sent_before = sent(simulation);
    begin(simulation);
    let started_at = simulation.now();
    let met = simulation.run_until_holds(PHASE_LIMIT, everyone_knows_everyone);
    let met_after = simulation.now().saturating_since(started_at).as_millis();
    simulation.run_for(SETTLING);
    let (calls_now, writes_now, entries) = counts(simulation);
    let sent_now = sent(simulation);
    let sent_each = sent_now.iter().zip(&sent_before);
    PhaseFigures {
        phase,
        calls_per_daemon: (calls_now - calls) / daemons as f64,
        writes: writes_now - writes,
        entries,
        met_after_ms: met.then(|| u64::try_from(met_after).unwrap_or(u64::MAX)),
        most_bytes_sent: sent_each
            .map(|(now, before)| now - before)
            .max()
            .unwrap_or(0),
    }
}

fn everyone_knows_everyone(simulation: &ControlSimulation) -> bool {
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
        for way in &self.ways {
            writeln!(formatter, "{}", way.way)?;
            for phase in &way.phases {
                let met = phase.met_after_ms;
                let met = met.map_or("never".to_owned(), |after| format!("{after} ms"));
                writeln!(
                    formatter,
                    "  {:30} calls/daemon {:.3}  writes {:6}  entries {:6}  all met {:>9}  most sent {:.2} MB",
                    phase.phase,
                    phase.calls_per_daemon,
                    phase.writes,
                    phase.entries,
                    met,
                    phase.most_bytes_sent as f64 / 1e6,
                )?;
            }
        }
        Ok(())
    }
}

//! The experiment `drain`: time until every daemon knows of a departure. Backends leave by a planned
//! stop that they announce themselves, one by one and as a whole zone; drain resources are measured as
//! configuration changes.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::scenario::ScenarioError;
use crate::simulator::control::ControlSimulation;
use crate::simulator::control::measure::{
    HostMeter, HostUsage, Quantiles, TrafficRates, TrafficWindow,
};

use super::propagation::{CONVERGENCE_TIME, ControlOptions, RelayMeasurements, RunSize, WARM_UP};

/// Time within which every daemon must know of a departure, according to the service objective.
const KNOWN_TIME_OBJECTIVE: Duration = Duration::from_secs(2);
/// Number of backends that leave one by one, and of drain resources.
const DEPARTURES: usize = 10;
/// Time between two departures, and between two drain resources.
const DEPARTURE_INTERVAL: Duration = Duration::from_secs(2);

/// Measurements of the departures of one kind.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DepartureMeasurements {
    /// Number of backends that left.
    pub departures: usize,
    /// Time until another daemon knew, over all pairs of departure and daemon, in milliseconds.
    pub known_after_ms: Quantiles,
    /// Number of pairs of departure and running daemon in which the daemon never knew.
    pub never_known: usize,
    /// Number of pairs of departure and running daemon in which the daemon knew of the departure later than
    /// 2 s after it, the service objective, or never.
    pub later_than_promised: usize,
    /// Mean time in which a daemon could still choose a leaving backend, over all pairs of departure and
    /// daemon, in milliseconds. The leaving daemon refuses calls that arrive in this time as not run.
    pub mean_exposure_ms: f64,
}

/// Result of the experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DrainReport {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// Size and seed.
    pub run: RunSize,
    /// Planned stops of single backends.
    pub planned_stops: DepartureMeasurements,
    /// Concurrent planned stops of all backends of one zone.
    pub zone_stop: DepartureMeasurements,
    /// Propagation of the drain resources, each of which is an accepted change.
    pub drain_resources: RelayMeasurements,
    /// Control traffic from the first departure to the end.
    pub traffic: TrafficRates,
    /// Resources used on the host; they differ between runs with the same seed.
    pub host: HostUsage,
}

/// Runs the experiment.
///
/// # Errors
/// Returns [`ScenarioError`] if an option is out of range.
pub fn run(options: &ControlOptions) -> Result<DrainReport, ScenarioError> {
    let host = HostMeter::start();
    let mut simulation = options.start()?;
    simulation.run_for(WARM_UP);
    let window = TrafficWindow::open(&simulation);
    let planned_stops = stop_backends(&mut simulation);
    for _ in 0..DEPARTURES {
        simulation.accept_change();
        simulation.run_for(DEPARTURE_INTERVAL);
    }
    let drain_resources = RelayMeasurements::of(&simulation);
    let zone_stop = stop_zone(&mut simulation);
    let traffic = window.close(&simulation);
    let simulated = Duration::from_micros(simulation.now().as_micros());
    Ok(DrainReport {
        experiment: "drain",
        run: RunSize::of(options, &simulation),
        planned_stops,
        zone_stop,
        drain_resources,
        traffic,
        host: host.usage(simulation.topology().daemons, simulated),
    })
}

/// Stops backends in different zones, one after the other.
fn stop_backends(simulation: &mut ControlSimulation) -> DepartureMeasurements {
    let daemons = simulation.topology().daemons;
    let count = DEPARTURES.min(daemons / 2);
    let step = daemons / count.max(1);
    for position in 0..count {
        // The additional offset puts consecutive departures into different zones.
        simulation.leave((position * step + position) % daemons);
        simulation.run_for(DEPARTURE_INTERVAL);
    }
    simulation.run_for(CONVERGENCE_TIME);
    take_measurements(simulation)
}

/// Stops every daemon of the last zone at the same time.
fn stop_zone(simulation: &mut ControlSimulation) -> DepartureMeasurements {
    let topology = simulation.topology().clone();
    let zone = topology.zones.len() - 1;
    let members = (0..topology.daemons).filter(|&index| topology.zone_of(index) == zone);
    for index in members.collect::<Vec<_>>() {
        simulation.leave(index);
    }
    simulation.run_for(CONVERGENCE_TIME);
    take_measurements(simulation)
}

fn take_measurements(simulation: &mut ControlSimulation) -> DepartureMeasurements {
    let running = simulation.running().count();
    let departures = std::mem::take(&mut simulation.observations.departures);
    let known = &mut simulation.observations.time_to_departure_known;
    let objective = u64::try_from(KNOWN_TIME_OBJECTIVE.as_micros()).unwrap_or(u64::MAX);
    let never_known: usize = departures
        .iter()
        .map(|departure| running.saturating_sub(departure.known_by.len()))
        .sum();
    let late = known.len() - known.count_between(0, objective);
    let measurements = DepartureMeasurements {
        departures: departures.len(),
        known_after_ms: Quantiles::of_micros(known),
        never_known,
        later_than_promised: usize::try_from(late).unwrap_or(usize::MAX) + never_known,
        mean_exposure_ms: mean_ms(known),
    };
    known.reset();
    measurements
}

fn mean_ms(histogram: &Histogram<u64>) -> f64 {
    (histogram.mean() / 10.0).round() / 100.0
}

impl fmt::Display for DepartureMeasurements {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "  departures               {}", self.departures)?;
        writeln!(
            formatter,
            "  known after, ms          {}",
            self.known_after_ms
        )?;
        writeln!(formatter, "  never known              {}", self.never_known)?;
        writeln!(
            formatter,
            "  later than 2 s           {}",
            self.later_than_promised
        )?;
        writeln!(
            formatter,
            "  mean exposure, ms        {:.2}",
            self.mean_exposure_ms
        )
    }
}

impl fmt::Display for DrainReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.run)?;
        write!(
            formatter,
            "planned stops of backends\n{}",
            self.planned_stops
        )?;
        write!(formatter, "planned stop of a zone\n{}", self.zone_stop)?;
        write!(
            formatter,
            "drain resources\n{}{}",
            self.drain_resources, self.traffic
        )?;
        write!(formatter, "{}", self.host)
    }
}

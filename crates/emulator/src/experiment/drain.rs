//! How soon every daemon knows that a back end leaves, by the back end's own word (a planned stop)
//! and by a drain resource, for one back end and for a whole zone.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::scenario::ScenarioError;
use crate::simulator::control::ControlSimulation;
use crate::simulator::control::measure::{
    HostClock, HostFigures, Quantiles, TrafficFigures, TrafficWindow,
};

use super::propagation::{AFTERWARDS, ControlOptions, RelayFigures, RunSize, SETTLE};

/// Time in which every daemon must know, from the users' promise.
const PROMISE: Duration = Duration::from_secs(2);
/// Back ends that leave one by one.
const DEPARTURES: usize = 10;
/// Time between two departures.
const BETWEEN: Duration = Duration::from_secs(2);

/// What routers knew of departures of one sort.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DepartureFigures {
    /// Back ends that left.
    pub departures: usize,
    /// Time until another daemon knew, over all pairs; in milliseconds.
    pub known_after_ms: Quantiles,
    /// Pairs of departure and running daemon that never came to know.
    pub never_known: usize,
    /// Pairs that came to know later than the promise of 2 s, or never.
    pub later_than_promised: usize,
    /// Mean time, over the pairs, in which a daemon could still choose the leaving back end, in
    /// milliseconds. The leaving daemon refuses what comes in this time as not run.
    pub mean_exposure_ms: f64,
}

/// Result of the experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DrainReport {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// Size and seed.
    pub run: RunSize,
    /// Single back ends that announce a planned stop.
    pub planned_stops: DepartureFigures,
    /// Every back end of one zone, which announce a planned stop at once.
    pub zone_stop: DepartureFigures,
    /// Drain resources, each an accepted change: their time in force.
    pub drain_resources: RelayFigures,
    /// Control traffic from the first departure on.
    pub traffic: TrafficFigures,
    /// Cost to this machine; differs from run to run.
    pub host: HostFigures,
}

/// Runs the experiment.
///
/// # Errors
/// [`ScenarioError`] when an option is out of range.
pub fn run(options: &ControlOptions) -> Result<DrainReport, ScenarioError> {
    let host = HostClock::start();
    let mut simulation = options.start()?;
    simulation.run_for(SETTLE);
    let window = TrafficWindow::open(&simulation);
    let planned_stops = stop_some(&mut simulation);
    for _ in 0..DEPARTURES {
        simulation.accept_change();
        simulation.run_for(BETWEEN);
    }
    let drain_resources = RelayFigures::of(&simulation);
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
        host: host.figures(simulation.topology().daemons, simulated),
    })
}

/// Back ends spread over the zones leave one by one.
fn stop_some(simulation: &mut ControlSimulation) -> DepartureFigures {
    let daemons = simulation.topology().daemons;
    let count = DEPARTURES.min(daemons / 2);
    let step = daemons / count.max(1);
    for place in 0..count {
        // An odd offset, so that the departures fall into different zones.
        simulation.leave((place * step + place) % daemons);
        simulation.run_for(BETWEEN);
    }
    simulation.run_for(AFTERWARDS);
    take_figures(simulation)
}

/// Every daemon of the last zone leaves at once.
fn stop_zone(simulation: &mut ControlSimulation) -> DepartureFigures {
    let topology = simulation.topology().clone();
    let zone = topology.zones.len() - 1;
    let members = (0..topology.daemons).filter(|&index| topology.zone_of(index) == zone);
    for index in members.collect::<Vec<_>>() {
        simulation.leave(index);
    }
    simulation.run_for(AFTERWARDS);
    take_figures(simulation)
}

fn take_figures(simulation: &mut ControlSimulation) -> DepartureFigures {
    let running = simulation.running().count();
    let departures = std::mem::take(&mut simulation.observations.departures);
    let known = &mut simulation.observations.leaving_known;
    let promise = u64::try_from(PROMISE.as_micros()).unwrap_or(u64::MAX);
    let never_known: usize = departures
        .iter()
        .map(|departure| running.saturating_sub(departure.known_by.len()))
        .sum();
    let late = known.len() - known.count_between(0, promise);
    let figures = DepartureFigures {
        departures: departures.len(),
        known_after_ms: Quantiles::of_micros(known),
        never_known,
        later_than_promised: usize::try_from(late).unwrap_or(usize::MAX) + never_known,
        mean_exposure_ms: mean_ms(known),
    };
    known.reset();
    figures
}

fn mean_ms(histogram: &Histogram<u64>) -> f64 {
    (histogram.mean() / 10.0).round() / 100.0
}

impl fmt::Display for DepartureFigures {
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
            "planned stops of back ends\n{}",
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

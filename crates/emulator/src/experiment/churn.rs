//! Restarts, failures, loss of a rack and of a zone, and regions parted for a time, while
//! configuration changes go on.
//!
//! A day's restarts and failures are compressed: the report names the factor. Changes come at their
//! real rate.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use wharfquay_core::time::Timestamp;

use crate::scenario::ScenarioError;
use crate::simulator::control::ControlSimulation;
use crate::simulator::control::measure::{
    HostClock, HostFigures, Quantiles, TrafficFigures, TrafficWindow, memory_per_daemon,
};

use super::propagation::{
    AFTERWARDS, CHANGES_PER_SECOND, ControlOptions, RelayFigures, RunSize, SETTLE, exponential,
};

/// Restarts of one daemon in a day: 2,600 of 13,000.
const RESTARTS_PER_DAEMON_DAY: f64 = 2_600.0 / 13_000.0;
/// Failures of one daemon in a day: 75 of 13,000.
const FAILURES_PER_DAEMON_DAY: f64 = 75.0 / 13_000.0;
/// Simulated seconds of a day.
const DAY_SECONDS: f64 = 86_400.0;
/// Time by which restarts and failures are compressed.
const COMPRESSION: f64 = 30.0;
/// Time until a restarted daemon runs again.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Time until a failed machine is replaced.
const REPLACEMENT_TIME: Duration = Duration::from_secs(15);
/// Machines of a rack.
const RACK: usize = 20;
/// Shares of the run after which the rack fails, the zone fails and the regions are parted.
const RACK_FAILS: f64 = 0.15;
const ZONE_FAILS: f64 = 0.35;
const REGIONS_PART: f64 = 0.6;
/// Share of the run for which the regions stay parted.
const PARTED_SHARE: f64 = 0.25;

/// Result of the experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ChurnReport {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// Size and seed.
    pub run: RunSize,
    /// Factor by which a day's restarts and failures are compressed.
    pub compression: f64,
    /// Time for which the regions were parted, in seconds.
    pub parted_seconds: f64,
    /// Planned restarts.
    pub restarts: u64,
    /// Failures without notice, rack and zone included.
    pub failures: u64,
    /// The relay, the time in which regions were parted included.
    pub relay: RelayFigures,
    /// Time in force of the changes accepted before the regions were parted, in milliseconds.
    pub time_in_force_unparted_ms: Quantiles,
    /// Time from a start with an empty memory until ready, in milliseconds.
    pub time_to_ready_ms: Quantiles,
    /// Daemons that run but are not ready at the end.
    pub not_ready: usize,
    /// Running and connected daemons that were declared dead.
    pub false_deaths: u64,
    /// Other declarations of death.
    pub true_deaths: u64,
    /// Running daemons that at the end don't know exactly the running daemons as live.
    pub with_wrong_members: usize,
    /// Control traffic from the first restart to the end.
    pub traffic: TrafficFigures,
    /// Bytes of state of a daemon.
    pub memory_bytes: Quantiles,
    /// Cost to this machine; differs from run to run.
    pub host: HostFigures,
}

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Incident {
    Change,
    Restart,
    Failure,
    RackFailure,
    ZoneFailure,
    RegionsPart,
    RegionsHeal,
    Return(usize),
}

struct Churn {
    simulation: ControlSimulation,
    random: Pcg64Mcg,
    agenda: Vec<(Timestamp, Incident)>,
    restarts: u64,
    failures: u64,
    unparted: Option<Quantiles>,
}

/// Runs the experiment.
///
/// # Errors
/// [`ScenarioError`] when an option is out of range.
pub fn run(options: &ControlOptions) -> Result<ChurnReport, ScenarioError> {
    let host = HostClock::start();
    let mut simulation = options.start()?;
    simulation.run_for(SETTLE);
    // The warm start is no start with an empty memory.
    simulation.observations.ready.reset();
    let window = TrafficWindow::open(&simulation);
    let start = simulation.now();
    let length = Duration::from_secs(options.seconds);
    let mut churn = Churn {
        simulation,
        random: options.random(),
        agenda: Vec::new(),
        restarts: 0,
        failures: 0,
        unparted: None,
    };
    churn.plan(start, length);
    churn.play();
    let Churn {
        mut simulation,
        restarts,
        failures,
        unparted,
        ..
    } = churn;
    simulation.run_for(AFTERWARDS * 3);
    let simulated = Duration::from_micros(simulation.now().as_micros());
    let observations = &simulation.observations;
    Ok(ChurnReport {
        experiment: "churn",
        run: RunSize::of(options, &simulation),
        compression: COMPRESSION,
        parted_seconds: length.mul_f64(PARTED_SHARE).as_secs_f64(),
        restarts,
        failures,
        relay: RelayFigures::of(&simulation),
        time_in_force_unparted_ms: unparted
            .unwrap_or_else(|| Quantiles::of_micros(&observations.in_force)),
        time_to_ready_ms: Quantiles::of_micros(&observations.ready),
        not_ready: not_ready(&simulation),
        false_deaths: observations.false_deaths,
        true_deaths: observations.true_deaths,
        with_wrong_members: with_wrong_members(&simulation),
        traffic: window.close(&simulation),
        memory_bytes: memory_per_daemon(&simulation),
        host: host.figures(simulation.topology().daemons, simulated),
    })
}

fn not_ready(simulation: &ControlSimulation) -> usize {
    let ready = |index: &usize| simulation.node(*index).is_some_and(|node| node.is_ready());
    simulation.running().filter(|index| !ready(index)).count()
}

fn with_wrong_members(simulation: &ControlSimulation) -> usize {
    let running = simulation.running().count();
    let knows = |index: usize| {
        simulation
            .node(index)
            .map_or(0, |node| node.table().live_count())
    };
    simulation
        .running()
        .filter(|&index| knows(index) != running)
        .count()
}

impl Churn {
    /// Draws the times of everything that happens.
    fn plan(&mut self, start: Timestamp, length: Duration) {
        #[expect(clippy::cast_precision_loss, reason = "at most some thousands")]
        let daemons = self.simulation.topology().daemons as f64;
        let per_second = |per_day: f64| daemons * per_day * COMPRESSION / DAY_SECONDS;
        let rates = [
            (Incident::Change, CHANGES_PER_SECOND),
            (Incident::Restart, per_second(RESTARTS_PER_DAEMON_DAY)),
            (Incident::Failure, per_second(FAILURES_PER_DAEMON_DAY)),
        ];
        for (incident, rate) in rates {
            let mut at = start + exponential(rate, &mut self.random);
            while at < start + length {
                self.agenda.push((at, incident));
                at = at + exponential(rate, &mut self.random);
            }
        }
        let at = |share: f64| start + length.mul_f64(share);
        self.agenda.push((at(RACK_FAILS), Incident::RackFailure));
        self.agenda.push((at(ZONE_FAILS), Incident::ZoneFailure));
        self.agenda.push((at(REGIONS_PART), Incident::RegionsPart));
        let healed = at(REGIONS_PART + PARTED_SHARE);
        self.agenda.push((healed, Incident::RegionsHeal));
    }

    fn play(&mut self) {
        while let Some(position) = self.next_incident() {
            let (at, incident) = self.agenda.swap_remove(position);
            self.simulation.run_until(at);
            self.happen(incident);
        }
    }

    fn next_incident(&self) -> Option<usize> {
        let numbered = self.agenda.iter().enumerate();
        numbered
            .min_by_key(|(_, incident)| **incident)
            .map(|(position, _)| position)
    }

    fn happen(&mut self, incident: Incident) {
        match incident {
            Incident::Change => {
                self.simulation.accept_change();
            }
            Incident::Restart => {
                let index = self.any_daemon();
                self.restarts += 1;
                self.simulation.leave(index);
                self.end(index, RESTART_TIME);
            }
            Incident::Failure => {
                let index = self.any_daemon();
                self.failures += 1;
                self.end(index, REPLACEMENT_TIME);
            }
            Incident::RackFailure => self.fail_in_zone(0, RACK),
            Incident::ZoneFailure => {
                let last = self.simulation.topology().zones.len() - 1;
                self.fail_in_zone(last, usize::MAX);
            }
            Incident::RegionsPart => {
                let in_force = &self.simulation.observations.in_force;
                self.unparted = Some(Quantiles::of_micros(in_force));
                self.part_regions();
            }
            Incident::RegionsHeal => self.heal_regions(),
            Incident::Return(index) => self.simulation.start(index),
        }
    }

    fn any_daemon(&mut self) -> usize {
        let running: Vec<usize> = self.simulation.running().collect();
        running[self.random.random_range(0..running.len())]
    }

    fn end(&mut self, index: usize, absence: Duration) {
        self.simulation.kill(index);
        let back = self.simulation.now() + absence;
        self.agenda.push((back, Incident::Return(index)));
    }

    fn fail_in_zone(&mut self, zone: usize, most: usize) {
        let topology = self.simulation.topology();
        let in_zone = |index: &usize| topology.zone_of(*index) == zone;
        // A rack is never the whole zone.
        let size = self.simulation.running().filter(in_zone).count();
        let count = if most == usize::MAX {
            size
        } else {
            most.min(size / 2)
        };
        let failed: Vec<usize> = self
            .simulation
            .running()
            .filter(in_zone)
            .take(count)
            .collect();
        for index in failed {
            self.failures += 1;
            self.end(index, REPLACEMENT_TIME);
        }
    }

    fn heal_regions(&mut self) {
        self.simulation.network.heal_zones();
        for zone in 0..self.simulation.topology().zones.len() {
            self.simulation.set_store_reachable(zone, true);
        }
    }

    /// Cuts half of the regions from the others and from the store; with a single region, half of
    /// the zones.
    fn part_regions(&mut self) {
        let topology = self.simulation.topology().clone();
        let zones = topology.zones.len();
        let regions = (0..zones)
            .map(|zone| topology.region_of(zone))
            .max()
            .unwrap_or(0)
            + 1;
        let first_side = |zone: usize| {
            if regions > 1 {
                topology.region_of(zone) < regions.div_ceil(2)
            } else {
                zone < zones.div_ceil(2)
            }
        };
        for from in 0..zones {
            self.simulation.set_store_reachable(from, first_side(from));
            for to in 0..zones {
                if first_side(from) != first_side(to) {
                    self.simulation.network.cut(from, to);
                }
            }
        }
    }
}

impl fmt::Display for ChurnReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.run)?;
        writeln!(formatter, "day compressed by          {}", self.compression)?;
        writeln!(
            formatter,
            "regions parted for, s      {}",
            self.parted_seconds
        )?;
        writeln!(formatter, "restarts                   {}", self.restarts)?;
        writeln!(formatter, "failures                   {}", self.failures)?;
        write!(formatter, "{}", self.relay)?;
        writeln!(
            formatter,
            "in force before parting    {}",
            self.time_in_force_unparted_ms
        )?;
        writeln!(
            formatter,
            "time to ready, ms          {}",
            self.time_to_ready_ms
        )?;
        writeln!(formatter, "not ready                  {}", self.not_ready)?;
        writeln!(
            formatter,
            "false deaths               {}",
            self.false_deaths
        )?;
        writeln!(formatter, "true deaths                {}", self.true_deaths)?;
        writeln!(
            formatter,
            "with wrong members         {}",
            self.with_wrong_members
        )?;
        write!(formatter, "{}", self.traffic)?;
        writeln!(
            formatter,
            "memory per daemon, bytes   {}",
            self.memory_bytes
        )?;
        write!(formatter, "{}", self.host)
    }
}

//! The experiment `churn`: restarts, failures, loss of a rack and of a zone, and a temporary partition
//! between regions, while configuration changes continue.
//!
//! The restarts and failures of a day are compressed by a factor that the report states. Changes come at
//! their real rate.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use wharfquay_core::time::Timestamp;

use crate::scenario::ScenarioError;
use crate::simulator::control::ControlSimulation;
use crate::simulator::control::measure::{
    HostMeter, HostUsage, Quantiles, TrafficRates, TrafficWindow, memory_per_daemon,
};

use super::propagation::{
    CHANGES_PER_SECOND, CONVERGENCE_TIME, ControlOptions, RelayMeasurements, RunSize, WARM_UP,
    exponential,
};

/// Restarts per daemon and day: 2,600 among 13,000 daemons.
const RESTARTS_PER_DAEMON_DAY: f64 = 2_600.0 / 13_000.0;
/// Failures per daemon and day: 75 among 13,000 daemons.
const FAILURES_PER_DAEMON_DAY: f64 = 75.0 / 13_000.0;
/// Seconds of a day.
const DAY_SECONDS: f64 = 86_400.0;
/// Factor by which the restarts and failures of a day are compressed.
const COMPRESSION: f64 = 30.0;
/// Time from the termination of a restarted daemon until it starts again.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Time from the failure of a machine until its replacement starts.
const REPLACEMENT_TIME: Duration = Duration::from_secs(15);
/// Number of machines in a rack.
const RACK_MACHINES: usize = 20;
/// Time of the rack failure, as a share of the run.
const RACK_FAILS: f64 = 0.15;
/// Time of the zone failure, as a share of the run.
const ZONE_FAILS: f64 = 0.35;
/// Start of the partition between regions, as a share of the run.
const PARTITION_STARTS: f64 = 0.6;
/// Length of the partition between regions, as a share of the run.
const PARTITION_LENGTH: f64 = 0.25;

/// Result of the experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ChurnReport {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// Size and seed.
    pub run: RunSize,
    /// Factor by which the rates of restarts and failures exceed those of a real day.
    pub compression: f64,
    /// Length of the partition between regions, in seconds.
    pub parted_seconds: f64,
    /// Number of planned restarts.
    pub restarts: u64,
    /// Number of daemons that failed without notice, including those of the rack and the zone.
    pub failures: u64,
    /// Measurements of the configuration relay, including the time of the partition.
    pub relay: RelayMeasurements,
    /// Time until changes were in force, as measured up to the start of the partition, in milliseconds.
    pub time_in_force_unparted_ms: Quantiles,
    /// Time from a daemon's start without state until it is ready, in milliseconds.
    pub time_to_ready_ms: Quantiles,
    /// Number of daemons that run but are not ready at the end.
    pub not_ready: usize,
    /// Number of declarations of death that were wrong: the daemon ran, and both it and the declaring daemon
    /// were connected.
    pub false_deaths: u64,
    /// Number of all other declarations of death: the process had terminated, was frozen or cut off, or the
    /// declaring daemon was cut off.
    pub true_deaths: u64,
    /// Number of running daemons whose count of live members at the end differs from the number of
    /// running daemons.
    pub with_wrong_members: usize,
    /// Control traffic from the start of the measurement to the end.
    pub traffic: TrafficRates,
    /// State of a daemon, in bytes.
    pub memory_bytes: Quantiles,
    /// Resources used on the host; they differ between runs with the same seed.
    pub host: HostUsage,
}

/// An event of the schedule. Events with the same time are applied in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Change,
    Restart,
    Failure,
    RackFailure,
    ZoneFailure,
    PartitionStart,
    PartitionEnd,
    Start(usize),
}

/// State of a run.
struct Churn {
    simulation: ControlSimulation,
    random: Pcg64Mcg,
    /// Pending events, unordered.
    schedule: Vec<(Timestamp, ScheduledEvent)>,
    restarts: u64,
    failures: u64,
    /// Time until changes were in force, taken at the start of the partition.
    in_force_before_partition: Option<Quantiles>,
}

/// Runs the experiment.
///
/// # Errors
/// Returns [`ScenarioError`] if an option is out of range.
pub fn run(options: &ControlOptions) -> Result<ChurnReport, ScenarioError> {
    let host = HostMeter::start();
    let mut simulation = options.start()?;
    simulation.run_for(WARM_UP);
    // The times to ready of the warm start are discarded: its daemons started with state.
    simulation.observations.time_to_ready.reset();
    let window = TrafficWindow::open(&simulation);
    let start = simulation.now();
    let length = Duration::from_secs(options.seconds);
    let mut churn = Churn {
        simulation,
        random: options.random(),
        schedule: Vec::new(),
        restarts: 0,
        failures: 0,
        in_force_before_partition: None,
    };
    churn.fill_schedule(start, length);
    churn.run_schedule();
    let Churn {
        mut simulation,
        restarts,
        failures,
        in_force_before_partition,
        ..
    } = churn;
    simulation.run_for(CONVERGENCE_TIME * 3);
    let simulated = Duration::from_micros(simulation.now().as_micros());
    let observations = &simulation.observations;
    Ok(ChurnReport {
        experiment: "churn",
        run: RunSize::of(options, &simulation),
        compression: COMPRESSION,
        parted_seconds: length.mul_f64(PARTITION_LENGTH).as_secs_f64(),
        restarts,
        failures,
        relay: RelayMeasurements::of(&simulation),
        time_in_force_unparted_ms: in_force_before_partition
            .unwrap_or_else(|| Quantiles::of_micros(&observations.time_in_force)),
        time_to_ready_ms: Quantiles::of_micros(&observations.time_to_ready),
        not_ready: not_ready(&simulation),
        false_deaths: observations.false_deaths,
        true_deaths: observations.true_deaths,
        with_wrong_members: with_wrong_members(&simulation),
        traffic: window.close(&simulation),
        memory_bytes: memory_per_daemon(&simulation),
        host: host.usage(simulation.topology().daemons, simulated),
    })
}

fn not_ready(simulation: &ControlSimulation) -> usize {
    let ready = |index: &usize| simulation.node(*index).is_some_and(|node| node.is_ready());
    simulation.running().filter(|index| !ready(index)).count()
}

fn with_wrong_members(simulation: &ControlSimulation) -> usize {
    let running = simulation.running().count();
    let live_members = |index: usize| {
        simulation
            .node(index)
            .map_or(0, |node| node.table().live_count())
    };
    simulation
        .running()
        .filter(|&index| live_members(index) != running)
        .count()
}

impl Churn {
    /// Fills the schedule: random times for changes, restarts and failures, fixed times for the rest.
    fn fill_schedule(&mut self, start: Timestamp, length: Duration) {
        #[expect(clippy::cast_precision_loss, reason = "at most some thousands")]
        let daemons = self.simulation.topology().daemons as f64;
        let per_second = |per_day: f64| daemons * per_day * COMPRESSION / DAY_SECONDS;
        let rates = [
            (ScheduledEvent::Change, CHANGES_PER_SECOND),
            (ScheduledEvent::Restart, per_second(RESTARTS_PER_DAEMON_DAY)),
            (ScheduledEvent::Failure, per_second(FAILURES_PER_DAEMON_DAY)),
        ];
        for (event, rate) in rates {
            let mut at = start + exponential(rate, &mut self.random);
            while at < start + length {
                self.schedule.push((at, event));
                at = at + exponential(rate, &mut self.random);
            }
        }
        let at = |share: f64| start + length.mul_f64(share);
        self.schedule
            .push((at(RACK_FAILS), ScheduledEvent::RackFailure));
        self.schedule
            .push((at(ZONE_FAILS), ScheduledEvent::ZoneFailure));
        self.schedule
            .push((at(PARTITION_STARTS), ScheduledEvent::PartitionStart));
        let healed = at(PARTITION_STARTS + PARTITION_LENGTH);
        self.schedule.push((healed, ScheduledEvent::PartitionEnd));
    }

    fn run_schedule(&mut self) {
        while let Some(position) = self.next_event() {
            let (at, event) = self.schedule.swap_remove(position);
            self.simulation.run_until(at);
            self.apply(event);
        }
    }

    fn next_event(&self) -> Option<usize> {
        let numbered = self.schedule.iter().enumerate();
        numbered
            .min_by_key(|(_, event)| **event)
            .map(|(position, _)| position)
    }

    fn apply(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Change => {
                self.simulation.accept_change();
            }
            ScheduledEvent::Restart => {
                let index = self.random_running_daemon();
                self.restarts += 1;
                self.simulation.leave(index);
                self.terminate(index, RESTART_TIME);
            }
            ScheduledEvent::Failure => {
                let index = self.random_running_daemon();
                self.failures += 1;
                self.terminate(index, REPLACEMENT_TIME);
            }
            ScheduledEvent::RackFailure => self.fail_in_zone(0, RACK_MACHINES),
            ScheduledEvent::ZoneFailure => {
                let last = self.simulation.topology().zones.len() - 1;
                self.fail_in_zone(last, usize::MAX);
            }
            ScheduledEvent::PartitionStart => {
                let in_force = &self.simulation.observations.time_in_force;
                self.in_force_before_partition = Some(Quantiles::of_micros(in_force));
                self.partition_regions();
            }
            ScheduledEvent::PartitionEnd => self.heal_regions(),
            ScheduledEvent::Start(index) => self.simulation.start(index),
        }
    }

    fn random_running_daemon(&mut self) -> usize {
        let running: Vec<usize> = self.simulation.running().collect();
        running[self.random.random_range(0..running.len())]
    }

    fn terminate(&mut self, index: usize, downtime: Duration) {
        self.simulation.kill(index);
        let starts_at = self.simulation.now() + downtime;
        self.schedule
            .push((starts_at, ScheduledEvent::Start(index)));
    }

    fn fail_in_zone(&mut self, zone: usize, most: usize) {
        let topology = self.simulation.topology();
        let in_zone = |index: &usize| topology.zone_of(*index) == zone;
        // A rack failure never takes more than half of the zone.
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
            self.terminate(index, REPLACEMENT_TIME);
        }
    }

    fn heal_regions(&mut self) {
        self.simulation.network.heal_zones();
        for zone in 0..self.simulation.topology().zones.len() {
            self.simulation.set_store_reachable(zone, true);
        }
    }

    /// Cuts half of the regions off from the others and from the store; if there is a single region, half
    /// of its zones.
    fn partition_regions(&mut self) {
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

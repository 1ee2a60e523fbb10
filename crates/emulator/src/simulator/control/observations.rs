//! Measurements that a simulation of the control plane records.

use std::collections::BTreeSet;
use std::time::Duration;

use hdrhistogram::Histogram;
use wharfquay_core::time::Timestamp;
use wharfquay_membership::member::{MemberId, ZoneName};

/// Largest value of the histograms, in microseconds: one day.
const MAX_MICROS: u64 = 24 * 3_600 * 1_000_000;
/// Number of significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A leaving daemon, and the daemons that know of its departure.
#[derive(Clone, Debug)]
pub struct Departure {
    /// Member id of the daemon.
    pub id: MemberId,
    /// Zone of the daemon.
    pub zone: ZoneName,
    /// Time at which the daemon started to leave.
    pub at: Timestamp,
    /// Indices of the daemons that know of the departure, the leaving one included.
    pub known_by: BTreeSet<usize>,
}

/// Measurements of one run.
#[derive(Clone, Debug)]
pub struct Observations {
    /// Time from the acceptance of a change until a daemon has it in force, in microseconds, for each pair
    /// of change and daemon.
    pub time_in_force: Histogram<u64>,
    /// Time from the start of a departure until another daemon knows of it, in microseconds, for each pair
    /// of departure and daemon.
    pub time_to_departure_known: Histogram<u64>,
    /// Time from a daemon's start without state until it is ready, in microseconds.
    pub time_to_ready: Histogram<u64>,
    /// Number of adopted revisions that were not newer than the one in force.
    pub revisions_reverted: u64,
    /// Number of times that a daemon reported ready with a revision older than one that it had in force
    /// before a restart.
    pub ready_with_older: u64,
    /// Number of declarations of death that were wrong: the daemon ran, and both it and the declaring daemon
    /// were connected.
    pub false_deaths: u64,
    /// Number of all other declarations of death: the process had terminated, was frozen or cut off, or the
    /// declaring daemon was cut off.
    pub true_deaths: u64,
    /// Number of reports that the store is older than the configuration in force.
    pub older_store_reports: u64,
    /// Number of messages lost on the network.
    pub lost_messages: u64,
    /// Departures that are being followed.
    pub departures: Vec<Departure>,
}

impl Default for Observations {
    fn default() -> Self {
        Self {
            time_in_force: histogram(),
            time_to_departure_known: histogram(),
            time_to_ready: histogram(),
            revisions_reverted: 0,
            ready_with_older: 0,
            false_deaths: 0,
            true_deaths: 0,
            older_store_reports: 0,
            lost_messages: 0,
            departures: Vec::new(),
        }
    }
}

fn histogram() -> Histogram<u64> {
    // The library accepts these constant bounds, so this does not fail.
    Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("the constant bounds of the histogram are valid"))
}

/// Records a duration in microseconds, limited to the range of the histogram.
pub(super) fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros.max(1));
}

//! What a run of the control simulator records.

use std::collections::BTreeSet;
use std::time::Duration;

use hdrhistogram::Histogram;
use wharfquay_core::time::Timestamp;
use wharfquay_membership::member::{MemberId, ZoneName};

/// Longest time that the histograms tell apart, in microseconds.
const LONGEST_MICROS: u64 = 24 * 3_600 * 1_000_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// One leaving daemon whose mark is followed.
#[derive(Clone, Debug)]
pub struct Departure {
    /// The daemon.
    pub id: MemberId,
    /// Its zone.
    pub zone: ZoneName,
    /// When it was told to leave.
    pub at: Timestamp,
    /// Daemons that know.
    pub known_by: BTreeSet<usize>,
}

/// Records of one run.
#[derive(Clone, Debug)]
pub struct Observations {
    /// Time from the acceptance of a change until one daemon has it in force, for each pair.
    pub in_force: Histogram<u64>,
    /// Time from a daemon's intention to leave until another daemon knows, for each pair.
    pub leaving_known: Histogram<u64>,
    /// Time from a daemon's start with an empty memory until it is ready.
    pub ready: Histogram<u64>,
    /// Adoptions of a revision that is not newer than the one in force.
    pub reverted: u64,
    /// Daemons that reported ready with a revision older than one they had in force before they
    /// were restarted.
    pub ready_with_older: u64,
    /// Declarations of death of a daemon that ran and was connected.
    pub false_deaths: u64,
    /// Declarations of death of a daemon that did not run or was cut off.
    pub true_deaths: u64,
    /// Reports of a store older than the configuration in force.
    pub older_store_reports: u64,
    /// Messages that did not arrive.
    pub lost_messages: u64,
    /// Leaving daemons.
    pub departures: Vec<Departure>,
}

impl Default for Observations {
    fn default() -> Self {
        Self {
            in_force: histogram(),
            leaving_known: histogram(),
            ready: histogram(),
            reverted: 0,
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
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, LONGEST_MICROS, DIGITS)
        .unwrap_or_else(|_| unreachable!("constant bounds of a histogram"))
}

/// Records a duration; one beyond the longest counts as the longest.
pub(super) fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros.max(1));
}

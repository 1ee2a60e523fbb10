//! Measurements of backends that announce a rate limit or their leaving during the surge.

use std::time::Duration;

use serde::Serialize;
use wharfquay_core::rate_limit::WINDOW;
use wharfquay_core::time::Timestamp;

use super::measure::rounded;
use crate::simulator::call_path::Layout;
use crate::simulator::call_path::record::{AnnouncementRecord, RunRecord};
use crate::simulator::call_path::settings::{Announcement, RunSettings};

/// Time from the first announcement until arrivals must keep it.
const LEARNED_WITHIN: Duration = Duration::from_secs(1);
/// Time from the announcement of a leaving until no call may arrive.
const LEFT_WITHIN: Duration = Duration::from_millis(100);
/// Measurements of one announcing backend.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AnnouncingMeasurements {
    /// Id of the backend.
    pub backend: String,
    /// What it announces.
    pub announcement: String,
    /// Calls that arrived during the surge.
    pub arrivals: usize,
    /// Largest number of arrivals in four seconds beyond what the announced rates add up to; `None` without
    /// a rate limit.
    pub excess: Option<f64>,
    /// Share of the announced rates that was used; `None` without a rate limit, or if it was lifted in
    /// between.
    pub used_share: Option<f64>,
    /// Calls that arrived more than 100 ms after the leaving was announced.
    pub after_leaving: usize,
    /// Calls that were broken off at the backend.
    pub cancelled: u64,
}

/// Returns the measurements of the announcing backends.
pub(super) fn measure_announcing(
    layout: &Layout,
    settings: &RunSettings,
    record: &RunRecord,
) -> Vec<AnnouncingMeasurements> {
    let records = record.announcements.iter();
    records
        .map(|record| {
            let is_leaving = record.announcement == Announcement::Leaving;
            let announcement = match record.announcement {
                Announcement::RateLimit(course) => course.to_string(),
                Announcement::Leaving => "leaving".to_owned(),
            };
            let known_at = record.first_announced_at.filter(|_| !is_leaving);
            AnnouncingMeasurements {
                backend: layout.backends[record.backend].id.as_str().to_owned(),
                announcement,
                arrivals: record.arrivals.len(),
                excess: known_at.map(|at| rounded(excess(record, at))),
                used_share: known_at
                    .and_then(|at| used(settings, record, at))
                    .map(rounded),
                after_leaving: if is_leaving { late(record) } else { 0 },
                cancelled: record.cancelled,
            }
        })
        .collect()
}

/// Returns the largest number of arrivals in a window beyond the sum of the rates there. Windows in which
/// no rate was announced for a time don't count.
fn excess(record: &AnnouncementRecord, announced_at: Timestamp) -> f64 {
    let known_from = announced_at + LEARNED_WITHIN;
    let arrivals = &record.arrivals;
    let windows = arrivals.iter().filter_map(|last| {
        let start = *last - WINDOW;
        if start < known_from {
            return None;
        }
        let allowed = allowed(record, start, *last)?;
        let is_inside = |at: &&Timestamp| **at > start && **at <= *last;
        Some(arrivals.iter().filter(is_inside).count() as f64 - allowed)
    });
    windows.fold(f64::NEG_INFINITY, f64::max)
}

/// Returns the arrivals as a share of the sum of the rates, from the time at which they must be kept;
/// `None` if no rate was announced for a part of it.
fn used(
    settings: &RunSettings,
    record: &AnnouncementRecord,
    announced_at: Timestamp,
) -> Option<f64> {
    let from = announced_at + LEARNED_WITHIN;
    let to = Timestamp::ZERO + settings.before + settings.surge;
    let arrivals = record.arrivals.iter().filter(|at| **at >= from);
    Some(arrivals.count() as f64 / allowed(record, from, to)?)
}

/// Returns the sum of the announced rates between two times; `None` if none was announced for a part of
/// it.
fn allowed(record: &AnnouncementRecord, from: Timestamp, to: Timestamp) -> Option<f64> {
    let begins = record.rates.iter();
    let ends = record.rates.iter().skip(1).map(|next| next.0);
    let periods = begins.zip(ends.chain([to]));
    let mut sum = 0.0;
    for ((begin, rate), end) in periods {
        let length = end.min(to).saturating_since((*begin).max(from));
        if !length.is_zero() {
            sum += (*rate)? * length.as_secs_f64();
        }
    }
    Some(sum)
}

fn late(record: &AnnouncementRecord) -> usize {
    let Some(announced_at) = record.first_announced_at else {
        return 0;
    };
    let late = record.arrivals.iter();
    late.filter(|at| **at > announced_at + LEFT_WITHIN).count()
}

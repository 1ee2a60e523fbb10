//! Measurements of a run: goodput relative to the oracle, recovery, wasted work and violated guarantees.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use wharfquay_core::time::Timestamp;

use super::announced::{AnnouncingMeasurements, measure_announcing};
use super::oracle::OracleGoodput;
use crate::simulator::call_path::Layout;
use crate::simulator::call_path::record::{KindRecord, RunRecord, ServiceRecord, SessionRecord};
use crate::simulator::call_path::settings::RunSettings;

/// Width of the bins into which sessions are grouped by arrival time.
const BIN_WIDTH: Duration = Duration::from_millis(50);
/// Number of arrivals that a smoothing window should contain. In a smaller window a single lost request
/// would decide whether goodput has recovered.
const ARRIVALS_IN_WINDOW: f64 = 300.0;
/// Shortest smoothing window.
const MIN_WINDOW: Duration = Duration::from_millis(250);
/// Longest smoothing window.
const MAX_WINDOW: Duration = Duration::from_secs(2);
/// Share of the goodput per arrival before the surge that counts as recovered.
const RECOVERED_SHARE: f64 = 0.98;

/// Measurements of one request kind.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct KindMeasurements {
    /// Name of the request kind.
    pub kind: String,
    /// Priority; zero is the most important.
    pub priority: u8,
    /// Complete responses in time during the surge, relative to the oracle's; `None` if the oracle serves
    /// less than one.
    pub goodput_ratio: Option<f64>,
    /// Complete responses in time during the surge, per second.
    pub goodput_per_second: f64,
    /// Time from the end of the surge until goodput has recovered and stays so, in seconds; `None` if it does
    /// not recover.
    pub recovery_seconds: Option<f64>,
    /// Largest number of retries for one originating request, over all hops.
    pub retries_max: u32,
    /// Execution time spent on requests without a complete response in time, as a share of all execution
    /// time.
    pub wasted_work_ratio: f64,
    /// Requests of priority 0 that were refused while a less important one was dispatched at the same
    /// service.
    pub priority_inversions: u64,
    /// Requests that were reported as not run although they ran.
    pub not_run_but_ran: u64,
    /// Effects after the first, of requests that must take effect at most once.
    pub duplicate_effects: u64,
    /// Responses that were delivered to a request other than their own.
    pub mixed_answers: u64,
}

/// Measurements of one run of a policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyMeasurements {
    /// Name of the policy.
    pub policy: String,
    /// Complete responses in time during the surge, over all kinds, relative to the oracle's. Each kind
    /// counts at most as much as the oracle serves of it: a less important kind can't compensate for a more
    /// important one.
    pub goodput_ratio: f64,
    /// Complete responses in time during the surge, over all kinds, relative to the oracle's, without a bound
    /// by kind: more goodput of one kind can compensate for less of another.
    pub uncapped_goodput_ratio: f64,
    /// Recovery time of all kinds together, in seconds; `None` if goodput does not recover.
    pub recovery_seconds: Option<f64>,
    /// Wasted execution time of all kinds, as a share of all execution time.
    pub wasted_work_ratio: f64,
    /// Measurements by request kind.
    pub kinds: Vec<KindMeasurements>,
    /// Measurements by service and priority, for those with calls during the surge.
    pub services: Vec<ServiceMeasurements>,
    /// Measurements of the announcing backends.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub announcing: Vec<AnnouncingMeasurements>,
}

/// Measurements of the calls of one priority to one service during the surge.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceMeasurements {
    /// Name of the service.
    pub service: String,
    /// Priority of the calls.
    pub priority: u8,
    /// Calls dispatched to a backend, per second.
    pub dispatched_per_second: f64,
    /// Mean time that dispatched calls waited in the daemons' queues, in milliseconds.
    pub wait_millis: f64,
    /// Share of the service's slots that the calls held.
    pub slot_share: f64,
    /// Calls that the calling daemon refused before they reached a daemon of the service, per second.
    pub refused_early_per_second: f64,
    /// Calls refused by a daemon of the service, by name of the result code.
    pub refused: BTreeMap<String, u64>,
}

impl PolicyMeasurements {
    /// Returns the number of violations of a guarantee over all kinds: priority inversions, requests that ran
    /// although reported as not run, duplicate effects and responses delivered to the wrong request.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.kinds
            .iter()
            .map(|kind| {
                kind.priority_inversions
                    + kind.not_run_but_ran
                    + kind.duplicate_effects
                    + kind.mixed_answers
            })
            .sum()
    }
}

/// Returns the measurements of a run.
#[must_use]
pub fn measure(
    layout: &Layout,
    settings: &RunSettings,
    record: &RunRecord,
    oracle: &OracleGoodput,
) -> PolicyMeasurements {
    let kinds = (0..layout.kinds.len())
        .map(|kind| measure_kind(layout, settings, record, oracle, kind))
        .collect();
    let by_kind: Vec<f64> = (0..layout.kinds.len())
        .map(|kind| completed_in_surge(settings, &record.sessions, |s| s.kind == kind) as f64)
        .collect();
    let completed: f64 = by_kind.iter().sum();
    let capped: f64 = by_kind
        .iter()
        .zip(&oracle.completed)
        .map(|(completed, bound)| completed.min(*bound))
        .sum();
    let bound: f64 = oracle.completed.iter().sum();
    let total_work = record.kinds.iter().fold(Work::default(), Work::add);
    let rate = layout.kinds.iter().map(|kind| kind.rate).sum();
    PolicyMeasurements {
        policy: settings.policy.name().to_owned(),
        goodput_ratio: rounded(capped / bound.max(1.0)),
        uncapped_goodput_ratio: rounded(completed / bound.max(1.0)),
        services: service_measures(layout, settings, record),
        announcing: measure_announcing(layout, settings, record),
        recovery_seconds: recovery(settings, &record.sessions, rate, |_| true),
        wasted_work_ratio: total_work.wasted_ratio(),
        kinds,
    }
}

fn measure_kind(
    layout: &Layout,
    settings: &RunSettings,
    record: &RunRecord,
    oracle: &OracleGoodput,
    kind: usize,
) -> KindMeasurements {
    let model = &layout.kinds[kind];
    let of_kind = |session: &SessionRecord| session.kind == kind;
    let completed = completed_in_surge(settings, &record.sessions, of_kind) as f64;
    let bound = oracle.completed[kind];
    let counters = &record.kinds[kind];
    KindMeasurements {
        kind: model.name.clone(),
        priority: model.priority.number(),
        goodput_ratio: (bound >= 1.0).then(|| rounded(completed / bound)),
        goodput_per_second: rounded(completed / settings.surge.as_secs_f64()),
        recovery_seconds: recovery(settings, &record.sessions, model.rate, of_kind),
        retries_max: counters.retries_max,
        wasted_work_ratio: Work::default().add(counters).wasted_ratio(),
        priority_inversions: counters.priority_inversions,
        not_run_but_ran: counters.not_run_but_ran,
        duplicate_effects: duplicates(&record.sessions, kind),
        mixed_answers: counters.misdelivered_responses,
    }
}

fn service_measures(
    layout: &Layout,
    settings: &RunSettings,
    record: &RunRecord,
) -> Vec<ServiceMeasurements> {
    let seconds = settings.surge.as_secs_f64();
    let mut measures = Vec::new();
    for (service, by_priority) in layout.services.iter().zip(&record.services) {
        let slots = f64::from(service.slots) * service.backends.len() as f64;
        for (priority, counters) in (0_u8..).zip(by_priority) {
            if *counters == ServiceRecord::default() {
                continue;
            }
            let dispatched = counters.dispatched as f64;
            let refused = counters.refused.iter();
            measures.push(ServiceMeasurements {
                service: service.name.clone(),
                priority,
                dispatched_per_second: rounded(dispatched / seconds),
                wait_millis: rounded(counters.waited.as_secs_f64() * 1e3 / dispatched.max(1.0)),
                slot_share: rounded(counters.held.as_secs_f64() / (slots * seconds)),
                refused_early_per_second: rounded(counters.refused_early as f64 / seconds),
                refused: refused
                    .map(|(code, count)| (code.name().to_owned(), *count))
                    .collect(),
            });
        }
    }
    measures
}

#[derive(Clone, Copy, Default)]
struct Work {
    useful: Duration,
    wasted: Duration,
}

impl Work {
    fn add(self, kind: &KindRecord) -> Self {
        Self {
            useful: self.useful + kind.useful_work,
            wasted: self.wasted + kind.wasted_work,
        }
    }

    fn wasted_ratio(self) -> f64 {
        let total = (self.useful + self.wasted).as_secs_f64();
        rounded(self.wasted.as_secs_f64() / total.max(f64::MIN_POSITIVE))
    }
}

fn completed_in_surge(
    settings: &RunSettings,
    sessions: &[SessionRecord],
    selected: impl Fn(&SessionRecord) -> bool,
) -> usize {
    let start = Timestamp::ZERO + settings.before;
    let end = start + settings.surge;
    sessions
        .iter()
        .filter(|session| selected(session))
        .filter_map(|session| session.complete_response_at)
        .filter(|&at| at >= start && at < end)
        .count()
}

fn duplicates(sessions: &[SessionRecord], kind: usize) -> u64 {
    sessions
        .iter()
        .filter(|session| session.kind == kind)
        .map(|session| u64::from(session.effects.saturating_sub(1)))
        .sum()
}

/// The sessions that arrived in one bin, and those of them with a complete response in time.
#[derive(Clone, Copy, Default)]
struct Cohort {
    arrived: u32,
    completed: u32,
}

impl Cohort {
    fn ratio(cohorts: &[Self]) -> Option<f64> {
        let arrived: u32 = cohorts.iter().map(|cohort| cohort.arrived).sum();
        let completed: u32 = cohorts.iter().map(|cohort| cohort.completed).sum();
        (arrived > 0).then(|| f64::from(completed) / f64::from(arrived))
    }
}

/// Returns the time from the end of the surge, in seconds, after which every window of arrivals has at
/// least 98% of the goodput before the surge; `None` if the last window does not.
///
/// Goodput is measured per arrival, so random variation of the number of arrivals has no influence. The
/// window of a bin starts at that bin and contains only later ones: a trailing window would still contain
/// bins from before the recovery and would report the recovery too late.
fn recovery(
    settings: &RunSettings,
    sessions: &[SessionRecord],
    rate: f64,
    selected: impl Fn(&SessionRecord) -> bool,
) -> Option<f64> {
    let cohorts = cohorts(settings, sessions, selected);
    let index = |at: Duration| (at.as_millis() / BIN_WIDTH.as_millis()) as usize;
    let surge_starts = index(settings.before);
    let surge_ends = index(settings.before + settings.surge);
    let before = Cohort::ratio(&cohorts[surge_starts / 2..surge_starts])?;
    let after = &cohorts[surge_ends..];
    let window = window_bins(rate).min(after.len());
    let is_good = |cohorts: &[Cohort]| {
        Cohort::ratio(cohorts).is_none_or(|ratio| ratio >= before * RECOVERED_SHARE)
    };
    let last_bad = after.windows(window).rposition(|window| !is_good(window));
    match last_bad {
        None => Some(0.0),
        Some(position) if position + window >= after.len() => None,
        Some(position) => Some(rounded((position + 1) as f64 * BIN_WIDTH.as_secs_f64())),
    }
}

/// Returns the length of a smoothing window, in bins, for this number of arrivals per second.
fn window_bins(rate: f64) -> usize {
    let wanted = ARRIVALS_IN_WINDOW / rate.max(f64::MIN_POSITIVE);
    let shortest = MIN_WINDOW.as_secs_f64();
    let longest = MAX_WINDOW.as_secs_f64();
    (wanted.clamp(shortest, longest) / BIN_WIDTH.as_secs_f64()).ceil() as usize
}

fn cohorts(
    settings: &RunSettings,
    sessions: &[SessionRecord],
    selected: impl Fn(&SessionRecord) -> bool,
) -> Vec<Cohort> {
    let bins = (settings.total().as_millis() / BIN_WIDTH.as_millis()) as usize + 1;
    let mut cohorts = vec![Cohort::default(); bins];
    for session in sessions.iter().filter(|session| selected(session)) {
        let at = session.arrived.saturating_since(Timestamp::ZERO);
        let cohort = &mut cohorts[(at.as_millis() / BIN_WIDTH.as_millis()) as usize];
        cohort.arrived += 1;
        cohort.completed += u32::from(session.complete_response_at.is_some());
    }
    cohorts.pop();
    cohorts
}

/// Rounds to four decimals, which keeps the reports readable.
pub(super) fn rounded(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

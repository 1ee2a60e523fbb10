//! What a run shows: goodput against the oracle, recovery, waste and broken promises.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use wharfquay_core::time::Timestamp;

use super::oracle::OracleGoodput;
use crate::simulator::call_path::Layout;
use crate::simulator::call_path::record::{KindRecord, RunRecord, ServiceRecord, SessionRecord};
use crate::simulator::call_path::settings::RunSettings;

/// Width of a bin of arrival time.
const BIN: Duration = Duration::from_millis(50);
/// Arrivals that a smoothing window should hold, so that one lost request does not decide.
const ARRIVALS_IN_WINDOW: f64 = 300.0;
/// Shortest smoothing window.
const SHORTEST_WINDOW: Duration = Duration::from_millis(250);
/// Longest smoothing window.
const LONGEST_WINDOW: Duration = Duration::from_secs(2);
/// Part of the goodput per arrival before the surge that counts as recovered.
const RECOVERED: f64 = 0.98;

/// What a run shows of one request kind.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct KindMeasure {
    /// The request kind.
    pub kind: String,
    /// Importance; zero is the most important.
    pub priority: u8,
    /// Whole answers in time during the surge, against the oracle's; `None` where the oracle
    /// serves hardly any.
    pub goodput_ratio: Option<f64>,
    /// Whole answers in time during the surge, per second.
    pub goodput_per_second: f64,
    /// Seconds from the end of the surge until goodput is back for good; `None` when it is not.
    pub recovery_seconds: Option<f64>,
    /// Most retries for one originating request, over all hops.
    pub retries_max: u32,
    /// Work in slots for attempts without a whole answer in time, as a share of all work.
    pub wasted_work_ratio: f64,
    /// Requests of priority 0 refused while a less important one was served.
    pub priority_inversions: u64,
    /// Requests reported as not run that ran.
    pub not_run_but_ran: u64,
    /// Effects beyond the first of requests that must take effect at most once.
    pub duplicate_effects: u64,
    /// Answers that reached another request than their own.
    pub mixed_answers: u64,
}

/// What a run shows of a policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyMeasure {
    /// The policy.
    pub policy: String,
    /// Whole answers of all kinds during the surge, against the oracle's. Of each kind at most what
    /// the oracle serves is counted, so that a less important kind can't make up for a more
    /// important one.
    pub goodput_ratio: f64,
    /// The same without that bound.
    pub uncapped_goodput_ratio: f64,
    /// Recovery of all kinds together.
    pub recovery_seconds: Option<f64>,
    /// Waste of all kinds together.
    pub wasted_work_ratio: f64,
    /// By request kind.
    pub kinds: Vec<KindMeasure>,
    /// By service and priority, for those that were called during the surge.
    pub services: Vec<ServiceMeasure>,
}

/// What a run shows of the calls of one priority to one service during the surge.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceMeasure {
    /// The service.
    pub service: String,
    /// The priority.
    pub priority: u8,
    /// Calls handed to a back end, per second.
    pub dispatched_per_second: f64,
    /// Mean wait of these in the daemons' queues, in milliseconds.
    pub wait_millis: f64,
    /// Share of the service's slots that they held.
    pub slot_share: f64,
    /// Calls refused before they reached a daemon of the service, per second.
    pub refused_early_per_second: f64,
    /// Calls refused by a daemon of the service, by the name of the result code.
    pub refused: BTreeMap<String, u64>,
}

impl PolicyMeasure {
    /// Broken promises of all kinds: inversions, false "not run", duplicates and mixed answers.
    #[must_use]
    pub fn broken_promises(&self) -> u64 {
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

/// Measures a run.
#[must_use]
pub fn measure(
    layout: &Layout,
    settings: &RunSettings,
    record: &RunRecord,
    oracle: &OracleGoodput,
) -> PolicyMeasure {
    let kinds = (0..layout.kinds.len())
        .map(|kind| measure_kind(layout, settings, record, oracle, kind))
        .collect();
    let by_kind: Vec<f64> = (0..layout.kinds.len())
        .map(|kind| whole_in_surge(settings, &record.sessions, |s| s.kind == kind) as f64)
        .collect();
    let whole: f64 = by_kind.iter().sum();
    let capped: f64 = by_kind
        .iter()
        .zip(&oracle.whole)
        .map(|(whole, bound)| whole.min(*bound))
        .sum();
    let bound: f64 = oracle.whole.iter().sum();
    let works = record.kinds.iter().fold(Work::default(), Work::add);
    let rate = layout.kinds.iter().map(|kind| kind.rate).sum();
    PolicyMeasure {
        policy: settings.policy.name().to_owned(),
        goodput_ratio: rounded(capped / bound.max(1.0)),
        uncapped_goodput_ratio: rounded(whole / bound.max(1.0)),
        services: service_measures(layout, settings, record),
        recovery_seconds: recovery(settings, &record.sessions, rate, |_| true),
        wasted_work_ratio: works.wasted_ratio(),
        kinds,
    }
}

fn measure_kind(
    layout: &Layout,
    settings: &RunSettings,
    record: &RunRecord,
    oracle: &OracleGoodput,
    kind: usize,
) -> KindMeasure {
    let model = &layout.kinds[kind];
    let own = |session: &SessionRecord| session.kind == kind;
    let whole = whole_in_surge(settings, &record.sessions, own) as f64;
    let bound = oracle.whole[kind];
    let counted = &record.kinds[kind];
    KindMeasure {
        kind: model.name.clone(),
        priority: model.priority.number(),
        goodput_ratio: (bound >= 1.0).then(|| rounded(whole / bound)),
        goodput_per_second: rounded(whole / settings.surge.as_secs_f64()),
        recovery_seconds: recovery(settings, &record.sessions, model.rate, own),
        retries_max: counted.retries_max,
        wasted_work_ratio: Work::default().add(counted).wasted_ratio(),
        priority_inversions: counted.priority_inversions,
        not_run_but_ran: counted.not_run_but_ran,
        duplicate_effects: duplicates(&record.sessions, kind),
        mixed_answers: counted.mixed_answers,
    }
}

fn service_measures(
    layout: &Layout,
    settings: &RunSettings,
    record: &RunRecord,
) -> Vec<ServiceMeasure> {
    let seconds = settings.surge.as_secs_f64();
    let mut measures = Vec::new();
    for (service, by_priority) in layout.services.iter().zip(&record.services) {
        let slots = f64::from(service.slots) * service.backends.len() as f64;
        for (priority, counted) in (0_u8..).zip(by_priority) {
            if *counted == ServiceRecord::default() {
                continue;
            }
            let dispatched = counted.dispatched as f64;
            let refused = counted.refused.iter();
            measures.push(ServiceMeasure {
                service: service.name.clone(),
                priority,
                dispatched_per_second: rounded(dispatched / seconds),
                wait_millis: rounded(counted.waited.as_secs_f64() * 1e3 / dispatched.max(1.0)),
                slot_share: rounded(counted.held.as_secs_f64() / (slots * seconds)),
                refused_early_per_second: rounded(counted.refused_early as f64 / seconds),
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

fn whole_in_surge(
    settings: &RunSettings,
    sessions: &[SessionRecord],
    chosen: impl Fn(&SessionRecord) -> bool,
) -> usize {
    let start = Timestamp::ZERO + settings.before;
    let end = start + settings.surge;
    sessions
        .iter()
        .filter(|session| chosen(session))
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

/// Arrivals of a stretch of time and how many of them got a whole answer in time.
#[derive(Clone, Copy, Default)]
struct Cohort {
    arrived: u32,
    whole: u32,
}

impl Cohort {
    fn ratio(cohorts: &[Self]) -> Option<f64> {
        let arrived: u32 = cohorts.iter().map(|cohort| cohort.arrived).sum();
        let whole: u32 = cohorts.iter().map(|cohort| cohort.whole).sum();
        (arrived > 0).then(|| f64::from(whole) / f64::from(arrived))
    }
}

/// Seconds after the end of the surge from which on every window of arrivals is answered whole and
/// in time at least at 98% of the share before the surge.
///
/// Goodput is taken per arrival, so that the randomness of the arrivals themselves does not decide,
/// and over windows that look forward from each bin, so that smoothing does not add to the time.
fn recovery(
    settings: &RunSettings,
    sessions: &[SessionRecord],
    rate: f64,
    chosen: impl Fn(&SessionRecord) -> bool,
) -> Option<f64> {
    let cohorts = cohorts(settings, sessions, chosen);
    let index = |at: Duration| (at.as_millis() / BIN.as_millis()) as usize;
    let surge_starts = index(settings.before);
    let surge_ends = index(settings.before + settings.surge);
    let before = Cohort::ratio(&cohorts[surge_starts / 2..surge_starts])?;
    let after = &cohorts[surge_ends..];
    let window = window_bins(rate).min(after.len());
    let is_good =
        |cohorts: &[Cohort]| Cohort::ratio(cohorts).is_none_or(|ratio| ratio >= before * RECOVERED);
    let last_bad = after.windows(window).rposition(|window| !is_good(window));
    match last_bad {
        None => Some(0.0),
        Some(position) if position + window >= after.len() => None,
        Some(position) => Some(rounded((position + 1) as f64 * BIN.as_secs_f64())),
    }
}

/// Bins of a smoothing window for a kind with this rate.
fn window_bins(rate: f64) -> usize {
    let wanted = ARRIVALS_IN_WINDOW / rate.max(f64::MIN_POSITIVE);
    let shortest = SHORTEST_WINDOW.as_secs_f64();
    let longest = LONGEST_WINDOW.as_secs_f64();
    (wanted.clamp(shortest, longest) / BIN.as_secs_f64()).ceil() as usize
}

fn cohorts(
    settings: &RunSettings,
    sessions: &[SessionRecord],
    chosen: impl Fn(&SessionRecord) -> bool,
) -> Vec<Cohort> {
    let bins = (settings.total().as_millis() / BIN.as_millis()) as usize + 1;
    let mut cohorts = vec![Cohort::default(); bins];
    for session in sessions.iter().filter(|session| chosen(session)) {
        let at = session.arrived.saturating_since(Timestamp::ZERO);
        let cohort = &mut cohorts[(at.as_millis() / BIN.as_millis()) as usize];
        cohort.arrived += 1;
        cohort.whole += u32::from(session.complete_response_at.is_some());
    }
    cohorts.pop();
    cohorts
}

/// Four decimals, so that reports stay readable.
pub(super) fn rounded(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

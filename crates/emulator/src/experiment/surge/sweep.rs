//! Many short runs over consecutive seeds, in parallel: which promises break, and how often.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use super::measure::{PolicyMeasure, rounded};
use super::oracle::oracle_goodput;
use super::run_policy;
use crate::simulator::call_path::Layout;
use crate::simulator::call_path::policy::Policy;
use crate::simulator::call_path::settings::RunSettings;

/// What all runs of one policy show together.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SweepReport {
    /// The policy.
    pub policy: String,
    /// Number of runs.
    pub runs: u64,
    /// Runs in which some promise was broken.
    pub runs_with_broken_promises: u64,
    /// The first seeds of these.
    pub seeds: Vec<u64>,
    /// Most retries for one originating request.
    pub retries_max: u32,
    /// Requests of priority 0 refused while a less important one was served.
    pub priority_inversions: u64,
    /// Requests reported as not run that ran.
    pub not_run_but_ran: u64,
    /// Effects beyond the first of requests that must take effect at most once.
    pub duplicate_effects: u64,
    /// Answers that reached another request than their own.
    pub mixed_answers: u64,
    /// Least goodput of a run against the oracle.
    pub goodput_ratio_min: f64,
    /// Mean goodput of the runs against the oracle.
    pub goodput_ratio_mean: f64,
    /// Longest recovery of a run; `None` when some run did not recover.
    pub recovery_seconds_max: Option<f64>,
}

/// Seeds that are named in a report.
const NAMED_SEEDS: usize = 8;

/// Runs a policy with `count` seeds from the settings' own on.
#[must_use]
pub fn sweep(layout: &Layout, settings: &RunSettings, policy: Policy, count: u64) -> SweepReport {
    let next = AtomicU64::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let mut measures: Vec<(u64, PolicyMeasure)> = Vec::new();
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|_| scope.spawn(|| work(layout, settings, policy, count, &next)))
            .collect();
        for worker in workers {
            measures.extend(worker.join().unwrap_or_default());
        }
    });
    measures.sort_by_key(|(seed, _)| *seed);
    summarize(policy, &measures)
}

/// Takes seeds until there are none left.
fn work(
    layout: &Layout,
    settings: &RunSettings,
    policy: Policy,
    count: u64,
    next: &AtomicU64,
) -> Vec<(u64, PolicyMeasure)> {
    let mut measures = Vec::new();
    loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        if index >= count {
            return measures;
        }
        let seed = settings.seed.wrapping_add(index);
        let settings = RunSettings {
            seed,
            ..settings.clone()
        };
        let oracle = oracle_goodput(layout, &settings);
        measures.push((seed, run_policy(layout, &settings, policy, &oracle)));
    }
}

fn summarize(policy: Policy, measures: &[(u64, PolicyMeasure)]) -> SweepReport {
    let mut report = SweepReport {
        policy: policy.name().to_owned(),
        runs: measures.len() as u64,
        goodput_ratio_min: f64::MAX,
        recovery_seconds_max: Some(0.0),
        ..SweepReport::default()
    };
    for (seed, measure) in measures {
        if measure.broken_promises() > 0 {
            report.runs_with_broken_promises += 1;
            report.seeds.push(*seed);
        }
        report.seeds.truncate(NAMED_SEEDS);
        report.goodput_ratio_min = report.goodput_ratio_min.min(measure.goodput_ratio);
        report.goodput_ratio_mean += measure.goodput_ratio / measures.len() as f64;
        report.recovery_seconds_max = report
            .recovery_seconds_max
            .zip(measure.recovery_seconds)
            .map(|(longest, own)| longest.max(own));
        add_counts(&mut report, measure);
    }
    report.goodput_ratio_mean = rounded(report.goodput_ratio_mean);
    report
}

fn add_counts(report: &mut SweepReport, measure: &PolicyMeasure) {
    for kind in &measure.kinds {
        report.retries_max = report.retries_max.max(kind.retries_max);
        report.priority_inversions += kind.priority_inversions;
        report.not_run_but_ran += kind.not_run_but_ran;
        report.duplicate_effects += kind.duplicate_effects;
        report.mixed_answers += kind.mixed_answers;
    }
}

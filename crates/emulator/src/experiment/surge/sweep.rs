//! Many runs with consecutive seeds, in parallel: which guarantees are violated, and how often.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use super::measure::{PolicyMeasurements, rounded};
use super::oracle::oracle_goodput;
use super::run_policy;
use crate::simulator::call_path::Layout;
use crate::simulator::call_path::policy::Policy;
use crate::simulator::call_path::settings::RunSettings;

/// Summary of all runs of one policy.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SweepReport {
    /// Name of the policy.
    pub policy: String,
    /// Number of runs.
    pub runs: u64,
    /// Number of runs with at least one violation of a guarantee: a priority inversion, a request that ran
    /// although it was reported as not run, a duplicate effect or a response delivered to the wrong request.
    pub runs_with_broken_promises: u64,
    /// Lowest seeds of the runs with a violation of a guarantee, at most 8.
    pub seeds: Vec<u64>,
    /// Largest number of retries for one originating request.
    pub retries_max: u32,
    /// Requests of priority 0 that were refused while a less important one was dispatched at the same
    /// service.
    pub priority_inversions: u64,
    /// Requests that were reported as not run although they ran.
    pub not_run_but_ran: u64,
    /// Effects after the first, of requests that must take effect at most once.
    pub duplicate_effects: u64,
    /// Responses that were delivered to a request other than their own.
    pub mixed_answers: u64,
    /// Lowest goodput of a run, as a fraction of the oracle's.
    pub goodput_ratio_min: f64,
    /// Mean goodput of the runs, as a fraction of the oracle's.
    pub goodput_ratio_mean: f64,
    /// Longest recovery time of a run, in seconds; `None` if a run did not recover.
    pub recovery_seconds_max: Option<f64>,
}

/// Largest number of seeds listed in a summary.
const MAX_LISTED_SEEDS: usize = 8;

/// Runs a policy with `count` consecutive seeds, starting with that of the settings.
#[must_use]
pub fn sweep(layout: &Layout, settings: &RunSettings, policy: Policy, count: u64) -> SweepReport {
    let next = AtomicU64::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let mut measures: Vec<(u64, PolicyMeasurements)> = Vec::new();
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|_| scope.spawn(|| run_seeds(layout, settings, policy, count, &next)))
            .collect();
        for worker in workers {
            measures.extend(worker.join().unwrap_or_default());
        }
    });
    measures.sort_by_key(|(seed, _)| *seed);
    summarize(policy, &measures)
}

/// Runs the policy with one seed after the other until all threads together have run `count` seeds.
fn run_seeds(
    layout: &Layout,
    settings: &RunSettings,
    policy: Policy,
    count: u64,
    next: &AtomicU64,
) -> Vec<(u64, PolicyMeasurements)> {
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

fn summarize(policy: Policy, measures: &[(u64, PolicyMeasurements)]) -> SweepReport {
    let mut report = SweepReport {
        policy: policy.name().to_owned(),
        runs: measures.len() as u64,
        goodput_ratio_min: f64::MAX,
        recovery_seconds_max: Some(0.0),
        ..SweepReport::default()
    };
    for (seed, measure) in measures {
        if measure.violations() > 0 {
            report.runs_with_broken_promises += 1;
            report.seeds.push(*seed);
        }
        report.seeds.truncate(MAX_LISTED_SEEDS);
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

fn add_counts(report: &mut SweepReport, measure: &PolicyMeasurements) {
    for kind in &measure.kinds {
        report.retries_max = report.retries_max.max(kind.retries_max);
        report.priority_inversions += kind.priority_inversions;
        report.not_run_but_ran += kind.not_run_but_ran;
        report.duplicate_effects += kind.duplicate_effects;
        report.mixed_answers += kind.mixed_answers;
    }
}

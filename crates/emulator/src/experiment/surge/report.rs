//! The report of the experiment `surge`, as JSON and as a table.

use std::fmt::Write;

use serde::Serialize;

use super::arguments::SurgeSettings;
use super::measure::{PolicyMeasurements, rounded};
use super::oracle::OracleGoodput;
use crate::simulator::call_path::Layout;

/// Report of the experiment `surge`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SurgeReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Factor on the arrivals during the surge.
    pub factor: f64,
    /// Seed of the run.
    pub seed: u64,
    /// Services that are slow during the surge, with their factors.
    pub slow: Vec<(String, f64)>,
    /// Length of the surge, in seconds.
    pub surge_seconds: f64,
    /// Goodput of the oracle by request kind.
    pub oracle: Vec<OracleKind>,
    /// Measurements by policy.
    pub policies: Vec<PolicyMeasurements>,
}

/// Goodput of the oracle for one request kind.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OracleKind {
    /// Name of the request kind.
    pub kind: String,
    /// Complete responses per second during the surge.
    pub goodput_per_second: f64,
}

impl SurgeReport {
    pub(super) fn new(
        settings: &SurgeSettings,
        layout: &Layout,
        oracle: &OracleGoodput,
        policies: Vec<PolicyMeasurements>,
    ) -> Self {
        let seconds = settings.run.surge.as_secs_f64();
        let oracle = layout
            .kinds
            .iter()
            .zip(&oracle.completed)
            .map(|(kind, completed)| OracleKind {
                kind: kind.name.clone(),
                goodput_per_second: rounded(completed / seconds),
            })
            .collect();
        let slow = settings.run.slow.iter();
        Self {
            scenario: settings.scenario.name.clone(),
            factor: settings.run.factor,
            seed: settings.run.seed,
            slow: slow
                .map(|slow| (slow.service.clone(), slow.factor))
                .collect(),
            surge_seconds: seconds,
            oracle,
            policies,
        }
    }
}

/// Renders the report as a human-readable table, with one line for each service and priority if
/// `with_services` is true.
#[must_use]
pub fn render_table(report: &SurgeReport, with_services: bool) -> String {
    let mut text = String::new();
    // Writing to a `String` does not fail.
    let _ = writeln!(
        text,
        "scenario={} factor={} seed={} slow={:?}",
        report.scenario, report.factor, report.seed, report.slow
    );
    let _ = writeln!(
        text,
        "{:<10} {:<18} {:>3} {:>8} {:>9} {:>9} {:>8} {:>7} {:>6} {:>9} {:>7} {:>6} {:>6}",
        "policy",
        "kind",
        "pri",
        "goodput",
        "per_s",
        "oracle_s",
        "recover",
        "retries",
        "waste",
        "inversion",
        "not_run",
        "twice",
        "mixed"
    );
    for policy in &report.policies {
        render_policy(&mut text, report, policy);
        render_announcing(&mut text, policy);
        if with_services {
            render_services(&mut text, policy);
        }
    }
    text
}

fn render_policy(text: &mut String, report: &SurgeReport, policy: &PolicyMeasurements) {
    for (kind, oracle) in policy.kinds.iter().zip(&report.oracle) {
        let _ = writeln!(
            text,
            "{:<10} {:<18} {:>3} {:>8} {:>9.1} {:>9.1} {:>8} {:>7} {:>6.3} {:>9} {:>7} {:>6} {:>6}",
            policy.policy,
            kind.kind,
            kind.priority,
            format_optional(kind.goodput_ratio),
            kind.goodput_per_second,
            oracle.goodput_per_second,
            format_optional(kind.recovery_seconds),
            kind.retries_max,
            kind.wasted_work_ratio,
            kind.priority_inversions,
            kind.not_run_but_ran,
            kind.duplicate_effects,
            kind.mixed_answers
        );
    }
    let _ = writeln!(
        text,
        "{:<10} {:<18} {:>3} {:>8.3} {:>9} {:>9} {:>8} {:>7} {:>6.3}",
        policy.policy,
        "(all)",
        "",
        policy.goodput_ratio,
        "",
        "",
        format_optional(policy.recovery_seconds),
        "",
        policy.wasted_work_ratio
    );
}

fn render_announcing(text: &mut String, policy: &PolicyMeasurements) {
    for backend in &policy.announcing {
        let _ = writeln!(
            text,
            "{:<10} backend={} announces={} arrivals={} excess={} used={} after_leaving={} cancelled={}",
            policy.policy,
            backend.backend,
            backend.announcement,
            backend.arrivals,
            format_optional(backend.excess),
            format_optional(backend.used_share),
            backend.after_leaving,
            backend.cancelled
        );
    }
}

fn render_services(text: &mut String, policy: &PolicyMeasurements) {
    for service in &policy.services {
        let _ = writeln!(
            text,
            "{:<10} service={} priority={} dispatched_per_s={} wait_ms={} slot_share={} \
             refused_early_per_s={} refused={:?}",
            policy.policy,
            service.service,
            service.priority,
            service.dispatched_per_second,
            service.wait_millis,
            service.slot_share,
            service.refused_early_per_second,
            service.refused
        );
    }
}

fn format_optional(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.3}"))
}

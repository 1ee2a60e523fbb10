//! The report of a load: counts, latencies and goodput per request kind.

use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Display};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::audit::AttemptNote;
use super::inversions;
use super::recovery::Buckets;
use super::run::LoadSettings;
use super::tally::KindTally;
use crate::scenario::RequestModel;

/// Latency percentiles of answers whole in time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latencies {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Longest.
    pub max: f64,
}

impl Latencies {
    pub(super) fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max() as f64 / 1_000.0,
        }
    }
}

/// Share of requests answered whole in time, by the time of their arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PhaseRatios {
    /// Before the surge, without its first half, in which connections open and back ends warm up.
    pub before: Option<f64>,
    /// During the surge.
    pub surge: Option<f64>,
    /// After the surge.
    pub after: Option<f64>,
}

/// What became of the requests of one kind.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct KindReport {
    /// Request kind.
    pub kind: String,
    /// Importance, 0 to 7.
    pub priority: u8,
    /// Originating requests.
    pub sent: u64,
    /// Attempts of callers.
    pub attempts: u64,
    /// Answered whole in time.
    pub whole: u64,
    /// Answered whole after the deadline, or given up by the caller.
    pub late: u64,
    /// Not run.
    pub refused: u64,
    /// Not known whether run.
    pub unknown: u64,
    /// Answered with an error or a wrong answer.
    pub failed: u64,
    /// Attempts that got the answer of another request.
    pub mixed_up: u64,
    /// Attempts that got a part of their answer as if it were whole.
    pub truncated: u64,
    /// Attempts that got an altered answer.
    pub altered: u64,
    /// Refusals that did not say when to come back.
    pub without_retry_after: u64,
    /// Refused requests beside which a less important request that needs a common service was
    /// answered whole in time; an upper bound, since the refusal may be due to another service.
    pub priority_inversions: u64,
    /// Attempts per result code.
    pub result_codes: BTreeMap<u16, u64>,
    /// Latency from the planned arrival to the whole answer in time.
    pub latency_ms: Latencies,
    /// Whole answers in time per second.
    pub goodput_per_second: f64,
    /// Share of the originating requests answered whole in time.
    pub goodput_ratio: f64,
    /// The same by phase of the load.
    pub phase_ratios: PhaseRatios,
    /// Time from the end of the surge until goodput is back, in seconds.
    pub recovery_seconds: Option<f64>,
}

/// Report of a load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// Scenario.
    pub scenario: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Length in seconds.
    pub seconds: f64,
    /// Per request kind, in the order of the scenario.
    pub kinds: Vec<KindReport>,
    /// Whole answers in time per second.
    pub goodput_per_second: f64,
    /// Share of all originating requests answered whole in time.
    pub goodput_ratio: f64,
    /// Time from the end of the surge until the goodput of all kinds is back, in seconds.
    pub recovery_seconds: Option<f64>,
    /// What each attempt came to, by token.
    #[serde(skip)]
    pub notes: HashMap<String, Vec<AttemptNote>>,
}

impl LoadReport {
    pub(super) fn new(
        settings: &LoadSettings,
        tallies: &[KindTally],
        notes: HashMap<String, Vec<AttemptNote>>,
    ) -> Self {
        let pairs = || settings.scenario.requests.iter().zip(tallies);
        let buckets: Vec<_> = pairs()
            .map(|(model, tally)| (model, &tally.buckets))
            .collect();
        let kinds: Vec<_> = pairs()
            .map(|(model, tally)| kind_report(settings, model, tally, &buckets))
            .collect();
        let whole: u64 = kinds.iter().map(|kind| kind.whole).sum();
        let sent: u64 = kinds.iter().map(|kind| kind.sent).sum();
        Self {
            scenario: settings.scenario.name.clone(),
            seed: settings.seed,
            seconds: settings.length.as_secs_f64(),
            kinds,
            goodput_per_second: whole as f64 / settings.length.as_secs_f64(),
            goodput_ratio: ratio(whole, sent),
            recovery_seconds: recovery(settings, &all_buckets(tallies)),
            notes,
        }
    }

    /// Originating requests of all kinds.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.kinds.iter().map(|kind| kind.sent).sum()
    }

    /// Upper bound of the requests that were refused before less important ones.
    #[must_use]
    pub fn priority_inversions(&self) -> u64 {
        let kinds = self.kinds.iter();
        kinds.map(|kind| kind.priority_inversions).sum()
    }

    /// Answers that belong to another request, are cut or altered.
    #[must_use]
    pub fn wrong_answers(&self) -> u64 {
        let kinds = self.kinds.iter();
        kinds
            .map(|kind| kind.mixed_up + kind.truncated + kind.altered)
            .sum()
    }
}

fn kind_report(
    settings: &LoadSettings,
    model: &RequestModel,
    tally: &KindTally,
    all: &[(&RequestModel, &Buckets)],
) -> KindReport {
    KindReport {
        kind: model.kind.clone(),
        priority: model.priority,
        sent: tally.sent,
        attempts: tally.attempts,
        whole: tally.whole,
        late: tally.late,
        refused: tally.refused,
        unknown: tally.unknown,
        failed: tally.failed,
        mixed_up: tally.mixed_up,
        truncated: tally.truncated,
        altered: tally.altered,
        without_retry_after: tally.without_retry_after,
        priority_inversions: inversions::count(model, &tally.buckets, all),
        result_codes: tally.result_codes.clone(),
        latency_ms: Latencies::of(&tally.latency),
        goodput_per_second: tally.whole as f64 / settings.length.as_secs_f64(),
        goodput_ratio: ratio(tally.whole, tally.sent),
        phase_ratios: phase_ratios(settings, &tally.buckets),
        recovery_seconds: recovery(settings, &tally.buckets),
    }
}

fn phase_ratios(settings: &LoadSettings, buckets: &Buckets) -> PhaseRatios {
    let Some(surge) = settings.surge else {
        return PhaseRatios {
            before: buckets.ratio(Duration::ZERO, settings.length),
            ..PhaseRatios::default()
        };
    };
    PhaseRatios {
        before: buckets.ratio(surge.start / 2, surge.start),
        surge: buckets.ratio(surge.start, surge.end()),
        after: buckets.ratio(surge.end(), settings.length),
    }
}

fn recovery(settings: &LoadSettings, buckets: &Buckets) -> Option<f64> {
    let surge = settings.surge.as_ref()?;
    buckets.recovery(surge).map(|time| time.as_secs_f64())
}

fn all_buckets(tallies: &[KindTally]) -> Buckets {
    let mut all = Buckets::default();
    for tally in tallies {
        all.add(&tally.buckets);
    }
    all
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

impl Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<18} {:>8} {:>8} {:>8} {:>6} {:>7} {:>6} {:>5} {:>8} {:>8} {:>9} {:>7} {:>8} {:>8}",
            "kind",
            "sent",
            "whole",
            "refused",
            "late",
            "unknown",
            "failed",
            "wrong",
            "p50 ms",
            "p99 ms",
            "goodput/s",
            "in time",
            "in surge",
            "inverted"
        )?;
        for kind in &self.kinds {
            write_kind(formatter, kind)?;
        }
        writeln!(
            formatter,
            "goodput {:.1}/s, {:.1}% of {} requests whole in time",
            self.goodput_per_second,
            self.goodput_ratio * 100.0,
            self.sent()
        )?;
        match self.recovery_seconds {
            Some(seconds) => writeln!(formatter, "recovery after the surge {seconds:.2} s"),
            None => writeln!(formatter, "recovery after the surge: not seen"),
        }
    }
}

fn write_kind(formatter: &mut fmt::Formatter<'_>, kind: &KindReport) -> fmt::Result {
    let in_surge = kind.phase_ratios.surge;
    let in_surge =
        in_surge.map_or_else(|| "-".to_owned(), |ratio| format!("{:.1}%", ratio * 100.0));
    writeln!(
        formatter,
        "{:<18} {:>8} {:>8} {:>8} {:>6} {:>7} {:>6} {:>5} {:>8.2} {:>8.2} {:>9.1} {:>6.1}% {:>8} {:>8}",
        kind.kind,
        kind.sent,
        kind.whole,
        kind.refused,
        kind.late,
        kind.unknown,
        kind.failed,
        kind.mixed_up + kind.truncated + kind.altered,
        kind.latency_ms.p50,
        kind.latency_ms.p99,
        kind.goodput_per_second,
        kind.goodput_ratio * 100.0,
        in_surge,
        kind.priority_inversions
    )
}

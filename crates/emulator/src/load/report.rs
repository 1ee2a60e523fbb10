//! Report of a load: counts, latencies and goodput per request kind.

use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Display};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::audit::AttemptRecord;
use super::inversions;
use super::recovery::Buckets;
use super::run::LoadSettings;
use super::tally::KindTally;
use crate::scenario::RequestModel;

/// Latency percentiles of complete responses in time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latencies {
    /// Median, in milliseconds.
    pub p50: f64,
    /// 90th percentile, in milliseconds.
    pub p90: f64,
    /// 99th percentile, in milliseconds.
    pub p99: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999: f64,
    /// Maximum, in milliseconds.
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

/// Share of requests with a complete response in time, by phase of their arrival. Absent if no
/// request arrived in the phase or the load has no such phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PhaseRatios {
    /// Share, 0 to 1, of the requests that arrived in the second half of the time before the surge and
    /// got a complete response in time. The first half is left out, as connections are opened and
    /// backends warm up in it. Without a surge, the share over the whole load. Absent if no
    /// request arrived.
    pub before: Option<f64>,
    /// Share, 0 to 1, of the requests that arrived during the surge and got a complete response in time.
    /// Absent without a surge or if no request arrived in the phase.
    pub surge: Option<f64>,
    /// Share, 0 to 1, of the requests that arrived after the surge and got a complete response in time.
    /// Absent without a surge or if no request arrived in the phase.
    pub after: Option<f64>,
}

/// Counts, latencies and goodput of one request kind.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct KindReport {
    /// Name of the request kind.
    pub kind: String,
    /// Priority, 0 (most important) to 7.
    pub priority: u8,
    /// Originating requests sent.
    pub sent: u64,
    /// Attempts that callers made for the originating requests of this kind.
    pub attempts: u64,
    /// Requests with a complete response in time.
    pub whole: u64,
    /// Requests with a complete response after the deadline, with a body truncated at the deadline, or
    /// given up by the caller.
    pub late: u64,
    /// Requests refused without being executed.
    pub refused: u64,
    /// Requests of which it is unknown whether they were executed.
    pub unknown: u64,
    /// Requests with an error response, without a connection, or with a response that belongs to
    /// another request or is truncated or altered.
    pub failed: u64,
    /// Attempts that got the response to another request.
    pub mixed_up: u64,
    /// Attempts that got a truncated response whose body ended cleanly.
    pub truncated: u64,
    /// Attempts that got an altered response.
    pub altered: u64,
    /// Refusals without a Retry-After header.
    pub without_retry_after: u64,
    /// Refused requests that coincide with a complete response in time to a less important request
    /// that needs a common service; an upper bound, since the refusal may be due to another service.
    pub priority_inversions: u64,
    /// Number of attempts per result code.
    pub result_codes: BTreeMap<u16, u64>,
    /// Latency from the scheduled arrival to the complete response in time.
    pub latency_ms: Latencies,
    /// Complete responses in time per second.
    pub goodput_per_second: f64,
    /// Share, 0 to 1, of the originating requests with a complete response in time.
    pub goodput_ratio: f64,
    /// Share of the requests with a complete response in time, by phase of the load.
    pub phase_ratios: PhaseRatios,
    /// Time from the end of the surge until goodput has recovered, in seconds; absent without a surge
    /// or if goodput did not recover.
    pub recovery_seconds: Option<f64>,
}

/// Report of a load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the arrivals and of the callers' impatience.
    pub seed: u64,
    /// Length of the load in seconds.
    pub seconds: f64,
    /// Reports per request kind, in the order of the scenario.
    pub kinds: Vec<KindReport>,
    /// Complete responses in time per second.
    pub goodput_per_second: f64,
    /// Share, 0 to 1, of all originating requests with a complete response in time.
    pub goodput_ratio: f64,
    /// Time from the end of the surge until the goodput of all kinds together has recovered, in
    /// seconds; absent without a surge or if goodput did not recover.
    pub recovery_seconds: Option<f64>,
    /// Attempts of each originating request, by its token.
    #[serde(skip)]
    pub attempt_records: HashMap<String, Vec<AttemptRecord>>,
}

impl LoadReport {
    pub(super) fn new(
        settings: &LoadSettings,
        tallies: &[KindTally],
        attempt_records: HashMap<String, Vec<AttemptRecord>>,
    ) -> Self {
        let pairs = || settings.scenario.requests.iter().zip(tallies);
        let buckets: Vec<_> = pairs()
            .map(|(model, tally)| (model, &tally.buckets))
            .collect();
        let kinds: Vec<_> = pairs()
            .map(|(model, tally)| kind_report(settings, model, tally, &buckets))
            .collect();
        let complete: u64 = kinds.iter().map(|kind| kind.whole).sum();
        let sent: u64 = kinds.iter().map(|kind| kind.sent).sum();
        Self {
            scenario: settings.scenario.name.clone(),
            seed: settings.seed,
            seconds: settings.length.as_secs_f64(),
            kinds,
            goodput_per_second: complete as f64 / settings.length.as_secs_f64(),
            goodput_ratio: ratio(complete, sent),
            recovery_seconds: recovery(settings, &all_buckets(tallies)),
            attempt_records,
        }
    }

    /// Returns the number of originating requests of all kinds.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.kinds.iter().map(|kind| kind.sent).sum()
    }

    /// Returns an upper bound of the requests that were refused while less important ones were served.
    #[must_use]
    pub fn priority_inversions(&self) -> u64 {
        let kinds = self.kinds.iter();
        kinds.map(|kind| kind.priority_inversions).sum()
    }

    /// Returns the number of responses that belong to another request or are truncated or altered.
    #[must_use]
    pub fn invalid_responses(&self) -> u64 {
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
        whole: tally.complete,
        late: tally.late,
        refused: tally.refused,
        unknown: tally.unknown,
        failed: tally.failed,
        mixed_up: tally.misdelivered,
        truncated: tally.truncated,
        altered: tally.altered,
        without_retry_after: tally.without_retry_after,
        priority_inversions: inversions::count(model, &tally.buckets, all),
        result_codes: tally.result_codes.clone(),
        latency_ms: Latencies::of(&tally.latency),
        goodput_per_second: tally.complete as f64 / settings.length.as_secs_f64(),
        goodput_ratio: ratio(tally.complete, tally.sent),
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

fn ratio(part: u64, total: u64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    part as f64 / total as f64
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
            "goodput {:.1}/s, {:.1}% of {} requests complete in time",
            self.goodput_per_second,
            self.goodput_ratio * 100.0,
            self.sent()
        )?;
        match self.recovery_seconds {
            Some(seconds) => writeln!(formatter, "recovery after the surge {seconds:.2} s"),
            None => writeln!(formatter, "recovery after the surge: not observed"),
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

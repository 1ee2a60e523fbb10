//! Report of a latency measurement: percentiles of both routes and the latency that daemons add.

use std::fmt::{self, Display};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::processes::SchedulerTimes;
use crate::scenario::{RequestModel, StepModel};

const NANOS_PER_MILLI: f64 = 1e6;

/// Latency percentiles, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median, in milliseconds.
    pub p50: f64,
    /// 99th percentile, in milliseconds.
    pub p99: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999: f64,
}

impl Percentiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / NANOS_PER_MILLI;
        Self {
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
        }
    }

    fn added(with: Self, without: Self, calls: f64) -> Self {
        Self {
            p50: (with.p50 - without.p50) / calls,
            p99: (with.p99 - without.p99) / calls,
            p999: (with.p999 - without.p999) / calls,
        }
    }
}

/// Latencies of one request kind on both routes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct KindLatency {
    /// Name of the request kind.
    pub kind: String,
    /// Calls per request, including the caller's.
    pub calls: u32,
    /// Requests per second on both routes together.
    pub rate: f64,
    /// Number of measured requests directly to the backend.
    pub direct_count: u64,
    /// Number of measured requests through daemons.
    pub daemons_count: u64,
    /// Number of requests without a complete response.
    pub failed: u64,
    /// Latency of requests directly to the backend.
    pub direct_ms: Percentiles,
    /// Latency of requests through an edge and the daemons of the backends.
    pub daemons_ms: Percentiles,
    /// Difference of the percentiles, divided by the number of calls per request.
    pub added_per_call_ms: Percentiles,
}

impl KindLatency {
    pub(super) fn new(
        model: &RequestModel,
        rate: f64,
        direct: &Histogram<u64>,
        daemons: &Histogram<u64>,
        failed: u64,
    ) -> Self {
        let calls = model
            .step(&model.entry)
            .map_or(1, |step| calls(model, step));
        let direct_ms = Percentiles::of(direct);
        let daemons_ms = Percentiles::of(daemons);
        Self {
            kind: model.kind.clone(),
            calls,
            rate,
            direct_count: direct.len(),
            daemons_count: daemons.len(),
            failed,
            direct_ms,
            daemons_ms,
            added_per_call_ms: Percentiles::added(daemons_ms, direct_ms, f64::from(calls)),
        }
    }
}

/// Returns the number of calls per request, including the caller's.
pub(super) fn calls_of(model: &RequestModel) -> u32 {
    let entry = model.step(&model.entry);
    entry.map_or(1, |step| calls(model, step))
}

/// Returns the number of calls in the tree below a step, including the call to the step itself.
fn calls(model: &RequestModel, step: &StepModel) -> u32 {
    let below = step.calls.iter().filter_map(|service| model.step(service));
    1 + below.map(|step| calls(model, step)).sum::<u32>()
}

/// Scheduler times of the daemons' threads per call through daemons, including the warm-up, in
/// milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DaemonTimes {
    /// Time that the daemons' threads ran on a processor, per call, in milliseconds.
    pub running_ms: f64,
    /// Time that the daemons' threads were runnable and waited for a processor, per call, in milliseconds;
    /// grows with other load on the machine.
    pub waiting_ms: f64,
}

impl DaemonTimes {
    pub(super) fn per_call(times: SchedulerTimes, calls: u64) -> Self {
        let per_call = |nanos: u64| nanos as f64 / NANOS_PER_MILLI / calls.max(1) as f64;
        Self {
            running_ms: per_call(times.running_ns),
            waiting_ms: per_call(times.waiting_ns),
        }
    }
}

/// Result of a measurement.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LatencyReport {
    /// Length of the measurement in seconds, without the warm-up.
    pub seconds: f64,
    /// Seed of the arrivals and of the choice of the route.
    pub seed: u64,
    /// Latencies per request kind, in the order of the scenario.
    pub kinds: Vec<KindLatency>,
    /// Scheduler times of the daemons; absent if no process ids were specified.
    pub daemon_times: Option<DaemonTimes>,
}

impl Display for LatencyReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for kind in &self.kinds {
            writeln!(
                formatter,
                "{}: {} call(s) per request, {:.0} requests/s on both routes together, {:.0} s, {} failed",
                kind.kind, kind.calls, kind.rate, self.seconds, kind.failed
            )?;
            writeln!(
                formatter,
                "  {:<16} {:>8} {:>9} {:>9} {:>9}",
                "ms", "count", "p50", "p99", "p999"
            )?;
            write_row(formatter, "direct", Some(kind.direct_count), kind.direct_ms)?;
            write_row(
                formatter,
                "through daemons",
                Some(kind.daemons_count),
                kind.daemons_ms,
            )?;
            write_row(formatter, "added per call", None, kind.added_per_call_ms)?;
        }
        if let Some(times) = self.daemon_times {
            writeln!(
                formatter,
                "daemons, per call through them: {:.3} ms on a processor, {:.3} ms waiting for one",
                times.running_ms, times.waiting_ms
            )?;
        }
        Ok(())
    }
}

fn write_row(
    formatter: &mut fmt::Formatter<'_>,
    name: &str,
    count: Option<u64>,
    row: Percentiles,
) -> fmt::Result {
    let count = count.map_or_else(String::new, |count| count.to_string());
    writeln!(
        formatter,
        "  {name:<16} {count:>8} {:>9.3} {:>9.3} {:>9.3}",
        row.p50, row.p99, row.p999
    )
}

//! Counters of one daemon, in the text form that Prometheus reads.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

use wharfquay_core::outcome::ResultCode;

/// The side of the daemon at which a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Requests of callers.
    Edge,
    /// Calls of other daemons for the local back end.
    Inbound,
    /// Calls of the local back end.
    Outbound,
}

impl Side {
    const ALL: [Self; 3] = [Self::Edge, Self::Inbound, Self::Outbound];

    /// The name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Edge => "edge",
            Self::Inbound => "inbound",
            Self::Outbound => "outbound",
        }
    }
}

const CODES: usize = ResultCode::ALL.len();

/// Counters of one daemon.
#[derive(Debug)]
pub struct Metrics {
    results: [[AtomicU64; CODES]; Side::ALL.len()],
    cancelled: [AtomicU64; Side::ALL.len()],
    retries: AtomicU64,
    bodies_cut: AtomicU64,
    accept_errors: AtomicU64,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            results: std::array::from_fn(|_| std::array::from_fn(|_| AtomicU64::new(0))),
            cancelled: std::array::from_fn(|_| AtomicU64::new(0)),
            retries: AtomicU64::new(0),
            bodies_cut: AtomicU64::new(0),
            accept_errors: AtomicU64::new(0),
        }
    }
}

/// A value that is read at the time of the report.
#[derive(Clone, Copy, Debug)]
pub struct Gauge {
    /// Name of the metric.
    pub name: &'static str,
    /// What it means.
    pub help: &'static str,
    /// The value.
    pub value: u64,
}

impl Metrics {
    /// Counts the end of a call.
    pub fn call_ended(&self, side: Side, code: ResultCode) {
        let position = ResultCode::ALL.iter().position(|known| *known == code);
        if let Some(position) = position {
            self.results[side as usize][position].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a call whose caller went away before its answer.
    pub fn call_cancelled(&self, side: Side) {
        self.cancelled[side as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Calls at this side whose caller went away before their answer.
    #[must_use]
    pub fn cancelled(&self, side: Side) -> u64 {
        self.cancelled[side as usize].load(Ordering::Relaxed)
    }

    /// Counts a retry.
    pub fn retried(&self) {
        self.retries.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an answer whose body broke off.
    pub fn body_cut(&self) {
        self.bodies_cut.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a connection that could not be accepted.
    pub fn accept_failed(&self) {
        self.accept_errors.fetch_add(1, Ordering::Relaxed);
    }

    /// Calls that ended with this code at this side.
    #[must_use]
    pub fn results(&self, side: Side, code: ResultCode) -> u64 {
        let position = ResultCode::ALL.iter().position(|known| *known == code);
        position.map_or(0, |position| {
            self.results[side as usize][position].load(Ordering::Relaxed)
        })
    }

    /// Retries sent so far.
    #[must_use]
    pub fn retries(&self) -> u64 {
        self.retries.load(Ordering::Relaxed)
    }

    /// Every counter and the given gauges.
    #[must_use]
    pub fn render(&self, gauges: &[Gauge]) -> String {
        let mut text = String::with_capacity(4_096);
        self.render_results(&mut text);
        self.render_cancelled(&mut text);
        let counters = [
            ("wharfquay_retries_total", "Retries sent.", &self.retries),
            (
                "wharfquay_answer_bodies_cut_total",
                "Answers whose body broke off.",
                &self.bodies_cut,
            ),
            (
                "wharfquay_accept_errors_total",
                "Connections that could not be accepted.",
                &self.accept_errors,
            ),
        ];
        for (name, help, counter) in counters {
            render_value(
                &mut text,
                name,
                help,
                "counter",
                counter.load(Ordering::Relaxed),
            );
        }
        for gauge in gauges {
            render_value(&mut text, gauge.name, gauge.help, "gauge", gauge.value);
        }
        text
    }

    fn render_cancelled(&self, text: &mut String) {
        text.push_str("# HELP wharfquay_calls_cancelled_total Calls whose caller went away.\n");
        text.push_str("# TYPE wharfquay_calls_cancelled_total counter\n");
        for side in Side::ALL {
            let (name, value) = (side.name(), self.cancelled(side));
            let _ = writeln!(
                text,
                "wharfquay_calls_cancelled_total{{side=\"{name}\"}} {value}"
            );
        }
    }

    fn render_results(&self, text: &mut String) {
        text.push_str("# HELP wharfquay_calls_total Calls by side and result.\n");
        text.push_str("# TYPE wharfquay_calls_total counter\n");
        for side in Side::ALL {
            for (code, counter) in ResultCode::ALL.iter().zip(&self.results[side as usize]) {
                let value = counter.load(Ordering::Relaxed);
                if value == 0 {
                    continue;
                }
                // Writing to a String can't fail.
                let _ = writeln!(
                    text,
                    "wharfquay_calls_total{{side=\"{}\",result=\"{}\",name=\"{}\",outcome=\"{}\"}} {value}",
                    side.name(),
                    code.number(),
                    code.name(),
                    code.outcome().as_str(),
                );
            }
        }
    }
}

fn render_value(text: &mut String, name: &str, help: &str, kind: &str, value: u64) {
    let _ = writeln!(
        text,
        "# HELP {name} {help}\n# TYPE {name} {kind}\n{name} {value}"
    );
}

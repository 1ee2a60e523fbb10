//! Figures of a control run: quantiles, traffic per daemon, and the cost to the host.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use wharfquay_core::time::Timestamp;

use super::ControlSimulation;
use super::daemon::Traffic;

/// Median, 99th percentile and maximum.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Quantiles {
    /// Values recorded.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest.
    pub max: f64,
}

impl Quantiles {
    /// The quantiles of a histogram of microseconds, in milliseconds.
    #[must_use]
    pub fn of_micros(histogram: &Histogram<u64>) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "below a day of microseconds")]
        let millis = |micros: u64| micros as f64 / 1_000.0;
        Self {
            count: histogram.len(),
            p50: millis(histogram.value_at_quantile(0.5)),
            p99: millis(histogram.value_at_quantile(0.99)),
            max: millis(histogram.max()),
        }
    }

    /// The quantiles of some values.
    #[must_use]
    pub fn of_values(mut values: Vec<f64>) -> Self {
        values.sort_unstable_by(f64::total_cmp);
        let last = values.len().saturating_sub(1);
        let at = |percent: usize| values.get(last * percent / 100).copied().unwrap_or(0.0);
        Self {
            count: u64::try_from(values.len()).unwrap_or(u64::MAX),
            p50: at(50),
            p99: at(99),
            max: at(100),
        }
    }
}

/// Control traffic per daemon over a window of the run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct TrafficFigures {
    /// Length of the window, in seconds.
    pub seconds: f64,
    /// Bytes that a daemon sent a second, with the headers of the network layers.
    pub sent_bytes_per_second: Quantiles,
    /// Bytes that a daemon received a second.
    pub received_bytes_per_second: Quantiles,
    /// Messages that a daemon sent a second.
    pub sent_messages_per_second: Quantiles,
}

/// The traffic of every daemon at the start of a window.
#[derive(Clone, Debug)]
pub struct TrafficWindow {
    from: Timestamp,
    before: Vec<Traffic>,
}

impl TrafficWindow {
    /// Opens a window.
    #[must_use]
    pub fn open(simulation: &ControlSimulation) -> Self {
        let daemons = 0..simulation.topology().daemons;
        Self {
            from: simulation.now(),
            before: daemons.map(|index| simulation.traffic(index)).collect(),
        }
    }

    /// The figures of the window up to now.
    #[must_use]
    pub fn close(&self, simulation: &ControlSimulation) -> TrafficFigures {
        let seconds = simulation.now().saturating_since(self.from).as_secs_f64();
        let rates = |field: fn(&Traffic) -> u64| {
            let rate = |(index, before): (usize, &Traffic)| {
                let grown = field(&simulation.traffic(index)) - field(before);
                #[expect(clippy::cast_precision_loss, reason = "below a terabyte")]
                let grown = grown as f64;
                rounded(grown / seconds)
            };
            Quantiles::of_values(self.before.iter().enumerate().map(rate).collect())
        };
        TrafficFigures {
            seconds,
            sent_bytes_per_second: rates(|traffic| traffic.bytes_sent),
            received_bytes_per_second: rates(|traffic| traffic.bytes_received),
            sent_messages_per_second: rates(|traffic| traffic.messages_sent),
        }
    }
}

/// Bytes of state per daemon that runs, as the daemons count them (shared parts counted whole).
#[must_use]
pub fn memory_per_daemon(simulation: &ControlSimulation) -> Quantiles {
    #[expect(clippy::cast_precision_loss, reason = "below a gigabyte")]
    let memory = |index| {
        simulation
            .node(index)
            .map_or(0.0, |node| node.memory_bytes() as f64)
    };
    Quantiles::of_values(simulation.running().map(memory).collect())
}

/// What a run cost this machine. Not the same for the same seed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct HostFigures {
    /// Processor time of the whole run, the simulator's own work included, in seconds.
    pub processor_seconds: f64,
    /// Processor time for one daemon and one simulated second, in microseconds.
    pub processor_micros_per_daemon_second: f64,
    /// Most memory that the process held, in bytes.
    pub peak_resident_bytes: u64,
    /// The same divided by the number of daemons; parts that the daemons share count once.
    pub peak_resident_bytes_per_daemon: u64,
}

/// Measures the host from the start of a run.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    processor_at_start: Duration,
}

impl HostClock {
    /// Starts to measure.
    #[must_use]
    pub fn start() -> Self {
        Self {
            processor_at_start: processor_time(),
        }
    }

    /// The figures of a run of this many daemons and this much simulated time.
    #[must_use]
    pub fn figures(&self, daemons: usize, simulated: Duration) -> HostFigures {
        let used = processor_time().saturating_sub(self.processor_at_start);
        let resident = peak_resident_bytes();
        #[expect(clippy::cast_precision_loss, reason = "at most some thousands")]
        let daemon_seconds = daemons as f64 * simulated.as_secs_f64();
        HostFigures {
            processor_seconds: used.as_secs_f64(),
            processor_micros_per_daemon_second: used.as_secs_f64() * 1e6 / daemon_seconds,
            peak_resident_bytes: resident,
            peak_resident_bytes_per_daemon: resident / u64::try_from(daemons).unwrap_or(1).max(1),
        }
    }
}

/// Processor time of this thread, as Linux reports it; zero elsewhere.
fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text
        .split_whitespace()
        .next()
        .and_then(|word| word.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

/// Most memory that this process held, as Linux reports it; zero elsewhere.
fn peak_resident_bytes() -> u64 {
    const KIBIBYTE: u64 = 1_024;
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmHWM:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kibibytes.unwrap_or(0) * KIBIBYTE
}

/// Rounds to one decimal, so that reports stay readable.
fn rounded(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

impl fmt::Display for Quantiles {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "p50 {:.1}  p99 {:.1}  max {:.1}  (of {})",
            self.p50, self.p99, self.max, self.count
        )
    }
}

impl fmt::Display for TrafficFigures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "sent bytes/s per daemon    {}",
            self.sent_bytes_per_second
        )?;
        writeln!(
            formatter,
            "received bytes/s           {}",
            self.received_bytes_per_second
        )?;
        writeln!(
            formatter,
            "sent messages/s            {}",
            self.sent_messages_per_second
        )
    }
}

impl fmt::Display for HostFigures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "host: processor {:.1} s, {:.1} us per daemon and second",
            self.processor_seconds, self.processor_micros_per_daemon_second
        )?;
        writeln!(
            formatter,
            "host: peak resident {} bytes, {} per daemon",
            self.peak_resident_bytes, self.peak_resident_bytes_per_daemon
        )
    }
}

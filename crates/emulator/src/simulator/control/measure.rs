//! Measurements of a simulation of the control plane: quantiles, traffic per daemon, and the resources
//! used on the host.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use wharfquay_core::time::Timestamp;

use super::ControlSimulation;
use super::daemon::Traffic;

/// Median, 99th percentile and maximum of a set of values, in the unit of the values.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of recorded values.
    pub count: u64,
    /// Median, in the unit of the values.
    pub p50: f64,
    /// 99th percentile, in the unit of the values.
    pub p99: f64,
    /// Maximum, in the unit of the values.
    pub max: f64,
}

impl Quantiles {
    /// Returns the quantiles, in milliseconds, of a histogram of microseconds.
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

    /// Returns the quantiles of a list of values; all zero for an empty list.
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

/// Rates of the control traffic per daemon over a window of the run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct TrafficRates {
    /// Length of the window, in seconds.
    pub seconds: f64,
    /// Bytes sent per second, including the headers of the network layers.
    pub sent_bytes_per_second: Quantiles,
    /// Bytes received per second, including the headers of the network layers.
    pub received_bytes_per_second: Quantiles,
    /// Messages sent per second.
    pub sent_messages_per_second: Quantiles,
}

/// The traffic counters of every daemon at the start of a window.
#[derive(Clone, Debug)]
pub struct TrafficWindow {
    from: Timestamp,
    before: Vec<Traffic>,
}

impl TrafficWindow {
    /// Opens a window at the current virtual time.
    #[must_use]
    pub fn open(simulation: &ControlSimulation) -> Self {
        let daemons = 0..simulation.topology().daemons;
        Self {
            from: simulation.now(),
            before: daemons.map(|index| simulation.traffic(index)).collect(),
        }
    }

    /// Returns the traffic rates from the start of the window to the current virtual time.
    #[must_use]
    pub fn close(&self, simulation: &ControlSimulation) -> TrafficRates {
        let seconds = simulation.now().saturating_since(self.from).as_secs_f64();
        let rates = |field: fn(&Traffic) -> u64| {
            let rate = |(index, before): (usize, &Traffic)| {
                let increase = field(&simulation.traffic(index)) - field(before);
                #[expect(clippy::cast_precision_loss, reason = "below a terabyte")]
                let increase = increase as f64;
                rounded(increase / seconds)
            };
            Quantiles::of_values(self.before.iter().enumerate().map(rate).collect())
        };
        TrafficRates {
            seconds,
            sent_bytes_per_second: rates(|traffic| traffic.bytes_sent),
            received_bytes_per_second: rates(|traffic| traffic.bytes_received),
            sent_messages_per_second: rates(|traffic| traffic.messages_sent),
        }
    }
}

/// Returns the bytes of state of each running daemon, as reported by the daemons. State that daemons of
/// the simulation share counts in full for each of them.
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

/// Resources that a run used on the host. They differ between runs with the same seed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct HostUsage {
    /// Processor time of the whole run in seconds, including the simulator's own work.
    pub processor_seconds: f64,
    /// Processor time per daemon and simulated second, in microseconds.
    pub processor_micros_per_daemon_second: f64,
    /// Peak resident memory of the process, in bytes.
    pub peak_resident_bytes: u64,
    /// Peak resident memory divided by the number of daemons; state that the daemons share counts once.
    pub peak_resident_bytes_per_daemon: u64,
}

/// Measures the resources that a run uses on the host.
#[derive(Clone, Copy, Debug)]
pub struct HostMeter {
    processor_at_start: Duration,
}

impl HostMeter {
    /// Starts the measurement.
    #[must_use]
    pub fn start() -> Self {
        Self {
            processor_at_start: processor_time(),
        }
    }

    /// Returns the resources used since the start, for a run with this many daemons and this much simulated
    /// time.
    #[must_use]
    pub fn usage(&self, daemons: usize, simulated: Duration) -> HostUsage {
        let used = processor_time().saturating_sub(self.processor_at_start);
        let resident = peak_resident_bytes();
        #[expect(clippy::cast_precision_loss, reason = "at most some thousands")]
        let daemon_seconds = daemons as f64 * simulated.as_secs_f64();
        HostUsage {
            processor_seconds: used.as_secs_f64(),
            processor_micros_per_daemon_second: used.as_secs_f64() * 1e6 / daemon_seconds,
            peak_resident_bytes: resident,
            peak_resident_bytes_per_daemon: resident / u64::try_from(daemons).unwrap_or(1).max(1),
        }
    }
}

/// Returns the processor time of this thread as reported by Linux; zero on other systems.
fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text
        .split_whitespace()
        .next()
        .and_then(|word| word.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

/// Returns the peak resident memory of this process as reported by Linux; zero on other systems.
fn peak_resident_bytes() -> u64 {
    const KIBIBYTE: u64 = 1_024;
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmHWM:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kibibytes.unwrap_or(0) * KIBIBYTE
}

/// Rounds to one decimal, which keeps the reports readable.
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

impl fmt::Display for TrafficRates {
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

impl fmt::Display for HostUsage {
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

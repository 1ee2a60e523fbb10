//! Renders metrics in the Prometheus text format.

use std::fmt::Write;

use crate::metrics::catalogue::Metric;

/// One value of a metric, for one combination of labels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Metric that the value belongs to.
    pub metric: Metric,
    /// Labels as `name="value"`, separated by commas; empty without labels.
    pub labels: String,
    /// Current value, in the unit of the metric.
    pub value: u64,
}

impl Sample {
    /// Creates a sample without labels.
    #[must_use]
    pub const fn plain(metric: Metric, value: u64) -> Self {
        Self {
            metric,
            labels: String::new(),
            value,
        }
    }

    /// Creates a sample with labels.
    #[must_use]
    pub const fn labelled(metric: Metric, labels: String, value: u64) -> Self {
        Self {
            metric,
            labels,
            value,
        }
    }
}

/// Renders the metrics in the specified order, each with help text, type and samples.
#[must_use]
pub fn render(metrics: impl Iterator<Item = Metric>, samples: &[Sample]) -> String {
    let mut text = String::with_capacity(8_192);
    for metric in metrics {
        let (name, kind) = (metric.name(), metric.kind().as_str());
        // Writing to a String can't fail.
        let _ = writeln!(
            text,
            "# HELP {name} {}\n# TYPE {name} {kind}",
            metric.help()
        );
        for sample in samples.iter().filter(|sample| sample.metric == metric) {
            let value = sample.value;
            let _ = match sample.labels.as_str() {
                "" => writeln!(text, "{name} {value}"),
                labels => writeln!(text, "{name}{{{labels}}} {value}"),
            };
        }
    }
    text
}

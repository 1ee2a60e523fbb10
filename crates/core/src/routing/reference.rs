//! Reference values over a service's endpoints, with which single endpoints are compared.

use std::time::Duration;

use crate::time::Timestamp;

/// Number of observations after which the reference values are recomputed.
const REFRESH_AFTER_OBSERVATIONS: u32 = 32;
/// Age at which the reference values are recomputed with the next observation.
const REFRESH_AFTER: Duration = Duration::from_millis(100);

/// Median latency, reported utilisation and reported execution time over the endpoints.
///
/// Medians are used because a minority of endpoints that misreports or responds slowly doesn't
/// shift them.
#[derive(Clone, Debug, Default)]
pub(super) struct Reference {
    latency_micros: Option<f64>,
    utilisation: Option<f64>,
    execution_micros: Option<f64>,
    observations: u32,
    refreshed_at: Timestamp,
}

impl Reference {
    /// Counts an observation; returns true if the reference values should be recomputed.
    pub(super) fn count(&mut self, now: Timestamp) -> bool {
        self.observations += 1;
        self.latency_micros.is_none()
            || self.observations >= REFRESH_AFTER_OBSERVATIONS
            || now.saturating_since(self.refreshed_at) >= REFRESH_AFTER
    }

    /// Recomputes the medians.
    pub(super) fn refresh(
        &mut self,
        now: Timestamp,
        latencies: Vec<f64>,
        utilisations: Vec<f64>,
        executions: Vec<f64>,
    ) {
        self.latency_micros = lower_median(latencies);
        self.utilisation = lower_median(utilisations);
        self.execution_micros = lower_median(executions);
        self.observations = 0;
        self.refreshed_at = now;
    }

    /// Returns the median of the endpoints' mean latencies, in microseconds.
    pub(super) const fn latency_micros(&self) -> Option<f64> {
        self.latency_micros
    }

    /// Returns the median of the endpoints' reported utilisations.
    pub(super) const fn utilisation(&self) -> Option<f64> {
        self.utilisation
    }

    /// Returns the median of the execution times that the endpoints reported as expected, in
    /// microseconds.
    pub(super) const fn execution_micros(&self) -> Option<f64> {
        self.execution_micros
    }
}

fn lower_median(mut values: Vec<f64>) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = (values.len() - 1) / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

//! Runs a demonstration: load with a surge against a deployment.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wharfquay_resources::kinds::Resource;

use super::deployment::{Deployment, DeploymentError};
use super::report::DemoReport;
use crate::load::arrivals::Surge;
use crate::load::audit::Audit;
use crate::load::{LoadSettings, Progress, RunningLoad};
use crate::scenario::Scenario;

const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of a demonstration.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// Scenario, which defines the deployment and its load.
    pub scenario: Arc<Scenario>,
    /// Configuration of the deployment.
    pub resources: Vec<Resource>,
    /// Length of the load; the surge starts after a third of it and lasts a quarter of it.
    pub length: Duration,
    /// Factor on the arrival rates during the surge.
    pub surge_factor: f64,
    /// Factor on every arrival rate.
    pub rate_factor: f64,
    /// Seed of arrivals and service times.
    pub seed: u64,
}

impl DemoSettings {
    fn surge(&self) -> Surge {
        Surge {
            factor: self.surge_factor,
            start: self.length / 3,
            length: self.length / 4,
        }
    }

    /// Returns the maximum number of retries per originating request that the configuration allows:
    /// the largest of its budgets, or `None` without a budget.
    fn retry_bound(&self) -> Option<u64> {
        let budgets = self.resources.iter().filter_map(|resource| match resource {
            Resource::RetryBudget(budget) => Some(u64::from(budget.retries_per_request)),
            _ => None,
        });
        budgets.max()
    }
}

/// Sample of the progress of a demonstration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgressSample {
    /// Time since the start of the load.
    pub elapsed: Duration,
    /// True during the surge.
    pub surge: bool,
    /// Counts so far.
    pub progress: Progress,
    /// Counts of the previous sample.
    pub previous: Progress,
}

/// Starts the deployment, sends the load, calls `observe` with the progress once a second, stops
/// the deployment and returns the report.
///
/// # Errors
/// [`DeploymentError`] names the part that can't start.
pub async fn run(
    settings: DemoSettings,
    observe: impl FnMut(ProgressSample),
) -> Result<DemoReport, DeploymentError> {
    let resources = settings.resources.clone();
    let deployment = Deployment::start(&settings.scenario, resources, settings.seed).await?;
    let surge = settings.surge();
    let load = RunningLoad::start(LoadSettings {
        scenario: Arc::clone(&settings.scenario),
        edges: deployment.edges(),
        length: settings.length,
        surge: Some(surge),
        rate_factor: settings.rate_factor,
        seed: settings.seed,
    });
    watch(&load, surge, observe).await;
    let report = load.finish().await;
    let records = deployment.records();
    deployment.shutdown().await;
    let audit = Audit::new(&settings.scenario, &report, &records);
    Ok(DemoReport {
        broken_promises: audit.violations(settings.retry_bound()),
        load: report,
        audit,
    })
}

async fn watch(load: &RunningLoad, surge: Surge, mut observe: impl FnMut(ProgressSample)) {
    let started = Instant::now();
    let mut before = Progress::default();
    let mut interval = tokio::time::interval(PROGRESS_INTERVAL);
    interval.tick().await;
    while !load.is_finished() {
        interval.tick().await;
        let elapsed = started.elapsed();
        let progress = load.progress();
        observe(ProgressSample {
            elapsed,
            surge: surge.covers(elapsed),
            progress,
            previous: before,
        });
        before = progress;
    }
}

//! A deployment in slow motion: the same utilisation with fewer requests per second.
//!
//! Work, deadlines and waits grow by the factor and rates shrink by it, so that a machine with few
//! processors can run a large deployment in real time. Constants inside the daemons don't grow.

use std::num::NonZero;
use std::thread;

use wharfquay_resources::kinds::Resource;

use crate::scenario::Scenario;

/// Processors with which the deployments of the shipped scenarios run at their own pace.
const WANTED_PROCESSORS: u32 = 8;

/// The factor that suits the processors of this machine: 1 on eight and more.
#[must_use]
pub fn default_time_factor() -> u32 {
    let processors = thread::available_parallelism().map_or(1, NonZero::get);
    let processors = u32::try_from(processors).unwrap_or(u32::MAX);
    WANTED_PROCESSORS.div_ceil(processors)
}

/// The scenario, slower by `factor`.
#[must_use]
pub fn scale_scenario(mut scenario: Scenario, factor: u32) -> Scenario {
    for request in &mut scenario.requests {
        request.rate /= f64::from(factor);
        request.deadline_ms *= u64::from(factor);
        for step in &mut request.steps {
            step.work_us *= u64::from(factor);
        }
    }
    scenario.callers.retry_wait_ms *= u64::from(factor);
    scenario
}

/// The configuration of a scenario that is slower by `factor`.
#[must_use]
pub fn scale_resources(mut resources: Vec<Resource>, factor: u32) -> Vec<Resource> {
    for resource in &mut resources {
        match resource {
            Resource::Service(service) => service.queue_wait_ms *= factor,
            Resource::RequestKind(kind) => kind.deadline_ms *= factor,
            Resource::RetryBudget(budget) => {
                budget.backoff_base_ms *= factor;
                budget.backoff_max_ms *= factor;
            }
            Resource::Drain(_) | Resource::ClaimGroup(_) => {}
        }
    }
    resources
}

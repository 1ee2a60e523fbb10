//! Time scaling of a deployment: the same utilisation with fewer requests per second.
//!
//! Service times, deadlines and waits are multiplied by the factor and rates divided by it, which
//! lets a machine with few processors run a large deployment. Constants of the daemons aren't scaled.

use std::num::NonZero;
use std::thread;

use wharfquay_resources::kinds::Resource;

use crate::scenario::Scenario;

/// Number of processors from which the built-in scenarios need no time scaling.
const UNSCALED_PROCESSORS: u32 = 8;

/// Returns the factor for the number of processors of this machine: 1 on eight and more.
#[must_use]
pub fn default_time_factor() -> u32 {
    let processors = thread::available_parallelism().map_or(1, NonZero::get);
    let processors = u32::try_from(processors).unwrap_or(u32::MAX);
    UNSCALED_PROCESSORS.div_ceil(processors)
}

/// Returns the scenario, slowed down by `factor`.
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

/// Returns the configuration for a scenario that is slowed down by `factor`.
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

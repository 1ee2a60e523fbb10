//! The order of requests by the importance of their tenant and of their route.

use std::collections::BTreeSet;

use wharfquay_core::priority::Priority;

use crate::configuration::Route;
use crate::tenant::Tenant;

/// The order in which requests are refused last: first by their tenant's importance, among equals by their route's.
///
/// Most tenants share one importance. If it took the place of the route's, kinds of requests could no longer be told
/// apart while capacity is short, and the more important ones would be refused as soon as the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ImportanceOrder {
    /// The importances that occur, of tenant and route, the highest first; empty where there are no tenants.
    steps: Vec<(u8, u8)>,
}

impl ImportanceOrder {
    /// The order of the requests that a configuration allows.
    pub(crate) fn new(routes: &[Route], tenants: &[Tenant]) -> Self {
        if tenants.is_empty() {
            return Self::default();
        }
        let of_routes: BTreeSet<u8> = routes.iter().map(|route| route.priority).collect();
        let of_tenants: BTreeSet<Option<u8>> =
            tenants.iter().map(|tenant| tenant.priority).collect();
        // Requests on public routes belong to no tenant.
        let of_tenants = of_tenants.into_iter().chain([None]);
        let steps: BTreeSet<(u8, u8)> = of_tenants
            .flat_map(|tenant| of_routes.iter().map(move |route| step(tenant, *route)))
            .collect();
        Self {
            steps: steps.into_iter().collect(),
        }
    }

    /// The place of a request in the order. Where more importances occur than there are priorities, neighbours
    /// share one.
    pub(crate) fn priority(&self, tenant: Option<&Tenant>, route: &Route) -> Priority {
        let own = step(tenant.and_then(|tenant| tenant.priority), route.priority);
        let number = match self.steps.len() {
            0 => usize::from(route.priority),
            steps => {
                let position = self.steps.partition_point(|known| *known < own);
                position * Priority::COUNT / steps.max(Priority::COUNT)
            }
        };
        let number = u8::try_from(number).unwrap_or(u8::MAX);
        Priority::new(number).unwrap_or(Priority::LOWEST)
    }
}

/// A request without a tenant's importance stands where its route's puts it.
fn step(tenant: Option<u8>, route: u8) -> (u8, u8) {
    (tenant.unwrap_or(route), route)
}

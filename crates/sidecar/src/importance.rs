//! Priority of requests by the importance of their tenant and their route.

use std::collections::BTreeSet;

use wharfquay_core::priority::Priority;

use crate::configuration::Route;
use crate::tenant::Tenant;

/// Order in which requests are kept under overload: first by the importance of their tenant, then
/// by that of their route.
///
/// Most tenants share one importance. If it replaced the importance of the route, kinds of requests
/// could not be distinguished under overload, and the more important ones would be refused as early
/// as the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ImportanceOrder {
    /// The occurring pairs of tenant and route importance, the highest first; empty if there are no
    /// tenants.
    keys: Vec<(u8, u8)>,
}

impl ImportanceOrder {
    /// Creates the order of the requests that a configuration allows.
    pub(crate) fn new(routes: &[Route], tenants: &[Tenant]) -> Self {
        if tenants.is_empty() {
            return Self::default();
        }
        let of_routes: BTreeSet<u8> = routes.iter().map(|route| route.priority).collect();
        let of_tenants: BTreeSet<Option<u8>> =
            tenants.iter().map(|tenant| tenant.priority).collect();
        // Requests on public routes belong to no tenant.
        let of_tenants = of_tenants.into_iter().chain([None]);
        let keys: BTreeSet<(u8, u8)> = of_tenants
            .flat_map(|tenant| {
                of_routes
                    .iter()
                    .map(move |route| importance_key(tenant, *route))
            })
            .collect();
        Self {
            keys: keys.into_iter().collect(),
        }
    }

    /// Returns the priority of a request. If more importances occur than there are priorities,
    /// adjacent ones share a priority.
    pub(crate) fn priority(&self, tenant: Option<&Tenant>, route: &Route) -> Priority {
        let own = importance_key(tenant.and_then(|tenant| tenant.priority), route.priority);
        let number = match self.keys.len() {
            0 => usize::from(route.priority),
            count => {
                let position = self.keys.partition_point(|known| *known < own);
                position * Priority::COUNT / count.max(Priority::COUNT)
            }
        };
        let number = u8::try_from(number).unwrap_or(u8::MAX);
        Priority::new(number).unwrap_or(Priority::LOWEST)
    }
}

/// Returns the sort key of a request: the importance of its tenant, then that of its route. Without
/// the importance of a tenant, that of the route is used in both places.
fn importance_key(tenant: Option<u8>, route: u8) -> (u8, u8) {
    (tenant.unwrap_or(route), route)
}

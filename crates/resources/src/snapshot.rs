//! The configuration in force: every accepted resource at one revision.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::kinds::{
    ClaimGroup, Drain, RequestKind, Resource, ResourceId, ResourceKind, RetryBudget, Service,
};

/// Name of the claim group that is used.
pub const CLAIM_GROUP_NAME: &str = "default";
/// Name of the retry budget that applies to request kinds without `retry_budget`.
pub const DEFAULT_RETRY_BUDGET: &str = "default";

/// Revision of the platform's store; increases with every write to any object.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

impl Revision {
    /// The revision before the first write.
    pub const ZERO: Self = Self(0);

    /// Creates a revision from its number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the revision number.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// Every accepted resource at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the last change that this snapshot includes.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Request kinds by name.
    pub request_kinds: BTreeMap<String, RequestKind>,
    /// Retry budgets by name.
    pub retry_budgets: BTreeMap<String, RetryBudget>,
    /// Drains by name.
    pub drains: BTreeMap<String, Drain>,
    /// Claim groups by name.
    pub claim_groups: BTreeMap<String, ClaimGroup>,
}

impl Snapshot {
    /// Adds a resource, replacing the one with the same identity.
    pub fn insert(&mut self, resource: Resource) {
        match resource {
            Resource::Service(service) => {
                self.services.insert(service.name.clone(), service);
            }
            Resource::RequestKind(request_kind) => {
                self.request_kinds
                    .insert(request_kind.name.clone(), request_kind);
            }
            Resource::RetryBudget(budget) => {
                self.retry_budgets.insert(budget.name.clone(), budget);
            }
            Resource::Drain(drain) => {
                self.drains.insert(drain.name.clone(), drain);
            }
            Resource::ClaimGroup(group) => {
                self.claim_groups.insert(group.name.clone(), group);
            }
        }
    }

    /// Removes a resource. Returns false when it did not exist.
    pub fn remove(&mut self, id: &ResourceId) -> bool {
        match id.kind {
            ResourceKind::Service => self.services.remove(&id.name).is_some(),
            ResourceKind::RequestKind => self.request_kinds.remove(&id.name).is_some(),
            ResourceKind::RetryBudget => self.retry_budgets.remove(&id.name).is_some(),
            ResourceKind::Drain => self.drains.remove(&id.name).is_some(),
            ResourceKind::ClaimGroup => self.claim_groups.remove(&id.name).is_some(),
        }
    }

    /// Returns the resource with this identity.
    #[must_use]
    pub fn get(&self, id: &ResourceId) -> Option<Resource> {
        let name = &id.name;
        match id.kind {
            ResourceKind::Service => self.services.get(name).cloned().map(Resource::Service),
            ResourceKind::RequestKind => {
                let request_kind = self.request_kinds.get(name).cloned();
                request_kind.map(Resource::RequestKind)
            }
            ResourceKind::RetryBudget => {
                let budget = self.retry_budgets.get(name).cloned();
                budget.map(Resource::RetryBudget)
            }
            ResourceKind::Drain => self.drains.get(name).cloned().map(Resource::Drain),
            ResourceKind::ClaimGroup => {
                let group = self.claim_groups.get(name).cloned();
                group.map(Resource::ClaimGroup)
            }
        }
    }

    /// Returns the identities of all resources, ordered by kind and name.
    pub fn ids(&self) -> impl Iterator<Item = ResourceId> {
        let names_of = |kind| match kind {
            ResourceKind::Service => self.services.keys().collect::<Vec<_>>(),
            ResourceKind::RequestKind => self.request_kinds.keys().collect(),
            ResourceKind::RetryBudget => self.retry_budgets.keys().collect(),
            ResourceKind::Drain => self.drains.keys().collect(),
            ResourceKind::ClaimGroup => self.claim_groups.keys().collect(),
        };
        ResourceKind::ALL.into_iter().flat_map(move |kind| {
            let names = names_of(kind).into_iter().cloned();
            names.map(move |name| ResourceId { kind, name })
        })
    }

    /// Returns all resources in order of identity.
    pub fn resources(&self) -> impl Iterator<Item = Resource> {
        self.ids().filter_map(|id| self.get(&id))
    }

    /// Returns the request kind that a request to `service` matches. Of several matches the longest
    /// path prefix wins, then one with a method over one without, then the first by name.
    #[must_use]
    pub fn match_request(&self, service: &str, method: &str, path: &str) -> Option<&RequestKind> {
        self.request_kinds
            .values()
            .filter(|kind| kind.service == service)
            .filter(|kind| {
                kind.method
                    .as_deref()
                    .is_none_or(|allowed| allowed == method)
            })
            .filter(|kind| path.starts_with(&kind.path_prefix))
            .rev()
            .max_by_key(|kind| (kind.path_prefix.len(), kind.method.is_some()))
    }

    /// Returns the retry budget that applies to a request kind; `None` when it does not exist.
    #[must_use]
    pub fn retry_budget_for(&self, request_kind: &RequestKind) -> Option<&RetryBudget> {
        let named = request_kind.retry_budget.as_deref();
        let name = named.unwrap_or(DEFAULT_RETRY_BUDGET);
        self.retry_budgets.get(name)
    }
}

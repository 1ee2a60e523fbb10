//! The resource kinds, field by field. The range of each field stands in [`crate::fields`].

use std::fmt;

use serde::{Deserialize, Serialize};

/// A service: a set of interchangeable back ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among services; callers name it in the request's host.
    pub name: String,
    /// Requests that one back end executes at a time: the concurrency limit that its daemon keeps.
    pub slots: u32,
    /// Connections that one back end accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Longest time that a call may wait in a back end's queue, in milliseconds.
    #[serde(default = "default_queue_wait_ms")]
    pub queue_wait_ms: u32,
    /// Time over which a cold back end's share grows to its full size, in milliseconds.
    #[serde(default = "default_warm_up_ms")]
    pub warm_up_ms: u32,
    /// Services that this one calls; used for checks and plans.
    #[serde(default)]
    pub calls: Vec<String>,
}

const fn default_connections() -> u32 {
    120
}

const fn default_queue_wait_ms() -> u32 {
    50
}

const fn default_warm_up_ms() -> u32 {
    5_000
}

/// A kind of originating request: how to recognise it and how it is treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name, unique among request kinds.
    pub name: String,
    /// Entry service that the request is addressed to.
    pub service: String,
    /// HTTP method that the request must have; every method when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// Prefix that the request's path must have. The longest matching prefix wins.
    #[serde(default = "default_path_prefix")]
    pub path_prefix: String,
    /// Importance: 0 is refused last, the largest number first.
    pub priority: u8,
    /// Time in which the whole answer is worth something, in milliseconds.
    pub deadline_ms: u32,
    /// Whether executing the request twice has the effect of executing it once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Whether a request that is not repeatable must carry an idempotency key.
    #[serde(default)]
    pub idempotency_key_required: bool,
    /// Retry budget that applies; the budget named `default` when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_budget: Option<String>,
}

impl RequestKind {
    /// What a request must have to match: entry service, path prefix and method.
    #[must_use]
    pub fn match_key(&self) -> (&str, &str, Option<&str>) {
        (&self.service, &self.path_prefix, self.method.as_deref())
    }

    /// Whether the same requests match `other`, so that the two can't be told apart.
    #[must_use]
    pub fn matches_same_as(&self, other: &Self) -> bool {
        self.match_key() == other.match_key()
    }
}

fn default_path_prefix() -> String {
    "/".to_owned()
}

const fn default_repeatable() -> bool {
    true
}

/// Bounds on retries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    /// Name, unique among retry budgets.
    pub name: String,
    /// Retries in total for one originating request across its whole chain.
    pub retries_per_request: u16,
    /// Retries to one destination as a fraction of its successes.
    #[serde(default = "default_ratio")]
    pub ratio: f64,
    /// Shortest mean wait before a retry, in milliseconds.
    #[serde(default = "default_backoff_base_ms")]
    pub backoff_base_ms: u32,
    /// Longest mean wait before a retry, in milliseconds; not below the base.
    #[serde(default = "default_backoff_max_ms")]
    pub backoff_max_ms: u32,
}

const fn default_ratio() -> f64 {
    0.1
}

const fn default_backoff_base_ms() -> u32 {
    5
}

const fn default_backoff_max_ms() -> u32 {
    100
}

/// The intention that back ends leave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Name, unique among drains.
    pub name: String,
    /// What leaves.
    pub target: DrainTarget,
    /// Longest time that calls in flight may take to end, in milliseconds.
    #[serde(default = "default_drain_limit_ms")]
    pub limit_ms: u32,
}

const fn default_drain_limit_ms() -> u32 {
    30_000
}

/// What a [`Drain`] covers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum DrainTarget {
    /// One back end, by its daemon's id.
    Backend(String),
    /// Every back end of a service.
    Service(String),
    /// Every back end of a zone.
    Zone(String),
}

impl DrainTarget {
    /// Whether the back end beside the daemon `id` is covered; `service` is absent at an edge, which
    /// no drain covers.
    #[must_use]
    pub fn covers(&self, id: &str, zone: &str, service: Option<&str>) -> bool {
        let Some(service) = service else {
            return false;
        };
        match self {
            Self::Backend(target) => target == id,
            Self::Service(target) => target == service,
            Self::Zone(target) => target == zone,
        }
    }
}

/// The replica group that records claims on idempotency keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimGroup {
    /// Name, unique among claim groups; `default` is the one in use.
    pub name: String,
    /// Number that grows by one with each change of the members; the first group has number 1.
    pub epoch: u64,
    /// Ids of the daemons that hold a replica; an odd number, over several zones.
    pub replicas: Vec<String>,
    /// Ids of the daemons that held the replicas of the epoch before, whose votes are taken over;
    /// empty when none of them runs any more. Absent in the first epoch only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous_replicas: Option<Vec<String>>,
    /// Largest difference between two machines' clocks, in milliseconds.
    #[serde(default = "default_clock_skew_ms")]
    pub clock_skew_ms: u32,
    /// Time that a claim is kept and a key may be repeated, in milliseconds.
    #[serde(default = "default_retention_ms")]
    pub retention_ms: u32,
}

const fn default_clock_skew_ms() -> u32 {
    1_000
}

const fn default_retention_ms() -> u32 {
    600_000
}

/// Any resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "spec", rename_all = "snake_case")]
pub enum Resource {
    /// A service.
    Service(Service),
    /// A request kind.
    RequestKind(RequestKind),
    /// A retry budget.
    RetryBudget(RetryBudget),
    /// A drain.
    Drain(Drain),
    /// A claim group.
    ClaimGroup(ClaimGroup),
}

/// The kind of a [`Resource`], as named in the object API and in files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResourceKind {
    /// [`Service`]
    Service,
    /// [`RequestKind`]
    RequestKind,
    /// [`RetryBudget`]
    RetryBudget,
    /// [`Drain`]
    Drain,
    /// [`ClaimGroup`]
    ClaimGroup,
}

impl ResourceKind {
    /// Every kind.
    pub const ALL: [Self; 5] = [
        Self::Service,
        Self::RequestKind,
        Self::RetryBudget,
        Self::Drain,
        Self::ClaimGroup,
    ];

    /// The name used in the object API and in files.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::RequestKind => "request_kind",
            Self::RetryBudget => "retry_budget",
            Self::Drain => "drain",
            Self::ClaimGroup => "claim_group",
        }
    }
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Identity of a resource: kind and name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceId {
    /// The kind.
    pub kind: ResourceKind,
    /// The name, unique inside the kind.
    pub name: String,
}

impl ResourceId {
    /// The identity of the resource of this kind and name.
    #[must_use]
    pub fn new(kind: ResourceKind, name: impl Into<String>) -> Self {
        let name = name.into();
        Self { kind, name }
    }
}

impl fmt::Display for ResourceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.name)
    }
}

impl Resource {
    /// The resource's identity.
    #[must_use]
    pub fn id(&self) -> ResourceId {
        let (kind, name) = match self {
            Self::Service(service) => (ResourceKind::Service, &service.name),
            Self::RequestKind(request_kind) => (ResourceKind::RequestKind, &request_kind.name),
            Self::RetryBudget(budget) => (ResourceKind::RetryBudget, &budget.name),
            Self::Drain(drain) => (ResourceKind::Drain, &drain.name),
            Self::ClaimGroup(group) => (ResourceKind::ClaimGroup, &group.name),
        };
        ResourceId {
            kind,
            name: name.clone(),
        }
    }
}

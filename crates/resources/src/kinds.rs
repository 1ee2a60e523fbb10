//! The resource kinds and their fields. [`crate::fields`] defines the range of each field.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A service: a set of interchangeable backends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among services; callers put it into the host of their requests.
    pub name: String,
    /// Requests that one backend executes concurrently: the concurrency limit that its daemon
    /// enforces.
    pub slots: u32,
    /// Maximum number of connections that one backend accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Maximum time that a call may wait in a backend's queue, in milliseconds.
    #[serde(default = "default_queue_wait_ms")]
    pub queue_wait_ms: u32,
    /// Time over which the traffic share of a newly started (cold) backend grows to its full size,
    /// in milliseconds.
    #[serde(default = "default_warm_up_ms")]
    pub warm_up_ms: u32,
    /// Services that this one calls; used for validation and planning.
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

/// A kind of originating request, which is a request that enters at an edge: which requests match
/// it and how they are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name, unique among request kinds.
    pub name: String,
    /// Entry service to which the request is addressed.
    pub service: String,
    /// HTTP method that the request must have; every method when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// Prefix that the request's path must have; the longest matching prefix wins.
    #[serde(default = "default_path_prefix")]
    pub path_prefix: String,
    /// Importance: 0 is refused last, the largest number first.
    pub priority: u8,
    /// Time within which the caller needs the complete response, in milliseconds.
    pub deadline_ms: u32,
    /// True if executing the request twice has the same effect as executing it once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// True if a request that is not repeatable must carry an idempotency key.
    #[serde(default)]
    pub idempotency_key_required: bool,
    /// Retry budget that applies; the budget named `default` when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_budget: Option<String>,
}

impl RequestKind {
    /// Returns the criteria that a request must match: entry service, path prefix and method.
    #[must_use]
    pub fn match_key(&self) -> (&str, &str, Option<&str>) {
        (&self.service, &self.path_prefix, self.method.as_deref())
    }

    /// Returns true if both kinds match the same requests, which makes the match ambiguous.
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

/// Limits on retries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    /// Name, unique among retry budgets.
    pub name: String,
    /// Maximum number of retries in total for one originating request across its whole call chain.
    pub retries_per_request: u16,
    /// Maximum number of retries to one destination as a fraction of its successful calls.
    #[serde(default = "default_ratio")]
    pub ratio: f64,
    /// Shortest mean wait before a retry, in milliseconds.
    #[serde(default = "default_backoff_base_ms")]
    pub backoff_base_ms: u32,
    /// Longest mean wait before a retry, in milliseconds; at least `backoff_base_ms`.
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

/// A request to drain backends: they get no new calls while their calls in flight complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Name, unique among drains.
    pub name: String,
    /// Backends to drain.
    pub target: DrainTarget,
    /// Maximum time that calls in flight may take to complete, in milliseconds.
    #[serde(default = "default_drain_limit_ms")]
    pub limit_ms: u32,
}

const fn default_drain_limit_ms() -> u32 {
    30_000
}

/// The backends that a [`Drain`] covers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum DrainTarget {
    /// One backend, by its daemon's id.
    Backend(String),
    /// Every backend of a service.
    Service(String),
    /// Every backend of a zone.
    Zone(String),
}

impl DrainTarget {
    /// Returns true if the drain covers the backend of the daemon `id`. `service` is the service of
    /// that backend; it is `None` at an edge, which has no backend and which no drain covers.
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

/// The replica group that records claims on idempotency keys, by which repeats of a request are
/// recognised.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimGroup {
    /// Name, unique among claim groups; only the group named `default` is used.
    pub name: String,
    /// Number that increases by one with each change of the replicas; the first is 1.
    pub epoch: u64,
    /// Ids of the daemons that hold a replica; an odd number, spread over several zones.
    pub replicas: Vec<String>,
    /// Ids of the daemons that held the replicas of the previous epoch, whose votes the new replicas
    /// take over; empty when none of them is running any more. Absent in the first epoch only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous_replicas: Option<Vec<String>>,
    /// Maximum difference between the clocks of two machines, in milliseconds.
    #[serde(default = "default_clock_skew_ms")]
    pub clock_skew_ms: u32,
    /// Time for which a claim is retained and a repeat with the same key is recognised, in
    /// milliseconds.
    #[serde(default = "default_retention_ms")]
    pub retention_ms: u32,
}

const fn default_clock_skew_ms() -> u32 {
    1_000
}

const fn default_retention_ms() -> u32 {
    600_000
}

/// A resource of any kind.
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

/// The kind of a [`Resource`].
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
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Service,
        Self::RequestKind,
        Self::RetryBudget,
        Self::Drain,
        Self::ClaimGroup,
    ];

    /// Returns the name of the kind in the object API and in files.
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
    /// The name, unique within the kind.
    pub name: String,
}

impl ResourceId {
    /// Creates an identity from a kind and a name.
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
    /// Returns the identity of the resource.
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

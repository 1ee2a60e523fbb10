//! The configuration that the operator puts in force: routes, services and limits on connections.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use wharfquay_core::priority::Priority;

use crate::importance::ImportanceOrder;
use crate::tenant::{KeyDigest, Tenant};

/// One version of the whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its number; versions rise, in uneven steps. Zero is none.
    pub version: u64,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: BTreeMap<String, Service>,
    /// Bounds on what a caller may send.
    pub limits: ConnectionLimits,
    /// Who may send requests on routes that are not public; where it is empty, callers are not asked who they are.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
}

/// Requests of one host below one path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and for levels of the path below.
    pub name: String,
    /// The `Host` that requests name, without a port.
    pub host: String,
    /// Beginning of their path; it begins and ends with a slash.
    pub path_prefix: String,
    /// The services that execute them, each with its share.
    pub destinations: Vec<Destination>,
    /// Whether executing a request twice does no harm.
    pub repeatable: bool,
    /// Longest time for which a request is held, in milliseconds; none where only the caller's
    /// deadline counts.
    pub timeout_ms: Option<u64>,
    /// Time within which an answer is worth most, in milliseconds.
    pub target_latency_ms: u64,
    /// Importance, 0 is the highest.
    pub priority: u8,
    /// Most back ends that one attempt of a caller may reach.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    #[serde(default)]
    pub is_public: bool,
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// Name of the service.
    pub service: String,
    /// Its share, relative to the sum over the route.
    pub weight: u32,
}

/// What is configured of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Path that answers whether a back end is healthy.
    pub health_path: String,
    /// Connections that one back end accepts.
    pub connections: u32,
}

/// Bounds on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionLimits {
    /// Longest request head, in bytes.
    pub header_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: u64,
    /// Longest time from the first byte of a head to its last, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest rest of a connection between two requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Why a configuration can't be put in force.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ConfigurationError {
    /// route {route}: it has no destination with a weight above zero
    NoDestination {
        /// Name of the route.
        route: String,
    },
    /// route {route}: service {service} is not configured
    UnknownService {
        /// Name of the route.
        route: String,
        /// The service.
        service: String,
    },
    /// route {route}: path prefix {prefix:?} must begin and end with a slash
    BadPrefix {
        /// Name of the route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// tenant {tenant}: one of its API keys belongs to tenant {owner} too
    SharedKey {
        /// Name of the tenant.
        tenant: String,
        /// Name of the other one.
        owner: String,
    },
    /// tenant {tenant}: its name can't stand in a header
    TenantName {
        /// Name of the tenant.
        tenant: String,
    },
}

impl std::error::Error for ConfigurationError {}

impl Configuration {
    /// Checks that every request has somewhere to go.
    ///
    /// # Errors
    /// The first route that can't be served.
    pub fn validate(&self) -> Result<(), ConfigurationError> {
        self.problems().next().map_or(Ok(()), Err)
    }

    /// For each route that can't be served and each tenant that can't be told from others, why.
    pub fn problems(&self) -> impl Iterator<Item = ConfigurationError> {
        let routes = self.routes.iter();
        let routes = routes.filter_map(|route| route.validate(&self.services).err());
        routes.chain(self.tenant_problems())
    }

    fn tenant_problems(&self) -> Vec<ConfigurationError> {
        let mut owners: HashMap<KeyDigest, &str> = HashMap::new();
        let mut problems = Vec::new();
        for tenant in &self.tenants {
            if tenant.header_value().is_none() {
                let tenant = tenant.name.clone();
                problems.push(ConfigurationError::TenantName { tenant });
            }
            for key in &tenant.keys {
                let owner = *owners.entry(*key).or_insert(&tenant.name);
                if owner != tenant.name {
                    problems.push(ConfigurationError::SharedKey {
                        tenant: tenant.name.clone(),
                        owner: owner.to_owned(),
                    });
                }
            }
        }
        problems
    }
}

impl Route {
    fn validate(&self, services: &BTreeMap<String, Service>) -> Result<(), ConfigurationError> {
        let route = || self.name.clone();
        let is_prefix = self.path_prefix.starts_with('/') && self.path_prefix.ends_with('/');
        if !is_prefix {
            let prefix = self.path_prefix.clone();
            return Err(ConfigurationError::BadPrefix {
                route: route(),
                prefix,
            });
        }
        if self.destinations.iter().all(|part| part.weight == 0) {
            return Err(ConfigurationError::NoDestination { route: route() });
        }
        for destination in &self.destinations {
            if !services.contains_key(&destination.service) {
                return Err(ConfigurationError::UnknownService {
                    route: route(),
                    service: destination.service.clone(),
                });
            }
        }
        Ok(())
    }

    /// The service for a request, from a number drawn uniformly from 0.0 to below 1.0.
    #[must_use]
    pub fn destination(&self, draw: f64) -> Option<&str> {
        let total: u64 = self
            .destinations
            .iter()
            .map(|part| u64::from(part.weight))
            .sum();
        let mut left = draw * total as f64;
        for part in self.destinations.iter().filter(|part| part.weight > 0) {
            left -= f64::from(part.weight);
            if left < 0.0 {
                return Some(&part.service);
            }
        }
        let last = self.destinations.iter().rfind(|part| part.weight > 0);
        last.map(|part| part.service.as_str())
    }

    /// Longest time for which a request of a caller that waits for `client_timeout` is held.
    #[must_use]
    pub fn lifetime(&self, client_timeout: Option<Duration>) -> Duration {
        let timeout = self.timeout_ms.map(Duration::from_millis);
        match (timeout, client_timeout) {
            (Some(timeout), Some(client_timeout)) => timeout.min(client_timeout),
            (one, other) => one.or(other).unwrap_or(DEFAULT_LIFETIME),
        }
    }
}

/// Time for which a request is held when neither its route nor its sender names one.
const DEFAULT_LIFETIME: Duration = Duration::from_secs(5);

/// A configuration in force, with its routes by host and prefix and its tenants by API key.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// The configuration.
    pub configuration: Configuration,
    by_host: HashMap<String, HashMap<String, usize>>,
    by_key: HashMap<KeyDigest, usize>,
    by_tenant: HashMap<String, usize>,
    importance: ImportanceOrder,
}

impl RouteIndex {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(configuration: Configuration) -> Self {
        let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (position, route) in configuration.routes.iter().enumerate() {
            let prefixes = by_host.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.path_prefix.clone(), position);
        }
        let by_key = index_keys(&configuration.tenants);
        let tenants = configuration.tenants.iter().enumerate();
        let by_tenant = tenants.map(|(position, tenant)| (tenant.name.clone(), position));
        let by_tenant = by_tenant.collect();
        let importance = ImportanceOrder::new(&configuration.routes, &configuration.tenants);
        Self {
            configuration,
            by_host,
            by_key,
            by_tenant,
            importance,
        }
    }

    /// Importance of a request of a tenant on a route.
    #[must_use]
    pub fn priority(&self, tenant: Option<&Tenant>, route: &Route) -> Priority {
        self.importance.priority(tenant, route)
    }

    /// The tenant of this name.
    #[must_use]
    pub fn tenant_named(&self, name: &str) -> Option<&Tenant> {
        let position = self.by_tenant.get(name)?;
        self.configuration.tenants.get(*position)
    }

    /// Whether requests on this route need the API key of a tenant.
    #[must_use]
    pub const fn requires_key(&self, route: &Route) -> bool {
        !self.configuration.tenants.is_empty() && !route.is_public
    }

    /// The tenant that holds an API key.
    #[must_use]
    pub fn tenant(&self, key: KeyDigest) -> Option<&Tenant> {
        let position = self.by_key.get(&key)?;
        self.configuration.tenants.get(*position)
    }

    /// The route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.by_host.get(name) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        let slashes = path.rmatch_indices('/').map(|(position, _)| position);
        let position = slashes
            .map(|position| &path[..=position])
            .find_map(|prefix| prefixes.get(prefix))?;
        self.configuration.routes.get(*position)
    }
}

fn index_keys(tenants: &[Tenant]) -> HashMap<KeyDigest, usize> {
    let positions = tenants.iter().enumerate();
    let keys = positions.flat_map(|(position, tenant)| {
        let keys = tenant.keys.iter();
        keys.map(move |key| (*key, position))
    });
    keys.collect()
}

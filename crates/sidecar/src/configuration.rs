//! The configuration provided by the operator: routes, services, tenants and connection limits.

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
    /// Version number. Versions increase, not necessarily by one; zero means that there is no
    /// configuration.
    pub version: u64,
    /// Routes of requests.
    pub routes: Vec<Route>,
    /// The services that routes refer to, by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on the requests of callers.
    pub limits: ConnectionLimits,
    /// Tenants that may send requests on routes that are not public. If it is empty, no API keys
    /// are required.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
}

/// Requests of one host below one path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, used in logs and as the request kind for admission levels.
    pub name: String,
    /// The `Host` of matching requests, without a port.
    pub host: String,
    /// Prefix of the path of matching requests. It begins and ends with a slash.
    pub path_prefix: String,
    /// The services that execute the requests, each with its weight.
    pub destinations: Vec<Destination>,
    /// True if executing a request twice is harmless.
    pub repeatable: bool,
    /// Maximum time for which a request is held, in milliseconds; `None` if only the caller's
    /// deadline applies.
    pub timeout_ms: Option<u64>,
    /// Response time that the route aims at, in milliseconds.
    pub target_latency_ms: u64,
    /// Importance; 0 is the highest.
    pub priority: u8,
    /// Maximum number of backends that one request of a caller may reach.
    pub max_attempts: u32,
    /// True if callers need no API key.
    #[serde(default)]
    pub is_public: bool,
}

/// A service that executes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// Name of the service.
    pub service: String,
    /// Weight of the service, relative to the sum of the route's weights.
    pub weight: u32,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Path of the health endpoint of its backends.
    pub health_path: String,
    /// Number of connections that one backend accepts.
    pub connections: u32,
}

/// Limits on the size and duration of a caller's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionLimits {
    /// Maximum length of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum length of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time from the first to the last byte of a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum idle time of a connection between two requests, in milliseconds.
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

/// Reason why a configuration can't take effect.
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
        /// Name of the service.
        service: String,
    },
    /// route {route}: path prefix {prefix:?} must begin and end with a slash
    BadPrefix {
        /// Name of the route.
        route: String,
        /// The invalid prefix.
        prefix: String,
    },
    /// tenant {tenant}: one of its API keys belongs to tenant {owner} too
    SharedKey {
        /// Name of the tenant.
        tenant: String,
        /// Name of the other tenant.
        owner: String,
    },
    /// tenant {tenant}: its name is not a valid header value
    TenantName {
        /// Name of the tenant.
        tenant: String,
    },
}

impl std::error::Error for ConfigurationError {}

impl Configuration {
    /// Checks that every route can be served and every tenant can be identified.
    ///
    /// # Errors
    /// The first problem found.
    pub fn validate(&self) -> Result<(), ConfigurationError> {
        self.problems().next().map_or(Ok(()), Err)
    }

    /// Returns the problems of all routes that can't be served and all tenants that can't be
    /// identified.
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
        let is_valid_prefix = self.path_prefix.starts_with('/') && self.path_prefix.ends_with('/');
        if !is_valid_prefix {
            let prefix = self.path_prefix.clone();
            return Err(ConfigurationError::BadPrefix {
                route: route(),
                prefix,
            });
        }
        if self
            .destinations
            .iter()
            .all(|destination| destination.weight == 0)
        {
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

    /// Selects the service for a request; `draw` is a uniform random number of the range [0.0,
    /// 1.0).
    #[must_use]
    pub fn destination(&self, draw: f64) -> Option<&str> {
        let total: u64 = self
            .destinations
            .iter()
            .map(|destination| u64::from(destination.weight))
            .sum();
        let mut left = draw * total as f64;
        for destination in self
            .destinations
            .iter()
            .filter(|destination| destination.weight > 0)
        {
            left -= f64::from(destination.weight);
            if left < 0.0 {
                return Some(&destination.service);
            }
        }
        let last = self
            .destinations
            .iter()
            .rfind(|destination| destination.weight > 0);
        last.map(|destination| destination.service.as_str())
    }

    /// Returns the maximum time for which a request is held whose caller waits for `client_timeout`.
    #[must_use]
    pub fn request_timeout(&self, client_timeout: Option<Duration>) -> Duration {
        let timeout = self.timeout_ms.map(Duration::from_millis);
        match (timeout, client_timeout) {
            (Some(timeout), Some(client_timeout)) => timeout.min(client_timeout),
            (one, other) => one.or(other).unwrap_or(DEFAULT_TIMEOUT),
        }
    }
}

/// Time for which a request is held if neither its route nor its sender specifies one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// A configuration in force, indexed by host and prefix, by API key and by tenant.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// The indexed configuration.
    pub configuration: Configuration,
    by_host: HashMap<String, HashMap<String, usize>>,
    by_key: HashMap<KeyDigest, usize>,
    by_tenant: HashMap<String, usize>,
    importance: ImportanceOrder,
    /// Mean rate limit of the tenants that have one.
    mean_limit: Option<f64>,
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
        let mean_limit = mean_limit(&configuration.tenants);
        Self {
            configuration,
            by_host,
            by_key,
            by_tenant,
            importance,
            mean_limit,
        }
    }

    /// Returns the weight with which a caller takes part in the division of scarce capacity: its
    /// rate limit relative to the mean one, or 1 if it has none.
    #[must_use]
    pub fn caller_weight(&self, tenant: Option<&Tenant>) -> f64 {
        let limit = tenant.and_then(|tenant| tenant.quota);
        match (limit, self.mean_limit) {
            (Some(limit), Some(mean)) => limit.rate_per_s / mean,
            _ => 1.0,
        }
    }

    /// Returns the priority of a request of a tenant on a route.
    #[must_use]
    pub fn priority(&self, tenant: Option<&Tenant>, route: &Route) -> Priority {
        self.importance.priority(tenant, route)
    }

    /// Returns the tenant with this name.
    #[must_use]
    pub fn tenant_named(&self, name: &str) -> Option<&Tenant> {
        let position = self.by_tenant.get(name)?;
        self.configuration.tenants.get(*position)
    }

    /// True if requests on this route need the API key of a tenant.
    #[must_use]
    pub const fn requires_key(&self, route: &Route) -> bool {
        !self.configuration.tenants.is_empty() && !route.is_public
    }

    /// Returns the tenant to which an API key belongs.
    #[must_use]
    pub fn tenant(&self, key: KeyDigest) -> Option<&Tenant> {
        let position = self.by_key.get(&key)?;
        self.configuration.tenants.get(*position)
    }

    /// Returns the route of `host` with the longest prefix of `path`.
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

/// Returns the mean rate limit of the tenants that have a limit above zero.
fn mean_limit(tenants: &[Tenant]) -> Option<f64> {
    let limits = tenants.iter().filter_map(|tenant| tenant.quota);
    let limits = limits.map(|limit| limit.rate_per_s);
    let limits: Vec<f64> = limits.filter(|limit| *limit > 0.0).collect();
    (!limits.is_empty()).then(|| limits.iter().sum::<f64>() / limits.len() as f64)
}

fn index_keys(tenants: &[Tenant]) -> HashMap<KeyDigest, usize> {
    let positions = tenants.iter().enumerate();
    let keys = positions.flat_map(|(position, tenant)| {
        let keys = tenant.keys.iter();
        keys.map(move |key| (*key, position))
    });
    keys.collect()
}

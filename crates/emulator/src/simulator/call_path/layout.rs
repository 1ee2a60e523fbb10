//! A scenario whose names are resolved to indices.

use std::time::Duration;

use wharfquay_core::call::Repeatability;
use wharfquay_core::priority::Priority;
use wharfquay_core::routing::EndpointId;

use crate::scenario::{RequestModel, Scenario, StepModel};

/// A deployment by index. The nodes are numbered: first the edges, one for each zone, then the daemons,
/// one for each backend.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The services.
    pub services: Vec<ServiceLayout>,
    /// The request kinds.
    pub kinds: Vec<KindLayout>,
    /// The backends.
    pub backends: Vec<BackendLayout>,
    /// One-way latency inside a zone.
    pub same_zone: Duration,
    /// One-way latency between zones.
    pub between_zones: Duration,
    /// One-way latency between caller and edge.
    pub client: Duration,
    /// Largest number of attempts that a caller makes for one request.
    pub caller_attempts: u32,
    /// Time that an impatient caller waits before it repeats a request.
    pub caller_wait: Duration,
    /// Share of impatient callers, 0 to 1.
    pub impatient_share: f64,
}

/// A service.
#[derive(Clone, Debug)]
pub struct ServiceLayout {
    /// Name of the service.
    pub name: String,
    /// Number of requests that a backend executes concurrently.
    pub slots: u32,
    /// Number of connections that a backend accepts.
    pub connections: u32,
    /// Time to open a connection.
    pub connect: Duration,
    /// Time until a cold backend is warm.
    pub cold_start: Duration,
    /// Backends of the service, as indices into [`Layout::backends`].
    pub backends: Vec<usize>,
}

/// A backend.
#[derive(Clone, Debug)]
pub struct BackendLayout {
    /// Index of the service that the backend belongs to.
    pub service: usize,
    /// Index of the zone in which the backend runs.
    pub zone: usize,
    /// Endpoint id of the backend for routing.
    pub id: EndpointId,
}

/// A request kind.
#[derive(Clone, Debug)]
pub struct KindLayout {
    /// Name of the request kind.
    pub name: String,
    /// Index of the service that receives the request from the edge.
    pub entry: usize,
    /// Priority; the lowest number is the most important.
    pub priority: Priority,
    /// Time after which a complete response is worthless to the caller.
    pub deadline: Duration,
    /// Whether a request of this kind may run more than once.
    pub repeatability: Repeatability,
    /// Arrivals per second outside the surge.
    pub rate: f64,
    /// The step of each service, by index of the service; `None` if the service has no part in the
    /// request.
    pub steps: Vec<Option<StepLayout>>,
}

/// The work and the downstream calls of one service for a request kind.
#[derive(Clone, Debug)]
pub struct StepLayout {
    /// Mean execution time, without downstream calls.
    pub work: Duration,
    /// Indices of the services that are called after the work.
    pub calls: Vec<usize>,
    /// True if the services are called concurrently, false if one after the other.
    pub concurrent: bool,
}

impl Layout {
    /// Resolves a scenario that has been validated.
    #[must_use]
    pub fn new(scenario: &Scenario) -> Self {
        let mut layout = Self {
            zones: scenario.zones.clone(),
            services: Vec::new(),
            kinds: Vec::new(),
            backends: Vec::new(),
            same_zone: Duration::from_micros(scenario.latency.same_zone_us),
            between_zones: Duration::from_micros(scenario.latency.between_zones_us),
            client: Duration::from_micros(scenario.latency.client_us),
            caller_attempts: scenario.callers.attempts.max(1),
            caller_wait: Duration::from_millis(scenario.callers.retry_wait_ms),
            impatient_share: scenario.callers.impatient_share,
        };
        for service in &scenario.services {
            layout.add_service(service);
        }
        for request in &scenario.requests {
            layout.kinds.push(kind_layout(scenario, request));
        }
        layout
    }

    /// Returns the index of the node (edges first, then daemons) whose daemon runs beside this backend.
    #[must_use]
    pub fn node_of(&self, backend: usize) -> usize {
        self.zones.len() + backend
    }

    /// Returns the index of the backend beside which a node's daemon runs; `None` if the node is an edge.
    #[must_use]
    pub fn backend_of(&self, node: usize) -> Option<usize> {
        node.checked_sub(self.zones.len())
    }

    /// Returns the index of the zone in which a node, an edge or a daemon, runs.
    #[must_use]
    pub fn zone_of(&self, node: usize) -> usize {
        self.backend_of(node)
            .map_or(node, |backend| self.backends[backend].zone)
    }

    /// Returns the one-way latency between two nodes.
    #[must_use]
    pub fn latency(&self, from: usize, to: usize) -> Duration {
        if self.zone_of(from) == self.zone_of(to) {
            self.same_zone
        } else {
            self.between_zones
        }
    }

    fn add_service(&mut self, model: &crate::scenario::ServiceModel) {
        let service = self.services.len();
        let first = self.backends.len();
        for number in 0..model.backends as usize {
            self.backends.push(BackendLayout {
                service,
                zone: number % self.zones.len(),
                id: EndpointId::from(format!("{}-{number}", model.name)),
            });
        }
        self.services.push(ServiceLayout {
            name: model.name.clone(),
            slots: model.slots,
            connections: model.connections,
            connect: Duration::from_micros(model.connect_us),
            cold_start: Duration::from_millis(model.cold_start_ms),
            backends: (first..self.backends.len()).collect(),
        });
    }
}

fn kind_layout(scenario: &Scenario, request: &RequestModel) -> KindLayout {
    let step_of = |name: &str| {
        let step = request.step(name)?;
        Some(step_layout(scenario, step))
    };
    KindLayout {
        name: request.kind.clone(),
        entry: index_of(scenario, &request.entry),
        priority: Priority::new(request.priority).unwrap_or(Priority::LOWEST),
        deadline: Duration::from_millis(request.deadline_ms),
        repeatability: if request.repeatable {
            Repeatability::Repeatable
        } else {
            Repeatability::AtMostOnce
        },
        rate: request.rate,
        steps: scenario
            .services
            .iter()
            .map(|service| step_of(&service.name))
            .collect(),
    }
}

fn step_layout(scenario: &Scenario, step: &StepModel) -> StepLayout {
    StepLayout {
        work: Duration::from_micros(step.work_us),
        calls: step
            .calls
            .iter()
            .map(|name| index_of(scenario, name))
            .collect(),
        concurrent: step.concurrent,
    }
}

/// Returns the index of a service. A validated scenario lists each name that it uses.
fn index_of(scenario: &Scenario, name: &str) -> usize {
    let found = scenario
        .services
        .iter()
        .position(|service| service.name == name);
    found.unwrap_or(0)
}

//! A scenario with its names resolved to indices.

use std::time::Duration;

use wharfquay_core::call::Repeatability;
use wharfquay_core::priority::Priority;
use wharfquay_core::routing::EndpointId;

use crate::scenario::{RequestModel, Scenario, StepModel};

/// A deployment by index: zones first have an edge each, then come the daemons of the back ends.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The services.
    pub services: Vec<ServiceLayout>,
    /// The request kinds.
    pub kinds: Vec<KindLayout>,
    /// The back ends.
    pub backends: Vec<BackendLayout>,
    /// One-way latency inside a zone.
    pub same_zone: Duration,
    /// One-way latency between zones.
    pub between_zones: Duration,
    /// One-way latency between caller and edge.
    pub client: Duration,
    /// Attempts of a caller.
    pub caller_attempts: u32,
    /// Wait of an impatient caller.
    pub caller_wait: Duration,
    /// Share of impatient callers.
    pub impatient_share: f64,
}

/// A service.
#[derive(Clone, Debug)]
pub struct ServiceLayout {
    /// Its name.
    pub name: String,
    /// Requests that a back end executes at a time.
    pub slots: u32,
    /// Connections that a back end accepts.
    pub connections: u32,
    /// Time to open a connection.
    pub connect: Duration,
    /// Time until a cold back end is warm.
    pub cold_start: Duration,
    /// Its back ends, as indices into [`Layout::backends`].
    pub backends: Vec<usize>,
}

/// A back end.
#[derive(Clone, Debug)]
pub struct BackendLayout {
    /// Its service.
    pub service: usize,
    /// Its zone.
    pub zone: usize,
    /// Its name for routing.
    pub id: EndpointId,
}

/// A request kind.
#[derive(Clone, Debug)]
pub struct KindLayout {
    /// Its name.
    pub name: String,
    /// Service that it is addressed to.
    pub entry: usize,
    /// Importance.
    pub priority: Priority,
    /// Time in which the whole answer is worth something.
    pub deadline: Duration,
    /// Whether it may run twice.
    pub repeatability: Repeatability,
    /// Arrivals per second before the surge.
    pub rate: f64,
    /// What each service does for it, by index of the service.
    pub steps: Vec<Option<StepLayout>>,
}

/// What a service does for a request kind.
#[derive(Clone, Debug)]
pub struct StepLayout {
    /// Mean work.
    pub work: Duration,
    /// Services called after the work.
    pub calls: Vec<usize>,
    /// Whether they are called at the same time.
    pub concurrent: bool,
}

impl Layout {
    /// Resolves a valid scenario.
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
            layout.kinds.push(kind(scenario, request));
        }
        layout
    }

    /// Node of the daemon beside a back end.
    #[must_use]
    pub fn node_of(&self, backend: usize) -> usize {
        self.zones.len() + backend
    }

    /// Back end beside a node's daemon; `None` for an edge.
    #[must_use]
    pub fn backend_of(&self, node: usize) -> Option<usize> {
        node.checked_sub(self.zones.len())
    }

    /// Zone of a node.
    #[must_use]
    pub fn zone_of(&self, node: usize) -> usize {
        self.backend_of(node)
            .map_or(node, |backend| self.backends[backend].zone)
    }

    /// One-way latency between two nodes.
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

fn kind(scenario: &Scenario, request: &RequestModel) -> KindLayout {
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

/// Index of a service; the scenario was validated, so each name is listed.
fn index_of(scenario: &Scenario, name: &str) -> usize {
    let found = scenario
        .services
        .iter()
        .position(|service| service.name == name);
    found.unwrap_or(0)
}

//! Event loop and state of a simulated deployment.

mod announcements;
mod caller;
mod execution;
mod faults;
mod inbound;
mod outgoing;
mod retries;

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::admission::{AdmissionController, AdmissionSettings, PathLevels};
use wharfquay_core::priority::Priority;
use wharfquay_core::rate_limit::AnnouncedLimit;
use wharfquay_core::retry::DestinationBudget;
use wharfquay_core::routing::{Endpoint, EndpointState, Router, RouterSettings, Zone};
use wharfquay_core::time::Timestamp;

use super::arena::Arena;
use super::arrivals::{Arrival, arrivals};
use super::backend::Backend;
use super::call::{Execution, OutgoingCall, Request, RequestId};
use super::event::{Event, EventQueue};
use super::layout::Layout;
use super::node::Node;
use super::policy::{Policy, static_settings};
use super::record::{KindRecord, RunRecord, ServiceRecord, SessionRecord};
use super::settings::RunSettings;

/// Retry budget per destination: retries as a fraction of successful calls.
const BUDGET_RATIO: f64 = 0.1;
/// Time for which the run continues after the last arrival to let calls in flight complete.
const COMPLETION_TIME: Duration = Duration::from_secs(10);

/// Runs a scenario under one policy and returns its record.
#[must_use]
pub fn simulate(layout: &Layout, settings: &RunSettings) -> RunRecord {
    let mut engine = Engine::new(layout, settings);
    engine.run();
    engine.finish()
}

struct Engine<'run> {
    layout: &'run Layout,
    settings: &'run RunSettings,
    now: Timestamp,
    events: EventQueue,
    routing_rng: Pcg64Mcg,
    fault_rng: Pcg64Mcg,
    arrivals: Vec<Arrival>,
    nodes: Vec<Node>,
    backends: Vec<Backend>,
    requests: Arena<Request>,
    outgoing: Arena<OutgoingCall>,
    executions: Arena<Execution>,
    /// Factor on the execution time of each service during the surge.
    slow: Vec<f64>,
    /// Time of the last dispatch by service and priority.
    last_dispatch: Vec<[Option<Timestamp>; Priority::COUNT]>,
    record: RunRecord,
}

impl<'run> Engine<'run> {
    fn new(layout: &'run Layout, settings: &'run RunSettings) -> Self {
        let arrivals = arrivals(layout, settings);
        let mut engine = Self {
            layout,
            settings,
            now: Timestamp::ZERO,
            events: EventQueue::default(),
            routing_rng: Pcg64Mcg::seed_from_u64(settings.seed ^ 0x0052_4F55_5445),
            fault_rng: Pcg64Mcg::seed_from_u64(settings.seed ^ 0x0046_4155_4C54),
            nodes: Vec::new(),
            backends: Vec::new(),
            requests: Arena::default(),
            outgoing: Arena::default(),
            executions: Arena::default(),
            slow: slow_factors(layout, settings),
            last_dispatch: vec![[None; Priority::COUNT]; layout.services.len()],
            record: RunRecord {
                sessions: arrivals.iter().map(session).collect(),
                services: vec![Default::default(); layout.services.len()],
                kinds: vec![KindRecord::default(); layout.kinds.len()],
                announcements: announcements::records(layout, settings),
                events: 0,
            },
            arrivals,
        };
        engine.build();
        engine
    }

    fn build(&mut self) {
        for backend in &self.layout.backends {
            let service = &self.layout.services[backend.service];
            self.backends.push(Backend::new(
                service.slots,
                service.connections,
                service.cold_start,
            ));
        }
        for node in 0..self.layout.zones.len() + self.layout.backends.len() {
            let node = self.new_node(node);
            self.nodes.push(node);
        }
        for (session, arrival) in self.arrivals.iter().enumerate() {
            let at = arrival.at + self.layout.client;
            self.events.add(at, Event::CallerAttempt { session });
        }
        self.schedule_kills();
    }

    fn new_node(&self, node: usize) -> Node {
        let services = self.layout.services.len();
        let routers = (0..services).map(|service| self.new_router(node, service));
        Node {
            admission: self.new_admission(node),
            limit: AnnouncedLimit::default(),
            is_leaving: false,
            wake_at: None,
            routers: routers.collect(),
            budgets: vec![DestinationBudget::new(BUDGET_RATIO, self.now); services],
            levels: PathLevels::new(),
        }
    }

    fn new_router(&self, node: usize, service: usize) -> Router {
        let zone = self.zone_name(self.layout.zone_of(node));
        let mut router = Router::new(RouterSettings::default(), zone);
        router.set_endpoints(self.now, self.endpoints(service));
        router
    }

    fn endpoints(&self, service: usize) -> Vec<Endpoint> {
        let model = &self.layout.services[service];
        let endpoint = |&backend: &usize| Endpoint {
            id: self.layout.backends[backend].id.clone(),
            zone: self.zone_name(self.layout.backends[backend].zone),
            incarnation: self.backends[backend].incarnation,
            state: EndpointState::Live,
            started_at: self.backends[backend].started_at(),
            slots: self.reported_slots(model.slots),
            connections: model.connections,
        };
        model.backends.iter().map(endpoint).collect()
    }

    fn zone_name(&self, zone: usize) -> Zone {
        Zone::from(self.layout.zones[zone].as_str())
    }

    fn reported_slots(&self, slots: u32) -> u32 {
        let factor = self.settings.mechanisms.reported_slots;
        (f64::from(slots) * factor).round().max(1.0) as u32
    }

    fn new_admission(&self, node: usize) -> Option<AdmissionController> {
        let backend = self.layout.backend_of(node)?;
        let service = &self.layout.services[self.layout.backends[backend].service];
        let settings = match self.settings.policy {
            Policy::None => return None,
            Policy::Static => static_settings(),
            Policy::Wharfquay => self.settings.mechanisms.admission.clone(),
        };
        let settings = AdmissionSettings {
            initial_limit: self.reported_slots(service.slots),
            maximum_limit: service.connections,
            ..settings
        };
        Some(AdmissionController::new(settings, self.now))
    }

    fn run(&mut self) {
        let end = Timestamp::ZERO + self.settings.total() + COMPLETION_TIME;
        while let Some((at, event)) = self.events.next() {
            if at > end {
                return;
            }
            self.now = at;
            self.record.events += 1;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallerAttempt { session } => self.caller_attempt_arrives(session),
            Event::Deadline { request } => self.deadline_expires(request),
            Event::ArriveAtDaemon { execution } => self.arrive_at_daemon(execution),
            Event::Connected { execution } => self.connected(execution),
            Event::WorkDone { execution } => self.work_done(execution),
            Event::Response {
                outgoing,
                execution,
                response,
            } => self.response_arrives(outgoing, execution, response),
            Event::AttemptTimeout {
                outgoing,
                execution,
            } => self.attempt_times_out(outgoing, execution),
            Event::Retry { outgoing } => self.start_attempt(outgoing),
            Event::Wake { node } => self.wake(node),
            Event::Kill { node } => self.kill(node),
            Event::Restart { node } => self.restart(node),
        }
    }

    /// Returns the record. Requests that are still pending count neither as useful nor as wasted work.
    fn finish(self) -> RunRecord {
        self.record
    }

    fn is_naive(&self) -> bool {
        self.settings.policy.is_naive()
    }

    /// Returns the record of a service for the priority of a request; `None` outside the surge and for a
    /// request that is no longer known.
    fn service_record(&mut self, service: usize, request: RequestId) -> Option<&mut ServiceRecord> {
        if !self.in_surge() {
            return None;
        }
        let priority = self.requests.get(request)?.key.priority();
        Some(&mut self.record.services[service][priority.index()])
    }

    fn in_surge(&self) -> bool {
        let start = Timestamp::ZERO + self.settings.before;
        self.now >= start && self.now < start + self.settings.surge
    }
}

const fn session(arrival: &Arrival) -> SessionRecord {
    SessionRecord {
        kind: arrival.kind,
        arrived: arrival.at,
        complete_response_at: None,
        attempts: 0,
        effects: 0,
    }
}

fn slow_factors(layout: &Layout, settings: &RunSettings) -> Vec<f64> {
    let factor_of = |name: &str| {
        let slow = settings.slow.iter().find(|slow| slow.service == name);
        slow.map_or(1.0, |slow| slow.factor)
    };
    layout
        .services
        .iter()
        .map(|service| factor_of(&service.name))
        .collect()
}

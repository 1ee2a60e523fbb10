//! Routes: for each service a router, a retry budget and the addresses of its endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use wharfquay_core::priority::AdmissionKey;
use wharfquay_core::retry::{
    BudgetSettings, DestinationBudget, Ledger, RetryDecision, RetryQuestion, authorize,
};
use wharfquay_core::routing::{
    Endpoint, EndpointId, Observation, Pick, PickRequest, Router, RouterSettings, Zone,
};
use wharfquay_core::time::Timestamp;
use wharfquay_resources::kinds::Service;
use wharfquay_resources::snapshot::Snapshot;

use crate::answer::Failure;
use crate::control::{EndpointRecord, EndpointTable};
use crate::sync::lock;

/// Name of the retry budget whose ratio bounds retries per destination.
const DEFAULT_BUDGET: &str = "default";

/// An endpoint that was picked for an attempt; the router counts the attempt until it is observed.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) id: EndpointId,
    pub(crate) address: SocketAddr,
}

/// How the calls of this daemon to one service are routed.
#[derive(Debug)]
pub(crate) struct Route {
    state: Mutex<RouteState>,
}

#[derive(Debug)]
struct RouteState {
    router: Router,
    budget: DestinationBudget,
    known: HashMap<EndpointId, KnownEndpoint>,
}

#[derive(Clone, Copy, Debug)]
struct KnownEndpoint {
    address: SocketAddr,
    incarnation: u64,
    started_at: Option<Timestamp>,
}

impl Route {
    fn new(zone: &Zone, now: Timestamp) -> Self {
        Self {
            state: Mutex::new(RouteState {
                router: Router::new(RouterSettings::default(), zone.clone()),
                budget: DestinationBudget::with_settings(BudgetSettings::default(), now),
                known: HashMap::new(),
            }),
        }
    }

    /// Picks an endpoint and counts the attempt there.
    ///
    /// # Errors
    /// What to answer when no endpoint can take the call.
    pub(crate) fn pick(
        &self,
        now: Timestamp,
        key: AdmissionKey,
        excluded: &[EndpointId],
    ) -> Result<Target, Failure> {
        let mut state = lock(&self.state);
        let request = PickRequest { key, excluded };
        let id = match state.router.pick(now, &mut rand::rng(), &request) {
            Pick::Endpoint(id) => id,
            Pick::None {
                reason,
                retry_after,
            } => return Err(Failure::with_retry_after(reason, retry_after)),
        };
        let Some(known) = state.known.get(&id) else {
            return Err(Failure::new(wharfquay_core::outcome::ResultCode::NoBackend));
        };
        let address = known.address;
        state.router.dispatched(now, &id);
        Ok(Target { id, address })
    }

    /// Whether another endpoint could take the call.
    pub(crate) fn can_pick(
        &self,
        now: Timestamp,
        key: AdmissionKey,
        excluded: &[EndpointId],
    ) -> bool {
        let request = PickRequest { key, excluded };
        lock(&self.state).router.can_pick(now, &request)
    }

    /// Takes in the end of an attempt.
    pub(crate) fn observe(&self, now: Timestamp, endpoint: &EndpointId, seen: Observation) {
        let mut state = lock(&self.state);
        if seen.outcome == wharfquay_core::outcome::OutcomeClass::Run {
            state.budget.record_success(now);
        }
        state.router.observe(now, endpoint, seen);
    }

    /// Takes in the end of an attempt that says nothing about the endpoint.
    pub(crate) fn abandoned(&self, endpoint: &EndpointId) {
        lock(&self.state).router.abandoned(endpoint);
    }

    /// Keeps calls away from an endpoint that refused one as leaving.
    pub(crate) fn refused_as_leaving(&self, now: Timestamp, endpoint: &EndpointId) {
        lock(&self.state).router.refused_as_leaving(now, endpoint);
    }

    /// Keeps calls away from an endpoint whose connections are used up.
    pub(crate) fn connection_refused(&self, now: Timestamp, endpoint: &EndpointId) {
        lock(&self.state).router.connection_refused(now, endpoint);
    }

    /// Decides on a retry and pays for it.
    pub(crate) fn authorize(&self, question: &RetryQuestion, ledger: &mut Ledger) -> RetryDecision {
        authorize(question, ledger, &mut lock(&self.state).budget)
    }

    fn update(&self, now: Timestamp, service: &Service, budget: BudgetSettings, listed: Listed) {
        let mut state = lock(&self.state);
        state.router.reconfigure(RouterSettings {
            warm_up: Duration::from_millis(u64::from(service.warm_up_ms)),
            ..RouterSettings::default()
        });
        state.budget.reconfigure(budget, now);
        state.set_endpoints(now, service, listed);
    }
}

/// The endpoints of a service as the control side lists them.
#[derive(Clone, Copy)]
struct Listed<'a> {
    records: &'a [EndpointRecord],
    first: bool,
}

impl RouteState {
    /// Endpoints that appear after the first list are cold.
    fn set_endpoints(&mut self, now: Timestamp, service: &Service, listed: Listed<'_>) {
        let mut known = HashMap::with_capacity(listed.records.len());
        let mut endpoints = Vec::with_capacity(listed.records.len());
        for record in listed.records {
            let before = self
                .known
                .get(&record.id)
                .filter(|known| known.incarnation == record.incarnation);
            let appeared = (!listed.first).then_some(now);
            let started_at = before.map_or(appeared, |known| known.started_at);
            known.insert(
                record.id.clone(),
                KnownEndpoint {
                    address: record.call_address,
                    incarnation: record.incarnation,
                    started_at,
                },
            );
            endpoints.push(Endpoint {
                id: record.id.clone(),
                zone: record.zone.clone(),
                incarnation: record.incarnation,
                state: record.state,
                started_at,
                slots: service.slots,
                connections: service.connections,
            });
        }
        self.known = known;
        self.router.set_endpoints(now, endpoints);
    }
}

/// The routes to every configured service.
#[derive(Debug)]
pub(crate) struct RouteTable {
    zone: Zone,
    routes: RwLock<HashMap<String, Arc<Route>>>,
}

impl RouteTable {
    pub(crate) fn new(zone: Zone) -> Self {
        Self {
            zone,
            routes: RwLock::default(),
        }
    }

    /// The route to a service, if it is configured.
    pub(crate) fn get(&self, service: &str) -> Option<Arc<Route>> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        routes.get(service).cloned()
    }

    /// Takes over a configuration and the endpoints that are known.
    pub(crate) fn update(&self, now: Timestamp, snapshot: &Snapshot, endpoints: &EndpointTable) {
        let budget = budget_settings(snapshot);
        let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        routes.retain(|name, _| snapshot.services.contains_key(name));
        for (name, service) in &snapshot.services {
            let listed = Listed {
                records: endpoints.of_service(name),
                first: !routes.contains_key(name),
            };
            let route = routes
                .entry(name.clone())
                .or_insert_with(|| Arc::new(Route::new(&self.zone, now)));
            route.update(now, service, budget, listed);
        }
    }
}

fn budget_settings(snapshot: &Snapshot) -> BudgetSettings {
    let defaults = BudgetSettings::default();
    snapshot
        .retry_budgets
        .get(DEFAULT_BUDGET)
        .map_or(defaults, |budget| BudgetSettings {
            ratio: budget.ratio,
            ..defaults
        })
}

//! Routes: for each service a router, a retry budget and the addresses of its endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use wharfquay_core::priority::{AdmissionKey, AdmissionLevel};
use wharfquay_core::retry::{
    BudgetSettings, DestinationBudget, Ledger, RetryDecision, RetryQuestion, authorize,
};
use wharfquay_core::routing::{
    Endpoint, EndpointId, Observation, Pick, PickRequest, Router, RouterSettings, SubsetSettings,
    UNKNOWN_INCARNATION, Zone,
};
use wharfquay_core::time::Timestamp;
use wharfquay_resources::kinds::Service;
use wharfquay_resources::snapshot::Snapshot;

use crate::answer::Failure;
use crate::control::{EndpointRecord, EndpointTable};
use crate::sync::lock;

/// Name of the retry budget whose ratio bounds retries per destination.
const DEFAULT_BUDGET: &str = "default";

/// The daemon beside a back end keeps the back end's connection limit, and a call that waits in its
/// queue holds no connection. Counting calls in flight against that limit here would refuse important
/// calls because of less important ones that wait.
const CONNECTIONS_NOT_COUNTED: u32 = u32::MAX;

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
    applied: Option<RoutePlan>,
}

/// What the control side says of the way to one service.
#[derive(Clone, Debug, PartialEq)]
struct RoutePlan {
    service: Service,
    budget: BudgetSettings,
    subset: SubsetSettings,
    endpoints: Vec<EndpointRecord>,
}

impl RoutePlan {
    /// As `self == other`, without copying what is compared.
    fn is(
        &self,
        service: &Service,
        budget: BudgetSettings,
        subset: &SubsetSettings,
        endpoints: &[EndpointRecord],
    ) -> bool {
        self.service == *service
            && self.budget == budget
            && self.subset == *subset
            && self.endpoints == endpoints
    }
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
                applied: None,
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

    /// Level of the most open endpoint.
    pub(crate) fn level(&self, now: Timestamp) -> AdmissionLevel {
        lock(&self.state).router.level(now)
    }

    /// Refuses a call that the levels of all endpoints refuse.
    ///
    /// # Errors
    /// The refusal, with the time until an endpoint may admit the call.
    pub(crate) fn check_level(&self, now: Timestamp, key: AdmissionKey) -> Result<(), Failure> {
        let state = lock(&self.state);
        if state.router.level(now).admits(key) {
            return Ok(());
        }
        let request = PickRequest { key, excluded: &[] };
        match state.router.pick(now, &mut rand::rng(), &request) {
            Pick::Endpoint(_) => Ok(()),
            Pick::None {
                reason,
                retry_after,
            } => Err(Failure::with_retry_after(reason, retry_after)),
        }
    }

    /// Takes in the end of an attempt and the incarnation that answered it, as far as it is known.
    pub(crate) fn observe(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: u64,
        seen: Observation,
    ) {
        let mut state = lock(&self.state);
        state.heard_incarnation(now, endpoint, incarnation);
        if seen.outcome == wharfquay_core::outcome::OutcomeClass::Run {
            state.budget.record_success(now);
        }
        state.router.observe(now, endpoint, seen);
    }

    /// The incarnation of an endpoint, as far as it is known; `None` for one that is not listed.
    pub(crate) fn incarnation(&self, endpoint: &EndpointId) -> Option<u64> {
        let state = lock(&self.state);
        state.known.get(endpoint).map(|known| known.incarnation)
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

    /// Takes over what the control side says, unless it says what it said before.
    fn update(
        &self,
        now: Timestamp,
        service: &Service,
        budget: BudgetSettings,
        subset: SubsetSettings,
        endpoints: &[EndpointRecord],
    ) {
        let mut state = lock(&self.state);
        let applied = state.applied.as_ref();
        if applied.is_some_and(|applied| applied.is(service, budget, &subset, endpoints)) {
            return;
        }
        let plan = RoutePlan {
            service: service.clone(),
            budget,
            subset,
            endpoints: endpoints.to_vec(),
        };
        state.apply(now, &plan);
        state.applied = Some(plan);
    }
}

impl RouteState {
    fn incarnation(&self, endpoint: &EndpointId) -> u64 {
        let known = self.known.get(endpoint);
        known.map_or(UNKNOWN_INCARNATION, |known| known.incarnation)
    }

    fn heard_incarnation(&mut self, now: Timestamp, endpoint: &EndpointId, incarnation: u64) {
        let Some(known) = self.known.get_mut(endpoint) else {
            return;
        };
        if known.incarnation != UNKNOWN_INCARNATION && incarnation > known.incarnation {
            known.started_at = Some(now);
        }
        known.incarnation = known.incarnation.max(incarnation);
        self.router.heard_incarnation(now, endpoint, incarnation);
    }

    fn apply(&mut self, now: Timestamp, plan: &RoutePlan) {
        self.router.reconfigure(RouterSettings {
            warm_up: Duration::from_millis(u64::from(plan.service.warm_up_ms)),
            subset: Some(plan.subset.clone()),
            ..RouterSettings::default()
        });
        self.budget.reconfigure(plan.budget, now);
        self.set_endpoints(now, plan);
    }

    /// Endpoints that appear after the first list are cold.
    fn set_endpoints(&mut self, now: Timestamp, plan: &RoutePlan) {
        let is_first_list = self.known.is_empty();
        let mut known = HashMap::with_capacity(plan.endpoints.len());
        let mut endpoints = Vec::with_capacity(plan.endpoints.len());
        for record in &plan.endpoints {
            let incarnation = record.incarnation.max(self.incarnation(&record.id));
            let before = self
                .known
                .get(&record.id)
                .filter(|known| [UNKNOWN_INCARNATION, incarnation].contains(&known.incarnation));
            let appeared = (!is_first_list).then_some(now);
            let started_at = before.map_or(appeared, |known| known.started_at);
            known.insert(
                record.id.clone(),
                KnownEndpoint {
                    address: record.call_address,
                    incarnation,
                    started_at,
                },
            );
            endpoints.push(Endpoint {
                id: record.id.clone(),
                zone: record.zone.clone(),
                incarnation,
                state: record.state,
                started_at,
                slots: plan.service.slots,
                connections: CONNECTIONS_NOT_COUNTED,
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
    /// Id of this daemon, by which its subsets are chosen.
    caller: String,
    routes: RwLock<HashMap<String, Arc<Route>>>,
}

impl RouteTable {
    pub(crate) fn new(zone: Zone, caller: &str) -> Self {
        Self {
            zone,
            caller: caller.to_owned(),
            routes: RwLock::default(),
        }
    }

    /// The route to a service, if it is configured.
    pub(crate) fn get(&self, service: &str) -> Option<Arc<Route>> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        routes.get(service).cloned()
    }

    /// Takes over a configuration and the endpoints that are known. Calls go on meanwhile.
    pub(crate) fn update(&self, now: Timestamp, snapshot: &Snapshot, endpoints: &EndpointTable) {
        self.set_services(now, snapshot);
        let budget = budget_settings(snapshot);
        for (name, service) in &snapshot.services {
            if let Some(route) = self.get(name) {
                let subset = self.subset(service, endpoints.callers_of(name, snapshot));
                route.update(now, service, budget, subset, endpoints.of_service(name));
            }
        }
    }

    /// The subset with which the connections that a back end's daemon gets from its callers, one
    /// from each, stay under the connection limit of its service.
    fn subset(&self, service: &Service, callers: usize) -> SubsetSettings {
        let callers = u32::try_from(callers.max(1)).unwrap_or(u32::MAX);
        SubsetSettings {
            connection_limit: Some(service.connections),
            ..SubsetSettings::for_caller(&self.caller, callers)
        }
    }

    /// Makes the table have a route for each service and no other.
    fn set_services(&self, now: Timestamp, snapshot: &Snapshot) {
        let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        routes.retain(|name, _| snapshot.services.contains_key(name));
        for name in snapshot.services.keys() {
            if !routes.contains_key(name) {
                routes.insert(name.clone(), Arc::new(Route::new(&self.zone, now)));
            }
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

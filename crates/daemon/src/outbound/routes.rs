//! Routes to services: for each service a router, a retry budget and the endpoint addresses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use wharfquay_core::priority::{AdmissionKey, AdmissionLevel};
use wharfquay_core::retry::{
    BudgetSettings, DestinationBudget, Ledger, RetryDecision, RetryInput, authorize,
};
use wharfquay_core::routing::{
    Endpoint, EndpointId, Observation, Pick, PickRequest, Router, RouterSettings, SubsetSettings,
    UNKNOWN_INCARNATION, Zone,
};
use wharfquay_core::time::Timestamp;
use wharfquay_resources::kinds::Service;
use wharfquay_resources::snapshot::Snapshot;

use crate::control::{EndpointRecord, EndpointTable};
use crate::response::Failure;
use crate::sync::lock;

/// Name of the retry budget resource whose ratio limits retries per destination service.
const DEFAULT_BUDGET: &str = "default";

/// Connection limit passed to the router for each endpoint: none. The daemon beside a backend
/// enforces the backend's connection limit, and a call in its queue holds no connection. If calls
/// in flight counted against the limit here, waiting calls of low priority would cause the refusal
/// of calls of high priority.
const UNLIMITED_CONNECTIONS: u32 = u32::MAX;

/// The endpoint picked for an attempt. The router counts the attempt as in flight until its result
/// is observed.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) id: EndpointId,
    pub(crate) address: SocketAddr,
}

/// Routes the calls of this daemon to one service.
#[derive(Debug)]
pub(crate) struct Route {
    state: Mutex<RouteState>,
}

#[derive(Debug)]
struct RouteState {
    router: Router,
    budget: DestinationBudget,
    known: HashMap<EndpointId, KnownEndpoint>,
    applied: Option<RouteConfig>,
}

/// The configuration of a route: service, retry budget, subset and endpoints.
#[derive(Clone, Debug, PartialEq)]
struct RouteConfig {
    service: Service,
    budget: BudgetSettings,
    subset: SubsetSettings,
    endpoints: Vec<EndpointRecord>,
}

impl RouteConfig {
    /// Compares like `==`, without copying the arguments into a value of this type.
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

    /// Picks an endpoint and counts the attempt as in flight there.
    ///
    /// # Errors
    /// The failure to report if no endpoint can take the call.
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

    /// Returns true if an endpoint that is not `excluded` can take the call.
    pub(crate) fn can_pick(
        &self,
        now: Timestamp,
        key: AdmissionKey,
        excluded: &[EndpointId],
    ) -> bool {
        let request = PickRequest { key, excluded };
        lock(&self.state).router.can_pick(now, &request)
    }

    /// Returns the common admission level of the endpoints; see [`Router::level`].
    pub(crate) fn level(&self, now: Timestamp) -> AdmissionLevel {
        lock(&self.state).router.level(now)
    }

    /// Refuses a call that neither the endpoints' common level nor any single endpoint admits.
    ///
    /// # Errors
    /// The refusal, with the time after which an endpoint may admit the call.
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

    /// Records the result of an attempt and the incarnation of the daemon that responded; zero if
    /// it is unknown.
    pub(crate) fn observe(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: u64,
        observation: Observation,
    ) {
        let mut state = lock(&self.state);
        state.record_incarnation(now, endpoint, incarnation);
        if observation.outcome == wharfquay_core::outcome::OutcomeClass::Run {
            state.budget.record_success(now);
        }
        state.router.observe(now, endpoint, observation);
    }

    /// Returns the latest known incarnation of an endpoint, or `None` if the endpoint is not
    /// listed.
    pub(crate) fn incarnation(&self, endpoint: &EndpointId) -> Option<u64> {
        let state = lock(&self.state);
        state.known.get(endpoint).map(|known| known.incarnation)
    }

    /// Records a cancelled attempt, whose result shows nothing about the endpoint.
    pub(crate) fn discard_attempt(&self, endpoint: &EndpointId) {
        lock(&self.state).router.discard_attempt(endpoint);
    }

    /// Records for how long the rate limit of an endpoint leaves no room for calls. Until then others
    /// are preferred.
    pub(crate) fn record_rate_limit(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
        limited_for: Duration,
    ) {
        lock(&self.state)
            .router
            .record_rate_limit(now, endpoint, limited_for);
    }

    /// Stops sending calls to an endpoint that refused one because it is leaving.
    pub(crate) fn refused_as_leaving(&self, now: Timestamp, endpoint: &EndpointId) {
        lock(&self.state).router.refused_as_leaving(now, endpoint);
    }

    /// Stops sending calls for a while to an endpoint that has reached its connection limit.
    pub(crate) fn connection_refused(&self, now: Timestamp, endpoint: &EndpointId) {
        lock(&self.state).router.connection_refused(now, endpoint);
    }

    /// Decides whether to retry and, if so, charges the ledger and the destination budget.
    pub(crate) fn authorize(&self, input: &RetryInput, ledger: &mut Ledger) -> RetryDecision {
        authorize(input, ledger, &mut lock(&self.state).budget)
    }

    /// Applies a new configuration; does nothing if it equals the one already applied.
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
        let plan = RouteConfig {
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

    fn record_incarnation(&mut self, now: Timestamp, endpoint: &EndpointId, incarnation: u64) {
        let Some(known) = self.known.get_mut(endpoint) else {
            return;
        };
        if known.incarnation != UNKNOWN_INCARNATION && incarnation > known.incarnation {
            known.started_at = Some(now);
        }
        known.incarnation = known.incarnation.max(incarnation);
        self.router.record_incarnation(now, endpoint, incarnation);
    }

    fn apply(&mut self, now: Timestamp, plan: &RouteConfig) {
        self.router.reconfigure(RouterSettings {
            warm_up: Duration::from_millis(u64::from(plan.service.warm_up_ms)),
            subset: Some(plan.subset.clone()),
            ..RouterSettings::default()
        });
        self.budget.reconfigure(plan.budget, now);
        self.set_endpoints(now, plan);
    }

    /// Replaces the endpoints. Those that appear after the first list count as just started and are
    /// warmed up.
    fn set_endpoints(&mut self, now: Timestamp, plan: &RouteConfig) {
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
                connections: UNLIMITED_CONNECTIONS,
            });
        }
        self.known = known;
        self.router.set_endpoints(now, endpoints);
    }
}

/// The routes to all configured services.
#[derive(Debug)]
pub(crate) struct RouteTable {
    zone: Zone,
    /// Id of this daemon, which determines its subset of each service's endpoints.
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

    /// Returns the route to a service, or `None` if the service is not configured.
    pub(crate) fn get(&self, service: &str) -> Option<Arc<Route>> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        routes.get(service).cloned()
    }

    /// Applies a configuration and an endpoint table. Calls in flight continue.
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

    /// Returns the subset settings that keep the number of connections to the daemon beside a
    /// backend, one from each caller, within the connection limit of its service.
    fn subset(&self, service: &Service, callers: usize) -> SubsetSettings {
        let callers = u32::try_from(callers.max(1)).unwrap_or(u32::MAX);
        SubsetSettings {
            connection_limit: Some(service.connections),
            ..SubsetSettings::for_caller(&self.caller, callers)
        }
    }

    /// Adds routes for new services and removes those of services that are no longer configured.
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

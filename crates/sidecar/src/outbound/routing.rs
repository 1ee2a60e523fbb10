//! Routers and sidecar addresses per service, and the known admission levels of the paths below.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use wharfquay_core::admission::completion::{
    CompletionLimit, CompletionMeter, ExecutionResult, FULL_SHARE, LimitedKind, RequestResult,
};
use wharfquay_core::admission::{PathLevels, PathTiming, level_below};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::{AdmissionKey, AdmissionLevel, Priority};
use wharfquay_core::routing::{
    Endpoint, EndpointId, EndpointState, Observation, Pick, PickBasis, PickRequest, Router,
    RouterSettings, Zone,
};
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::response::Failure;
use wharfquay_daemon::sync::lock;
use wharfquay_membership::member::{Member, MemberProfile, MemberState};
use wharfquay_membership::table::MemberTable;
use wharfquay_protocol::response::ResponseMetadata;

use crate::events::Event;
use crate::log_event;

/// Number of concurrent executions assumed for an endpoint that has not reported its limit.
const ASSUMED_SLOTS: u32 = 16;
/// Time for which an endpoint that refused a call as leaving receives no calls.
const LEAVING_HOLD: Duration = Duration::from_millis(700);
/// Times for which the admission levels that services further down the call path report are used.
/// They are longer than the default: a sidecar that admits few requests of a kind receives few
/// responses that update the level, and a level that reopened between two of them would admit a
/// burst.
const PATH_TIMING: PathTiming = PathTiming {
    fresh_for: Duration::from_millis(500),
    reopened_after: Duration::from_millis(4_500),
};
/// Cost of the best endpoint of the local zone above which other zones are considered. At this cost
/// as many calls wait there as are executed. Traffic between zones is charged, and waiting for one
/// execution takes less time than deadlines leave (docs/design/decisions.md).
const SPILL_THRESHOLD: f64 = 2.0;
/// Maximum number of request kinds for which called services are tracked.
const MAX_TRACKED_KINDS: usize = 1_024;

/// A sidecar picked for an attempt. The router counts the attempt as in flight until its outcome is
/// observed.
#[derive(Clone, Debug)]
pub struct Target {
    /// Identity of the sidecar.
    pub id: EndpointId,
    /// Address for calls.
    pub address: SocketAddr,
    /// What was known of its load.
    pub basis: PickBasis,
}

/// Routes this sidecar's calls to one service.
#[derive(Debug)]
pub struct ServiceRouter {
    state: Mutex<RouterState>,
}

#[derive(Debug)]
struct RouterState {
    router: Router,
    addresses: HashMap<EndpointId, SocketAddr>,
    /// Members from which the router was built.
    listed: Vec<ListedMember>,
}

impl RouterState {
    /// Counts the attempt at a picked endpoint.
    fn dispatch(&mut self, now: Timestamp, picked: Pick) -> Result<Target, Failure> {
        let id = match picked {
            Pick::Endpoint(id) => id,
            Pick::None {
                reason,
                retry_after,
            } => return Err(Failure::with_retry_after(reason, retry_after)),
        };
        let address = self.addresses.get(&id).copied();
        let address = address.ok_or_else(|| Failure::new(ResultCode::NoBackend))?;
        let basis = self.router.pick_basis(now, &id);
        self.router.dispatched(now, &id);
        Ok(Target { id, address, basis })
    }
}

/// The properties of a member that its router depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ListedMember {
    profile: Arc<MemberProfile>,
    process: u64,
    state: EndpointState,
}

impl ListedMember {
    fn of(member: &Member) -> Self {
        Self {
            profile: Arc::clone(&member.profile),
            process: member.incarnation.process(),
            state: endpoint_state(member.state()),
        }
    }

    fn to_endpoint(&self) -> Endpoint {
        Endpoint {
            id: EndpointId::from(self.profile.id.as_str()),
            zone: Zone::from(self.profile.zone.as_str()),
            incarnation: self.process,
            state: self.state,
            started_at: None,
            slots: ASSUMED_SLOTS,
            connections: u32::MAX,
        }
    }
}

fn router_settings() -> RouterSettings {
    RouterSettings {
        warm_up: Duration::ZERO,
        leaving_hold: LEAVING_HOLD,
        spill_threshold: SPILL_THRESHOLD,
        ..RouterSettings::default()
    }
}

impl ServiceRouter {
    fn new(zone: &Zone) -> Self {
        Self {
            state: Mutex::new(RouterState {
                router: Router::new(router_settings(), zone.clone()),
                addresses: HashMap::new(),
                listed: Vec::new(),
            }),
        }
    }

    /// Picks an endpoint and counts the attempt there.
    ///
    /// # Errors
    /// The failure to report if no endpoint can take the call.
    pub fn pick(
        &self,
        now: Timestamp,
        key: AdmissionKey,
        excluded: &[EndpointId],
    ) -> Result<Target, Failure> {
        let request = PickRequest { key, excluded };
        let mut state = lock(&self.state);
        let picked = state.router.pick(now, &mut rand::rng(), &request);
        state.dispatch(now, picked)
    }

    /// Picks an endpoint like [`Self::pick`] for a call that another one refused because of its rate
    /// limit.
    ///
    /// # Errors
    /// The failure to report if no endpoint can take the call.
    pub fn pick_after_rate_limit(
        &self,
        now: Timestamp,
        key: AdmissionKey,
        excluded: &[EndpointId],
    ) -> Result<Target, Failure> {
        let request = PickRequest { key, excluded };
        let mut state = lock(&self.state);
        let router = &state.router;
        let picked = router.pick_after_rate_limit(now, &mut rand::rng(), &request);
        state.dispatch(now, picked)
    }

    /// Returns true if an endpoint that is not excluded can take the call.
    pub fn can_pick(&self, now: Timestamp, key: AdmissionKey, excluded: &[EndpointId]) -> bool {
        let request = PickRequest { key, excluded };
        lock(&self.state).router.can_pick(now, &request)
    }

    /// Returns true if an endpoint that is not excluded can take the call whose rate limit, if there is
    /// one, left room for all recent calls.
    pub fn can_pick_unlimited(
        &self,
        now: Timestamp,
        key: AdmissionKey,
        excluded: &[EndpointId],
    ) -> bool {
        let request = PickRequest { key, excluded };
        lock(&self.state).router.can_pick_unlimited(now, &request)
    }

    /// Returns the common admission level of the service's endpoints ([`AdmissionLevel::common`]).
    /// Endpoints that receive no calls for a while after a refusal or a termination are not
    /// counted. Open if there are no others.
    pub fn level(&self, now: Timestamp) -> AdmissionLevel {
        lock(&self.state).router.level(now)
    }

    /// Returns true if endpoints of the service report a slowdown.
    fn reports_slowdown(&self, now: Timestamp) -> bool {
        lock(&self.state).router.reports_execution(now)
    }

    /// Records the outcome of an attempt.
    pub fn observe(&self, now: Timestamp, endpoint: &EndpointId, seen: Observation) {
        lock(&self.state).router.observe(now, endpoint, seen);
    }

    /// Records the end of an attempt that provides no information about the endpoint.
    pub fn discard_attempt(&self, endpoint: &EndpointId) {
        lock(&self.state).router.discard_attempt(endpoint);
    }

    /// Stops calls to an endpoint for a while after it refused one because it can't take any.
    pub fn refused_as_leaving(&self, now: Timestamp, endpoint: &EndpointId) {
        lock(&self.state).router.refused_as_leaving(now, endpoint);
    }

    /// Records for how long the rate limit of an endpoint leaves no room for calls. Until then others
    /// are preferred.
    pub fn record_rate_limit(&self, now: Timestamp, endpoint: &EndpointId, limited_for: Duration) {
        lock(&self.state)
            .router
            .record_rate_limit(now, endpoint, limited_for);
    }

    /// Stops calls to an endpoint for a short time after it could not be reached.
    pub fn connection_refused(&self, now: Timestamp, endpoint: &EndpointId) {
        lock(&self.state).router.connection_refused(now, endpoint);
    }

    /// Applies the members of the service. Does nothing if none of them changed.
    fn set_members(&self, now: Timestamp, members: &[&Member]) {
        let listed = members.iter().map(|member| ListedMember::of(member));
        let listed: Vec<ListedMember> = listed.collect();
        let mut state = lock(&self.state);
        if listed == state.listed {
            return;
        }
        let addresses = listed.iter().map(|member| {
            let id = EndpointId::from(member.profile.id.as_str());
            (id, member.profile.call_address)
        });
        state.addresses = addresses.collect();
        let endpoints = listed.iter().map(ListedMember::to_endpoint).collect();
        state.router.set_endpoints(now, endpoints);
        state.listed = listed;
    }
}

const fn endpoint_state(state: MemberState) -> EndpointState {
    match state {
        MemberState::Alive | MemberState::Suspect => EndpointState::Live,
        MemberState::Leaving | MemberState::Dead => EndpointState::Leaving,
    }
}

/// The routers of all services with a known sidecar, and the levels of the paths below.
#[derive(Debug)]
pub struct Routing {
    clock: Clock,
    zone: Zone,
    services: RwLock<HashMap<String, Arc<ServiceRouter>>>,
    levels: Mutex<PathLevels>,
    /// Services that executions of a request kind at the local backend have called.
    called: Mutex<HashMap<String, BTreeSet<String>>>,
    /// Share of the executions at the local backend that complete, by request kind.
    meter: Mutex<CompletionMeter>,
    /// Limit on the requests of callers here that are started, while started ones fail.
    limit: Mutex<CompletionLimit>,
}

impl Routing {
    /// Creates a routing table without services.
    #[must_use]
    pub fn new(clock: Clock, zone: &str) -> Arc<Self> {
        Arc::new(Self {
            clock,
            zone: Zone::from(zone),
            services: RwLock::default(),
            levels: Mutex::new(PathLevels::with_timing(PATH_TIMING)),
            called: Mutex::default(),
            meter: Mutex::default(),
            limit: Mutex::default(),
        })
    }

    /// Returns the router of a service; `None` if no sidecar of it is known.
    pub fn service(&self, name: &str) -> Option<Arc<ServiceRouter>> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.get(name).cloned()
    }

    /// Returns true if backends of a service report how long work takes at the moment.
    #[must_use]
    pub fn reports_slowdown(&self, service: &str) -> bool {
        let router = self.service(service);
        router.is_some_and(|router| router.reports_slowdown(self.clock.now()))
    }

    /// Applies the current member table. Calls continue meanwhile.
    pub fn update(&self, table: &MemberTable) {
        let now = self.clock.now();
        let mut by_service: HashMap<&str, Vec<&Member>> = HashMap::new();
        for member in table.members().filter(|member| member.is_live()) {
            if let Some(service) = &member.profile.service {
                by_service.entry(service).or_default().push(member);
            }
        }
        let mut services = self
            .services
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        for (name, members) in &by_service {
            let router = services
                .entry((*name).to_owned())
                .or_insert_with(|| Arc::new(ServiceRouter::new(&self.zone)));
            router.set_members(now, members);
        }
        for (name, router) in services.iter() {
            if !by_service.contains_key(name.as_str()) {
                router.set_members(now, &[]);
            }
        }
    }

    /// Refuses a request for which the path below its service lacks capacity, or whose kind is
    /// limited because started requests fail; otherwise returns the level that it passed.
    ///
    /// # Errors
    /// The refusal, with the time after which the path may admit the request.
    pub fn check_path(
        &self,
        service: &str,
        request_kind: &str,
        key: AdmissionKey,
    ) -> Result<AdmissionLevel, Failure> {
        let now = self.clock.now();
        // The limit counts all requests, those included that the level refuses.
        let within_limit = lock(&self.limit).admit(now, service, request_kind, key);
        let levels = lock(&self.levels);
        if let Err(refusal) = levels.admits(now, service, request_kind, key) {
            let code = ResultCode::RefusedByLevel;
            return Err(Failure::with_retry_after(code, refusal.retry_after));
        }
        match within_limit {
            Ok(limit) => Ok(limit.fold(levels.level(now, service, request_kind))),
            Err(refusal) => {
                let code = ResultCode::RefusedByCompletionLimit;
                Err(Failure::with_retry_after(code, refusal.retry_after))
            }
        }
    }

    /// Records the result of an attempt for a request of a caller here.
    pub fn observe_result(&self, service: &str, request_kind: &str, result: &RequestResult) {
        if !self.reports_slowdown(service) {
            return;
        }
        let now = self.clock.now();
        let changes = {
            let mut limit = lock(&self.limit);
            limit.observe(now, service, request_kind, result);
            limit.take_changes()
        };
        for change in changes {
            log_event!(
                Event::CompletionLimitChanged,
                "service={} kind={} limited={} share={:.2}",
                change.service,
                change.kind,
                change.share < 1.0,
                change.share,
            );
        }
    }

    /// Records the result of an execution at the local backend, unless its kind makes no calls.
    pub fn record_execution(
        &self,
        request_kind: &str,
        priority: Priority,
        result: ExecutionResult,
    ) {
        if lock(&self.called).contains_key(request_kind) {
            let now = self.clock.now();
            lock(&self.meter).record(now, request_kind, priority, result);
        }
    }

    /// Returns the completed share of a request kind at the local backend, in permille; `None` if
    /// it is unknown or full.
    pub fn completed_share(&self, request_kind: &str) -> Option<u16> {
        let called = lock(&self.called);
        let services = called.get(request_kind)?;
        let now = self.clock.now();
        let share = lock(&self.meter).share(now, request_kind, services);
        share.filter(|share| *share < FULL_SHARE)
    }

    /// Returns the kinds of requests of callers here that are limited.
    pub fn limited_kinds(&self) -> Vec<LimitedKind> {
        lock(&self.limit).limited().collect()
    }

    /// Returns the kinds whose executions at the local backend do not all complete, with their
    /// completed share in permille.
    pub fn incomplete_kinds(&self) -> Vec<(String, u16)> {
        let now = self.clock.now();
        let meter = lock(&self.meter);
        let incomplete = meter.incomplete(now);
        incomplete
            .map(|(kind, share)| (kind.to_owned(), share))
            .collect()
    }

    /// Records the level of the path below an endpoint, as reported in a response.
    pub fn observe_metadata(
        &self,
        service: &str,
        request_kind: &str,
        from: &EndpointId,
        metadata: &ResponseMetadata,
    ) {
        let Some(below) = level_below(metadata.level, metadata.folded_level) else {
            return;
        };
        let now = self.clock.now();
        let mut levels = lock(&self.levels);
        levels.observe_from(now, service, from.as_str(), request_kind, below);
    }

    /// Records that an execution of a request kind at the local backend calls a service.
    pub fn record_call(&self, request_kind: &str, service: &str) {
        let mut called = lock(&self.called);
        if let Some(services) = called.get_mut(request_kind) {
            if !services.contains(service) {
                services.insert(service.to_owned());
            }
            return;
        }
        if called.len() >= MAX_TRACKED_KINDS {
            called.clear();
        }
        let services = BTreeSet::from([service.to_owned()]);
        called.insert(request_kind.to_owned(), services);
    }

    /// Returns the strictest level towards the services that executions of a request kind call from
    /// here.
    pub fn level_below(&self, request_kind: &str) -> AdmissionLevel {
        let now = self.clock.now();
        let called = lock(&self.called);
        let Some(services) = called.get(request_kind) else {
            return AdmissionLevel::OPEN;
        };
        let levels = services.iter().map(|service| {
            let below = lock(&self.levels).level(now, service, request_kind);
            let router = self.service(service);
            below.fold(router.map_or(AdmissionLevel::OPEN, |router| router.level(now)))
        });
        levels.fold(AdmissionLevel::OPEN, AdmissionLevel::fold)
    }
}

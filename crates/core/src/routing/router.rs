//! Router of one daemon for one service.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::outcome::ResultCode;
use crate::priority::AdmissionLevel;
use crate::time::Timestamp;

use super::balance::Pool;
use super::endpoint::{Endpoint, EndpointId, EndpointState, Zone};
use super::entry::{Entry, PickTier, UnusableReason};
use super::hold::HoldReason;
use super::locality::{self, CandidateIndexes};
use super::observation::Observation;
use super::pick::{Pick, PickBasis, PickRequest};
use super::reference::Reference;
use super::settings::RouterSettings;
use super::subset::{self, SubsetSettings};

/// Maximum random extension of Retry-After, as a share of it. Prevents callers from returning
/// simultaneously.
const RETRY_AFTER_SPREAD: f64 = 0.5;

/// Time for which a service counts as one whose endpoints report execution times. They are unknown
/// while few calls complete; a shorter time would change the treatment of callers back and forth.
const EXECUTION_REPORT_MEMORY: Duration = Duration::from_secs(30);

/// Picks endpoints of one service and learns from the results of the calls.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouterSettings,
    local_zone: Zone,
    /// Sorted by id.
    entries: Vec<Entry>,
    candidates: CandidateIndexes,
    reference: Reference,
    /// Time at which an endpoint last reported the expected execution time of a call.
    execution_reported_at: Option<Timestamp>,
}

/// State of one endpoint in the router, for status pages.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointStatus {
    /// Identity of the endpoint.
    pub id: EndpointId,
    /// True if the endpoint belongs to this caller's subset.
    pub in_subset: bool,
    /// Calls of this daemon in flight at the endpoint.
    pub in_flight: u32,
    /// Expected cost of one more call; 1.0 is an endpoint filled up to its limit.
    pub cost: f64,
    /// How much the endpoint's reports are discounted: 0.0 not at all, 1.0 entirely.
    pub distrust: f64,
    /// Share of its full load that the endpoint should get; below 1.0 while it warms up.
    pub weight: f64,
    /// Admission level that the endpoint is assumed to have.
    pub level: AdmissionLevel,
    /// Reason for which the endpoint currently gets no calls; `None` if there is no hold.
    pub hold: Option<HoldReason>,
}

impl Router {
    /// Creates a router without endpoints.
    #[must_use]
    pub fn new(settings: RouterSettings, local_zone: Zone) -> Self {
        Self {
            settings,
            local_zone,
            entries: Vec::new(),
            candidates: CandidateIndexes::default(),
            reference: Reference::default(),
            execution_reported_at: None,
        }
    }

    /// Applies changed settings; observations are kept.
    pub fn reconfigure(&mut self, settings: RouterSettings) {
        self.settings = settings;
        self.select_candidates();
    }

    /// Replaces the list of endpoints. Observations of an endpoint are kept as long as it is listed
    /// with the same incarnation.
    pub fn set_endpoints(&mut self, _now: Timestamp, mut endpoints: Vec<Endpoint>) {
        endpoints.sort_by(|left, right| {
            let incarnations = right.incarnation.cmp(&left.incarnation);
            left.id.cmp(&right.id).then(incarnations)
        });
        endpoints.dedup_by(|later, earlier| later.id == earlier.id);
        let mut known = std::mem::take(&mut self.entries).into_iter().peekable();
        for endpoint in endpoints {
            while known
                .next_if(|entry| entry.endpoint.id < endpoint.id)
                .is_some()
            {}
            let local = endpoint.zone == self.local_zone;
            let entry = match known.next_if(|entry| entry.endpoint.id == endpoint.id) {
                Some(mut entry) => {
                    entry.update(endpoint, local);
                    entry
                }
                None => Entry::new(endpoint, local),
            };
            self.entries.push(entry);
        }
        self.select_candidates();
    }

    /// Records the incarnation that an endpoint reported. The first one reported changes nothing
    /// else. A later one starts cold and without observations. An earlier one, which comes with a
    /// delayed response, is ignored.
    pub fn record_incarnation(&mut self, now: Timestamp, endpoint: &EndpointId, incarnation: u64) {
        if let Some(entry) = self.entry_mut(endpoint) {
            entry.record_incarnation(now, incarnation);
        }
    }

    /// Picks an endpoint for a call. The driver must report its use with [`Router::dispatched`].
    pub fn pick(&self, now: Timestamp, rng: &mut impl Rng, request: &PickRequest<'_>) -> Pick {
        let tiers = [
            PickTier::Preferred,
            PickTier::RateLimited,
            PickTier::Ejected,
        ];
        let picked = tiers
            .into_iter()
            .find_map(|tier| self.pick_in_tier(now, rng, request, tier));
        picked.unwrap_or_else(|| self.no_endpoint(now, rng, request))
    }

    /// Picks an endpoint for a call that another one refused because of its rate limit: if possible,
    /// one whose rate limit left room for all recent calls.
    pub fn pick_after_rate_limit(
        &self,
        now: Timestamp,
        rng: &mut impl Rng,
        request: &PickRequest<'_>,
    ) -> Pick {
        self.pick_in_tier(now, rng, request, PickTier::Unlimited)
            .unwrap_or_else(|| self.pick(now, rng, request))
    }

    /// Returns true if an endpoint can take the call whose rate limit, if there is one, left room for
    /// all recent calls.
    #[must_use]
    pub fn can_pick_unlimited(&self, now: Timestamp, request: &PickRequest<'_>) -> bool {
        self.can_pick_in_tier(now, request, PickTier::Unlimited)
    }

    fn pick_in_tier(
        &self,
        now: Timestamp,
        rng: &mut impl Rng,
        request: &PickRequest<'_>,
        tier: PickTier,
    ) -> Option<Pick> {
        let pool = self.pool(now, request, tier);
        let picked = locality::pick(&pool, &self.candidates, &self.settings, rng)?;
        let id = self.entries[picked.index].endpoint.id.clone();
        Some(Pick::Endpoint(id))
    }

    /// Returns true if some endpoint can take the call.
    #[must_use]
    pub fn can_pick(&self, now: Timestamp, request: &PickRequest<'_>) -> bool {
        self.can_pick_in_tier(now, request, PickTier::Ejected)
    }

    fn can_pick_in_tier(&self, now: Timestamp, request: &PickRequest<'_>, tier: PickTier) -> bool {
        let pool = self.pool(now, request, tier);
        self.candidate_indexes().any(|index| pool.is_usable(index))
    }

    /// Returns the common admission level of the endpoints; see [`AdmissionLevel::common`].
    ///
    /// It is propagated hop by hop to callers further up, which apply it to whole call trees. Using
    /// the level of the most open endpoint would admit at all endpoints what only one has capacity
    /// for: at the end of a chain of four services with seven endpoints, 0.11 of all requests were
    /// started and failed that way, 0.07 with the common level. Endpoints under a hold are not
    /// counted; a terminated backend would otherwise keep the level of its service open forever.
    /// Open if there is no endpoint.
    #[must_use]
    pub fn level(&self, now: Timestamp) -> AdmissionLevel {
        let entries = self.candidate_indexes().map(|index| &self.entries[index]);
        let entries = entries.filter(|entry| !entry.is_held(now));
        let levels = entries.map(|entry| entry.assumed_level(now, &self.settings));
        AdmissionLevel::common(levels)
    }

    /// Returns what is known of the load of an endpoint.
    #[must_use]
    pub fn pick_basis(&self, now: Timestamp, endpoint: &EndpointId) -> PickBasis {
        let Ok(index) = self.position(endpoint) else {
            return PickBasis::NoReport;
        };
        self.entries[index].pick_basis(now, &self.settings, &self.reference)
    }

    /// Records that a call was sent to an endpoint.
    pub fn dispatched(&mut self, _now: Timestamp, endpoint: &EndpointId) {
        if let Some(entry) = self.entry_mut(endpoint) {
            entry.dispatched();
        }
    }

    /// Records the completion and the observations of an attempt. Pairs with one call of
    /// [`Router::dispatched`].
    pub fn observe(&mut self, now: Timestamp, endpoint: &EndpointId, observation: Observation) {
        let Ok(index) = self.position(endpoint) else {
            return;
        };
        if observation
            .load
            .is_some_and(|load| load.execution.is_some())
        {
            self.execution_reported_at = Some(now);
        }
        let entry = &mut self.entries[index];
        entry.attempt_completed();
        entry.observe(now, &observation, &self.reference);
        if entry.should_eject() {
            self.eject(now, index);
        }
        if self.reference.count(now) {
            self.refresh_reference(now);
        }
    }

    /// Records the end of an attempt that provides no information on the endpoint, such as one that
    /// the caller cancelled. Pairs with one call of [`Router::dispatched`].
    pub fn discard_attempt(&mut self, endpoint: &EndpointId) {
        if let Some(entry) = self.entry_mut(endpoint) {
            entry.attempt_completed();
        }
    }

    /// Sets a hold on an endpoint that refused a call as leaving. It bridges the time until other
    /// sources confirm the departure.
    pub fn refused_as_leaving(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let until = now + self.settings.leaving_hold;
        self.hold(endpoint, until, HoldReason::Leaving);
    }

    /// Sets a short hold on an endpoint that accepts no further connection.
    pub fn connection_refused(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let until = now + self.settings.connection_hold;
        self.hold(endpoint, until, HoldReason::ConnectionLimit);
    }

    /// Records for how long the rate limit that a backend announces leaves no room for calls; zero if
    /// it has room. Until then other endpoints are preferred.
    pub fn record_rate_limit(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        limited_for: Duration,
    ) {
        if let Some(entry) = self.entry_mut(endpoint) {
            entry.record_rate_limit(now, limited_for);
        }
    }

    /// Returns the state of each endpoint.
    pub fn endpoint_statuses(&self, now: Timestamp) -> impl Iterator<Item = EndpointStatus> {
        let mut in_subset = vec![false; self.entries.len()];
        for index in self.candidate_indexes() {
            in_subset[index] = true;
        }
        let entries = self.entries.iter().zip(in_subset);
        entries.map(move |(entry, in_subset)| self.endpoint_status(now, entry, in_subset))
    }

    fn endpoint_status(&self, now: Timestamp, entry: &Entry, in_subset: bool) -> EndpointStatus {
        let active = entry.hold.filter(|hold| hold.is_active(now));
        EndpointStatus {
            id: entry.endpoint.id.clone(),
            in_subset,
            in_flight: entry.in_flight,
            cost: entry.cost(now, &self.settings, &self.reference),
            distrust: entry.distrust(now, &self.settings),
            weight: entry.weight(now, &self.settings),
            level: entry.assumed_level(now, &self.settings),
            hold: active.map(|hold| hold.reason),
        }
    }

    /// Returns the number of endpoints listed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if an endpoint reported the expected execution time of a call recently.
    #[must_use]
    pub fn reports_execution(&self, now: Timestamp) -> bool {
        let is_recent = |at| now.saturating_since(at) < EXECUTION_REPORT_MEMORY;
        self.execution_reported_at.is_some_and(is_recent)
    }

    /// Returns true if no endpoint is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn pool<'view>(
        &'view self,
        now: Timestamp,
        request: &'view PickRequest<'view>,
        tier: PickTier,
    ) -> PoolView<'view> {
        PoolView {
            router: self,
            now,
            request,
            tier,
        }
    }

    fn position(&self, endpoint: &EndpointId) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.endpoint.id.cmp(endpoint))
    }

    fn entry_mut(&mut self, endpoint: &EndpointId) -> Option<&mut Entry> {
        let index = self.position(endpoint).ok()?;
        Some(&mut self.entries[index])
    }

    fn candidate_indexes(&self) -> impl Iterator<Item = usize> {
        let all = self.candidates.local.iter().chain(&self.candidates.remote);
        all.map(|member| *member as usize)
    }

    /// Selects the live endpoints that this daemon uses.
    fn select_candidates(&mut self) {
        let subset = self.settings.subset.as_ref();
        let chosen = subset.map(|settings| self.select_subset(settings));
        let is_chosen = |id: &EndpointId| match &chosen {
            Some(chosen) => chosen.binary_search(id).is_ok(),
            None => true,
        };
        let mut candidates = CandidateIndexes::default();
        for (index, entry) in (0_u32..).zip(&self.entries) {
            let endpoint = &entry.endpoint;
            if endpoint.state != EndpointState::Live || !is_chosen(&endpoint.id) {
                continue;
            }
            if entry.local {
                candidates.local.push(index);
            } else {
                candidates.remote.push(index);
            }
        }
        self.candidates = candidates;
    }

    /// Returns the endpoints of this caller's subset, sorted by id.
    fn select_subset(&self, settings: &SubsetSettings) -> Vec<EndpointId> {
        let endpoints = self.entries.iter().map(|entry| &entry.endpoint);
        let live: Vec<&Endpoint> = endpoints
            .filter(|endpoint| endpoint.state == EndpointState::Live)
            .collect();
        let mut chosen =
            subset::select(settings, &live, |endpoint| endpoint.zone == self.local_zone);
        chosen.sort_unstable();
        chosen
    }

    fn refresh_reference(&mut self, now: Timestamp) {
        let latencies = self.entries.iter().filter_map(Entry::latency_micros);
        let utilisations = self.entries.iter().filter_map(Entry::reported_utilisation);
        let executions = self.entries.iter().filter_map(Entry::mean_execution_micros);
        self.reference.refresh(
            now,
            latencies.collect(),
            utilisations.collect(),
            executions.collect(),
        );
    }

    fn hold(&mut self, endpoint: &EndpointId, until: Timestamp, reason: HoldReason) {
        if let Some(entry) = self.entry_mut(endpoint) {
            entry.hold_until(until, reason);
        }
    }

    /// Ejects an endpoint unless too many endpoints are already ejected.
    fn eject(&mut self, now: Timestamp, index: usize) {
        let candidates = self.candidate_indexes().count();
        let ejected = self
            .candidate_indexes()
            .filter(|member| *member != index)
            .filter(|member| self.is_ejected(now, *member))
            .count();
        if ejected >= self.maximum_ejected(candidates) {
            return;
        }
        let entry = &mut self.entries[index];
        entry.ejections = entry.ejections.saturating_add(1);
        let time = self.settings.ejection_base.saturating_mul(entry.ejections);
        let time = time.min(self.settings.ejection_maximum);
        entry.hold_until(now + time, HoldReason::Ejected);
        entry.reset_failures();
    }

    /// Returns the largest number of endpoints that may be ejected at a time: at least one of two,
    /// and never all.
    fn maximum_ejected(&self, candidates: usize) -> usize {
        let share = (candidates as f64 * self.settings.maximum_ejected_share).floor() as usize;
        share.max(1).min(candidates.saturating_sub(1))
    }

    fn is_ejected(&self, now: Timestamp, index: usize) -> bool {
        self.entries[index]
            .hold
            .is_some_and(|hold| hold.is_active(now) && hold.reason == HoldReason::Ejected)
    }

    /// Returns the reason for which no endpoint can take a call, and the time until one might.
    fn no_endpoint(&self, now: Timestamp, rng: &mut impl Rng, request: &PickRequest<'_>) -> Pick {
        let mut reason = ResultCode::NoBackend;
        let mut wait: Option<Duration> = None;
        for index in self.candidate_indexes() {
            let entry = &self.entries[index];
            let check = entry.check(now, request.key, PickTier::Ejected, &self.settings);
            let Err(unusable) = check else {
                continue;
            };
            let (found, found_wait) = match unusable {
                UnusableReason::Unavailable(wait) => (ResultCode::NoBackend, wait),
                UnusableReason::Connections(wait) => (ResultCode::ConnectionLimit, wait),
                UnusableReason::Level(wait) => (ResultCode::RefusedByLevel, wait),
            };
            reason = more_specific(reason, found);
            wait = Some(wait.map_or(found_wait, |least| least.min(found_wait)));
        }
        let wait = wait.unwrap_or(self.settings.default_retry_after);
        let spread = 1.0 + RETRY_AFTER_SPREAD * rng.random::<f64>();
        Pick::None {
            reason,
            retry_after: wait.mul_f64(spread),
        }
    }
}

/// Returns the reason of the two that is closer to an endpoint being able to take the call.
fn more_specific(left: ResultCode, right: ResultCode) -> ResultCode {
    let order = |code| match code {
        ResultCode::RefusedByLevel => 2,
        ResultCode::ConnectionLimit => 1,
        _ => 0,
    };
    if order(right) > order(left) {
        right
    } else {
        left
    }
}

/// Endpoints of the router, as seen by one call.
struct PoolView<'view> {
    router: &'view Router,
    now: Timestamp,
    request: &'view PickRequest<'view>,
    tier: PickTier,
}

impl Pool for PoolView<'_> {
    fn is_usable(&self, index: usize) -> bool {
        let entry = &self.router.entries[index];
        if self.request.excluded.contains(&entry.endpoint.id) {
            return false;
        }
        let settings = &self.router.settings;
        let check = entry.check(self.now, self.request.key, self.tier, settings);
        check.is_ok()
    }

    fn weight(&self, index: usize) -> f64 {
        self.router.entries[index].weight(self.now, &self.router.settings)
    }

    fn cost(&self, index: usize) -> f64 {
        let entry = &self.router.entries[index];
        entry.cost(self.now, &self.router.settings, &self.router.reference)
    }
}

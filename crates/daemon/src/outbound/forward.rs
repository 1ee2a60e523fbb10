//! Forwards a call to a service: early refusal, choice of an endpoint, attempts and retries.

use std::sync::{Arc, Mutex};

use http::Response;
use hyper::body::Incoming;
use wharfquay_core::admission::{PathLevels, level_below};
use wharfquay_core::call::Repeatability;
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::priority::AdmissionLevel;
use wharfquay_core::retry::{FailureLocation, Grant, RetryDecision, RetryInput};
use wharfquay_core::routing::EndpointId;
use wharfquay_core::time::Timestamp;
use wharfquay_protocol::response::ResponseMetadata;

use crate::body::ResponseBody;
use crate::clock::Clock;
use crate::headers::remove_hop_by_hop;
use crate::metrics::Metrics;
use crate::outbound::attempt::{self, GrantOutcome, InFlightAttempt};
use crate::outbound::call::{CallBody, OutgoingCall, RetryAccount};
use crate::outbound::routes::{Route, RouteTable, Target};
use crate::peers::PeerPool;
use crate::response::{Failure, set_result};
use crate::sync::lock;

/// Sends calls to services and retries them within their allowance.
#[derive(Debug)]
pub(crate) struct Forwarder {
    clock: Clock,
    routes: RouteTable,
    peers: PeerPool,
    levels: Mutex<PathLevels>,
    metrics: Arc<Metrics>,
}

/// The attempts of one call so far.
#[derive(Debug, Default)]
struct Attempts {
    tried: Vec<EndpointId>,
    retries: u32,
    /// Latest failure after which it is unknown whether the backend executed the call.
    uncertain: Option<Failure>,
}

impl Attempts {
    fn record_failure(&mut self, target: Target, failure: Failure) {
        self.tried.push(target.id);
        if failure.code.outcome() == OutcomeClass::Unknown {
            self.uncertain = Some(failure);
        }
    }

    /// Returns the failure to report to the caller: "not run" only if no attempt may have run.
    fn final_failure(&self, last: Failure) -> Failure {
        match self.uncertain {
            Some(uncertain) if last.code.outcome() == OutcomeClass::NotRun => {
                Failure::with_retry_after(uncertain.code, last.retry_after)
            }
            _ => last,
        }
    }
}

impl Forwarder {
    pub(crate) fn new(
        clock: Clock,
        routes: RouteTable,
        peers: PeerPool,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            clock,
            routes,
            peers,
            levels: Mutex::default(),
            metrics,
        }
    }

    pub(crate) const fn routes(&self) -> &RouteTable {
        &self.routes
    }

    pub(crate) const fn peers(&self) -> &PeerPool {
        &self.peers
    }

    /// Returns the strictest admission level for a request kind over `services`. The level of a
    /// service is the stricter one of its endpoints' common level and the level of the services
    /// further down the call path.
    pub(crate) fn strictest_level<'a>(
        &self,
        services: impl Iterator<Item = &'a String>,
        request_kind: &str,
    ) -> AdmissionLevel {
        let now = self.clock.now();
        services
            .map(|service| self.service_level(now, service, request_kind))
            .fold(AdmissionLevel::OPEN, AdmissionLevel::fold)
    }

    fn service_level(&self, now: Timestamp, service: &str, request_kind: &str) -> AdmissionLevel {
        let below = lock(&self.levels).level(now, service, request_kind);
        let route = self.routes.get(service);
        let endpoints = route.map_or(AdmissionLevel::OPEN, |route| route.level(now));
        below.fold(endpoints)
    }

    /// Forwards a call to an endpoint of its service and returns the response, whose body is
    /// streamed.
    ///
    /// # Errors
    /// The failure to report to the caller.
    pub(crate) async fn forward(
        &self,
        call: &OutgoingCall,
        body: Incoming,
    ) -> Result<Response<ResponseBody>, Failure> {
        let route = self.route(call)?;
        self.check_level(call)?;
        let body = self.read_body(call, body).await?;
        self.run(call, body, &route).await
    }

    /// Forwards a call like [`Self::forward`], after its level was checked and its body was read.
    pub(crate) async fn forward_body(
        &self,
        call: &OutgoingCall,
        body: CallBody,
    ) -> Result<Response<ResponseBody>, Failure> {
        let route = self.route(call)?;
        self.run(call, body, &route).await
    }

    fn route(&self, call: &OutgoingCall) -> Result<Arc<Route>, Failure> {
        let route = self.routes.get(&call.service);
        route.ok_or_else(|| Failure::new(ResultCode::UnknownService))
    }

    /// Reads the body of a call and gives up at its deadline.
    pub(crate) async fn read_body(
        &self,
        call: &OutgoingCall,
        body: Incoming,
    ) -> Result<CallBody, Failure> {
        let deadline = call.context.deadline;
        let body = self.clock.timeout_at(deadline, CallBody::read(body)).await;
        body.map_err(|_| Failure::new(ResultCode::DeadlineUnreachable))?
    }

    async fn run(
        &self,
        call: &OutgoingCall,
        mut body: CallBody,
        route: &Arc<Route>,
    ) -> Result<Response<ResponseBody>, Failure> {
        let mut attempts = Attempts::default();
        loop {
            let target = self
                .pick(call, route, &attempts)
                .map_err(|failure| attempts.final_failure(failure))?;
            let failure = match self.attempt(call, &mut body, route, &target).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            attempts.record_failure(target, failure);
            let decision = self.decide(call, &body, route, &attempts, failure);
            let RetryDecision::Retry { after } = decision else {
                return Err(attempts.final_failure(failure));
            };
            attempts.retries += 1;
            self.metrics.record_retry();
            if !after.is_zero() {
                tokio::time::sleep(after).await;
            }
        }
    }

    /// Refuses a call before its first attempt if the admission levels that were last received from
    /// the services further down the call path refuse it, or if no endpoint of its service would
    /// admit it.
    pub(crate) fn check_level(&self, call: &OutgoingCall) -> Result<(), Failure> {
        let now = self.clock.now();
        let key = call.context.admission_key();
        let kind = &call.context.request_kind;
        let levels = lock(&self.levels);
        let admitted = levels.admits(now, &call.service, kind, key);
        if call.trace.is_on() {
            let level = levels.level(now, &call.service, kind);
            call.trace.record_level_check(level, admitted.is_ok());
        }
        drop(levels);
        admitted.map_err(|refusal| {
            Failure::with_retry_after(ResultCode::RefusedByLevel, refusal.retry_after)
        })?;
        let Some(route) = self.routes.get(&call.service) else {
            return Ok(());
        };
        let checked = route.check_level(now, key);
        checked.inspect_err(|failure| trace_refusal(call, &route, now, *failure))
    }

    /// Picks an endpoint without an earlier attempt of this call. If there is none and an attempt
    /// has an uncertain outcome, an endpoint that was already tried is allowed too.
    fn pick(
        &self,
        call: &OutgoingCall,
        route: &Route,
        attempts: &Attempts,
    ) -> Result<Target, Failure> {
        let now = self.clock.now();
        if call.context.remaining(now).is_zero() {
            return Err(Failure::new(ResultCode::DeadlineUnreachable));
        }
        let key = call.context.admission_key();
        let picked = route.pick(now, key, &attempts.tried);
        if attempts.tried.is_empty() {
            trace_first_pick(call, route, now, &picked);
        }
        if picked.is_err() && attempts.uncertain.is_some() {
            return route.pick(now, key, &[]);
        }
        picked
    }

    async fn attempt(
        &self,
        call: &OutgoingCall,
        body: &mut CallBody,
        route: &Arc<Route>,
        target: &Target,
    ) -> Result<Response<ResponseBody>, Failure> {
        let mut flight = InFlightAttempt::new(route, target, self.clock);
        let sent = body
            .for_attempt()
            .ok_or_else(|| Failure::new(ResultCode::RequestTooLarge))?;
        let grant = lock(&call.account.ledger).grant(call.account.children);
        let allowance = grant.allowance();
        let outcome = attempt::send(&self.peers, &self.clock, call, target, allowance, sent).await;
        settle(&call.account, grant, outcome.allowance);
        if let Some(metadata) = &outcome.metadata {
            self.record_path_level(call, target, metadata);
        }
        if let Some(unsent) = outcome.unsent {
            body.restore(unsent);
        }
        flight.record_metadata(outcome.metadata);
        match outcome.result {
            Ok(response) => {
                flight.record_response(response.status());
                Ok(self.relay(call, response, flight))
            }
            Err(failure) => {
                flight.failed(failure.code);
                Err(failure)
            }
        }
    }

    fn relay(
        &self,
        call: &OutgoingCall,
        response: Response<Incoming>,
        flight: InFlightAttempt,
    ) -> Response<ResponseBody> {
        let (mut parts, incoming) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        set_result(&mut parts.headers, ResultCode::Answered);
        let deadline = self.clock.instant(call.context.deadline);
        let mut body = ResponseBody::streamed(incoming, deadline);
        body.observe(Box::new(flight));
        Response::from_parts(parts, body)
    }

    /// Records the level of the path below the endpoint that responded. The endpoint's own level
    /// goes only to the router, because other endpoints of the service may admit what this one
    /// refuses.
    fn record_path_level(&self, call: &OutgoingCall, target: &Target, metadata: &ResponseMetadata) {
        let Some(below) = level_below(metadata.level, metadata.folded_level) else {
            return;
        };
        let now = self.clock.now();
        let (service, kind) = (&call.service, &call.context.request_kind);
        lock(&self.levels).observe_from(now, service, target.id.as_str(), kind, below);
    }

    fn decide(
        &self,
        call: &OutgoingCall,
        body: &CallBody,
        route: &Route,
        attempts: &Attempts,
        failure: Failure,
    ) -> RetryDecision {
        let now = self.clock.now();
        let key = call.context.admission_key();
        let mut ledger = lock(&call.account.ledger);
        let backoff = &call.account.backoff;
        let input = RetryInput {
            now,
            deadline: call.context.deadline,
            code: failure.code,
            location: FailureLocation::ThisHop,
            repeatability: effective_repeatability(call, body),
            sibling_available: body.can_repeat() && route.can_pick(now, key, &attempts.tried),
            allowance: ledger.remaining(),
            budget_available: true,
            backoff: backoff.delay(attempts.retries, &mut rand::rng()),
            expected_latency: std::time::Duration::ZERO,
        };
        route.authorize(&input, &mut ledger)
    }
}

fn settle(account: &RetryAccount, grant: Grant, outcome: GrantOutcome) {
    let mut ledger = lock(&account.ledger);
    match outcome {
        GrantOutcome::Unspent => ledger.settle(grant, grant.allowance()),
        GrantOutcome::Returned(returned) => ledger.settle(grant, returned),
        GrantOutcome::Lost => ledger.settle_lost(grant),
    };
}

/// Adds to the decision record the endpoint of the first attempt, or the level at which every
/// endpoint refuses the call.
fn trace_first_pick(
    call: &OutgoingCall,
    route: &Route,
    now: Timestamp,
    picked: &Result<Target, Failure>,
) {
    match picked {
        Ok(target) => call.trace.record_endpoint(&target.id),
        Err(failure) => trace_refusal(call, route, now, *failure),
    }
}

/// Adds to the decision record the level at which every endpoint refuses the call.
fn trace_refusal(call: &OutgoingCall, route: &Route, now: Timestamp, failure: Failure) {
    if !call.trace.is_on() || failure.code != ResultCode::RefusedByLevel {
        return;
    }
    // No usable endpoint admits the key, but the endpoints' common level may be more open than each
    // usable endpoint. The record gets a level that refuses the key.
    let key = AdmissionLevel::new(call.context.admission_key().number());
    call.trace
        .record_level_check(route.level(now).fold(key), false);
}

/// Returns the repeatability of a call: at most once if its body can't be sent again.
const fn effective_repeatability(call: &OutgoingCall, body: &CallBody) -> Repeatability {
    if body.can_repeat() {
        call.context.repeatability
    } else {
        Repeatability::AtMostOnce
    }
}

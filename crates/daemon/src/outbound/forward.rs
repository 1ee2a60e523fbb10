//! The way of a call to a service: early refusal, choice of an endpoint, attempts and retries.

use std::sync::{Arc, Mutex};

use http::Response;
use hyper::body::Incoming;
use wharfquay_core::admission::{PathLevels, level_below};
use wharfquay_core::call::Repeatability;
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::priority::AdmissionLevel;
use wharfquay_core::retry::{FailureLocation, Grant, RetryDecision, RetryQuestion};
use wharfquay_core::routing::EndpointId;
use wharfquay_core::time::Timestamp;
use wharfquay_protocol::answer::WireAnswer;

use crate::answer::{Failure, set_result};
use crate::body::AnswerBody;
use crate::clock::Clock;
use crate::headers::remove_hop_by_hop;
use crate::metrics::Metrics;
use crate::outbound::attempt::{self, Flight, GrantEnd};
use crate::outbound::call::{CallBody, OutgoingCall, RetryAccount};
use crate::outbound::routes::{Route, RouteTable, Target};
use crate::peers::PeerPool;
use crate::sync::lock;

/// Sends calls to services.
#[derive(Debug)]
pub(crate) struct Forwarder {
    clock: Clock,
    routes: RouteTable,
    peers: PeerPool,
    levels: Mutex<PathLevels>,
    metrics: Arc<Metrics>,
}

/// What the attempts of one call have shown so far.
#[derive(Debug, Default)]
struct Attempts {
    tried: Vec<EndpointId>,
    retries: u32,
    /// Result of an attempt that may have run.
    uncertain: Option<Failure>,
}

impl Attempts {
    fn note(&mut self, target: Target, failure: Failure) {
        self.tried.push(target.id);
        if failure.code.outcome() == OutcomeClass::Unknown {
            self.uncertain = Some(failure);
        }
    }

    /// The failure to report: "not run" only if that holds for every attempt.
    fn conclude(&self, last: Failure) -> Failure {
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

    /// Strictest level for a request kind towards any of `services`, each of which is as open as the
    /// most open of its endpoints and the path below them.
    pub(crate) fn folded_level<'a>(
        &self,
        services: impl Iterator<Item = &'a String>,
        request_kind: &str,
    ) -> AdmissionLevel {
        let now = self.clock.now();
        services
            .map(|service| self.level_towards(now, service, request_kind))
            .fold(AdmissionLevel::OPEN, AdmissionLevel::fold)
    }

    fn level_towards(&self, now: Timestamp, service: &str, request_kind: &str) -> AdmissionLevel {
        let below = lock(&self.levels).level(now, service, request_kind);
        let route = self.routes.get(service);
        let endpoints = route.map_or(AdmissionLevel::OPEN, |route| route.level(now));
        below.fold(endpoints)
    }

    /// Takes a call to a back end of its service and gives the whole answer, or the failure in its
    /// place.
    ///
    /// # Errors
    /// The failure to report to the caller.
    pub(crate) async fn forward(
        &self,
        call: &OutgoingCall,
        body: Incoming,
    ) -> Result<Response<AnswerBody>, Failure> {
        let route = self.route(call)?;
        self.check_level(call)?;
        let body = self.read_body(call, body).await?;
        self.run(call, body, &route).await
    }

    /// As [`Self::forward`], for a call whose level was checked and whose body was read.
    pub(crate) async fn forward_body(
        &self,
        call: &OutgoingCall,
        body: CallBody,
    ) -> Result<Response<AnswerBody>, Failure> {
        let route = self.route(call)?;
        self.run(call, body, &route).await
    }

    fn route(&self, call: &OutgoingCall) -> Result<Arc<Route>, Failure> {
        let route = self.routes.get(&call.service);
        route.ok_or_else(|| Failure::new(ResultCode::UnknownService))
    }

    /// Reads the body of a call until its deadline.
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
    ) -> Result<Response<AnswerBody>, Failure> {
        let mut attempts = Attempts::default();
        loop {
            let target = self
                .pick(call, route, &attempts)
                .map_err(|failure| attempts.conclude(failure))?;
            let failure = match self.attempt(call, &mut body, route, &target).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            attempts.note(target, failure);
            let decision = self.decide(call, &body, route, &attempts, failure);
            let RetryDecision::Retry { after } = decision else {
                return Err(attempts.conclude(failure));
            };
            attempts.retries += 1;
            self.metrics.retried();
            if !after.is_zero() {
                tokio::time::sleep(after).await;
            }
        }
    }

    /// Refuses a call that every endpoint of its service, or the path below them, would refuse.
    pub(crate) fn check_level(&self, call: &OutgoingCall) -> Result<(), Failure> {
        let now = self.clock.now();
        let key = call.context.admission_key();
        let kind = &call.context.request_kind;
        let levels = lock(&self.levels);
        let admitted = levels.admits(now, &call.service, kind, key);
        if call.trace.is_on() {
            let level = levels.level(now, &call.service, kind);
            call.trace.level_checked(level, admitted.is_ok());
        }
        drop(levels);
        admitted.map_err(|refusal| {
            Failure::with_retry_after(ResultCode::RefusedByLevel, refusal.retry_after)
        })?;
        let Some(route) = self.routes.get(&call.service) else {
            return Ok(());
        };
        let checked = route.check_level(now, key);
        checked.inspect_err(|failure| note_refusal(call, &route, now, *failure))
    }

    /// Picks an endpoint that was not tried; after an uncertain attempt also one that was.
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
            note_first_pick(call, route, now, &picked);
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
    ) -> Result<Response<AnswerBody>, Failure> {
        let mut flight = Flight::new(route, target, self.clock);
        let sent = body
            .for_attempt()
            .ok_or_else(|| Failure::new(ResultCode::RequestTooLarge))?;
        let grant = lock(&call.account.ledger).grant(call.account.children);
        let allowance = grant.allowance();
        let end = attempt::send(&self.peers, &self.clock, call, target, allowance, sent).await;
        settle(&call.account, grant, end.allowance);
        if let Some(metadata) = &end.metadata {
            self.heard_level(call, target, metadata);
        }
        if let Some(unsent) = end.unsent {
            body.restore(unsent);
        }
        flight.heard(end.metadata);
        match end.result {
            Ok(response) => {
                flight.answered(response.status());
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
        flight: Flight,
    ) -> Response<AnswerBody> {
        let (mut parts, incoming) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        set_result(&mut parts.headers, ResultCode::Answered);
        let deadline = self.clock.instant(call.context.deadline);
        let mut body = AnswerBody::relayed(incoming, deadline);
        body.observe(Box::new(flight));
        Response::from_parts(parts, body)
    }

    /// Notes what an answer says about the path below its endpoint. The endpoint's own level goes to
    /// the router only: siblings may admit what this one refuses.
    fn heard_level(&self, call: &OutgoingCall, target: &Target, metadata: &WireAnswer) {
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
        let question = RetryQuestion {
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
        route.authorize(&question, &mut ledger)
    }
}

fn settle(account: &RetryAccount, grant: Grant, end: GrantEnd) {
    let mut ledger = lock(&account.ledger);
    match end {
        GrantEnd::Untouched => ledger.settle(grant, grant.allowance()),
        GrantEnd::Returned(returned) => ledger.settle(grant, returned),
        GrantEnd::Lost => ledger.lose(grant),
    };
}

/// Notes in the record of the decision where a call goes first, or the level that keeps it from every
/// endpoint.
fn note_first_pick(
    call: &OutgoingCall,
    route: &Route,
    now: Timestamp,
    picked: &Result<Target, Failure>,
) {
    match picked {
        Ok(target) => call.trace.endpoint_chosen(&target.id),
        Err(failure) => note_refusal(call, route, now, *failure),
    }
}

/// Notes in the record of the decision the level at which no endpoint takes a call.
fn note_refusal(call: &OutgoingCall, route: &Route, now: Timestamp, failure: Failure) {
    if !call.trace.is_on() || failure.code != ResultCode::RefusedByLevel {
        return;
    }
    // No endpoint in use admits the key; the most open level may be that of one not in use.
    let key = AdmissionLevel::new(call.context.admission_key().number());
    call.trace.level_checked(route.level(now).fold(key), false);
}

/// A body that can't be sent again makes a call unrepeatable.
const fn effective_repeatability(call: &OutgoingCall, body: &CallBody) -> Repeatability {
    if body.can_repeat() {
        call.context.repeatability
    } else {
        Repeatability::AtMostOnce
    }
}

//! Path of a call to a service: early refusal, endpoint selection, attempts and retries.

use std::borrow::Cow;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use wharfquay_core::admission::completion::RequestResult;
use wharfquay_core::call::{CallContext, Repeatability, RetryAllowance};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::priority::{AdmissionKey, AdmissionLevel};
use wharfquay_core::retry::{
    Backoff, FailureLocation, GiveUpReason, Grant, Ledger, RetryDecision, RetryInput, decide,
};
use wharfquay_core::routing::EndpointId;
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::body::{RequestBody, ResponseBody};
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::response::Failure;
use wharfquay_daemon::sync::lock;
use wharfquay_protocol::context::Callee;

use super::attempt::{self, AttemptOutcome, InFlightAttempt, attempt_context};
use super::peers::Peers;
use super::report::RequestReport;
use super::routing::{Routing, ServiceRouter, Target};
use crate::inbound::LocalExecutor;
use crate::message::RequestHead;
use crate::metrics::Metrics;
use crate::quarantine::Quarantine;
use crate::quota::{QuotaClient, Token};

/// Maximum number of sidecars that a call is offered to after refusals that did not reach their
/// backends.
const MAX_OFFERS: usize = 3;
/// Number of sidecars that refuse a call because of a rate limit before it is refused to its caller, if
/// every other one is known to be short of room too.
const RATE_LIMITED_OFFERS: usize = 4;
/// The same number while others may have room: limits are learned from refusals, and each takes less
/// than a millisecond.
const MAX_RATE_LIMITED_OFFERS: usize = 16;
/// Retry-After if no sidecar of a service is known.
const NO_SIDECAR_RETRY_AFTER: Duration = Duration::from_millis(300);

/// State of a call in progress, for the result that its caller receives at the deadline.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    may_have_executed: AtomicBool,
}

impl Progress {
    /// Returns true if a backend may have executed the call or may still be executing it.
    pub(crate) fn may_have_executed(&self) -> bool {
        self.may_have_executed.load(Ordering::Relaxed)
    }

    fn set(&self, may_have_executed: bool) {
        self.may_have_executed
            .store(may_have_executed, Ordering::Relaxed);
    }
}

/// A call to a service.
#[derive(Debug)]
pub(crate) struct OutgoingCall {
    pub(crate) service: Arc<str>,
    pub(crate) context: CallContext,
    pub(crate) head: RequestHead,
    /// Name of the tenant whose rate limit the request counts against; `None` if no limit applies.
    pub(crate) limited_tenant: Option<String>,
    pub(crate) ledger: Arc<Mutex<Ledger>>,
    /// Number of calls among which the ledger divides its allowance.
    pub(crate) children: usize,
    /// Maximum number of backends that the call may reach.
    pub(crate) max_attempts: u32,
    pub(crate) progress: Arc<Progress>,
    pub(crate) report: RequestReport,
}

/// The body of a call: in memory, which allows it to be sent again, or a stream that is sent once.
#[derive(Debug)]
pub(crate) enum CallBody {
    Held(Bytes),
    Once(Option<RequestBody>),
}

impl CallBody {
    pub(crate) fn new(body: RequestBody) -> Self {
        match body {
            RequestBody::Held(bytes) => Self::Held(bytes.unwrap_or_default()),
            other => Self::Once(Some(other)),
        }
    }

    fn take_for_attempt(&mut self) -> Option<RequestBody> {
        match self {
            Self::Held(bytes) => Some(RequestBody::held(bytes.clone())),
            Self::Once(body) => body.take(),
        }
    }

    fn restore(&mut self, unsent: RequestBody) {
        if let Self::Once(body) = self {
            *body = Some(unsent);
        }
    }

    const fn can_resend(&self) -> bool {
        match self {
            Self::Held(_) => true,
            Self::Once(body) => body.is_some(),
        }
    }
}

/// Outcomes of the attempts of one call.
#[derive(Debug)]
struct Attempts {
    /// Level that the originating request passed at its edge.
    admitted_below: AdmissionLevel,
    attempted: Vec<EndpointId>,
    offers: usize,
    rate_limited_offers: usize,
    arrivals: u32,
    /// Number of backends that terminated while they executed the call.
    terminated_backends: u8,
    /// Failure of an attempt that may have been executed; `None` if there was none.
    uncertain: Option<Failure>,
}

impl Attempts {
    const fn new(admitted_below: AdmissionLevel) -> Self {
        Self {
            admitted_below,
            attempted: Vec::new(),
            offers: 0,
            rate_limited_offers: 0,
            arrivals: 0,
            terminated_backends: 0,
            uncertain: None,
        }
    }

    /// Returns the context of the next attempt, which carries this allowance.
    fn next_context(
        &self,
        call: &CallContext,
        now: Timestamp,
        allowance: RetryAllowance,
    ) -> CallContext {
        CallContext {
            admitted_below: self.admitted_below,
            is_repeat: call.is_repeat || self.arrivals > 0,
            terminated_backends: self.terminated_backends,
            ..attempt_context(call, now, allowance)
        }
    }

    fn record(&mut self, target: Target, failure: Failure) {
        self.attempted.push(target.id);
        if failure.code.outcome() == OutcomeClass::Unknown {
            self.uncertain = Some(failure);
        }
        if failure.code == ResultCode::BackendEnded {
            self.terminated_backends = self.terminated_backends.saturating_add(1);
        }
        if reached_backend(failure.code) {
            self.arrivals += 1;
        } else if failure.code == ResultCode::RateLimited {
            self.rate_limited_offers += 1;
        } else {
            self.offers += 1;
        }
    }

    /// True if the call may be offered to another sidecar after a refusal. `others_unlimited` is true if
    /// one of them is not known to be short of room under a rate limit.
    const fn may_offer(&self, others_unlimited: bool) -> bool {
        let rate_limited_offers = match others_unlimited {
            true => MAX_RATE_LIMITED_OFFERS,
            false => RATE_LIMITED_OFFERS,
        };
        self.offers < MAX_OFFERS && self.rate_limited_offers < rate_limited_offers
    }

    /// Returns the failure to report: "not executed" only if that holds for every attempt.
    fn conclude(&self, last: Failure) -> Failure {
        match self.uncertain {
            Some(uncertain) if last.code.outcome() == OutcomeClass::NotRun => {
                Failure::with_retry_after(uncertain.code, last.retry_after)
            }
            _ => last,
        }
    }
}

/// Reason why a failed attempt is not followed by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoRetry {
    /// The maximum number of sidecars refused the call.
    OffersSpent,
    /// The call reached the maximum number of backends that its route allows.
    AttemptsSpent,
    /// Too many backends terminated under this request, in this call or in earlier ones.
    Quarantined,
    /// The retry policy does not allow another attempt.
    GivenUp(GiveUpReason),
}

impl fmt::Display for NoRetry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::GivenUp(reason) => write!(formatter, "{reason:?}"),
            other => write!(formatter, "{other:?}"),
        }
    }
}

/// Returns the key that is compared with an endpoint's admission level. A call on behalf of a
/// request in execution may go to any endpoint that is not closed, because the edge has already
/// decided for the whole call tree.
fn routing_key(context: &CallContext) -> AdmissionKey {
    if context.depth > 0 {
        AdmissionKey::FIRST
    } else {
        context.admission_key()
    }
}

/// True if a failed attempt arrived at a backend, which makes a further one a repeat there.
fn reached_backend(code: ResultCode) -> bool {
    code == ResultCode::RefusedByBackend || code.outcome() != OutcomeClass::NotRun
}

/// Sends calls to services.
#[derive(Debug)]
pub(crate) struct Forwarder {
    pub(crate) clock: Clock,
    pub(crate) own_id: EndpointId,
    pub(crate) routing: Arc<Routing>,
    pub(crate) peers: Peers,
    pub(crate) local: Arc<LocalExecutor>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) quota: Arc<QuotaClient>,
    pub(crate) metrics: Arc<Metrics>,
}

impl Forwarder {
    /// Sends a call to a backend of its service and returns the response.
    ///
    /// # Errors
    /// The failure to report to the caller.
    pub(crate) async fn forward(
        &self,
        call: &OutgoingCall,
        body: CallBody,
    ) -> Result<Response<ResponseBody>, Failure> {
        let router = self.routing.service(&call.service).ok_or_else(|| {
            Failure::with_retry_after(ResultCode::NoBackend, NO_SIDECAR_RETRY_AFTER)
        })?;
        self.quarantine.check(&call.context)?;
        let admitted_below = self.admit_at_edge(call, &router)?;
        let token = self.take_token(call).await?;
        let result = self.offer(call, body, &router, admitted_below).await;
        if let (Some(token), Err(failure)) = (token, &result)
            && failure.code.outcome() == OutcomeClass::NotRun
        {
            self.quota.return_unused(token);
        }
        result
    }

    /// Takes a token for a request whose tenant has a rate limit. This follows the decision at the
    /// edge: requests that are refused there use no token.
    async fn take_token(&self, call: &OutgoingCall) -> Result<Option<Token>, Failure> {
        match &call.limited_tenant {
            Some(tenant) => self.quota.take(tenant).await.map(Some),
            None => Ok(None),
        }
    }

    /// Offers an admitted call to sidecars of its service until one responds or no further attempt
    /// is allowed.
    async fn offer(
        &self,
        call: &OutgoingCall,
        mut body: CallBody,
        router: &Arc<ServiceRouter>,
        admitted_below: AdmissionLevel,
    ) -> Result<Response<ResponseBody>, Failure> {
        let mut attempts = Attempts::new(admitted_below);
        loop {
            let target = self
                .pick(call, router, &attempts)
                .map_err(|failure| attempts.conclude(failure))?;
            let failure = match self
                .attempt(call, &mut body, router, &target, &attempts)
                .await
            {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            attempts.record(target, failure);
            call.progress.set(attempts.uncertain.is_some());
            let after = match self.retry_delay(call, &body, router, &attempts, failure) {
                Ok(after) => after,
                Err(reason) => {
                    self.metrics
                        .record_no_retry(&call.service, &reason.to_string());
                    call.report.record_no_retry(reason);
                    return Err(attempts.conclude(failure));
                }
            };
            self.metrics.retried(&call.service);
            if call.context.repeatability == Repeatability::AtMostOnce {
                call.report.sent_again();
            }
            if !after.is_zero() {
                tokio::time::sleep(after).await;
            }
        }
    }

    /// Decides at the edge whether the whole call tree of a request is admitted, and returns the
    /// level that it passed. Calls on behalf of a request in execution are not checked again.
    ///
    /// # Errors
    /// The refusal of a request that the path would not serve.
    fn admit_at_edge(
        &self,
        call: &OutgoingCall,
        router: &ServiceRouter,
    ) -> Result<AdmissionLevel, Failure> {
        let context = &call.context;
        if context.depth > 0 {
            return Ok(context.admitted_below);
        }
        let key = context.admission_key();
        let below = self
            .routing
            .check_path(&call.service, &context.request_kind, key)?;
        Ok(below.fold(router.level(self.clock.now())))
    }

    /// Picks an endpoint that was not attempted yet. After an uncertain attempt, one that was
    /// attempted may be picked if no other is available.
    fn pick(
        &self,
        call: &OutgoingCall,
        router: &ServiceRouter,
        attempts: &Attempts,
    ) -> Result<Target, Failure> {
        let now = self.clock.now();
        if call.context.remaining(now).is_zero() {
            return Err(Failure::new(ResultCode::DeadlineUnreachable));
        }
        let key = routing_key(&call.context);
        let picked = match attempts.rate_limited_offers {
            0 => router.pick(now, key, &attempts.attempted),
            _ => router.pick_after_rate_limit(now, key, &attempts.attempted),
        };
        if picked.is_err() && attempts.uncertain.is_some() {
            return router.pick(now, key, &[]);
        }
        picked
    }

    async fn attempt(
        &self,
        call: &OutgoingCall,
        body: &mut CallBody,
        router: &Arc<ServiceRouter>,
        target: &Target,
        attempts: &Attempts,
    ) -> Result<Response<ResponseBody>, Failure> {
        self.metrics.picked(target.basis);
        let flight = InFlightAttempt::new(router, target, self.clock);
        let started = self.clock.now();
        let sent = body
            .take_for_attempt()
            .ok_or_else(|| Failure::new(ResultCode::RequestTooLarge))?;
        let grant = lock(&call.ledger).grant(call.children);
        let context = attempts.next_context(&call.context, self.clock.now(), grant.allowance());
        call.progress.set(true);
        let outcome = if target.id == self.own_id {
            // Boxed: the future of an execution is several times as large as that of a call to
            // another sidecar, and every request would have to make room for it.
            Box::pin(self.execute_locally(call, context, sent)).await
        } else {
            let callee = Callee {
                service: Cow::Borrowed(&call.service),
                sidecar: Cow::Borrowed(target.id.as_str()),
            };
            let pool = self.peers.pool(target.address);
            attempt::send(&pool, &self.clock, &call.head, &context, &callee, sent).await
        };
        settle_grant(&call.ledger, grant, &outcome);
        if let Some(metadata) = &outcome.metadata {
            let kind = &call.context.request_kind;
            self.routing
                .observe_metadata(&call.service, kind, &target.id, metadata);
            if call.context.depth == 0 {
                let result = RequestResult {
                    endpoint: target.id.as_str(),
                    started,
                    reported: metadata.completed_permille,
                    completed: completed(&outcome),
                };
                self.routing.observe_result(&call.service, kind, &result);
            }
        }
        flight.finish(&outcome);
        let code = outcome.result.as_ref().err().map(|failure| failure.code);
        let code = code.unwrap_or(ResultCode::Answered);
        call.report.attempted(&target.id, started, code);
        self.metrics.attempt_completed(target.id.as_str(), code);
        if let Some(unsent) = outcome.unsent {
            body.restore(unsent);
        }
        outcome.result
    }

    async fn execute_locally(
        &self,
        call: &OutgoingCall,
        context: CallContext,
        body: RequestBody,
    ) -> AttemptOutcome {
        let executed = self.local.execute(context, &call.head, body).await;
        AttemptOutcome {
            result: executed.result,
            returned: Some(executed.metadata.unused_retries),
            metadata: Some(executed.metadata),
            unsent: None,
        }
    }

    /// Returns the wait before the next attempt.
    ///
    /// # Errors
    /// The reason why there is no further attempt.
    fn retry_delay(
        &self,
        call: &OutgoingCall,
        body: &CallBody,
        router: &ServiceRouter,
        attempts: &Attempts,
        failure: Failure,
    ) -> Result<Duration, NoRetry> {
        let is_quarantined = self.quarantine.check(&call.context).is_err();
        if is_quarantined || failure.code == ResultCode::Quarantined {
            return Err(NoRetry::Quarantined);
        }
        let now = self.clock.now();
        let key = routing_key(&call.context);
        let sibling_available = body.can_resend() && router.can_pick(now, key, &attempts.attempted);
        if !reached_backend(failure.code) {
            let others_unlimited = attempts.rate_limited_offers > 0
                && router.can_pick_unlimited(now, key, &attempts.attempted);
            return match sibling_available {
                true if attempts.may_offer(others_unlimited) => Ok(Duration::ZERO),
                true => Err(NoRetry::OffersSpent),
                false => Err(NoRetry::GivenUp(GiveUpReason::NoSibling)),
            };
        }
        if attempts.arrivals >= call.max_attempts {
            return Err(NoRetry::AttemptsSpent);
        }
        let mut ledger = lock(&call.ledger);
        let input = RetryInput {
            now,
            deadline: call.context.deadline,
            code: failure.code,
            location: FailureLocation::ThisHop,
            repeatability: effective_repeatability(call, body),
            sibling_available,
            allowance: ledger.remaining(),
            // The called service enforces the bound on repeats where they arrive.
            budget_available: true,
            backoff: Backoff::default().delay(attempts.arrivals, &mut rand::rng()),
            expected_latency: Duration::ZERO,
        };
        match decide(&input) {
            RetryDecision::Retry { after } if ledger.try_spend_retry() => Ok(after),
            RetryDecision::Retry { .. } => Err(NoRetry::GivenUp(GiveUpReason::AllowanceSpent)),
            RetryDecision::GiveUp(reason) => Err(NoRetry::GivenUp(reason)),
        }
    }
}

/// Returns whether an attempt completed; `None` if no work was done for it or that is unknown.
fn completed(outcome: &AttemptOutcome) -> Option<bool> {
    match &outcome.result {
        Ok(response) => Some(!response.status().is_server_error()),
        Err(failure) if failure.code == ResultCode::DeadlineAfterDispatch => Some(false),
        Err(_) => None,
    }
}

fn settle_grant(ledger: &Mutex<Ledger>, grant: Grant, outcome: &AttemptOutcome) {
    let mut ledger = lock(ledger);
    match outcome.returned {
        Some(returned) => ledger.settle(grant, returned),
        None => ledger.settle_lost(grant),
    };
}

/// A call is not repeatable if its body can't be sent again.
const fn effective_repeatability(call: &OutgoingCall, body: &CallBody) -> Repeatability {
    if body.can_resend() {
        call.context.repeatability
    } else {
        Repeatability::AtMostOnce
    }
}

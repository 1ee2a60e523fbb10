//! Retries of a daemon's calls, decided by `wharfquay_core` or, under the naive policies, by a fixed
//! count.

use std::time::Duration;

use wharfquay_core::call::RetryAllowance;
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::retry::{Backoff, FailureLocation, RetryDecision, RetryInput, authorize};
use wharfquay_core::routing::PickRequest;

use super::Engine;
use super::outgoing::{CallResult, lost_response};
use crate::simulator::call_path::call::{Attempt, ExecutionId, OutgoingId};
use crate::simulator::call_path::event::Event;

/// Retries that a hop makes for each call under a naive policy.
const NAIVE_RETRIES: u32 = 2;
/// Wait before a retry under a naive policy.
const NAIVE_WAIT: Duration = Duration::from_millis(10);

impl Engine<'_> {
    /// Handles a failed attempt: retries the call or completes it.
    pub(super) fn attempt_failed(
        &mut self,
        id: OutgoingId,
        attempt: Attempt,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) {
        if self.is_naive() {
            self.retry_naively(id, code);
            return;
        }
        let Some(outgoing) = self.outgoing.get_mut(id) else {
            return;
        };
        outgoing.failed_endpoints.push(attempt.endpoint);
        outgoing.is_rate_limited |= code == ResultCode::RateLimited;
        if code.outcome() == OutcomeClass::Unknown {
            outgoing.uncertain = Some(code);
        }
        match self.decide_retry(id, code) {
            Some(RetryDecision::Retry { after }) => self.schedule_retry(id, after),
            Some(RetryDecision::GiveUp(_)) | None => self.fail_call(id, code, retry_after),
        }
    }

    fn schedule_retry(&mut self, id: OutgoingId, after: Duration) {
        let Some(outgoing) = self.outgoing.get_mut(id) else {
            return;
        };
        outgoing.retries += 1;
        if let Some(request) = self.requests.get_mut(outgoing.request) {
            request.retries += 1;
        }
        if after.is_zero() {
            self.start_attempt(id);
        } else {
            self.events
                .add(self.now + after, Event::Retry { outgoing: id });
        }
    }

    /// Returns the decision of `wharfquay_core` on a retry, and charges the retry to ledger and budget.
    fn decide_retry(&mut self, id: OutgoingId, code: ResultCode) -> Option<RetryDecision> {
        let outgoing = self.outgoing.get(id)?;
        let (node, service, retries) = (outgoing.node, outgoing.service, outgoing.retries);
        let request = self.requests.get(outgoing.request)?;
        let key = self.admission_key(request, service);
        let picks = PickRequest {
            key,
            excluded: &outgoing.failed_endpoints,
        };
        let sibling_available = self.nodes[node].routers[service].can_pick(self.now, &picks);
        let repeatability = self.layout.kinds[request.kind].repeatability;
        let deadline = request.deadline;
        let backoff = Backoff::default().delay(retries, &mut self.routing_rng);
        let retry_request = RetryInput {
            now: self.now,
            deadline,
            code,
            location: FailureLocation::ThisHop,
            repeatability,
            sibling_available,
            allowance: RetryAllowance::NONE,
            budget_available: true,
            backoff,
            expected_latency: Duration::ZERO,
        };
        let mut budget = self.nodes[node].budgets[service].clone();
        let decision =
            self.with_retry_ledger(id, |ledger| authorize(&retry_request, ledger, &mut budget));
        self.nodes[node].budgets[service] = budget;
        Some(decision)
    }

    /// Retries any failure a fixed number of times, as a hop does under a naive policy.
    pub(super) fn retry_naively(&mut self, id: OutgoingId, code: ResultCode) {
        let Some(outgoing) = self.outgoing.get(id) else {
            return;
        };
        if outgoing.retries < NAIVE_RETRIES {
            self.schedule_retry(id, NAIVE_WAIT);
        } else if code == ResultCode::Answered {
            self.complete_call(id, CallResult::DownstreamFailed { retry_after: None });
        } else {
            self.fail_call(id, code, None);
        }
    }

    /// Handles the timeout of an attempt of a hop without deadline propagation: the hop retries, while the
    /// abandoned execution continues.
    pub(super) fn attempt_times_out(&mut self, id: OutgoingId, execution: ExecutionId) {
        let awaited = self.outgoing.get_mut(id).and_then(|outgoing| {
            outgoing
                .attempt
                .take_if(|attempt| attempt.execution == execution)
        });
        let Some(attempt) = awaited else {
            return;
        };
        self.apply_response(id, &attempt, &lost_response());
        self.retry_naively(id, ResultCode::DeadlineAfterDispatch);
    }
}

//! Retries of a daemon's calls: as the core decides, or naively.

use std::time::Duration;

use wharfquay_core::call::RetryAllowance;
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::retry::{Backoff, FailureLocation, RetryDecision, RetryInput, authorize};
use wharfquay_core::routing::PickRequest;

use super::Engine;
use super::outgoing::{CallEnd, lost_answer};
use crate::simulator::call_path::call::{Attempt, ExecutionId, OutgoingId};
use crate::simulator::call_path::event::Event;

/// Retries of a hop without control.
const NAIVE_RETRIES: u32 = 2;
/// Wait before a retry of a hop without control.
const NAIVE_WAIT: Duration = Duration::from_millis(10);

impl Engine<'_> {
    /// An attempt failed: tries again or ends the call.
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
        outgoing.tried.push(attempt.endpoint);
        if code.outcome() == OutcomeClass::Unknown {
            outgoing.uncertain = Some(code);
        }
        match self.decide(id, code) {
            Some(RetryDecision::Retry { after }) => self.schedule_retry(id, after),
            Some(RetryDecision::GiveUp(_)) | None => self.fail(id, code, retry_after),
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
            self.try_outgoing(id);
        } else {
            self.events
                .add(self.now + after, Event::Retry { outgoing: id });
        }
    }

    /// Asks the core whether a failed attempt is tried again, and pays for it.
    fn decide(&mut self, id: OutgoingId, code: ResultCode) -> Option<RetryDecision> {
        let outgoing = self.outgoing.get(id)?;
        let (node, service, retries) = (outgoing.node, outgoing.service, outgoing.retries);
        let request = self.requests.get(outgoing.request)?;
        let key = self.key_at(request, service);
        let picks = PickRequest {
            key,
            excluded: &outgoing.tried,
        };
        let sibling_available = self.nodes[node].routers[service].can_pick(self.now, &picks);
        let repeatability = self.layout.kinds[request.kind].repeatability;
        let deadline = request.deadline;
        let backoff = Backoff::default().delay(retries, &mut self.routing_rng);
        let question = RetryInput {
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
        let decision = self.with_ledger(id, |ledger| authorize(&question, ledger, &mut budget));
        self.nodes[node].budgets[service] = budget;
        Some(decision)
    }

    /// A hop without control repeats whatever failed a fixed number of times.
    pub(super) fn retry_naively(&mut self, id: OutgoingId, code: ResultCode) {
        let Some(outgoing) = self.outgoing.get(id) else {
            return;
        };
        if outgoing.retries < NAIVE_RETRIES {
            self.schedule_retry(id, NAIVE_WAIT);
        } else if code == ResultCode::Answered {
            self.conclude(id, CallEnd::DeeperFailed { retry_after: None });
        } else {
            self.fail(id, code, None);
        }
    }

    /// A hop without deadline propagation gives up on its attempt and repeats it; what runs, runs on.
    pub(super) fn attempt_times_out(&mut self, id: OutgoingId, execution: ExecutionId) {
        let awaited = self.outgoing.get_mut(id).and_then(|outgoing| {
            outgoing
                .attempt
                .take_if(|attempt| attempt.execution == execution)
        });
        let Some(attempt) = awaited else {
            return;
        };
        self.learn(id, &attempt, &lost_answer());
        self.retry_naively(id, ResultCode::DeadlineAfterDispatch);
    }
}

//! Callers: attempts, deadlines and the results that callers receive.

use std::time::Duration;

use wharfquay_core::call::{OriginId, Repeatability, RetryAllowance};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::priority::{AdmissionKey, Rank};
use wharfquay_core::retry::Ledger;

use super::Engine;
use super::outgoing::CallResult;
use crate::simulator::call_path::call::{Request, RequestId};
use crate::simulator::call_path::event::Event;
use crate::simulator::call_path::policy::RankSource;

/// Largest number of retries for one originating request, over all hops of its call tree.
const RETRIES_PER_REQUEST: u16 = 3;
/// A refusal counts as a priority inversion if a less important call was dispatched at the same service
/// within this time before it, or since the refused attempt was sent if that is longer ago.
const INVERSION_INTERVAL: Duration = Duration::from_millis(10);

impl Engine<'_> {
    /// Handles the arrival of a caller's attempt at the edge of its zone.
    pub(super) fn caller_attempt_arrives(&mut self, session: usize) {
        let arrival = self.arrivals[session];
        let kind = &self.layout.kinds[arrival.kind];
        let record = &mut self.record.sessions[session];
        record.attempts += 1;
        let origin = origin_number(self.settings.seed, session, record.attempts);
        let entry = kind.entry;
        let request = Request {
            session,
            kind: arrival.kind,
            origin,
            key: AdmissionKey::new(kind.priority, Rank::of(origin_id(origin))),
            deadline: self.now + kind.deadline,
            ledger: Ledger::new(RetryAllowance::new(RETRIES_PER_REQUEST)),
            root: None,
            retries: 0,
            entry_executions: 0,
            work: Duration::ZERO,
            completed: false,
            is_complete_in_time: false,
            reported_not_run: false,
            references: 0,
            last_refusal: None,
        };
        let deadline = request.deadline;
        let request = self.requests.insert(request);
        let root = self.start_call(request, arrival.zone, entry, None);
        if let Some(state) = self.requests.get_mut(request)
            && !state.completed
        {
            state.root = Some(root);
            self.events.add(deadline, Event::Deadline { request });
        }
    }

    /// Returns the admission key of a request's calls to a service.
    pub(super) fn admission_key(&self, request: &Request, service: usize) -> AdmissionKey {
        let priority = request.key.priority();
        match self.settings.mechanisms.rank {
            RankSource::Origin => request.key,
            RankSource::Constant => AdmissionKey::new(priority, Rank::from_number(0)),
            RankSource::PerHop => {
                let mixed = splitmix64(request.origin ^ (service as u64 + 1).rotate_left(40));
                AdmissionKey::new(priority, Rank::of(origin_id(mixed)))
            }
        }
    }

    /// Handles the deadline of a request: responds to the caller if the request is still pending.
    pub(super) fn deadline_expires(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.completed {
            return;
        }
        let root = request.root;
        let pending = root.and_then(|root| self.outgoing.get(root));
        let may_have_run =
            pending.is_some_and(|root| root.attempt.is_some() || root.uncertain.is_some());
        let code = if may_have_run {
            ResultCode::DeadlineAfterDispatch
        } else {
            ResultCode::DeadlineUnreachable
        };
        if !self.is_naive()
            && let Some(root) = root
        {
            self.cancel_call(root);
        }
        let retry_after = None;
        self.complete_request(id, CallResult::Failed { code, retry_after });
    }

    /// Completes a request: the edge responds to the caller.
    pub(super) fn complete_request(&mut self, id: RequestId, call_result: CallResult) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.completed {
            return;
        }
        request.completed = true;
        let session = request.session;
        let kind = request.kind;
        self.record_request_result(id, call_result);
        let is_complete = call_result == CallResult::Complete;
        if is_complete {
            self.record_complete_response(id, session);
        } else {
            self.schedule_caller_repeat(session, kind, call_result);
        }
        self.release_request(id);
    }

    fn record_complete_response(&mut self, id: RequestId, session: usize) {
        let at = self.now + self.layout.client;
        let record = &mut self.record.sessions[session];
        let deadline = self.layout.kinds[record.kind].deadline;
        let in_time = at.saturating_since(record.arrived) <= deadline;
        if in_time && record.complete_response_at.is_none() {
            record.complete_response_at = Some(at);
            if let Some(request) = self.requests.get_mut(id) {
                request.is_complete_in_time = true;
            }
        }
    }

    fn record_request_result(&mut self, id: RequestId, call_result: CallResult) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let record = &mut self.record.kinds[request.kind];
        if let CallResult::Failed { code, .. } = call_result
            && code.outcome() == OutcomeClass::NotRun
        {
            record.refused += 1;
            request.reported_not_run = true;
            if request.entry_executions > 0 {
                record.not_run_but_ran += 1;
            }
        }
        let last_refusal = request
            .last_refusal
            .filter(|_| call_result != CallResult::Complete);
        if let Some(last_refusal) = last_refusal
            && request.key.priority().number() == 0
        {
            let since = last_refusal.sent.min(last_refusal.at - INVERSION_INTERVAL);
            let less_important = &self.last_dispatch[last_refusal.service][1..];
            let inverted = less_important
                .iter()
                .flatten()
                .any(|&dispatched| dispatched > since && dispatched <= last_refusal.at);
            record.priority_inversions += u64::from(inverted);
        }
    }

    /// Schedules the caller's next attempt, if it makes one.
    fn schedule_caller_repeat(&mut self, session: usize, kind: usize, call_result: CallResult) {
        let record = &self.record.sessions[session];
        if record.attempts >= self.layout.caller_attempts {
            return;
        }
        let model = &self.layout.kinds[kind];
        let may_have_run = !matches!(call_result, CallResult::Failed { code, .. }
            if code.outcome() == OutcomeClass::NotRun);
        // A caller repeats a request that must run at most once only if the result code says that it did
        // not run.
        if model.repeatability == Repeatability::AtMostOnce && may_have_run && !self.is_naive() {
            return;
        }
        let received_at = self.now + self.layout.client;
        let wait = if self.arrivals[session].impatient {
            Some(self.layout.caller_wait)
        } else {
            let in_time = |wait: &Duration| {
                received_at.saturating_since(record.arrived) + *wait < model.deadline
            };
            call_result.retry_after().filter(in_time)
        };
        if let Some(wait) = wait {
            let at = received_at + wait + self.layout.client;
            self.events.add(at, Event::CallerAttempt { session });
        }
    }

    /// Increments the reference count of a request.
    pub(super) fn retain_request(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.references += 1;
        }
    }

    /// Decrements the reference count of a request, and removes the request if it is no longer needed.
    pub(super) fn drop_reference(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.references -= 1;
        }
        self.release_request(id);
    }

    /// Removes a completed request without references, and adds its work to the useful or wasted work.
    fn release_request(&mut self, id: RequestId) {
        let done = self
            .requests
            .get(id)
            .is_some_and(|request| request.completed && request.references == 0);
        if !done {
            return;
        }
        if let Some(request) = self.requests.remove(id) {
            let record = &mut self.record.kinds[request.kind];
            record.retries_max = record.retries_max.max(request.retries);
            if request.is_complete_in_time {
                record.useful_work += request.work;
            } else {
                record.wasted_work += request.work;
            }
        }
    }
}

fn origin_number(seed: u64, session: usize, attempt: u32) -> u64 {
    splitmix64(splitmix64(seed) ^ ((session as u64) << 8) ^ u64::from(attempt))
}

fn origin_id(number: u64) -> OriginId {
    OriginId::from_u128(u128::from(number))
}

/// One step of the SplitMix64 generator, used as a hash function.
pub(super) const fn splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}

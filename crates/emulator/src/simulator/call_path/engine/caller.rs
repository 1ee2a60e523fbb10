//! Callers: attempts, deadlines and what they are told.

use std::time::Duration;

use wharfquay_core::call::{OriginId, Repeatability, RetryAllowance};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::priority::{AdmissionKey, Rank};
use wharfquay_core::retry::Ledger;

use super::Engine;
use super::outgoing::CallEnd;
use crate::simulator::call_path::call::{Request, RequestId};
use crate::simulator::call_path::event::Event;
use crate::simulator::call_path::policy::RankMode;

/// Retries that one originating request may cost in its whole chain.
const RETRIES_PER_REQUEST: u16 = 3;
/// Interval before an early refusal in which a less important dispatch makes it an inversion.
const INVERSION_INTERVAL: Duration = Duration::from_millis(10);

impl Engine<'_> {
    /// A caller's attempt arrives at the edge of its zone.
    pub(super) fn attempt_arrives(&mut self, session: usize) {
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
            ended: false,
            whole: false,
            reported_not_run: false,
            references: 0,
            refused: None,
        };
        let deadline = request.deadline;
        let request = self.requests.insert(request);
        let root = self.start_outgoing(request, arrival.zone, entry, None);
        if let Some(state) = self.requests.get_mut(request)
            && !state.ended
        {
            state.root = Some(root);
            self.events.add(deadline, Event::Deadline { request });
        }
    }

    /// The key of a request's calls to a service.
    pub(super) fn key_at(&self, request: &Request, service: usize) -> AdmissionKey {
        let priority = request.key.priority();
        match self.settings.mechanisms.rank {
            RankMode::Origin => request.key,
            RankMode::Constant => AdmissionKey::new(priority, Rank::from_number(0)),
            RankMode::PerHop => {
                let mixed = mix(request.origin ^ (service as u64 + 1).rotate_left(40));
                AdmissionKey::new(priority, Rank::of(origin_id(mixed)))
            }
        }
    }

    /// The deadline of a request has come: the caller gets an answer now, if it has none.
    pub(super) fn deadline_passes(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.ended {
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
            self.cancel_outgoing(root);
        }
        let retry_after = None;
        self.request_ends(id, CallEnd::Failed { code, retry_after });
    }

    /// The edge answers the caller.
    pub(super) fn request_ends(&mut self, id: RequestId, end: CallEnd) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.ended {
            return;
        }
        request.ended = true;
        let session = request.session;
        let kind = request.kind;
        self.note_end(id, end);
        let whole = end == CallEnd::Whole;
        if whole {
            self.note_whole(id, session);
        } else {
            self.caller_returns(session, kind, end);
        }
        self.release_request(id);
    }

    fn note_whole(&mut self, id: RequestId, session: usize) {
        let at = self.now + self.layout.client;
        let record = &mut self.record.sessions[session];
        let deadline = self.layout.kinds[record.kind].deadline;
        let in_time = at.saturating_since(record.arrived) <= deadline;
        if in_time && record.whole_at.is_none() {
            record.whole_at = Some(at);
            if let Some(request) = self.requests.get_mut(id) {
                request.whole = true;
            }
        }
    }

    fn note_end(&mut self, id: RequestId, end: CallEnd) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let record = &mut self.record.kinds[request.kind];
        if let CallEnd::Failed { code, .. } = end
            && code.outcome() == OutcomeClass::NotRun
        {
            record.refused += 1;
            request.reported_not_run = true;
            if request.entry_executions > 0 {
                record.not_run_but_ran += 1;
            }
        }
        let refused = request.refused.filter(|_| end != CallEnd::Whole);
        if let Some(refused) = refused
            && request.key.priority().number() == 0
        {
            let since = refused.since.min(refused.at - INVERSION_INTERVAL);
            let less_important = &self.last_dispatch[refused.service][1..];
            let inverted = less_important
                .iter()
                .flatten()
                .any(|&dispatched| dispatched > since && dispatched <= refused.at);
            record.priority_inversions += u64::from(inverted);
        }
    }

    /// Whether and when the caller sends its request again.
    fn caller_returns(&mut self, session: usize, kind: usize, end: CallEnd) {
        let record = &self.record.sessions[session];
        if record.attempts >= self.layout.caller_attempts {
            return;
        }
        let model = &self.layout.kinds[kind];
        let may_have_run = !matches!(end, CallEnd::Failed { code, .. }
            if code.outcome() == OutcomeClass::NotRun);
        // Callers of a request that is not repeatable do as the result codes tell them.
        if model.repeatability == Repeatability::AtMostOnce && may_have_run && !self.is_naive() {
            return;
        }
        let told_at = self.now + self.layout.client;
        let wait = if self.arrivals[session].impatient {
            Some(self.layout.caller_wait)
        } else {
            let in_time =
                |wait: &Duration| told_at.saturating_since(record.arrived) + *wait < model.deadline;
            end.retry_after().filter(in_time)
        };
        if let Some(wait) = wait {
            let at = told_at + wait + self.layout.client;
            self.events.add(at, Event::Attempt { session });
        }
    }

    /// Counts one more thing that refers to a request.
    pub(super) fn retain_request(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.references += 1;
        }
    }

    /// Counts one thing less.
    pub(super) fn drop_reference(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.references -= 1;
        }
        self.release_request(id);
    }

    /// Removes a request that nothing refers to and settles its work.
    fn release_request(&mut self, id: RequestId) {
        let done = self
            .requests
            .get(id)
            .is_some_and(|request| request.ended && request.references == 0);
        if !done {
            return;
        }
        if let Some(request) = self.requests.remove(id) {
            let record = &mut self.record.kinds[request.kind];
            record.retries_max = record.retries_max.max(request.retries);
            if request.whole {
                record.useful_work += request.work;
            } else {
                record.wasted_work += request.work;
            }
        }
    }
}

fn origin_number(seed: u64, session: usize, attempt: u32) -> u64 {
    mix(mix(seed) ^ ((session as u64) << 8) ^ u64::from(attempt))
}

fn origin_id(number: u64) -> OriginId {
    OriginId::from_u128(u128::from(number))
}

/// Finalizer of the SplitMix64 generator.
pub(super) const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}

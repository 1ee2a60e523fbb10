//! Counts, per request, the instances that terminated while executing it. Each owner does this for
//! a part of the requests.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{
    QUARANTINE_TERMINATIONS, QUARANTINE_TIME, QuarantineState, RequestFingerprint,
    SUSPECT_TERMINATIONS,
};
use crate::time::Timestamp;

/// Maximum number of requests counted, at about 100 bytes each. Beyond it, the requests with the
/// fewest terminations are dropped, and among those the ones with the oldest latest termination.
const CAPACITY: usize = 8_192;
/// One in this many of the counted requests is dropped when the ledger is full. Dropping them in
/// batches means that a flood of new requests causes one sort per batch, not one per request.
const EVICTION_DIVISOR: usize = 8;

/// A terminated instance, identified by a hash of its identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TerminatedInstance(u64);

impl TerminatedInstance {
    /// Wraps a hash.
    #[must_use]
    pub const fn new(hash: u64) -> Self {
        Self(hash)
    }
}

/// Termination of an instance while it executed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTermination {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// The instance that terminated.
    pub instance: TerminatedInstance,
    /// True if the instance executed no other suspect request when it terminated; false if it
    /// executed others, which may have caused the termination.
    pub was_isolated: bool,
}

/// Terminations recorded for one request.
#[derive(Clone, Debug, Default)]
struct Terminations {
    /// Distinct instances; only the last ones that a decision needs.
    instances: Vec<TerminatedInstance>,
    /// True if at least one of the instances executed no other suspect request when it terminated.
    was_isolated: bool,
    latest: Timestamp,
}

/// Counts terminations of instances by request.
#[derive(Clone, Debug, Default)]
pub struct TerminationLedger {
    requests: HashMap<RequestFingerprint, Terminations>,
}

impl TerminationLedger {
    /// Counts a termination and returns the resulting status of the request. A termination that is
    /// reported again counts once.
    pub fn record(&mut self, now: Timestamp, termination: RequestTermination) -> QuarantineState {
        self.make_room(now);
        let known = self.requests.entry(termination.fingerprint).or_default();
        if now.saturating_since(known.latest) > QUARANTINE_TIME * 2 {
            *known = Terminations::default();
        }
        known.latest = now;
        if !known.instances.contains(&termination.instance) {
            known.instances.push(termination.instance);
            let excess = known
                .instances
                .len()
                .saturating_sub(QUARANTINE_TERMINATIONS);
            known.instances.drain(..excess);
        }
        known.was_isolated |= termination.was_isolated;
        match known.instances.len() {
            QUARANTINE_TERMINATIONS.. if known.was_isolated => QuarantineState::Quarantined,
            SUSPECT_TERMINATIONS.. => QuarantineState::Suspect,
            _ => QuarantineState::Unsuspected,
        }
    }

    /// Clears a request that received a response: the instances that terminated while executing it
    /// did so for another reason.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) {
        self.requests.remove(&fingerprint);
    }

    /// Returns the number of requests counted.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns true if no termination is counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn make_room(&mut self, now: Timestamp) {
        if self.requests.len() < CAPACITY {
            return;
        }
        let is_current = |terminations: &Terminations| {
            now.saturating_since(terminations.latest) <= QUARANTINE_TIME * 2
        };
        self.requests
            .retain(|_, terminations| is_current(terminations));
        if self.requests.len() < CAPACITY {
            return;
        }
        let weight =
            |terminations: &Terminations| (terminations.instances.len(), terminations.latest);
        let mut order: Vec<_> = self
            .requests
            .iter()
            .map(|(fingerprint, terminations)| (weight(terminations), *fingerprint))
            .collect();
        order.sort_unstable();
        for (_, fingerprint) in order.into_iter().take(CAPACITY / EVICTION_DIVISOR) {
            self.requests.remove(&fingerprint);
        }
    }
}

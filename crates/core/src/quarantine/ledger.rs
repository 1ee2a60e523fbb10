//! The ends of instances under each request, as an owner of a part of the requests counts them.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{
    ENDS_OF_A_QUARANTINED, ENDS_OF_A_SUSPECT, QUARANTINE_TIME, RequestFingerprint, Standing,
};
use crate::time::Timestamp;

/// Requests that are counted at most, in about 100 bytes each. Beyond it those go of which the fewest, then the oldest
/// ends are known.
const CAPACITY: usize = 8_192;
/// Part of the requests that goes at once when there are too many, so that a flood costs one sort for so many.
const DROPPED_SHARE: usize = 8;

/// An instance that ended, by a hash of its identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndedInstance(u64);

impl EndedInstance {
    /// Wraps a hash.
    #[must_use]
    pub const fn new(hash: u64) -> Self {
        Self(hash)
    }
}

/// An instance ended while it executed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestEnd {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The instance.
    pub instance: EndedInstance,
    /// Whether it executed no other suspect.
    pub was_isolated: bool,
}

/// What is known against one request.
#[derive(Clone, Debug, Default)]
struct Ends {
    /// Different instances, the last ones that are needed for a decision.
    instances: Vec<EndedInstance>,
    was_isolated: bool,
    latest: Timestamp,
}

/// Counts ends of instances by request.
#[derive(Clone, Debug, Default)]
pub struct EndLedger {
    requests: HashMap<RequestFingerprint, Ends>,
}

impl EndLedger {
    /// Counts an end, and gives what is held against the request from now on. The same end told twice counts once.
    pub fn note(&mut self, now: Timestamp, end: RequestEnd) -> Standing {
        self.make_room(now);
        let known = self.requests.entry(end.fingerprint).or_default();
        if now.saturating_since(known.latest) > QUARANTINE_TIME * 2 {
            *known = Ends::default();
        }
        known.latest = now;
        if !known.instances.contains(&end.instance) {
            known.instances.push(end.instance);
            let superfluous = known.instances.len().saturating_sub(ENDS_OF_A_QUARANTINED);
            known.instances.drain(..superfluous);
        }
        known.was_isolated |= end.was_isolated;
        match known.instances.len() {
            ENDS_OF_A_QUARANTINED.. if known.was_isolated => Standing::Quarantined,
            ENDS_OF_A_SUSPECT.. => Standing::Suspect,
            _ => Standing::Unsuspected,
        }
    }

    /// The request was answered: what ended under it ended for another reason.
    pub fn answered(&mut self, fingerprint: RequestFingerprint) {
        self.requests.remove(&fingerprint);
    }

    /// Requests that are counted.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether nothing ended under any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn make_room(&mut self, now: Timestamp) {
        if self.requests.len() < CAPACITY {
            return;
        }
        let is_current = |ends: &Ends| now.saturating_since(ends.latest) <= QUARANTINE_TIME * 2;
        self.requests.retain(|_, ends| is_current(ends));
        if self.requests.len() < CAPACITY {
            return;
        }
        let weight = |ends: &Ends| (ends.instances.len(), ends.latest);
        let mut order: Vec<_> = self
            .requests
            .iter()
            .map(|(fingerprint, ends)| (weight(ends), *fingerprint))
            .collect();
        order.sort_unstable();
        for (_, fingerprint) in order.into_iter().take(CAPACITY / DROPPED_SHARE) {
            self.requests.remove(&fingerprint);
        }
    }
}

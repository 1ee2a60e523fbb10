//! The rule by which an instance gets new work, and by which its leaving is acknowledged.
//!
//! Leaving is final for an instance. It is acknowledged only once it is durable, and a sidecar that
//! has just started gives an instance no work before it knows that no earlier process acknowledged its
//! leaving: from the durable marks, or, while these can't be read, from two heartbeats of growing
//! sequence together with the instance's own health answer.

use std::collections::HashMap;
use std::time::Duration;

use wharfquay_core::time::Timestamp;

use super::{Heartbeat, InstanceId, ReportedState};

/// Instances that are remembered; beyond that the one heard of longest ago is forgotten.
const REMEMBERED_INSTANCES: usize = 64;
/// Shortest time between two heartbeats that confirm an instance without the durable marks.
const CONFIRMATION_GAP: Duration = Duration::from_millis(500);

/// What an instance may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is not known yet whether its leaving was acknowledged.
    Unverified,
    /// New work.
    Serving,
    /// Nothing new, ever.
    Leaving,
}

/// What the driver has to do about a message of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrackerDecision {
    /// Acknowledge at once.
    Acknowledge,
    /// Acknowledge, and find out whether the instance may get work.
    Verify,
    /// Close the gate, make the leaving durable, then acknowledge.
    RecordDeparture,
}

#[derive(Clone, Debug)]
struct Known {
    standing: Standing,
    departure_recorded: bool,
    last_sequence: Option<u64>,
    first_ready: Option<Timestamp>,
    is_confirmed: bool,
    heard_at: Timestamp,
    slots: Option<u32>,
    cold_until: Timestamp,
}

impl Known {
    const fn new(now: Timestamp) -> Self {
        Self {
            standing: Standing::Unverified,
            departure_recorded: false,
            last_sequence: None,
            first_ready: None,
            is_confirmed: false,
            heard_at: now,
            slots: None,
            cold_until: Timestamp::ZERO,
        }
    }

    /// Takes in a heartbeat that says ready.
    fn confirm(&mut self, now: Timestamp) {
        let first = *self.first_ready.get_or_insert(now);
        if now.saturating_since(first) >= CONFIRMATION_GAP {
            self.is_confirmed = true;
        }
    }
}

/// The instances that were beside this sidecar.
#[derive(Clone, Debug, Default)]
pub struct InstanceTracker {
    known: HashMap<InstanceId, Known>,
    current: Option<InstanceId>,
}

impl InstanceTracker {
    /// Takes a heartbeat.
    pub fn heartbeat(&mut self, now: Timestamp, beat: &Heartbeat) -> TrackerDecision {
        let is_current = self.current.as_ref() == Some(&beat.instance);
        let known = self.entry(now, &beat.instance);
        known.heard_at = now;
        if beat.state == ReportedState::Draining {
            return Self::leave(known);
        }
        let is_late = known
            .last_sequence
            .is_some_and(|last| beat.sequence <= last);
        if is_late || known.standing == Standing::Leaving {
            return TrackerDecision::Acknowledge;
        }
        known.last_sequence = Some(beat.sequence);
        known.slots = Some(beat.slots);
        known.cold_until = now + beat.cold_left;
        known.confirm(now);
        if is_current && known.standing == Standing::Serving {
            TrackerDecision::Acknowledge
        } else {
            TrackerDecision::Verify
        }
    }

    /// Takes the message of an instance that goes.
    pub fn departure(&mut self, now: Timestamp, instance: &InstanceId) -> TrackerDecision {
        Self::leave(self.entry(now, instance))
    }

    const fn leave(known: &mut Known) -> TrackerDecision {
        known.standing = Standing::Leaving;
        if known.departure_recorded {
            TrackerDecision::Acknowledge
        } else {
            TrackerDecision::RecordDeparture
        }
    }

    /// Takes notice of an instance that answered a health check; true when it needs verifying.
    pub fn seen_healthy(&mut self, now: Timestamp, instance: &InstanceId) -> bool {
        self.entry(now, instance).standing == Standing::Unverified
    }

    /// The leaving of an instance is durable.
    pub fn departure_recorded(&mut self, now: Timestamp, instance: &InstanceId) {
        let known = self.entry(now, instance);
        known.standing = Standing::Leaving;
        known.departure_recorded = true;
    }

    /// The instance has no durable mark and may get work, unless it said meanwhile that it leaves.
    /// Returns whether it is the one that gets work now.
    pub fn verified(&mut self, now: Timestamp, instance: &InstanceId) -> bool {
        let known = self.entry(now, instance);
        if known.standing == Standing::Leaving {
            return false;
        }
        known.standing = Standing::Serving;
        self.current = Some(instance.clone());
        true
    }

    /// Another instance answers at the back end's address: this one is gone.
    pub fn replaced(&mut self, instance: &InstanceId) {
        if self.current.as_ref() == Some(instance) {
            self.current = None;
        }
        if let Some(known) = self.known.get_mut(instance) {
            known.standing = Standing::Leaving;
        }
    }

    /// Whether heartbeats alone, with the instance's health, show that it does not leave.
    #[must_use]
    pub fn is_confirmed(&self, instance: &InstanceId) -> bool {
        let known = self.known.get(instance);
        known.is_some_and(|known| known.is_confirmed && known.standing != Standing::Leaving)
    }

    /// What an instance may get.
    #[must_use]
    pub fn standing(&self, instance: &InstanceId) -> Standing {
        let known = self.known.get(instance);
        known.map_or(Standing::Unverified, |known| known.standing)
    }

    /// The instance that gets work.
    #[must_use]
    pub const fn current(&self) -> Option<&InstanceId> {
        self.current.as_ref()
    }

    /// Requests that an instance executes at a time, once it said so.
    #[must_use]
    pub fn slots(&self, instance: &InstanceId) -> Option<u32> {
        self.known.get(instance)?.slots
    }

    fn entry(&mut self, now: Timestamp, instance: &InstanceId) -> &mut Known {
        if !self.known.contains_key(instance) && self.known.len() >= REMEMBERED_INSTANCES {
            self.forget_oldest();
        }
        self.known
            .entry(instance.clone())
            .or_insert_with(|| Known::new(now))
    }

    fn forget_oldest(&mut self) {
        let forgettable = self
            .known
            .iter()
            .filter(|(id, _)| Some(*id) != self.current.as_ref());
        let oldest = forgettable.min_by_key(|(_, known)| known.heard_at);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            self.known.remove(&oldest);
        }
    }
}

//! The rule by which an instance gets new work, and by which its leaving is acknowledged.
//!
//! Leaving is final for an instance. It is acknowledged only once it is durable, and a sidecar that
//! has just started gives an instance no work before it knows that no earlier process acknowledged its
//! leaving: from the durable marks, or, while these can't be read, from two heartbeats of growing
//! sequence together with the instance's own health answer.
//!
//! A back end may start again under its name. What was known of the earlier start then holds no more, and what still
//! arrives from it changes nothing.

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
    /// Refuse: instances of this name tell when they started, and this message does not, so it is another writer's.
    Refuse,
}

#[derive(Clone, Debug)]
struct Known {
    instance: InstanceId,
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
    const fn new(instance: InstanceId, now: Timestamp) -> Self {
        Self {
            instance,
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
    /// The latest start of each name.
    known: HashMap<String, Known>,
    current: Option<InstanceId>,
}

impl InstanceTracker {
    /// Takes notice that an instance lives, before its message is taken in. Gives the earlier start under its name that
    /// is over because of it.
    pub fn take_over(&mut self, now: Timestamp, instance: &InstanceId) -> Option<InstanceId> {
        let known = self.known.get_mut(instance.name())?;
        let has_spoken = known.last_sequence.is_some() || known.departure_recorded;
        let tells_start_now = known.instance.born().is_none() && instance.born().is_some();
        if known.instance.is_before(instance) || (tells_start_now && has_spoken) {
            let earlier = std::mem::replace(known, Known::new(instance.clone(), now)).instance;
            self.current.take_if(|current| *current == earlier);
            return Some(earlier);
        }
        if tells_start_now {
            if let Some(current) = self.current.as_mut().filter(|id| **id == known.instance) {
                *current = instance.clone();
            }
            known.instance = instance.clone();
        }
        None
    }

    /// Takes a heartbeat.
    pub fn heartbeat(&mut self, now: Timestamp, beat: &Heartbeat) -> TrackerDecision {
        self.take_over(now, &beat.instance);
        if self.lacks_start(&beat.instance) {
            return TrackerDecision::Refuse;
        }
        let is_current = self.is_current(&beat.instance);
        let is_over = self.is_over(&beat.instance);
        let Some(known) = self.entry(now, &beat.instance) else {
            return TrackerDecision::Acknowledge;
        };
        known.heard_at = now;
        if beat.state == ReportedState::Draining {
            return Self::leave(known);
        }
        let is_late = known
            .last_sequence
            .is_some_and(|last| beat.sequence <= last);
        if is_late || is_over || known.standing == Standing::Leaving {
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
        self.take_over(now, instance);
        match self.entry(now, instance) {
            Some(known) => Self::leave(known),
            None => TrackerDecision::Acknowledge,
        }
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
        let known = self.entry(now, instance);
        known.is_some_and(|known| known.standing == Standing::Unverified)
    }

    /// The leaving of an instance is durable.
    pub fn departure_recorded(&mut self, now: Timestamp, instance: &InstanceId) {
        if let Some(known) = self.entry(now, instance) {
            known.standing = Standing::Leaving;
            known.departure_recorded = true;
        }
    }

    /// The instances whose leaving was made durable.
    #[must_use]
    pub fn recorded_departures(&self) -> Vec<InstanceId> {
        let recorded = self.known.values().filter(|known| known.departure_recorded);
        recorded.map(|known| known.instance.clone()).collect()
    }

    /// The instance has no durable mark and may get work, unless it said meanwhile that it leaves.
    /// Returns whether it is the one that gets work now.
    pub fn verified(&mut self, now: Timestamp, instance: &InstanceId) -> bool {
        let is_over = self.is_over(instance);
        let Some(known) = self.entry(now, instance) else {
            return false;
        };
        if is_over || known.standing == Standing::Leaving {
            return false;
        }
        known.standing = Standing::Serving;
        self.current = Some(known.instance.clone());
        true
    }

    /// Another instance answers at the back end's address: this one is gone.
    pub fn replaced(&mut self, instance: &InstanceId) {
        if self.is_current(instance) {
            self.current = None;
        }
        if let Some(known) = self.found_mut(instance) {
            known.standing = Standing::Leaving;
        }
    }

    /// Whether heartbeats alone, with the instance's health, show that it does not leave.
    #[must_use]
    pub fn is_confirmed(&self, instance: &InstanceId) -> bool {
        let known = self.found(instance);
        known.is_some_and(|known| known.is_confirmed && known.standing != Standing::Leaving)
    }

    /// What an instance may get.
    #[must_use]
    pub fn standing(&self, instance: &InstanceId) -> Standing {
        match self.known.get(instance.name()) {
            Some(known) if instance.is_before(&known.instance) => Standing::Leaving,
            Some(known) if known.instance.may_be(instance) => known.standing,
            _ => Standing::Unverified,
        }
    }

    /// The instance that gets work.
    #[must_use]
    pub const fn current(&self) -> Option<&InstanceId> {
        self.current.as_ref()
    }

    /// Requests that an instance executes at a time, once it said so.
    #[must_use]
    pub fn slots(&self, instance: &InstanceId) -> Option<u32> {
        self.found(instance)?.slots
    }

    fn is_current(&self, instance: &InstanceId) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.may_be(instance))
    }

    /// Whether the instance that gets work started later at the same address.
    fn is_over(&self, instance: &InstanceId) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| instance.is_before(current))
    }

    /// Whether this identity tells no start though the instance of its name has told one.
    #[must_use]
    pub fn lacks_start(&self, instance: &InstanceId) -> bool {
        let known = self.known.get(instance.name());
        instance.born().is_none() && known.is_some_and(|known| known.instance.born().is_some())
    }

    fn found(&self, instance: &InstanceId) -> Option<&Known> {
        let known = self.known.get(instance.name())?;
        known.instance.may_be(instance).then_some(known)
    }

    fn found_mut(&mut self, instance: &InstanceId) -> Option<&mut Known> {
        let known = self.known.get_mut(instance.name())?;
        known.instance.may_be(instance).then_some(known)
    }

    /// What is known of an instance, new where nothing is; none where another start of its name is known.
    fn entry(&mut self, now: Timestamp, instance: &InstanceId) -> Option<&mut Known> {
        let name = instance.name();
        if !self.known.contains_key(name) {
            if self.known.len() >= REMEMBERED_INSTANCES {
                self.forget_oldest();
            }
            let known = Known::new(instance.clone(), now);
            self.known.insert(name.to_owned(), known);
        }
        self.found_mut(instance)
    }

    fn forget_oldest(&mut self) {
        let current = self.current.as_ref().map(InstanceId::name);
        let forgettable = self
            .known
            .iter()
            .filter(|(name, _)| Some(name.as_str()) != current);
        let oldest = forgettable.min_by_key(|(_, known)| known.heard_at);
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.known.remove(&oldest);
        }
    }
}

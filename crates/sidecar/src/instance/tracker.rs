//! Decides which instance receives new work and when its departure is acknowledged.
//!
//! Departure is final for an instance. It is acknowledged only once it is durable. A sidecar that
//! has just started sends an instance no work until it knows that no earlier process acknowledged
//! its departure. It learns that from the durable departure records or, while these can't be read,
//! from two heartbeats with increasing sequence numbers together with the instance's own health
//! response.
//!
//! A backend may start again under the same name. The state of the earlier instance then no longer
//! applies, and messages that still arrive from it have no effect.

use std::collections::HashMap;
use std::time::Duration;

use wharfquay_core::time::Timestamp;

use super::{Heartbeat, InstanceId, ReportedState};

/// Maximum number of tracked instances. Beyond it, the one with the oldest last message is dropped.
const MAX_TRACKED_INSTANCES: usize = 64;
/// Minimum time between two heartbeats that confirm an instance without the departure records.
const MIN_CONFIRMATION_GAP: Duration = Duration::from_millis(500);

/// Status of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceStatus {
    /// It is not known yet whether the departure of the instance was acknowledged.
    Unverified,
    /// The instance receives new work.
    Serving,
    /// The instance never receives new work again.
    Leaving,
}

/// Action that the driver has to take for a message of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrackerDecision {
    /// Acknowledge the message immediately.
    Acknowledge,
    /// Acknowledge the message and verify whether the instance may receive work.
    Verify,
    /// Close the gate, make the departure durable, then acknowledge the message.
    RecordDeparture,
    /// Do not acknowledge the message. It lacks a start time, although instances of this name
    /// report one, and therefore comes from another sender.
    Refuse,
}

#[derive(Clone, Debug)]
struct TrackedInstance {
    instance: InstanceId,
    status: InstanceStatus,
    is_departure_recorded: bool,
    last_sequence: Option<u64>,
    first_ready_at: Option<Timestamp>,
    is_confirmed: bool,
    last_message_at: Timestamp,
    slots: Option<u32>,
    warm_up_until: Timestamp,
}

impl TrackedInstance {
    const fn new(instance: InstanceId, now: Timestamp) -> Self {
        Self {
            instance,
            status: InstanceStatus::Unverified,
            is_departure_recorded: false,
            last_sequence: None,
            first_ready_at: None,
            is_confirmed: false,
            last_message_at: now,
            slots: None,
            warm_up_until: Timestamp::ZERO,
        }
    }

    /// Records a heartbeat with the state ready. The instance counts as confirmed without the
    /// departure records once two such heartbeats arrived at least [`MIN_CONFIRMATION_GAP`] apart.
    fn record_ready_heartbeat(&mut self, now: Timestamp) {
        let first = *self.first_ready_at.get_or_insert(now);
        if now.saturating_since(first) >= MIN_CONFIRMATION_GAP {
            self.is_confirmed = true;
        }
    }
}

/// The instances that have run beside this sidecar.
#[derive(Clone, Debug, Default)]
pub struct InstanceTracker {
    /// The latest instance of each name.
    instances: HashMap<String, TrackedInstance>,
    current: Option<InstanceId>,
}

impl InstanceTracker {
    /// Records that an instance is running, before its message is handled. Returns the earlier
    /// instance of the same name that it replaces.
    pub fn replace_earlier(&mut self, now: Timestamp, instance: &InstanceId) -> Option<InstanceId> {
        let tracked = self.instances.get_mut(instance.name())?;
        let has_sent_messages = tracked.last_sequence.is_some() || tracked.is_departure_recorded;
        let reports_start_now =
            tracked.instance.started_at().is_none() && instance.started_at().is_some();
        if tracked.instance.is_before(instance) || (reports_start_now && has_sent_messages) {
            let earlier =
                std::mem::replace(tracked, TrackedInstance::new(instance.clone(), now)).instance;
            self.current.take_if(|current| *current == earlier);
            return Some(earlier);
        }
        if reports_start_now {
            if let Some(current) = self.current.as_mut().filter(|id| **id == tracked.instance) {
                *current = instance.clone();
            }
            tracked.instance = instance.clone();
        }
        None
    }

    /// Handles a heartbeat.
    pub fn heartbeat(&mut self, now: Timestamp, heartbeat: &Heartbeat) -> TrackerDecision {
        self.replace_earlier(now, &heartbeat.instance);
        if self.lacks_known_start_time(&heartbeat.instance) {
            return TrackerDecision::Refuse;
        }
        let is_current = self.is_current(&heartbeat.instance);
        let is_superseded = self.is_superseded(&heartbeat.instance);
        let Some(tracked) = self.entry_mut(now, &heartbeat.instance) else {
            return TrackerDecision::Acknowledge;
        };
        tracked.last_message_at = now;
        if heartbeat.state == ReportedState::Draining {
            return Self::begin_departure(tracked);
        }
        let is_out_of_order = tracked
            .last_sequence
            .is_some_and(|last| heartbeat.sequence <= last);
        if is_out_of_order || is_superseded || tracked.status == InstanceStatus::Leaving {
            return TrackerDecision::Acknowledge;
        }
        tracked.last_sequence = Some(heartbeat.sequence);
        tracked.slots = Some(heartbeat.slots);
        tracked.warm_up_until = now + heartbeat.warm_up_left;
        tracked.record_ready_heartbeat(now);
        if is_current && tracked.status == InstanceStatus::Serving {
            TrackerDecision::Acknowledge
        } else {
            TrackerDecision::Verify
        }
    }

    /// Handles the message of an instance that is departing.
    pub fn departure(&mut self, now: Timestamp, instance: &InstanceId) -> TrackerDecision {
        self.replace_earlier(now, instance);
        match self.entry_mut(now, instance) {
            Some(tracked) => Self::begin_departure(tracked),
            None => TrackerDecision::Acknowledge,
        }
    }

    const fn begin_departure(tracked: &mut TrackedInstance) -> TrackerDecision {
        tracked.status = InstanceStatus::Leaving;
        if tracked.is_departure_recorded {
            TrackerDecision::Acknowledge
        } else {
            TrackerDecision::RecordDeparture
        }
    }

    /// Records an instance that responded to a health check. Returns true if it needs verification.
    pub fn observe_healthy(&mut self, now: Timestamp, instance: &InstanceId) -> bool {
        let tracked = self.entry_mut(now, instance);
        tracked.is_some_and(|tracked| tracked.status == InstanceStatus::Unverified)
    }

    /// Records that the departure of an instance is durable.
    pub fn mark_departure_recorded(&mut self, now: Timestamp, instance: &InstanceId) {
        if let Some(tracked) = self.entry_mut(now, instance) {
            tracked.status = InstanceStatus::Leaving;
            tracked.is_departure_recorded = true;
        }
    }

    /// Returns the instances whose departure is durable.
    #[must_use]
    pub fn recorded_departures(&self) -> Vec<InstanceId> {
        let recorded = self
            .instances
            .values()
            .filter(|tracked| tracked.is_departure_recorded);
        recorded.map(|tracked| tracked.instance.clone()).collect()
    }

    /// Records that the instance has no departure record and may receive work, unless it has
    /// announced its departure meanwhile. Returns true if it now receives work.
    pub fn mark_verified(&mut self, now: Timestamp, instance: &InstanceId) -> bool {
        let is_superseded = self.is_superseded(instance);
        let Some(tracked) = self.entry_mut(now, instance) else {
            return false;
        };
        if is_superseded || tracked.status == InstanceStatus::Leaving {
            return false;
        }
        tracked.status = InstanceStatus::Serving;
        self.current = Some(tracked.instance.clone());
        true
    }

    /// Records that another instance responds at the backend's address, so that `instance` has
    /// terminated.
    pub fn mark_replaced(&mut self, instance: &InstanceId) {
        if self.is_current(instance) {
            self.current = None;
        }
        if let Some(tracked) = self.get_mut(instance) {
            tracked.status = InstanceStatus::Leaving;
        }
    }

    /// True if heartbeats alone, together with the instance's health, show that it is not
    /// departing.
    #[must_use]
    pub fn is_confirmed(&self, instance: &InstanceId) -> bool {
        let tracked = self.get(instance);
        tracked.is_some_and(|tracked| {
            tracked.is_confirmed && tracked.status != InstanceStatus::Leaving
        })
    }

    /// Returns the status of an instance.
    #[must_use]
    pub fn status(&self, instance: &InstanceId) -> InstanceStatus {
        match self.instances.get(instance.name()) {
            Some(tracked) if instance.is_before(&tracked.instance) => InstanceStatus::Leaving,
            Some(tracked) if tracked.instance.may_be_same(instance) => tracked.status,
            _ => InstanceStatus::Unverified,
        }
    }

    /// Returns the instance that receives work.
    #[must_use]
    pub const fn current(&self) -> Option<&InstanceId> {
        self.current.as_ref()
    }

    /// True if an instance other than `instance` receives work.
    #[must_use]
    pub fn is_another_serving(&self, instance: &InstanceId) -> bool {
        self.current.as_ref().is_some_and(|current| {
            !current.may_be_same(instance) && self.status(current) == InstanceStatus::Serving
        })
    }

    /// Returns the maximum number of requests that an instance executes concurrently; `None` until
    /// it reports that number.
    #[must_use]
    pub fn slots(&self, instance: &InstanceId) -> Option<u32> {
        self.get(instance)?.slots
    }

    fn is_current(&self, instance: &InstanceId) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.may_be_same(instance))
    }

    /// True if the instance that receives work started later at the same address.
    fn is_superseded(&self, instance: &InstanceId) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| instance.is_before(current))
    }

    /// Returns true if `instance` has no start time although an instance of the same name has
    /// reported one. Its message may then come from an earlier process and is refused.
    #[must_use]
    pub fn lacks_known_start_time(&self, instance: &InstanceId) -> bool {
        let tracked = self.instances.get(instance.name());
        instance.started_at().is_none()
            && tracked.is_some_and(|tracked| tracked.instance.started_at().is_some())
    }

    fn get(&self, instance: &InstanceId) -> Option<&TrackedInstance> {
        let tracked = self.instances.get(instance.name())?;
        tracked.instance.may_be_same(instance).then_some(tracked)
    }

    fn get_mut(&mut self, instance: &InstanceId) -> Option<&mut TrackedInstance> {
        let tracked = self.instances.get_mut(instance.name())?;
        tracked.instance.may_be_same(instance).then_some(tracked)
    }

    /// Returns the entry of an instance and creates it if necessary; `None` if another instance of
    /// this name is tracked.
    fn entry_mut(&mut self, now: Timestamp, instance: &InstanceId) -> Option<&mut TrackedInstance> {
        let name = instance.name();
        if !self.instances.contains_key(name) {
            if self.instances.len() >= MAX_TRACKED_INSTANCES {
                self.remove_oldest();
            }
            let tracked = TrackedInstance::new(instance.clone(), now);
            self.instances.insert(name.to_owned(), tracked);
        }
        self.get_mut(instance)
    }

    fn remove_oldest(&mut self) {
        let current = self.current.as_ref().map(InstanceId::name);
        let removable = self
            .instances
            .iter()
            .filter(|(name, _)| Some(name.as_str()) != current);
        let oldest = removable.min_by_key(|(_, tracked)| tracked.last_message_at);
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.instances.remove(&oldest);
        }
    }
}

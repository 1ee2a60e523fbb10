//! State machine of the reader.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use wharfquay_core::time::Timestamp;
use wharfquay_resources::snapshot::Revision;

use super::event::{SourceChange, SourceEffect, SourceEvent, SourceInput, SourceSnapshot};
use crate::backoff::Backoff;
use crate::error::PlatformError;
use crate::wire::{Object, ObjectKey, ObjectList, OperationId, WatchEvent};

/// Settings of a reader.
#[derive(Clone, Copy, Debug)]
pub struct SourceSettings {
    /// Waits after failures.
    pub backoff: Backoff,
    /// After a longer time without a reply of the store, the reader lists again instead of resuming
    /// the watch, since the store may have been replaced by an older copy in the meantime.
    pub resume_limit: Duration,
}

impl Default for SourceSettings {
    fn default() -> Self {
        Self {
            backoff: Backoff::default(),
            resume_limit: Duration::from_secs(30),
        }
    }
}

/// Next step of the reader. A watch is replaced by a list when it can't be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    List,
    Watch,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The reader is stopped.
    Idle,
    /// Waiting before the next step.
    Waiting { until: Timestamp, step: Step },
    /// A list request is in flight.
    Listing,
    /// The request for a watch is in flight.
    Opening,
    /// A watch is open.
    Watching,
}

/// Version and operation id of the last write to an object, which identify its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ObjectState {
    version: Revision,
    operation: OperationId,
}

impl ObjectState {
    const fn of(object: &Object) -> Self {
        Self {
            version: object.version,
            operation: object.operation,
        }
    }
}

type ObjectStates = BTreeMap<ObjectKey, ObjectState>;

/// State that was delivered to the consumer.
#[derive(Clone, Debug)]
struct Delivered {
    revision: Revision,
    states: ObjectStates,
}

/// State machine of one reader.
///
/// The revisions of [`SourceEvent::Snapshot`] and [`SourceEvent::Change`] only increase, regardless
/// of the replies of the store; only a requested snapshot may have the revision that the consumer
/// already has. The reader detects a gap in a watch by versions that are not contiguous. After the
/// store replied with an older state, the next delivery is a full snapshot, since the history of
/// the store may have been replaced.
#[derive(Clone, Debug)]
pub struct ConfigurationSource {
    settings: SourceSettings,
    phase: Phase,
    /// Highest version in any reply of the store.
    highest_seen_revision: Revision,
    delivered: Option<Delivered>,
    /// True if the store replied with an older or diverged state and no consistent list followed yet.
    history_suspect: bool,
    /// True if the consumer requested a full snapshot, even of the revision that it has.
    snapshot_requested: bool,
    /// Consecutive steps that brought no progress; determines the backoff.
    failures: u32,
    /// Start of the current outage; `None` while the store replies.
    unavailable_since: Option<Timestamp>,
    /// Time of the last reply of the store.
    last_reply_at: Timestamp,
}

impl ConfigurationSource {
    /// Creates a stopped reader without any state.
    #[must_use]
    pub const fn new(settings: SourceSettings) -> Self {
        Self {
            settings,
            phase: Phase::Idle,
            highest_seen_revision: Revision::ZERO,
            delivered: None,
            history_suspect: false,
            snapshot_requested: false,
            failures: 0,
            unavailable_since: None,
            last_reply_at: Timestamp::ZERO,
        }
    }

    /// Returns the highest revision in any reply of the store.
    #[must_use]
    pub const fn highest_seen_revision(&self) -> Revision {
        self.highest_seen_revision
    }

    /// Returns the revision that was delivered to the consumer, if any.
    #[must_use]
    pub fn delivered(&self) -> Option<Revision> {
        self.delivered.as_ref().map(|delivered| delivered.revision)
    }

    /// Starts reading, or resumes after [`Self::stop`]. Has no effect on a running reader.
    pub fn start(&mut self, now: Timestamp) -> Vec<SourceEffect> {
        if self.phase != Phase::Idle {
            return Vec::new();
        }
        self.start_step(now, Step::Watch)
    }

    /// Stops reading. Keeps the highest seen revision and the delivered state.
    pub fn stop(&mut self) -> Vec<SourceEffect> {
        let watching = self.phase == Phase::Watching;
        self.phase = Phase::Idle;
        if watching {
            return vec![SourceEffect::CloseWatch];
        }
        Vec::new()
    }

    /// Requests a full snapshot, even of the revision that the consumer has.
    pub fn request_snapshot(&mut self, now: Timestamp) -> Vec<SourceEffect> {
        self.snapshot_requested = true;
        if self.phase == Phase::Watching {
            return with_closed_watch(self.start_step(now, Step::List));
        }
        Vec::new()
    }

    /// Returns the time at which [`Self::advance`] must be called.
    #[must_use]
    pub const fn next_wakeup(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::Waiting { until, .. } => Some(until),
            _ => None,
        }
    }

    /// Starts the next step if it is due.
    pub fn advance(&mut self, now: Timestamp) -> Vec<SourceEffect> {
        match self.phase {
            Phase::Waiting { until, step } if until <= now => self.start_step(now, step),
            _ => Vec::new(),
        }
    }

    /// Handles an input. Inputs that don't match the current phase are ignored.
    pub fn handle(
        &mut self,
        now: Timestamp,
        input: SourceInput,
        random: &mut impl Rng,
    ) -> Vec<SourceEffect> {
        match (self.phase, input) {
            (Phase::Listing, SourceInput::Listed(list)) => self.handle_list(now, &list, random),
            (Phase::Listing, SourceInput::ListFailed(error)) => {
                self.handle_failure(now, error, Step::List, random)
            }
            (Phase::Opening, SourceInput::WatchOpened) => self.handle_watch_opened(now),
            (Phase::Watching, SourceInput::WatchEvent(event)) => {
                self.handle_watch_event(now, &event, random)
            }
            (Phase::Opening | Phase::Watching, SourceInput::WatchTooOld) => {
                self.schedule_step(now, Step::List, random);
                Vec::new()
            }
            (Phase::Opening | Phase::Watching, SourceInput::WatchEnded) => {
                self.schedule_step(now, Step::Watch, random);
                Vec::new()
            }
            (Phase::Opening | Phase::Watching, SourceInput::WatchFailed(error)) => {
                self.handle_failure(now, error, Step::Watch, random)
            }
            _ => Vec::new(),
        }
    }

    fn handle_list(
        &mut self,
        now: Timestamp,
        list: &ObjectList,
        random: &mut impl Rng,
    ) -> Vec<SourceEffect> {
        self.record_reply(now);
        if list.version < self.highest_seen_revision {
            return self.handle_older_store(now, list.version, random);
        }
        self.highest_seen_revision = list.version;
        let states = object_states(list);
        let event = match &self.delivered {
            Some(delivered) if delivered.revision == list.version => {
                if delivered.states != states {
                    return self.handle_diverged_store(now, list.version, random);
                }
                self.confirmation_event(list)
            }
            _ => SourceEvent::Snapshot(SourceSnapshot::from_list(list)),
        };
        self.history_suspect = false;
        self.snapshot_requested = false;
        self.delivered = Some(Delivered {
            revision: list.version,
            states,
        });
        let mut effects = vec![SourceEffect::Emit(event)];
        effects.extend(self.start_step(now, Step::Watch));
        effects
    }

    /// Returns the event for a list at the revision that the consumer has.
    fn confirmation_event(&self, list: &ObjectList) -> SourceEvent {
        if self.snapshot_requested {
            return SourceEvent::Snapshot(SourceSnapshot::from_list(list));
        }
        SourceEvent::Current {
            revision: list.version,
        }
    }

    /// Lists again when opening the watch took longer than the resume limit.
    fn handle_watch_opened(&mut self, now: Timestamp) -> Vec<SourceEffect> {
        if self.resumable_revision(now).is_none() {
            return with_closed_watch(self.start_step(now, Step::List));
        }
        self.phase = Phase::Watching;
        Vec::new()
    }

    fn handle_watch_event(
        &mut self,
        now: Timestamp,
        event: &WatchEvent,
        random: &mut impl Rng,
    ) -> Vec<SourceEffect> {
        self.record_reply(now);
        match event {
            WatchEvent::Bookmark { version } => self.handle_bookmark(now, *version, random),
            WatchEvent::Put { version, object } => {
                self.apply_change(now, *version, random, |states| {
                    states.insert(object.key.clone(), ObjectState::of(object));
                    SourceChange::put(object)
                })
            }
            WatchEvent::Delete { version, object } => {
                self.apply_change(now, *version, random, |states| {
                    states.remove(&object.key);
                    SourceChange::delete(&object.key)
                })
            }
        }
    }

    fn handle_bookmark(
        &mut self,
        now: Timestamp,
        version: Revision,
        random: &mut impl Rng,
    ) -> Vec<SourceEffect> {
        if version < self.highest_seen_revision {
            return with_closed_watch(self.handle_older_store(now, version, random));
        }
        self.highest_seen_revision = version;
        if self.delivered() != Some(version) {
            return self.handle_gap(now, random);
        }
        self.failures = 0;
        vec![SourceEffect::Emit(SourceEvent::Current {
            revision: version,
        })]
    }

    fn apply_change(
        &mut self,
        now: Timestamp,
        version: Revision,
        random: &mut impl Rng,
        apply: impl FnOnce(&mut ObjectStates) -> SourceChange,
    ) -> Vec<SourceEffect> {
        let Some(delivered) = &mut self.delivered else {
            return self.handle_gap(now, random);
        };
        let previous = delivered.revision;
        if version <= previous {
            return Vec::new();
        }
        self.highest_seen_revision = self.highest_seen_revision.max(version);
        if version.number() != previous.number() + 1 {
            return self.handle_gap(now, random);
        }
        delivered.revision = version;
        let change = apply(&mut delivered.states);
        self.failures = 0;
        vec![SourceEffect::Emit(SourceEvent::Change {
            previous,
            revision: version,
            change,
        })]
    }

    /// Closes a watch that skipped events and schedules a new list.
    fn handle_gap(&mut self, now: Timestamp, random: &mut impl Rng) -> Vec<SourceEffect> {
        self.schedule_step(now, Step::List, random);
        vec![SourceEffect::CloseWatch]
    }

    fn handle_older_store(
        &mut self,
        now: Timestamp,
        replied_revision: Revision,
        random: &mut impl Rng,
    ) -> Vec<SourceEffect> {
        self.history_suspect = true;
        self.schedule_step(now, Step::List, random);
        vec![SourceEffect::Emit(SourceEvent::OlderStore {
            seen: self.highest_seen_revision,
            replied_revision,
        })]
    }

    fn handle_diverged_store(
        &mut self,
        now: Timestamp,
        revision: Revision,
        random: &mut impl Rng,
    ) -> Vec<SourceEffect> {
        self.history_suspect = true;
        self.schedule_step(now, Step::List, random);
        vec![SourceEffect::Emit(SourceEvent::DivergedStore { revision })]
    }

    fn handle_failure(
        &mut self,
        now: Timestamp,
        error: PlatformError,
        step: Step,
        random: &mut impl Rng,
    ) -> Vec<SourceEffect> {
        self.schedule_step(now, step, random);
        if self.unavailable_since.is_some() {
            return Vec::new();
        }
        self.unavailable_since = Some(now);
        vec![SourceEffect::Emit(SourceEvent::Unavailable {
            since: now,
            error,
        })]
    }

    fn schedule_step(&mut self, now: Timestamp, step: Step, random: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        let delay = self.settings.backoff.delay(self.failures, random);
        self.phase = Phase::Waiting {
            until: now + delay,
            step,
        };
    }

    fn record_reply(&mut self, now: Timestamp) {
        self.last_reply_at = now;
        self.unavailable_since = None;
    }

    /// Returns the revision from which a watch can be resumed; `None` when a list is needed first.
    fn resumable_revision(&self, now: Timestamp) -> Option<Revision> {
        let silence = now.saturating_since(self.last_reply_at);
        let list_needed = self.history_suspect || self.snapshot_requested;
        if list_needed || silence > self.settings.resume_limit {
            return None;
        }
        self.delivered()
    }

    fn start_step(&mut self, now: Timestamp, step: Step) -> Vec<SourceEffect> {
        match (step, self.resumable_revision(now)) {
            (Step::Watch, Some(from)) => {
                self.phase = Phase::Opening;
                vec![SourceEffect::OpenWatch { from }]
            }
            _ => {
                self.phase = Phase::Listing;
                vec![SourceEffect::List]
            }
        }
    }
}

fn object_states(list: &ObjectList) -> ObjectStates {
    let objects = list.objects.iter();
    objects
        .map(|object| (object.key.clone(), ObjectState::of(object)))
        .collect()
}

fn with_closed_watch(mut effects: Vec<SourceEffect>) -> Vec<SourceEffect> {
    effects.insert(0, SourceEffect::CloseWatch);
    effects
}

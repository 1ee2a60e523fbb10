//! The reader's state machine.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use wharfquay_core::time::Timestamp;
use wharfquay_resources::snapshot::Revision;

use super::event::{SourceChange, SourceEffect, SourceEvent, SourceInput, SourceSnapshot};
use crate::backoff::Backoff;
use crate::error::PlatformError;
use crate::wire::{Object, ObjectKey, ObjectList, OperationId, WatchEvent};

/// Bounds on a reader.
#[derive(Clone, Copy, Debug)]
pub struct SourceSettings {
    /// Waits after failures.
    pub backoff: Backoff,
    /// After hearing nothing from the store for longer than this, the reader lists again instead of
    /// resuming the watch, since the store may have been replaced by an older copy in the meantime.
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

/// What the reader does next when nothing stands against it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    List,
    Watch,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Not reading.
    Idle,
    /// Waiting before the next step.
    Waiting { until: Timestamp, step: Step },
    /// A list is under way.
    Listing,
    /// A watch is being opened.
    Opening,
    /// A watch is open.
    Watching,
}

/// Which write gave an object its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stamp {
    version: Revision,
    operation: OperationId,
}

impl Stamp {
    const fn of(object: &Object) -> Self {
        Self {
            version: object.version,
            operation: object.operation,
        }
    }
}

type Stamps = BTreeMap<ObjectKey, Stamp>;

/// What the consumer has been given.
#[derive(Clone, Debug)]
struct Delivered {
    revision: Revision,
    stamps: Stamps,
}

/// State machine of one reader.
///
/// What it delivers never goes back: revisions of [`SourceEvent::Snapshot`] and
/// [`SourceEvent::Change`] only grow, whatever the store answers; a snapshot that was requested may
/// repeat the revision that the consumer has. It relies on contiguous versions
/// to notice a gap in a watch. After the store has answered older than before, the next delivery is
/// a whole snapshot, since the store's history may have been replaced.
#[derive(Clone, Debug)]
pub struct ConfigurationSource {
    settings: SourceSettings,
    phase: Phase,
    /// Highest version in any answer of the store.
    seen: Revision,
    delivered: Option<Delivered>,
    /// The store has answered older than before and has not been found consistent since.
    history_suspect: bool,
    /// The consumer wants a whole snapshot, also of the revision that it has.
    snapshot_requested: bool,
    /// Failures since the last answer that brought the reader forward.
    failures: u32,
    unavailable_since: Option<Timestamp>,
    /// When the store last answered.
    heard_at: Timestamp,
}

impl ConfigurationSource {
    /// A reader that has seen nothing and is not started.
    #[must_use]
    pub const fn new(settings: SourceSettings) -> Self {
        Self {
            settings,
            phase: Phase::Idle,
            seen: Revision::ZERO,
            delivered: None,
            history_suspect: false,
            snapshot_requested: false,
            failures: 0,
            unavailable_since: None,
            heard_at: Timestamp::ZERO,
        }
    }

    /// Highest revision that the store has shown.
    #[must_use]
    pub const fn seen(&self) -> Revision {
        self.seen
    }

    /// Revision that the consumer has been given, if any.
    #[must_use]
    pub fn delivered(&self) -> Option<Revision> {
        self.delivered.as_ref().map(|delivered| delivered.revision)
    }

    /// Starts to read, or goes on after [`Self::stop`]. Nothing happens when it reads already.
    pub fn start(&mut self, now: Timestamp) -> Vec<SourceEffect> {
        if self.phase != Phase::Idle {
            return Vec::new();
        }
        self.take_step(now, Step::Watch)
    }

    /// Stops to read. What was seen and delivered stays known.
    pub fn stop(&mut self) -> Vec<SourceEffect> {
        let watching = self.phase == Phase::Watching;
        self.phase = Phase::Idle;
        if watching {
            return vec![SourceEffect::CloseWatch];
        }
        Vec::new()
    }

    /// Asks for a whole snapshot, also of the revision that the consumer has.
    pub fn request_snapshot(&mut self, now: Timestamp) -> Vec<SourceEffect> {
        self.snapshot_requested = true;
        if self.phase == Phase::Watching {
            return with_closed_watch(self.take_step(now, Step::List));
        }
        Vec::new()
    }

    /// When [`Self::advance`] has something to do.
    #[must_use]
    pub const fn next_wakeup(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::Waiting { until, .. } => Some(until),
            _ => None,
        }
    }

    /// Takes the next step if its time has come.
    pub fn advance(&mut self, now: Timestamp) -> Vec<SourceEffect> {
        match self.phase {
            Phase::Waiting { until, step } if until <= now => self.take_step(now, step),
            _ => Vec::new(),
        }
    }

    /// Takes in an answer. Answers that don't fit what the reader is doing are ignored.
    pub fn handle(
        &mut self,
        now: Timestamp,
        input: SourceInput,
        random: &mut impl Rng,
    ) -> Vec<SourceEffect> {
        match (self.phase, input) {
            (Phase::Listing, SourceInput::Listed(list)) => self.listed(now, &list, random),
            (Phase::Listing, SourceInput::ListFailed(error)) => {
                self.failed(now, error, Step::List, random)
            }
            (Phase::Opening, SourceInput::WatchOpened) => self.opened(now),
            (Phase::Watching, SourceInput::WatchEvent(event)) => self.watched(now, &event, random),
            (Phase::Opening | Phase::Watching, SourceInput::WatchTooOld) => {
                self.wait(now, Step::List, random);
                Vec::new()
            }
            (Phase::Opening | Phase::Watching, SourceInput::WatchEnded) => {
                self.wait(now, Step::Watch, random);
                Vec::new()
            }
            (Phase::Opening | Phase::Watching, SourceInput::WatchFailed(error)) => {
                self.failed(now, error, Step::Watch, random)
            }
            _ => Vec::new(),
        }
    }

    fn listed(
        &mut self,
        now: Timestamp,
        list: &ObjectList,
        random: &mut impl Rng,
    ) -> Vec<SourceEffect> {
        self.heard(now);
        if list.version < self.seen {
            return self.older_store(now, list.version, random);
        }
        self.seen = list.version;
        let stamps = stamps_of(list);
        let event = match &self.delivered {
            Some(delivered) if delivered.revision == list.version => {
                if delivered.stamps != stamps {
                    return self.diverged_store(now, list.version, random);
                }
                self.confirmation(list)
            }
            _ => SourceEvent::Snapshot(SourceSnapshot::from_list(list)),
        };
        self.history_suspect = false;
        self.snapshot_requested = false;
        self.delivered = Some(Delivered {
            revision: list.version,
            stamps,
        });
        let mut effects = vec![SourceEffect::Emit(event)];
        effects.extend(self.take_step(now, Step::Watch));
        effects
    }

    /// The event for a list of the revision that the consumer has.
    fn confirmation(&self, list: &ObjectList) -> SourceEvent {
        if self.snapshot_requested {
            return SourceEvent::Snapshot(SourceSnapshot::from_list(list));
        }
        SourceEvent::Current {
            revision: list.version,
        }
    }

    /// A watch that took too long to open is not resumed, either.
    fn opened(&mut self, now: Timestamp) -> Vec<SourceEffect> {
        if self.resumable_revision(now).is_none() {
            return with_closed_watch(self.take_step(now, Step::List));
        }
        self.phase = Phase::Watching;
        Vec::new()
    }

    fn watched(
        &mut self,
        now: Timestamp,
        event: &WatchEvent,
        random: &mut impl Rng,
    ) -> Vec<SourceEffect> {
        self.heard(now);
        match event {
            WatchEvent::Bookmark { version } => self.bookmark(now, *version, random),
            WatchEvent::Put { version, object } => self.change(now, *version, random, |stamps| {
                stamps.insert(object.key.clone(), Stamp::of(object));
                SourceChange::put(object)
            }),
            WatchEvent::Delete { version, object } => {
                self.change(now, *version, random, |stamps| {
                    stamps.remove(&object.key);
                    SourceChange::delete(&object.key)
                })
            }
        }
    }

    fn bookmark(
        &mut self,
        now: Timestamp,
        version: Revision,
        random: &mut impl Rng,
    ) -> Vec<SourceEffect> {
        if version < self.seen {
            return with_closed_watch(self.older_store(now, version, random));
        }
        self.seen = version;
        if self.delivered() != Some(version) {
            return self.gap(now, random);
        }
        self.failures = 0;
        vec![SourceEffect::Emit(SourceEvent::Current {
            revision: version,
        })]
    }

    fn change(
        &mut self,
        now: Timestamp,
        version: Revision,
        random: &mut impl Rng,
        apply: impl FnOnce(&mut Stamps) -> SourceChange,
    ) -> Vec<SourceEffect> {
        let Some(delivered) = &mut self.delivered else {
            return self.gap(now, random);
        };
        let previous = delivered.revision;
        if version <= previous {
            return Vec::new();
        }
        self.seen = self.seen.max(version);
        if version.number() != previous.number() + 1 {
            return self.gap(now, random);
        }
        delivered.revision = version;
        let change = apply(&mut delivered.stamps);
        self.failures = 0;
        vec![SourceEffect::Emit(SourceEvent::Change {
            previous,
            revision: version,
            change,
        })]
    }

    /// The watch has left out events, so the reader lists again.
    fn gap(&mut self, now: Timestamp, random: &mut impl Rng) -> Vec<SourceEffect> {
        self.wait(now, Step::List, random);
        vec![SourceEffect::CloseWatch]
    }

    fn older_store(
        &mut self,
        now: Timestamp,
        answered: Revision,
        random: &mut impl Rng,
    ) -> Vec<SourceEffect> {
        self.history_suspect = true;
        self.wait(now, Step::List, random);
        vec![SourceEffect::Emit(SourceEvent::OlderStore {
            seen: self.seen,
            answered,
        })]
    }

    fn diverged_store(
        &mut self,
        now: Timestamp,
        revision: Revision,
        random: &mut impl Rng,
    ) -> Vec<SourceEffect> {
        self.history_suspect = true;
        self.wait(now, Step::List, random);
        vec![SourceEffect::Emit(SourceEvent::DivergedStore { revision })]
    }

    fn failed(
        &mut self,
        now: Timestamp,
        error: PlatformError,
        step: Step,
        random: &mut impl Rng,
    ) -> Vec<SourceEffect> {
        self.wait(now, step, random);
        if self.unavailable_since.is_some() {
            return Vec::new();
        }
        self.unavailable_since = Some(now);
        vec![SourceEffect::Emit(SourceEvent::Unavailable {
            since: now,
            error,
        })]
    }

    fn wait(&mut self, now: Timestamp, step: Step, random: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        let delay = self.settings.backoff.delay(self.failures, random);
        self.phase = Phase::Waiting {
            until: now + delay,
            step,
        };
    }

    fn heard(&mut self, now: Timestamp) {
        self.heard_at = now;
        self.unavailable_since = None;
    }

    /// The revision that a watch can be resumed from, unless a list is needed first.
    fn resumable_revision(&self, now: Timestamp) -> Option<Revision> {
        let silence = now.saturating_since(self.heard_at);
        let list_needed = self.history_suspect || self.snapshot_requested;
        if list_needed || silence > self.settings.resume_limit {
            return None;
        }
        self.delivered()
    }

    fn take_step(&mut self, now: Timestamp, step: Step) -> Vec<SourceEffect> {
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

fn stamps_of(list: &ObjectList) -> Stamps {
    let objects = list.objects.iter();
    objects
        .map(|object| (object.key.clone(), Stamp::of(object)))
        .collect()
}

fn with_closed_watch(mut effects: Vec<SourceEffect>) -> Vec<SourceEffect> {
    effects.insert(0, SourceEffect::CloseWatch);
    effects
}

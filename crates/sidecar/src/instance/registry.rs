//! Carries out what the tracker decides: durable marks, verification, and the gate of the back end.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use wharfquay_core::time::Timestamp;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::sync::lock;

use super::departures::QUESTIONS_TO_ONE;
use super::{DepartureReaders, Heartbeat, InstanceId, InstanceTracker, Standing, TrackerDecision};
use crate::events::Event;
use crate::inbound::backend::LocalBackend;
use crate::log_event;
use crate::platform::{Platform, PlatformError};

/// Longest wait for a durable mark; the instance waits a second for its acknowledgement.
const RECORD_LIMIT: Duration = Duration::from_millis(850);
/// Longest wait for one answer about the durable marks.
const LOOKUP_LIMIT: Duration = Duration::from_millis(800);
/// Pauses between two tries to verify an instance.
const VERIFY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause between two tries to verify an instance.
const LONGEST_VERIFY_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause between two questions to those who read the marks for all: about the time of a call to the platform for them.
const QUESTION_PAUSE: Duration = Duration::from_millis(50);
/// Questions before a sidecar looks for itself: time to meet the others.
const QUESTIONS_BEFORE_LOOKUP: usize = 12;
/// Questions after the platform has said that there is no mark.
const QUESTIONS_AFTERWARDS: usize = 4;
/// Tries with the durable marks before heartbeats and health may stand in for them.
const LOOKUPS_BEFORE_FALLBACK: usize = 2;
/// Longest wait for a health answer.
const HEALTH_LIMIT: Duration = Duration::from_millis(500);

/// Whether a message of an instance is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// It is, and what it says holds from now on.
    Given,
    /// Not now; the instance should try again.
    Refused,
}

/// Keeps the local back end's gate in step with what its instances say.
#[derive(Debug)]
pub struct Registry<P> {
    platform: Arc<P>,
    /// Those who know of leavings beside the platform.
    readers: Arc<DepartureReaders>,
    backend: Arc<LocalBackend>,
    clock: Clock,
    /// Whether no earlier process can have acknowledged that an instance leaves.
    is_first_start: bool,
    tracker: Mutex<InstanceTracker>,
    verifying: Mutex<Option<InstanceId>>,
}

impl<P: Platform> Registry<P> {
    /// A registry that has heard of nothing.
    pub(crate) fn new(
        platform: Arc<P>,
        backend: Arc<LocalBackend>,
        clock: Clock,
        is_first_start: bool,
        readers: Arc<DepartureReaders>,
    ) -> Arc<Self> {
        Arc::new(Self {
            platform,
            readers,
            backend,
            clock,
            is_first_start,
            tracker: Mutex::default(),
            verifying: Mutex::default(),
        })
    }

    /// Takes a heartbeat.
    pub async fn heartbeat(self: &Arc<Self>, beat: &Heartbeat) -> Acknowledgement {
        let now = self.clock.now();
        self.end_earlier(now, &beat.instance);
        let decision = lock(&self.tracker).heartbeat(now, beat);
        match decision {
            TrackerDecision::Acknowledge => {
                self.backend.update_slots(&beat.instance, beat.slots);
                Acknowledgement::Given
            }
            TrackerDecision::Verify => {
                self.spawn_verification(beat.instance.clone());
                Acknowledgement::Given
            }
            TrackerDecision::RecordDeparture => self.record(&beat.instance).await,
            TrackerDecision::Refuse => Acknowledgement::Refused,
        }
    }

    /// Ends the earlier start of an instance that lives again under its name.
    fn end_earlier(&self, now: Timestamp, instance: &InstanceId) {
        if let Some(earlier) = lock(&self.tracker).take_over(now, instance) {
            log_event!(
                Event::InstanceRestarted,
                "instance={instance} earlier={earlier}"
            );
            self.backend.terminate(&earlier);
        }
    }

    /// Takes the message of an instance that goes.
    pub async fn departure(self: &Arc<Self>, instance: &InstanceId) -> Acknowledgement {
        let now = self.clock.now();
        self.end_earlier(now, instance);
        let decision = lock(&self.tracker).departure(now, instance);
        match decision {
            TrackerDecision::RecordDeparture => self.record(instance).await,
            _ => Acknowledgement::Given,
        }
    }

    /// Looks for an instance at the back end's address until one gets work; a sidecar that was
    /// restarted alone need not wait for a heartbeat.
    pub async fn discover(self: &Arc<Self>) {
        while lock(&self.tracker).current().is_none() {
            if let Some(instance) = self.healthy_instance().await {
                let now = self.clock.now();
                if lock(&self.tracker).seen_healthy(now, &instance) {
                    self.spawn_verification(instance);
                }
                return;
            }
            tokio::time::sleep(VERIFY_PAUSE).await;
            if lock(&self.verifying).is_some() {
                return;
            }
        }
    }

    /// Another back end than the one that was meant has the address.
    pub fn misdirected(self: &Arc<Self>, instance: &InstanceId) {
        lock(&self.tracker).replaced(instance);
        self.backend.close(instance);
        log_event!(Event::InstanceReplaced, "instance={instance}");
    }

    async fn record(&self, instance: &InstanceId) -> Acknowledgement {
        self.backend.close(instance);
        let recording = self.record_in_one_era(instance);
        let recorded = tokio::time::timeout(RECORD_LIMIT, recording).await;
        match recorded {
            Ok(Ok(())) => {
                log_event!(Event::DepartureAcknowledged, "instance={instance}");
                Acknowledgement::Given
            }
            Ok(Err(error)) => {
                log_event!(
                    Event::DepartureNotDurable,
                    "instance={instance} error=\"{error}\""
                );
                Acknowledgement::Refused
            }
            Err(_) => {
                log_event!(
                    Event::DepartureNotDurable,
                    "instance={instance} error=\"timeout\""
                );
                Acknowledgement::Refused
            }
        }
    }

    /// Makes a leaving durable. A store that is restored while it is written may have lost it.
    async fn record_in_one_era(&self, instance: &InstanceId) -> Result<(), PlatformError> {
        let eras = self.platform.eras();
        loop {
            let era = eras.newest();
            self.platform.record_departure(instance).await?;
            let now = self.clock.now();
            lock(&self.tracker).departure_recorded(now, instance);
            self.readers.tell(instance);
            // From here on a new era finds the leaving among those to be written again.
            if eras.newest().changes == era.changes {
                return Ok(());
            }
        }
    }

    /// Writes the marks of acknowledged leavings again whenever the store was restored; runs for ever.
    pub async fn keep_marks(self: Arc<Self>) {
        let mut eras = self.platform.eras().subscribe();
        while eras.changed().await.is_ok() {
            eras.mark_unchanged();
            let departed = lock(&self.tracker).recorded_departures();
            for instance in &departed {
                self.write_again(instance).await;
            }
            if !departed.is_empty() {
                let count = departed.len();
                log_event!(Event::RecordsWrittenAgain, "kind=departures count={count}");
            }
        }
    }

    /// Tries until the mark is durable.
    async fn write_again(&self, instance: &InstanceId) {
        let mut pause = VERIFY_PAUSE;
        loop {
            let recording = self.platform.record_departure(instance);
            match tokio::time::timeout(RECORD_LIMIT, recording).await {
                Ok(Ok(())) => return,
                Ok(Err(error)) => log_event!(
                    Event::DepartureNotDurable,
                    "instance={instance} error=\"{error}\""
                ),
                Err(_) => log_event!(
                    Event::DepartureNotDurable,
                    "instance={instance} error=\"timeout\""
                ),
            }
            let jitter = rand::random_range(0.5..=1.0);
            tokio::time::sleep(pause.mul_f64(jitter)).await;
            pause = (pause * 2).min(LONGEST_VERIFY_PAUSE);
        }
    }

    fn spawn_verification(self: &Arc<Self>, instance: InstanceId) {
        let mut verifying = lock(&self.verifying);
        if verifying.as_ref() == Some(&instance) {
            return;
        }
        *verifying = Some(instance.clone());
        drop(verifying);
        let registry = Arc::clone(self);
        tokio::spawn(async move {
            registry.verify(&instance).await;
            let mut verifying = lock(&registry.verifying);
            if verifying.as_ref() == Some(&instance) {
                *verifying = None;
            }
        });
    }

    /// Tries until it is known whether the instance may get work. What this process acknowledged itself the
    /// tracker knows; the durable marks are those of earlier processes.
    async fn verify(&self, instance: &InstanceId) {
        if self.is_first_start {
            self.conclude(instance, false);
            return;
        }
        if self.readers.read_for_all() {
            for questions in 0..QUESTIONS_BEFORE_LOOKUP {
                if let Some(departed) = self.readers.ask(instance, questions, true).await {
                    self.conclude(instance, departed);
                    return;
                }
                tokio::time::sleep(QUESTION_PAUSE).await;
            }
        }
        let mut pause = VERIFY_PAUSE;
        let mut failures = 0;
        loop {
            if lock(&self.tracker).standing(instance) == Standing::Leaving {
                return;
            }
            if let Some(departed) = self.look_up(instance, failures).await {
                self.conclude(instance, departed);
                if !departed {
                    self.ask_afterwards(instance).await;
                }
                return;
            }
            failures += 1;
            if failures >= LOOKUPS_BEFORE_FALLBACK
                && self.is_confirmed_without_marks(instance).await
            {
                log_event!(Event::InstanceConfirmed, "instance={instance}");
                self.conclude(instance, false);
                return;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_VERIFY_PAUSE);
        }
    }

    /// Asks a few times more whether others were told of a leaving of which the platform has no mark: a sidecar that has
    /// just started may not know yet whom to ask.
    async fn ask_afterwards(&self, instance: &InstanceId) {
        for questions in 0..QUESTIONS_AFTERWARDS {
            tokio::time::sleep(QUESTION_PAUSE * 2).await;
            let next_reader = questions * QUESTIONS_TO_ONE;
            if self.readers.ask(instance, next_reader, false).await == Some(true) {
                self.conclude(instance, true);
                return;
            }
        }
    }

    /// Looks for the mark of an instance, and asks one who may have been told of its leaving; after failures of the
    /// platform that one reads for this sidecar.
    async fn look_up(&self, instance: &InstanceId, failures: usize) -> Option<bool> {
        let asking = self.readers.ask(instance, failures, failures > 0);
        let looking = self.platform.has_departed(instance);
        let looking = tokio::time::timeout(LOOKUP_LIMIT, looking);
        let (known, looked) = tokio::join!(asking, looking);
        match (known, looked) {
            (Some(true), _) => Some(true),
            (_, Ok(Ok(departed))) => Some(departed),
            (known, _) => known,
        }
    }

    fn conclude(&self, instance: &InstanceId, departed: bool) {
        let now = self.clock.now();
        let mut tracker = lock(&self.tracker);
        if tracker.lacks_start(instance) {
            // It has told its start meanwhile, which is looked up for itself.
            return;
        }
        if departed {
            tracker.departure_recorded(now, instance);
            drop(tracker);
            self.backend.close(instance);
            log_event!(Event::InstanceDeparted, "instance={instance}");
            return;
        }
        if tracker.verified(now, instance) {
            let slots = tracker.slots(instance);
            drop(tracker);
            self.backend.open(instance, slots);
            log_event!(
                Event::InstanceServing,
                "instance={instance} slots={slots:?}"
            );
        }
    }

    async fn is_confirmed_without_marks(&self, instance: &InstanceId) -> bool {
        if !lock(&self.tracker).is_confirmed(instance) {
            return false;
        }
        self.healthy_instance().await.as_ref() == Some(instance)
    }

    async fn healthy_instance(&self) -> Option<InstanceId> {
        let asking = self.backend.healthy_instance();
        tokio::time::timeout(HEALTH_LIMIT, asking)
            .await
            .ok()
            .flatten()
    }
}

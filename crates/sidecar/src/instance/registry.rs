//! Carries out the tracker's decisions: durable departure records, verification, and the admission
//! gate of the backend.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use wharfquay_core::time::Timestamp;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::sync::lock;

use super::departures::REQUESTS_PER_READER;
use super::{
    DepartureReaders, Heartbeat, InstanceId, InstanceStatus, InstanceTracker, TrackerDecision,
};
use crate::events::Event;
use crate::inbound::backend::{EarlierAnnouncements, LocalBackend};
use crate::inbound::health::HealthReport;
use crate::log_event;
use crate::platform::{Platform, PlatformError};

/// Timeout of writing a departure record. The instance waits one second for its acknowledgement.
const RECORD_TIMEOUT: Duration = Duration::from_millis(850);
/// Timeout of one lookup of a departure record.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);
/// First pause between two attempts to verify an instance or to write a record. It doubles with
/// each failure.
const VERIFY_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum pause between two attempts to verify an instance or to write a record.
const MAX_VERIFY_BACKOFF: Duration = Duration::from_millis(1_000);
/// Pause between two requests to the readers of the departure records. It is about the duration of
/// a platform call that they may have to make.
const READER_REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Number of requests to the readers before a sidecar looks up the record itself. It leaves time to
/// discover other sidecars.
const READER_REQUESTS_BEFORE_LOOKUP: usize = 12;
/// Number of requests to the readers after a lookup found no departure record.
const READER_REQUESTS_AFTER_LOOKUP: usize = 4;
/// Number of failed lookups after which heartbeats and health may replace the departure records.
const LOOKUPS_BEFORE_FALLBACK: usize = 2;
/// Timeout of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of the health check that shows what an instance announced to an earlier process. Calls
/// wait for it.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(150);

/// Acknowledgement of a message of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// The message is acknowledged and takes effect now.
    Acknowledged,
    /// The message is not acknowledged; the instance should send it again.
    NotAcknowledged,
}

/// Handles the heartbeats and departure messages of the local backend's instances, and opens or
/// closes the backend to calls accordingly.
#[derive(Debug)]
pub struct Registry<P> {
    platform: Arc<P>,
    /// Other sidecars that know departures, in addition to the platform.
    readers: Arc<DepartureReaders>,
    backend: Arc<LocalBackend>,
    clock: Clock,
    /// True if no earlier process can have acknowledged the departure of an instance.
    is_first_start: bool,
    tracker: Mutex<InstanceTracker>,
    verifying: Mutex<Option<InstanceId>>,
}

impl<P: Platform> Registry<P> {
    /// Creates a registry without instances.
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

    /// Handles a heartbeat.
    pub async fn heartbeat(self: &Arc<Self>, heartbeat: &Heartbeat) -> Acknowledgement {
        let now = self.clock.now();
        self.close_earlier_instance(now, &heartbeat.instance);
        let decision = lock(&self.tracker).heartbeat(now, heartbeat);
        match decision {
            TrackerDecision::Acknowledge => {
                self.backend
                    .update_slots(&heartbeat.instance, heartbeat.slots);
                Acknowledgement::Acknowledged
            }
            TrackerDecision::Verify => {
                self.spawn_verification(heartbeat.instance.clone());
                Acknowledgement::Acknowledged
            }
            TrackerDecision::RecordDeparture => self.record_departure(&heartbeat.instance).await,
            TrackerDecision::Refuse => Acknowledgement::NotAcknowledged,
        }
    }

    /// Closes the gate of the earlier instance and records its termination if the backend started
    /// again under the same name.
    fn close_earlier_instance(&self, now: Timestamp, instance: &InstanceId) {
        if let Some(earlier) = lock(&self.tracker).replace_earlier(now, instance) {
            log_event!(
                Event::InstanceRestarted,
                "instance={instance} earlier={earlier}"
            );
            self.backend.mark_terminated(&earlier);
        }
    }

    /// Handles the message of an instance that is departing.
    pub async fn departure(self: &Arc<Self>, instance: &InstanceId) -> Acknowledgement {
        let now = self.clock.now();
        self.close_earlier_instance(now, instance);
        let decision = lock(&self.tracker).departure(now, instance);
        match decision {
            TrackerDecision::RecordDeparture => self.record_departure(instance).await,
            _ => Acknowledgement::Acknowledged,
        }
    }

    /// Checks the backend's address for a healthy instance until one receives work. A sidecar that
    /// was restarted alone therefore does not depend on the next heartbeat.
    pub async fn discover(self: &Arc<Self>) {
        while lock(&self.tracker).current().is_none() {
            if let Some(instance) = self.healthy_instance().await {
                let now = self.clock.now();
                if lock(&self.tracker).observe_healthy(now, &instance) {
                    self.spawn_verification(instance);
                }
                return;
            }
            tokio::time::sleep(VERIFY_BACKOFF).await;
            if lock(&self.verifying).is_some() {
                return;
            }
        }
    }

    /// Closes the gate of an instance at whose address another one refused a call, and asks who is
    /// there. The instance gets work again if it is itself, since one wrong response must not close it
    /// for good.
    pub fn misdirected(self: &Arc<Self>, instance: &InstanceId) {
        self.backend.close(instance);
        let (registry, instance) = (Arc::clone(self), instance.clone());
        tokio::spawn(async move { registry.settle_misdirection(&instance).await });
    }

    async fn settle_misdirection(self: &Arc<Self>, instance: &InstanceId) {
        let report = self.check_health(HEALTH_TIMEOUT).await;
        let Some(report) = report.filter(|report| report.instance.may_be_same(instance)) else {
            lock(&self.tracker).mark_replaced(instance);
            log_event!(Event::InstanceReplaced, "instance={instance}");
            return;
        };
        if report.is_leaving {
            self.announced_leaving(instance);
            return;
        }
        let slots = {
            let tracker = lock(&self.tracker);
            let is_serving = tracker.status(instance) == InstanceStatus::Serving;
            if !is_serving || tracker.current() != Some(instance) {
                return;
            }
            tracker.slots(instance)
        };
        self.backend
            .open(instance, slots, EarlierAnnouncements::Unknown);
        self.backend.read_health(&report);
        log_event!(
            Event::InstanceServing,
            "instance={instance} slots={slots:?}"
        );
    }

    /// Closes the gate of an instance that announced in a response that it is leaving, and makes its
    /// departure durable for later processes.
    pub fn announced_leaving(self: &Arc<Self>, instance: &InstanceId) {
        let decision = lock(&self.tracker).departure(self.clock.now(), instance);
        self.backend.close(instance);
        if decision != TrackerDecision::RecordDeparture {
            return;
        }
        let (registry, instance) = (Arc::clone(self), instance.clone());
        tokio::spawn(async move {
            let mut pause = VERIFY_BACKOFF;
            while registry.record_departure(&instance).await == Acknowledgement::NotAcknowledged {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_VERIFY_BACKOFF);
            }
        });
    }

    async fn record_departure(&self, instance: &InstanceId) -> Acknowledgement {
        self.backend.close(instance);
        let recording = self.record_within_one_era(instance);
        let recorded = tokio::time::timeout(RECORD_TIMEOUT, recording).await;
        match recorded {
            Ok(Ok(())) => {
                log_event!(Event::DepartureAcknowledged, "instance={instance}");
                Acknowledgement::Acknowledged
            }
            Ok(Err(error)) => {
                log_event!(
                    Event::DepartureNotDurable,
                    "instance={instance} error=\"{error}\""
                );
                Acknowledgement::NotAcknowledged
            }
            Err(_) => {
                log_event!(
                    Event::DepartureNotDurable,
                    "instance={instance} error=\"timeout\""
                );
                Acknowledgement::NotAcknowledged
            }
        }
    }

    /// Makes a departure durable. If the store is restored meanwhile, the write may be lost and is
    /// repeated.
    async fn record_within_one_era(&self, instance: &InstanceId) -> Result<(), PlatformError> {
        let eras = self.platform.eras();
        loop {
            let era = eras.newest();
            self.platform.record_departure(instance).await?;
            let now = self.clock.now();
            lock(&self.tracker).mark_departure_recorded(now, instance);
            self.readers.announce(instance);
            // From here on a new era finds the departure among those to be written again.
            if eras.newest().changes == era.changes {
                return Ok(());
            }
        }
    }

    /// Writes the records of acknowledged departures again after each restore of the store. Runs
    /// until the process terminates.
    pub async fn rewrite_departure_records(self: Arc<Self>) {
        let mut eras = self.platform.eras().subscribe();
        while eras.changed().await.is_ok() {
            eras.mark_unchanged();
            let departed = lock(&self.tracker).recorded_departures();
            for instance in &departed {
                self.write_until_durable(instance).await;
            }
            if !departed.is_empty() {
                let count = departed.len();
                log_event!(Event::RecordsWrittenAgain, "kind=departures count={count}");
            }
        }
    }

    /// Writes a departure record. Retries until it is durable.
    async fn write_until_durable(&self, instance: &InstanceId) {
        let mut pause = VERIFY_BACKOFF;
        loop {
            let recording = self.platform.record_departure(instance);
            match tokio::time::timeout(RECORD_TIMEOUT, recording).await {
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
            pause = (pause * 2).min(MAX_VERIFY_BACKOFF);
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
            registry.verify_not_departed(&instance).await;
            let mut verifying = lock(&registry.verifying);
            if verifying.as_ref() == Some(&instance) {
                *verifying = None;
            }
        });
    }

    /// Determines whether an earlier process acknowledged the departure of this instance, in which
    /// case the instance may receive no work, and records the result in the tracker. Queries the
    /// readers of the departure records and the platform until one of them replies, the heartbeats
    /// and health of the instance replace the records, or the instance leaves. Departures that this
    /// process acknowledged are known to the tracker already.
    async fn verify_not_departed(self: &Arc<Self>, instance: &InstanceId) {
        if self.is_first_start {
            self.conclude(instance, false).await;
            return;
        }
        if self.readers.is_large_deployment() {
            for requests in 0..READER_REQUESTS_BEFORE_LOOKUP {
                if let Some(departed) = self.readers.query(instance, requests, true).await {
                    self.conclude(instance, departed).await;
                    return;
                }
                tokio::time::sleep(READER_REQUEST_INTERVAL).await;
            }
        }
        let mut pause = VERIFY_BACKOFF;
        let mut failures = 0;
        loop {
            if lock(&self.tracker).status(instance) == InstanceStatus::Leaving {
                return;
            }
            if let Some(departed) = self.look_up(instance, failures).await {
                self.conclude(instance, departed).await;
                if !departed {
                    self.query_readers_again(instance).await;
                }
                return;
            }
            failures += 1;
            if failures >= LOOKUPS_BEFORE_FALLBACK
                && self.is_confirmed_without_records(instance).await
            {
                log_event!(Event::InstanceConfirmed, "instance={instance}");
                self.conclude(instance, false).await;
                return;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_VERIFY_BACKOFF);
        }
    }

    /// Queries the readers of the departure records a few more times whether the instance departed,
    /// after the platform had no record of it. A sidecar that has just started may not have
    /// discovered the readers yet.
    async fn query_readers_again(self: &Arc<Self>, instance: &InstanceId) {
        for requests in 0..READER_REQUESTS_AFTER_LOOKUP {
            tokio::time::sleep(READER_REQUEST_INTERVAL * 2).await;
            let next_reader = requests * REQUESTS_PER_READER;
            if self.readers.query(instance, next_reader, false).await == Some(true) {
                self.conclude(instance, true).await;
                return;
            }
        }
    }

    /// Looks up the departure record of an instance, and concurrently queries a reader that may
    /// know its departure. After failures of the platform the reader lists the records for this
    /// sidecar.
    async fn look_up(&self, instance: &InstanceId, failures: usize) -> Option<bool> {
        let query = self.readers.query(instance, failures, failures > 0);
        let lookup = self.platform.has_departed(instance);
        let lookup = tokio::time::timeout(LOOKUP_TIMEOUT, lookup);
        let (known, found_record) = tokio::join!(query, lookup);
        match (known, found_record) {
            (Some(true), _) => Some(true),
            (_, Ok(Ok(departed))) => Some(departed),
            (known, _) => known,
        }
    }

    async fn conclude(self: &Arc<Self>, instance: &InstanceId, departed: bool) {
        let now = self.clock.now();
        if lock(&self.tracker).lacks_known_start_time(instance) {
            // The instance has reported its start time meanwhile. That identity is verified
            // separately.
            return;
        }
        if departed {
            lock(&self.tracker).mark_departure_recorded(now, instance);
            self.backend.close(instance);
            log_event!(Event::InstanceDeparted, "instance={instance}");
            return;
        }
        self.open(instance).await;
    }

    /// Starts sending work to an instance. One that may have announced a rate limit or its leaving to
    /// an earlier process is asked for it first.
    async fn open(self: &Arc<Self>, instance: &InstanceId) {
        if self.is_outlived(instance).await {
            lock(&self.tracker).mark_replaced(instance);
            log_event!(Event::InstanceReplaced, "instance={instance}");
            return;
        }
        let announcements = self.earlier_announcements();
        let report = match announcements {
            EarlierAnnouncements::None => None,
            EarlierAnnouncements::Unknown => self.check_health(ANNOUNCEMENT_TIMEOUT).await,
        };
        let report = report.filter(|report| report.instance.may_be_same(instance));
        if report.as_ref().is_some_and(|report| report.is_leaving) {
            log_event!(Event::LeavingAnnounced, "instance={instance}");
            self.announced_leaving(instance);
            return;
        }
        let slots = {
            let mut tracker = lock(&self.tracker);
            if tracker.lacks_known_start_time(instance)
                || !tracker.mark_verified(self.clock.now(), instance)
            {
                return;
            }
            tracker.slots(instance)
        };
        self.backend.open(instance, slots, announcements);
        if let Some(report) = &report {
            self.backend.read_health(report);
        }
        log_event!(
            Event::InstanceServing,
            "instance={instance} slots={slots:?}"
        );
    }

    /// Returns true if another instance receives work and responds at the backend's address. Ids do
    /// not order instances, and sequence numbers order the heartbeats of one instance only, so a
    /// heartbeat that was delayed beyond the end of its sender can't be recognised by itself.
    async fn is_outlived(&self, instance: &InstanceId) -> bool {
        if !lock(&self.tracker).is_another_serving(instance) {
            return false;
        }
        let report = self.check_health(ANNOUNCEMENT_TIMEOUT).await;
        report.is_some_and(|report| !report.instance.may_be_same(instance))
    }

    /// Returns what is known of the announcements that the instance to open made before. Only the
    /// first instance of a process may have run beside an earlier one.
    fn earlier_announcements(&self) -> EarlierAnnouncements {
        if self.is_first_start || self.backend.instance().is_some() {
            EarlierAnnouncements::None
        } else {
            EarlierAnnouncements::Unknown
        }
    }

    async fn is_confirmed_without_records(&self, instance: &InstanceId) -> bool {
        if !lock(&self.tracker).is_confirmed(instance) {
            return false;
        }
        self.healthy_instance().await.as_ref() == Some(instance)
    }

    async fn healthy_instance(&self) -> Option<InstanceId> {
        let report = self.check_health(HEALTH_TIMEOUT).await?;
        report.is_healthy.then_some(report.instance)
    }

    async fn check_health(&self, timeout: Duration) -> Option<HealthReport> {
        let check = self.backend.check_health();
        tokio::time::timeout(timeout, check).await.ok().flatten()
    }
}

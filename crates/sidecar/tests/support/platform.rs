//! A platform in memory, with faults.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;
use wharfquay_core::quarantine::RequestFingerprint;
use wharfquay_daemon::clock::Clock;
use wharfquay_sidecar::configuration::Configuration;
use wharfquay_sidecar::instance::InstanceId;
use wharfquay_sidecar::platform::{
    ConfigurationReading, DirectoryEntry, Freshness, Platform, PlatformError, Position,
    QuarantineRecord,
};
use wharfquay_sidecar::store_era::{StoreEra, StoreEras};

/// How long a watch waits for a change.
const WATCH_TIME: Duration = Duration::from_millis(500);

/// What the store held at some time.
#[derive(Clone, Debug)]
pub struct Copy {
    configuration: Option<Configuration>,
    directory: BTreeMap<String, DirectoryEntry>,
    departures: BTreeMap<String, InstanceId>,
    quarantine: BTreeMap<RequestFingerprint, QuarantineRecord>,
}

/// The platform as one machine reaches it.
#[derive(Debug)]
pub struct StandInPlatform {
    /// Number of the store's era.
    era: Arc<AtomicU64>,
    eras: Arc<StoreEras>,
    configuration: Arc<watch::Sender<Option<Configuration>>>,
    directory: Arc<Mutex<BTreeMap<String, DirectoryEntry>>>,
    departures: Arc<Mutex<BTreeMap<String, InstanceId>>>,
    quarantine: Arc<Mutex<BTreeMap<RequestFingerprint, QuarantineRecord>>>,
    is_down: AtomicBool,
    refuses_look_ups: AtomicBool,
    listings: Mutex<Vec<Freshness>>,
    readings: Mutex<Vec<Freshness>>,
    registrations: AtomicUsize,
    lookups: AtomicUsize,
}

impl StandInPlatform {
    pub fn new(configuration: Option<Configuration>) -> Self {
        Self {
            era: Arc::new(AtomicU64::new(1)),
            eras: StoreEras::new(Clock::start()),
            configuration: Arc::new(watch::channel(configuration).0),
            directory: Arc::default(),
            departures: Arc::default(),
            quarantine: Arc::default(),
            is_down: AtomicBool::new(false),
            refuses_look_ups: AtomicBool::new(false),
            listings: Mutex::default(),
            readings: Mutex::default(),
            registrations: AtomicUsize::new(0),
            lookups: AtomicUsize::new(0),
        }
    }

    /// The same platform as another machine reaches it: it may refuse one and serve the other.
    pub fn for_another_machine(&self) -> Self {
        Self {
            era: Arc::clone(&self.era),
            eras: StoreEras::new(Clock::start()),
            configuration: Arc::clone(&self.configuration),
            directory: Arc::clone(&self.directory),
            departures: Arc::clone(&self.departures),
            quarantine: Arc::clone(&self.quarantine),
            is_down: AtomicBool::new(false),
            refuses_look_ups: AtomicBool::new(false),
            listings: Mutex::default(),
            readings: Mutex::default(),
            registrations: AtomicUsize::new(0),
            lookups: AtomicUsize::new(0),
        }
    }

    /// A copy of what the store holds now.
    pub fn copy(&self) -> Copy {
        Copy {
            configuration: self.configuration.borrow().clone(),
            directory: self.directory.lock().unwrap().clone(),
            departures: self.departures.lock().unwrap().clone(),
            quarantine: self.quarantine.lock().unwrap().clone(),
        }
    }

    /// The store comes back from a copy.
    pub fn restore(&self, copy: Copy) {
        self.era.fetch_add(1, Ordering::Relaxed);
        *self.directory.lock().unwrap() = copy.directory;
        *self.departures.lock().unwrap() = copy.departures;
        *self.quarantine.lock().unwrap() = copy.quarantine;
        self.configuration.send_replace(copy.configuration);
    }

    /// Ids of the entries in the directory.
    pub fn listed(&self) -> Vec<String> {
        self.directory.lock().unwrap().keys().cloned().collect()
    }

    /// Names of the instances that have a mark.
    pub fn departed(&self) -> Vec<String> {
        self.departures.lock().unwrap().keys().cloned().collect()
    }

    /// Records of quarantined requests.
    pub fn records(&self) -> Vec<QuarantineRecord> {
        self.quarantine.lock().unwrap().values().copied().collect()
    }

    /// The operator puts a configuration in force.
    pub fn publish(&self, configuration: Configuration) {
        self.configuration.send_replace(Some(configuration));
    }

    /// Refuses every call from now on, or no longer.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Refuses questions about departures from now on.
    pub fn refuse_look_ups(&self) {
        self.refuses_look_ups.store(true, Ordering::Relaxed);
    }

    fn check_look_up(&self) -> Result<(), PlatformError> {
        self.check()?;
        match self.refuses_look_ups.load(Ordering::Relaxed) {
            true => Err(PlatformError::Throttled),
            false => Ok(()),
        }
    }

    /// The listings of the directory that were asked for here.
    pub fn listings(&self) -> Vec<Freshness> {
        self.listings.lock().unwrap().clone()
    }

    /// The readings of the configuration that were asked for here.
    pub fn readings(&self) -> Vec<Freshness> {
        self.readings.lock().unwrap().clone()
    }

    /// Entries of the directory that were written from here.
    pub fn registrations(&self) -> usize {
        self.registrations.load(Ordering::Relaxed)
    }

    /// Questions about departures that were asked from here.
    pub fn lookups(&self) -> usize {
        self.lookups.load(Ordering::Relaxed)
    }

    /// Marks an instance as an earlier process would have.
    pub fn mark_departed(&self, instance: &str) {
        let mut departures = self.departures.lock().unwrap();
        departures.insert(instance.to_owned(), InstanceId::from(instance));
    }

    fn check(&self) -> Result<StoreEra, PlatformError> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(PlatformError::Refused(503));
        }
        let era = self.era.load(Ordering::Relaxed);
        Ok(self.eras.answered(Some(era))?)
    }

    fn revision(configuration: Option<&Configuration>) -> u64 {
        configuration.map_or(0, |configuration| configuration.version)
    }
}

impl Platform for StandInPlatform {
    fn eras(&self) -> &Arc<StoreEras> {
        &self.eras
    }

    async fn read_configuration(
        &self,
        freshness: Freshness,
    ) -> Result<ConfigurationReading, PlatformError> {
        let era = self.check()?;
        self.readings.lock().unwrap().push(freshness);
        let configuration = self.configuration.borrow().clone();
        let revision = Self::revision(configuration.as_ref());
        Ok(ConfigurationReading {
            position: Position { era, revision },
            configuration,
        })
    }

    async fn watch_configuration(
        &self,
        position: Position,
        wait: Duration,
    ) -> Result<ConfigurationReading, PlatformError> {
        self.check()?;
        let mut changes = self.configuration.subscribe();
        let newer =
            changes.wait_for(|current| Self::revision(current.as_ref()) > position.revision);
        let configuration = match tokio::time::timeout(wait.min(WATCH_TIME), newer).await {
            Ok(Ok(current)) => current.clone(),
            _ => None,
        };
        if self.check()? != position.era {
            return Err(PlatformError::HistoryGone);
        }
        let reached = Self::revision(configuration.as_ref());
        Ok(ConfigurationReading {
            position: Position {
                era: position.era,
                revision: position.revision.max(reached),
            },
            configuration,
        })
    }

    async fn register(&self, entry: &DirectoryEntry) -> Result<(), PlatformError> {
        self.check()?;
        self.registrations.fetch_add(1, Ordering::Relaxed);
        let mut directory = self.directory.lock().unwrap();
        directory.insert(entry.id.clone(), entry.clone());
        Ok(())
    }

    async fn directory(&self, freshness: Freshness) -> Result<Vec<DirectoryEntry>, PlatformError> {
        self.check()?;
        self.listings.lock().unwrap().push(freshness);
        Ok(self.directory.lock().unwrap().values().cloned().collect())
    }

    async fn record_departure(&self, instance: &InstanceId) -> Result<(), PlatformError> {
        self.check()?;
        let mut departures = self.departures.lock().unwrap();
        departures.insert(instance.name().to_owned(), instance.clone());
        Ok(())
    }

    async fn has_departed(&self, instance: &InstanceId) -> Result<bool, PlatformError> {
        self.check_look_up()?;
        self.lookups.fetch_add(1, Ordering::Relaxed);
        let departures = self.departures.lock().unwrap();
        let mark = departures.get(instance.name());
        Ok(mark.is_some_and(|mark| !mark.is_before(instance)))
    }

    async fn departures(&self) -> Result<Vec<InstanceId>, PlatformError> {
        self.check_look_up()?;
        self.lookups.fetch_add(1, Ordering::Relaxed);
        Ok(self.departures.lock().unwrap().values().cloned().collect())
    }

    async fn record_quarantine(&self, record: &QuarantineRecord) -> Result<(), PlatformError> {
        self.check()?;
        let mut quarantine = self.quarantine.lock().unwrap();
        quarantine.insert(record.fingerprint, *record);
        Ok(())
    }

    async fn remove_quarantine(
        &self,
        fingerprint: RequestFingerprint,
    ) -> Result<(), PlatformError> {
        self.check()?;
        self.quarantine.lock().unwrap().remove(&fingerprint);
        Ok(())
    }

    async fn quarantined(&self) -> Result<Vec<QuarantineRecord>, PlatformError> {
        self.check()?;
        let quarantine = self.quarantine.lock().unwrap();
        Ok(quarantine.values().copied().collect())
    }
}

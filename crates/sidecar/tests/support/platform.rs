//! An emulated platform in memory that supports fault injection.

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

/// Maximum time that a watch waits for a change.
const MAX_WATCH_TIME: Duration = Duration::from_millis(500);

/// Backup of the store's content.
#[derive(Clone, Debug)]
pub struct StoreBackup {
    configuration: Option<Configuration>,
    directory: BTreeMap<String, DirectoryEntry>,
    departures: BTreeMap<String, InstanceId>,
    quarantine: BTreeMap<RequestFingerprint, QuarantineRecord>,
}

/// The platform as one machine reaches it.
#[derive(Debug)]
pub struct EmulatedPlatform {
    /// Number of the store's era.
    era: Arc<AtomicU64>,
    eras: Arc<StoreEras>,
    configuration: Arc<watch::Sender<Option<Configuration>>>,
    directory: Arc<Mutex<BTreeMap<String, DirectoryEntry>>>,
    departures: Arc<Mutex<BTreeMap<String, InstanceId>>>,
    quarantine: Arc<Mutex<BTreeMap<RequestFingerprint, QuarantineRecord>>>,
    is_down: AtomicBool,
    refuses_lookups: AtomicBool,
    listings: Mutex<Vec<Freshness>>,
    readings: Mutex<Vec<Freshness>>,
    registrations: AtomicUsize,
    lookups: AtomicUsize,
}

impl EmulatedPlatform {
    pub fn new(configuration: Option<Configuration>) -> Self {
        Self {
            era: Arc::new(AtomicU64::new(1)),
            eras: StoreEras::new(Clock::start()),
            configuration: Arc::new(watch::channel(configuration).0),
            directory: Arc::default(),
            departures: Arc::default(),
            quarantine: Arc::default(),
            is_down: AtomicBool::new(false),
            refuses_lookups: AtomicBool::new(false),
            listings: Mutex::default(),
            readings: Mutex::default(),
            registrations: AtomicUsize::new(0),
            lookups: AtomicUsize::new(0),
        }
    }

    /// Returns the same platform as another machine reaches it. It may refuse one machine and serve
    /// the other.
    pub fn for_another_machine(&self) -> Self {
        Self {
            era: Arc::clone(&self.era),
            eras: StoreEras::new(Clock::start()),
            configuration: Arc::clone(&self.configuration),
            directory: Arc::clone(&self.directory),
            departures: Arc::clone(&self.departures),
            quarantine: Arc::clone(&self.quarantine),
            is_down: AtomicBool::new(false),
            refuses_lookups: AtomicBool::new(false),
            listings: Mutex::default(),
            readings: Mutex::default(),
            registrations: AtomicUsize::new(0),
            lookups: AtomicUsize::new(0),
        }
    }

    /// Returns a backup of the store's current content.
    pub fn backup(&self) -> StoreBackup {
        StoreBackup {
            configuration: self.configuration.borrow().clone(),
            directory: self.directory.lock().unwrap().clone(),
            departures: self.departures.lock().unwrap().clone(),
            quarantine: self.quarantine.lock().unwrap().clone(),
        }
    }

    /// Restores the store from a backup, which begins a new era.
    pub fn restore(&self, backup: StoreBackup) {
        self.era.fetch_add(1, Ordering::Relaxed);
        *self.directory.lock().unwrap() = backup.directory;
        *self.departures.lock().unwrap() = backup.departures;
        *self.quarantine.lock().unwrap() = backup.quarantine;
        self.configuration.send_replace(backup.configuration);
    }

    /// Returns the ids of the entries in the directory.
    pub fn listed(&self) -> Vec<String> {
        self.directory.lock().unwrap().keys().cloned().collect()
    }

    /// Returns the names of the instances that have a departure record.
    pub fn departure_records(&self) -> Vec<String> {
        self.departures.lock().unwrap().keys().cloned().collect()
    }

    /// Returns the records of quarantined requests.
    pub fn quarantine_records(&self) -> Vec<QuarantineRecord> {
        self.quarantine.lock().unwrap().values().copied().collect()
    }

    /// Puts a configuration in force, as the operator does.
    pub fn publish(&self, configuration: Configuration) {
        self.configuration.send_replace(Some(configuration));
    }

    /// Refuses every call, or stops doing so.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Refuses lookups and listings of departures from now on.
    pub fn refuse_lookups(&self) {
        self.refuses_lookups.store(true, Ordering::Relaxed);
    }

    fn check_lookup(&self) -> Result<(), PlatformError> {
        self.check()?;
        match self.refuses_lookups.load(Ordering::Relaxed) {
            true => Err(PlatformError::Throttled),
            false => Ok(()),
        }
    }

    /// Returns the freshness of each directory listing requested here.
    pub fn listings(&self) -> Vec<Freshness> {
        self.listings.lock().unwrap().clone()
    }

    /// Returns the freshness of each configuration read requested here.
    pub fn readings(&self) -> Vec<Freshness> {
        self.readings.lock().unwrap().clone()
    }

    /// Returns the number of directory entries written from here.
    pub fn registrations(&self) -> usize {
        self.registrations.load(Ordering::Relaxed)
    }

    /// Returns the number of lookups and listings of departures served here.
    pub fn lookups(&self) -> usize {
        self.lookups.load(Ordering::Relaxed)
    }

    /// Writes a departure record as an earlier process would have done.
    pub fn add_departure_record(&self, instance: &str) {
        let mut departures = self.departures.lock().unwrap();
        departures.insert(instance.to_owned(), InstanceId::from(instance));
    }

    fn check(&self) -> Result<StoreEra, PlatformError> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(PlatformError::Refused(503));
        }
        let era = self.era.load(Ordering::Relaxed);
        Ok(self.eras.observe_reply(Some(era))?)
    }

    fn revision(configuration: Option<&Configuration>) -> u64 {
        configuration.map_or(0, |configuration| configuration.version)
    }
}

impl Platform for EmulatedPlatform {
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
        let configuration = match tokio::time::timeout(wait.min(MAX_WATCH_TIME), newer).await {
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
        self.check_lookup()?;
        self.lookups.fetch_add(1, Ordering::Relaxed);
        let departures = self.departures.lock().unwrap();
        let mark = departures.get(instance.name());
        Ok(mark.is_some_and(|mark| !mark.is_before(instance)))
    }

    async fn departures(&self) -> Result<Vec<InstanceId>, PlatformError> {
        self.check_lookup()?;
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

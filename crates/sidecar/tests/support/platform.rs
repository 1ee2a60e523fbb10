//! A platform in memory, with faults.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;
use wharfquay_core::quarantine::RequestFingerprint;
use wharfquay_sidecar::configuration::Configuration;
use wharfquay_sidecar::instance::InstanceId;
use wharfquay_sidecar::platform::{
    ConfigurationReading, DirectoryEntry, Freshness, Platform, PlatformError, Position,
    QuarantineRecord,
};

/// How long a watch waits for a change.
const WATCH_TIME: Duration = Duration::from_millis(500);

/// The platform as one machine reaches it.
#[derive(Debug)]
pub struct StandInPlatform {
    configuration: Arc<watch::Sender<Option<Configuration>>>,
    directory: Arc<Mutex<BTreeMap<String, DirectoryEntry>>>,
    departures: Arc<Mutex<BTreeSet<String>>>,
    quarantine: Arc<Mutex<BTreeMap<RequestFingerprint, QuarantineRecord>>>,
    is_down: AtomicBool,
    listings: Mutex<Vec<Freshness>>,
    readings: Mutex<Vec<Freshness>>,
    registrations: AtomicUsize,
    lookups: AtomicUsize,
}

impl StandInPlatform {
    pub fn new(configuration: Option<Configuration>) -> Self {
        Self {
            configuration: Arc::new(watch::channel(configuration).0),
            directory: Arc::default(),
            departures: Arc::default(),
            quarantine: Arc::default(),
            is_down: AtomicBool::new(false),
            listings: Mutex::default(),
            readings: Mutex::default(),
            registrations: AtomicUsize::new(0),
            lookups: AtomicUsize::new(0),
        }
    }

    /// The same platform as another machine reaches it: it may refuse one and serve the other.
    pub fn for_another_machine(&self) -> Self {
        Self {
            configuration: Arc::clone(&self.configuration),
            directory: Arc::clone(&self.directory),
            departures: Arc::clone(&self.departures),
            quarantine: Arc::clone(&self.quarantine),
            is_down: AtomicBool::new(false),
            listings: Mutex::default(),
            readings: Mutex::default(),
            registrations: AtomicUsize::new(0),
            lookups: AtomicUsize::new(0),
        }
    }

    /// The operator puts a configuration in force.
    pub fn publish(&self, configuration: Configuration) {
        self.configuration.send_replace(Some(configuration));
    }

    /// Refuses every call from now on, or no longer.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
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
        self.departures.lock().unwrap().insert(instance.to_owned());
    }

    fn check(&self) -> Result<(), PlatformError> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(PlatformError::Refused(503));
        }
        Ok(())
    }

    fn position(configuration: Option<&Configuration>) -> Position {
        Position(configuration.map_or(0, |configuration| configuration.version))
    }
}

impl Platform for StandInPlatform {
    async fn read_configuration(
        &self,
        freshness: Freshness,
    ) -> Result<ConfigurationReading, PlatformError> {
        self.check()?;
        self.readings.lock().unwrap().push(freshness);
        let configuration = self.configuration.borrow().clone();
        Ok(ConfigurationReading {
            position: Self::position(configuration.as_ref()),
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
        let newer = changes.wait_for(|current| Self::position(current.as_ref()) > position);
        let configuration = match tokio::time::timeout(wait.min(WATCH_TIME), newer).await {
            Ok(Ok(current)) => current.clone(),
            _ => None,
        };
        self.check()?;
        let reached = Self::position(configuration.as_ref());
        Ok(ConfigurationReading {
            position: position.max(reached),
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
        self.mark_departed(instance.as_str());
        Ok(())
    }

    async fn has_departed(&self, instance: &InstanceId) -> Result<bool, PlatformError> {
        self.check()?;
        self.lookups.fetch_add(1, Ordering::Relaxed);
        Ok(self.departures.lock().unwrap().contains(instance.as_str()))
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

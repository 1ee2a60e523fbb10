//! Counts platform calls by operation and result.

use std::sync::Arc;
use std::time::Duration;

use wharfquay_core::quarantine::RequestFingerprint;

use crate::instance::InstanceId;
use crate::metrics::Metrics;
use crate::platform::{
    ConfigurationReading, DirectoryEntry, Freshness, Platform, PlatformError, Position,
    QuarantineRecord,
};
use crate::store_era::StoreEras;

/// A platform adapter that counts its calls.
#[derive(Debug)]
pub(crate) struct MeteredPlatform<P> {
    inner: Arc<P>,
    metrics: Arc<Metrics>,
}

impl<P: Platform> MeteredPlatform<P> {
    pub(crate) fn new(inner: Arc<P>, metrics: Arc<Metrics>) -> Arc<Self> {
        Arc::new(Self { inner, metrics })
    }

    fn count<T>(&self, operation: &str, result: &Result<T, PlatformError>) {
        let name = match result {
            Ok(_) => "ok",
            Err(PlatformError::Unreachable(_)) => "unreachable",
            Err(PlatformError::Throttled) => "throttled",
            Err(PlatformError::Refused(_)) => "refused",
            Err(PlatformError::HistoryGone) => "history_gone",
            Err(PlatformError::EarlierEra) => "earlier_era",
            Err(PlatformError::Malformed(_)) => "malformed",
        };
        self.metrics.platform_called(operation, name);
    }
}

impl<P: Platform> Platform for MeteredPlatform<P> {
    fn eras(&self) -> &Arc<StoreEras> {
        self.inner.eras()
    }

    async fn read_configuration(
        &self,
        freshness: Freshness,
    ) -> Result<ConfigurationReading, PlatformError> {
        let result = self.inner.read_configuration(freshness).await;
        self.count("read_configuration", &result);
        result
    }

    async fn watch_configuration(
        &self,
        position: Position,
        wait: Duration,
    ) -> Result<ConfigurationReading, PlatformError> {
        let result = self.inner.watch_configuration(position, wait).await;
        self.count("watch_configuration", &result);
        result
    }

    async fn register(&self, entry: &DirectoryEntry) -> Result<(), PlatformError> {
        let result = self.inner.register(entry).await;
        self.count("register", &result);
        result
    }

    async fn directory(&self, freshness: Freshness) -> Result<Vec<DirectoryEntry>, PlatformError> {
        let result = self.inner.directory(freshness).await;
        self.count("directory", &result);
        result
    }

    async fn record_departure(&self, instance: &InstanceId) -> Result<(), PlatformError> {
        let result = self.inner.record_departure(instance).await;
        self.count("record_departure", &result);
        result
    }

    async fn has_departed(&self, instance: &InstanceId) -> Result<bool, PlatformError> {
        let result = self.inner.has_departed(instance).await;
        self.count("has_departed", &result);
        result
    }

    async fn departures(&self) -> Result<Vec<InstanceId>, PlatformError> {
        let result = self.inner.departures().await;
        self.count("departures", &result);
        result
    }

    async fn record_quarantine(&self, record: &QuarantineRecord) -> Result<(), PlatformError> {
        let result = self.inner.record_quarantine(record).await;
        self.count("record_quarantine", &result);
        result
    }

    async fn remove_quarantine(
        &self,
        fingerprint: RequestFingerprint,
    ) -> Result<(), PlatformError> {
        let result = self.inner.remove_quarantine(fingerprint).await;
        self.count("remove_quarantine", &result);
        result
    }

    async fn quarantined(&self) -> Result<Vec<QuarantineRecord>, PlatformError> {
        let result = self.inner.quarantined().await;
        self.count("quarantined", &result);
        result
    }
}

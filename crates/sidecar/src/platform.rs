//! Interface to the platform, which stores configurations, the directory of sidecars, and durable
//! records.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use wharfquay_core::idempotency::clock::UnixMillis;
use wharfquay_core::quarantine::RequestFingerprint;

use crate::configuration::Configuration;
use crate::instance::InstanceId;
use crate::store_era::{EarlierEra, StoreEra, StoreEras};

/// A position in the platform's history of configurations. Revisions are reused in each era; two
/// positions can therefore be compared only within one era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Era of the store.
    pub era: StoreEra,
    /// Revision within the era.
    pub revision: u64,
}

/// Result of a read of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationReading {
    /// The configuration; `None` if there is none, or if a watch found no change.
    pub configuration: Option<Configuration>,
    /// Position from which to continue.
    pub position: Position,
}

/// Reason why the platform provided no usable reply.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PlatformError {
    /// no reply: {0}
    Unreachable(String),
    /// too many calls; the platform requests fewer
    Throttled,
    /// refused with status {0}
    Refused(u16),
    /// the history after this position is no longer available
    HistoryGone,
    /// the reply is of an earlier era of the store
    EarlierEra,
    /// malformed reply: {0}
    Malformed(String),
}

impl std::error::Error for PlatformError {}

impl From<EarlierEra> for PlatformError {
    fn from(EarlierEra: EarlierEra) -> Self {
        Self::EarlierEra
    }
}

/// Required freshness of a reply of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Includes everything that was acknowledged before the request.
    Latest,
    /// May be seconds old. Costs the platform a fraction of a latest read.
    MayBeStale,
}

/// Entry of a sidecar in the platform's directory, by which other sidecars discover it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// Identity of the sidecar.
    pub id: String,
    /// Control address of the sidecar.
    pub control_address: SocketAddr,
}

/// Record of a quarantined request. It survives a simultaneous termination of all sidecars.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Time at which it was quarantined.
    pub quarantined_at: UnixMillis,
}

/// Operations that a sidecar needs from its platform. Implementations translate calls and hold no
/// state of their own: retries, backoff and overall timeouts are the responsibility of the caller.
pub trait Platform: fmt::Debug + Send + Sync + 'static {
    /// Returns the eras of the store. Each reply reports its era to them.
    fn eras(&self) -> &Arc<StoreEras>;

    /// Reads the configuration.
    fn read_configuration(
        &self,
        freshness: Freshness,
    ) -> impl Future<Output = Result<ConfigurationReading, PlatformError>> + Send;

    /// Waits for a configuration after `position`, for at most `wait`.
    fn watch_configuration(
        &self,
        position: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<ConfigurationReading, PlatformError>> + Send;

    /// Writes this sidecar's directory entry, replacing an existing one.
    fn register(
        &self,
        entry: &DirectoryEntry,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Lists the entries of the directory. Some may belong to sidecars that no longer exist.
    fn directory(
        &self,
        freshness: Freshness,
    ) -> impl Future<Output = Result<Vec<DirectoryEntry>, PlatformError>> + Send;

    /// Durably records the departure of an instance. Idempotent.
    fn record_departure(
        &self,
        instance: &InstanceId,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Returns true if an earlier [`Self::record_departure`] of this instance was acknowledged.
    fn has_departed(
        &self,
        instance: &InstanceId,
    ) -> impl Future<Output = Result<bool, PlatformError>> + Send;

    /// Lists the instances whose departure was acknowledged, as far as their records are still
    /// kept.
    fn departures(&self) -> impl Future<Output = Result<Vec<InstanceId>, PlatformError>> + Send;

    /// Writes the record of a quarantined request, replacing an existing one.
    fn record_quarantine(
        &self,
        record: &QuarantineRecord,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Removes the record of a request. Idempotent.
    fn remove_quarantine(
        &self,
        fingerprint: RequestFingerprint,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Lists the records of quarantined requests.
    fn quarantined(
        &self,
    ) -> impl Future<Output = Result<Vec<QuarantineRecord>, PlatformError>> + Send;
}

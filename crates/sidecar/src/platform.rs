//! The seams towards the platform: where configurations, other sidecars and durable marks come from.

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

/// A point in the platform's history of configurations. Revisions are given out again in each era, so two positions
/// can be compared only within one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// The era of the store.
    pub era: StoreEra,
    /// Its revision.
    pub revision: u64,
}

/// What the platform said about the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationReading {
    /// The configuration, if there is one, or if it changed.
    pub configuration: Option<Configuration>,
    /// Where to go on.
    pub position: Position,
}

/// Why the platform gave no usable answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PlatformError {
    /// no answer: {0}
    Unreachable(String),
    /// it asks to be called less often
    Throttled,
    /// it refused with status {0}
    Refused(u16),
    /// the history after this position is gone
    HistoryGone,
    /// it is of an earlier era of the store
    EarlierEra,
    /// the answer can't be understood: {0}
    Malformed(String),
}

impl std::error::Error for PlatformError {}

impl From<EarlierEra> for PlatformError {
    fn from(EarlierEra: EarlierEra) -> Self {
        Self::EarlierEra
    }
}

/// How new an answer of the platform has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Everything that was acknowledged before the question.
    Latest,
    /// It may be seconds old, and costs the platform a fraction.
    MayBeStale,
}

/// How a starting sidecar finds another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// Identity of the sidecar.
    pub id: String,
    /// Its control address.
    pub control_address: SocketAddr,
}

/// A quarantined request, as the platform keeps it for the case that all sidecars end at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// When it was quarantined.
    pub found_at: UnixMillis,
}

/// What a sidecar needs of its platform. Implementations translate and keep nothing: retries,
/// backoff and timeouts of the whole belong to the caller.
pub trait Platform: fmt::Debug + Send + Sync + 'static {
    /// The eras of its store, which each answer tells.
    fn eras(&self) -> &Arc<StoreEras>;

    /// Reads the configuration.
    fn read_configuration(
        &self,
        freshness: Freshness,
    ) -> impl Future<Output = Result<ConfigurationReading, PlatformError>> + Send;

    /// Waits for a configuration after `position`, for `wait` at most.
    fn watch_configuration(
        &self,
        position: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<ConfigurationReading, PlatformError>> + Send;

    /// Enters this sidecar in the directory, or changes its entry.
    fn register(
        &self,
        entry: &DirectoryEntry,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// The entries of the directory; some may belong to sidecars that are gone.
    fn directory(
        &self,
        freshness: Freshness,
    ) -> impl Future<Output = Result<Vec<DirectoryEntry>, PlatformError>> + Send;

    /// Makes it durable that an instance leaves. Repeating it changes nothing.
    fn record_departure(
        &self,
        instance: &InstanceId,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Whether an earlier [`Self::record_departure`] of this instance was acknowledged.
    fn has_departed(
        &self,
        instance: &InstanceId,
    ) -> impl Future<Output = Result<bool, PlatformError>> + Send;

    /// The instances whose leaving was acknowledged, as far as marks of them are kept.
    fn departures(&self) -> impl Future<Output = Result<Vec<InstanceId>, PlatformError>> + Send;

    /// Keeps a quarantined request, in place of what was kept of it before.
    fn record_quarantine(
        &self,
        record: &QuarantineRecord,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Keeps a request no longer. Repeating it changes nothing.
    fn remove_quarantine(
        &self,
        fingerprint: RequestFingerprint,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// The quarantined requests that are kept.
    fn quarantined(
        &self,
    ) -> impl Future<Output = Result<Vec<QuarantineRecord>, PlatformError>> + Send;
}

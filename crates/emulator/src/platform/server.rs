//! HTTP server of the emulated platform.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use displaydoc::Display;
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use wharfquay_core::time::Timestamp;
use wharfquay_platform::conversion;
use wharfquay_platform::wire::OperationId;
use wharfquay_resources::kinds::Resource;
use wharfquay_resources::snapshot::Revision;

use super::faults::FaultSwitches;
use super::keyspace::Put;
use super::routes::routes;
use super::store::{DEFAULT_EVENT_LOG_CAPACITY, Store};

/// Author of the objects that the store initially contains.
const INITIAL_OBJECT_AUTHOR: &str = "initial";

/// Settings of the emulated platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address to listen on; port zero selects a free port.
    pub listen: SocketAddr,
    /// Initial configuration objects.
    pub resources: Vec<Resource>,
    /// Maximum number of changes in the event log; older ones are dropped.
    pub event_log_capacity: usize,
    /// Time between the bookmarks of a watch without events.
    pub bookmark_interval: Duration,
}

impl PlatformSettings {
    /// Returns the default settings with this address.
    #[must_use]
    pub const fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            resources: Vec::new(),
            event_log_capacity: DEFAULT_EVENT_LOG_CAPACITY,
            bookmark_interval: Duration::from_secs(1),
        }
    }
}

/// An error that prevents the emulated platform from starting.
#[derive(Debug, Display)]
pub enum PlatformError {
    /// 6201: can't listen on {address}: {detail}
    Listen {
        /// Address of the settings.
        address: SocketAddr,
        /// Error of the operating system.
        detail: String,
    },
    /// 6202: resource {name}: can't be stored: {detail}
    Resource {
        /// Kind and name of the resource.
        name: String,
        /// Reason.
        detail: String,
    },
}

impl std::error::Error for PlatformError {}

/// State that the handlers share.
#[derive(Debug)]
pub(super) struct Platform {
    store: Mutex<Store>,
    origin: Instant,
    changes: watch::Sender<()>,
    bookmark_interval: Duration,
}

impl Platform {
    pub(super) fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    pub(super) const fn bookmark_interval(&self) -> Duration {
        self.bookmark_interval
    }

    /// Returns a receiver that is notified of every change to the store, including the fault switches.
    pub(super) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    pub(super) fn with_store<T>(&self, use_store: impl FnOnce(&mut Store) -> T) -> T {
        use_store(&mut self.lock())
    }

    /// Changes the store and notifies the watches.
    pub(super) fn change<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        let result = self.with_store(change);
        self.changes.send_replace(());
        result
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running emulated platform; dropping it stops it.
#[derive(Debug)]
pub struct RunningPlatform {
    address: SocketAddr,
    platform: Arc<Platform>,
    server: JoinHandle<()>,
}

impl RunningPlatform {
    /// Returns the address that the platform listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the current fault switches.
    #[must_use]
    pub fn faults(&self) -> FaultSwitches {
        self.platform.with_store(|store| store.faults.clone())
    }

    /// Replaces the fault switches.
    pub fn set_faults(&self, faults: FaultSwitches) {
        self.platform.change(|store| store.faults = faults);
    }

    /// Reads or changes the store directly, unaffected by the faults.
    pub fn with_store<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        self.platform.change(change)
    }

    /// Closes the listener and all connections; returns the store for [`start_with_store`].
    pub async fn shutdown(mut self) -> Store {
        self.server.abort();
        let _ = (&mut self.server).await;
        self.platform.with_store(|store| store.clone())
    }
}

impl Drop for RunningPlatform {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Starts an emulated platform with the resources of the settings.
pub async fn start(settings: PlatformSettings) -> Result<RunningPlatform, PlatformError> {
    let store = initial_store(&settings)?;
    start_with_store(settings, store).await
}

/// Starts an emulated platform with an existing store; the resources in the settings are not written
/// to it.
pub async fn start_with_store(
    settings: PlatformSettings,
    store: Store,
) -> Result<RunningPlatform, PlatformError> {
    let (acceptor, address) = listen(settings.listen).await?;
    let platform = Arc::new(Platform {
        store: Mutex::new(store),
        origin: Instant::now(),
        changes: watch::Sender::new(()),
        bookmark_interval: settings.bookmark_interval,
    });
    let router = routes(&platform);
    let server = tokio::spawn(async move {
        if let Err(error) = Server::new(acceptor).try_serve(router).await {
            log::error!("event=platform_stopped error={error:?}");
        }
    });
    log::info!("event=platform_started address={address}");
    Ok(RunningPlatform {
        address,
        platform,
        server,
    })
}

async fn listen(address: SocketAddr) -> Result<(TcpAcceptor, SocketAddr), PlatformError> {
    let failed = |error: std::io::Error| PlatformError::Listen {
        address,
        detail: error.to_string(),
    };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    let acceptor = TcpAcceptor::try_from(listener).map_err(failed)?;
    Ok((acceptor, bound))
}

fn initial_store(settings: &PlatformSettings) -> Result<Store, PlatformError> {
    let mut store = Store::new(settings.event_log_capacity);
    for resource in &settings.resources {
        let id = resource.id();
        let failed = |detail: String| PlatformError::Resource {
            name: id.to_string(),
            detail,
        };
        let spec = conversion::spec_of(resource).map_err(|error| failed(error.to_string()))?;
        let put = Put {
            key: conversion::object_key(&id),
            expected_version: Revision::ZERO,
            operation: OperationId::unique(),
            author: INITIAL_OBJECT_AUTHOR.to_owned(),
            spec,
        };
        let result = store.objects.put(put);
        result.map_err(|_| failed("another resource has the same kind and name".to_owned()))?;
    }
    Ok(store)
}

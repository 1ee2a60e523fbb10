//! HTTP around the store.

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

/// Author of the objects that the stand-in starts with.
const INITIAL_AUTHOR: &str = "initial";

/// How the stand-in is started.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address to listen on; port zero takes a free one.
    pub listen: SocketAddr,
    /// Configuration objects to start with.
    pub resources: Vec<Resource>,
    /// Changes that the event log remembers.
    pub event_log_capacity: usize,
    /// Time between bookmarks on a quiet watch.
    pub bookmark_interval: Duration,
}

impl PlatformSettings {
    /// Default settings with this address.
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

/// Why the stand-in can't start.
#[derive(Debug, Display)]
pub enum PlatformError {
    /// 6201: can't listen on {address}: {detail}
    Listen {
        /// The address in the settings.
        address: SocketAddr,
        /// What the system reported.
        detail: String,
    },
    /// 6202: resource {name}: can't be stored: {detail}
    Resource {
        /// Kind and name.
        name: String,
        /// What is wrong.
        detail: String,
    },
}

impl std::error::Error for PlatformError {}

/// The store and what its users share.
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

    /// Tells of every change to the store, the fault switches included.
    pub(super) fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    pub(super) fn with_store<T>(&self, use_store: impl FnOnce(&mut Store) -> T) -> T {
        use_store(&mut self.lock())
    }

    /// Changes the store and wakes the watches.
    pub(super) fn change<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        let result = self.with_store(change);
        self.changes.send_replace(());
        result
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stand-in that serves until it is shut down or dropped.
#[derive(Debug)]
pub struct RunningPlatform {
    address: SocketAddr,
    platform: Arc<Platform>,
    server: JoinHandle<()>,
}

impl RunningPlatform {
    /// Address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The fault switches as they stand.
    #[must_use]
    pub fn faults(&self) -> FaultSwitches {
        self.platform.with_store(|store| store.faults.clone())
    }

    /// Puts the fault switches in this position.
    pub fn set_faults(&self, faults: FaultSwitches) {
        self.platform.change(|store| store.faults = faults);
    }

    /// Reads or changes the store in process, past every fault.
    pub fn with_store<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        self.platform.change(change)
    }

    /// Closes the listener and every connection; returns the store for [`start_with_store`].
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

/// Starts a stand-in.
pub async fn start(settings: PlatformSettings) -> Result<RunningPlatform, PlatformError> {
    let store = initial_store(&settings)?;
    start_with_store(settings, store).await
}

/// Starts a stand-in with the store of one that was shut down; the resources in the settings are not
/// written to it.
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
            author: INITIAL_AUTHOR.to_owned(),
            spec,
        };
        let result = store.objects.put(put);
        result.map_err(|_| failed("another resource has the same kind and name".to_owned()))?;
    }
    Ok(store)
}

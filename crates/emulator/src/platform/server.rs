//! HTTP around the store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::{HeaderValue, StatusCode, header};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use wharfquay_core::time::Timestamp;
use wharfquay_platform::conversion;
use wharfquay_platform::wire::OperationId;
use wharfquay_resources::kinds::Resource;
use wharfquay_resources::snapshot::Revision;

use super::api::{self, ApiAnswer, ApiCall, ApiRequest, PathParameters, QueryParameters};
use super::faults::FaultSwitches;
use super::keyspace::Put;
use super::store::{DEFAULT_EVENT_LOG_CAPACITY, Store};
use super::watch::WatchHandler;

/// Author of the objects that the stand-in starts with.
const INITIAL_AUTHOR: &str = "initial";
/// Largest body that is read, in bytes.
const MAXIMUM_BODY_BYTES: usize = 4 * 1024 * 1024;

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

    fn change<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
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

    /// Closes the listener and every connection.
    pub async fn shutdown(mut self) {
        self.server.abort();
        let _ = (&mut self.server).await;
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

fn routes(platform: &Arc<Platform>) -> Router {
    let read = |call| Endpoint::new(platform, call, Effect::Read);
    let write = |call| Endpoint::new(platform, call, Effect::Write);
    let switch = |call| Endpoint::new(platform, call, Effect::Switch);
    let objects = Router::with_path("objects")
        .get(read(api::list_objects))
        .push(
            Router::with_path("{kind}/{name}")
                .get(read(api::get_object))
                .put(write(api::put_object))
                .delete(write(api::delete_object)),
        );
    let status = Router::with_path("status")
        .get(read(api::list_status))
        .push(
            Router::with_path("{kind}/{name}")
                .get(read(api::get_status))
                .put(write(api::put_status))
                .delete(write(api::delete_status)),
        );
    let leases = Router::with_path("leases/{name}")
        .put(write(api::acquire_lease))
        .delete(write(api::release_lease));
    let machines = Router::with_path("machines")
        .get(read(api::list_machines))
        .push(
            Router::with_path("{name}")
                .put(write(api::put_machine))
                .delete(write(api::delete_machine)),
        );
    let watch = Router::with_path("watch")
        .hoop(FaultGate(Arc::clone(platform)))
        .get(WatchHandler(Arc::clone(platform)));
    let faults = Router::with_path("faults")
        .get(switch(api::get_faults))
        .put(switch(api::put_faults));
    Router::with_path("v1")
        .push(objects)
        .push(status)
        .push(leases)
        .push(machines)
        .push(watch)
        .push(faults)
}

/// What a call does to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// Nothing.
    Read,
    /// Changes it.
    Write,
    /// Shows or sets the fault switches, which work in spite of every fault.
    Switch,
}

/// Serves one call of the API.
#[derive(Clone)]
struct Endpoint {
    platform: Arc<Platform>,
    call: ApiCall,
    effect: Effect,
}

impl Endpoint {
    fn new(platform: &Arc<Platform>, call: ApiCall, effect: Effect) -> Self {
        Self {
            platform: Arc::clone(platform),
            call,
            effect,
        }
    }

    async fn serve(self, mut request: ApiRequest) -> Served {
        if self.effect != Effect::Switch
            && let Err(served) = pass_faults(&self.platform).await
        {
            return served;
        }
        request.now = self.platform.now();
        let call = |store: &mut Store| (self.call)(store, &request);
        if self.effect == Effect::Read {
            let result = self.platform.with_store(call);
            return Served::Answer(result.unwrap_or_else(|failure| failure));
        }
        let result = self.platform.change(call);
        if self.effect == Effect::Write && result.is_ok() && self.loses_answer() {
            return Served::NoAnswer;
        }
        Served::Answer(result.unwrap_or_else(|failure| failure))
    }

    fn loses_answer(&self) -> bool {
        self.platform.with_store(|store| {
            let lost = store.faults.lose_answers > 0;
            store.faults.lose_answers = store.faults.lose_answers.saturating_sub(1);
            lost
        })
    }
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let body = match request.payload_with_max_size(MAXIMUM_BODY_BYTES).await {
            Ok(body) => body.clone(),
            Err(_) => Bytes::new(),
        };
        let api_request = ApiRequest {
            now: self.platform.now(),
            path: PathParameters::of(request),
            query: QueryParameters::of(request),
            body,
        };
        // A task of its own, so that the call goes on when the caller leaves.
        let served = tokio::spawn(self.clone().serve(api_request)).await;
        let served = served.unwrap_or_else(|error| {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            Served::Answer(ApiAnswer::failure(status, error.to_string()))
        });
        answer_or_wait(response, served).await;
    }
}

/// Applies the fault switches in front of another handler.
struct FaultGate(Arc<Platform>);

#[async_trait]
impl Handler for FaultGate {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        control: &mut FlowCtrl,
    ) {
        if let Err(served) = pass_faults(&self.0).await {
            answer_or_wait(response, served).await;
            control.skip_rest();
        }
    }
}

/// How a call ends.
enum Served {
    /// With this answer.
    Answer(ApiAnswer),
    /// Not at all, until the caller leaves.
    NoAnswer,
}

/// Waits as the switches demand; the error is how the call ends at once.
async fn pass_faults(platform: &Platform) -> Result<(), Served> {
    let faults = platform.with_store(|store| store.faults.clone());
    if faults.down {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let answer = ApiAnswer::failure(status, "down".to_owned());
        return Err(Served::Answer(answer));
    }
    if faults.hang {
        return Err(Served::NoAnswer);
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    Ok(())
}

async fn answer_or_wait(response: &mut Response, served: Served) {
    match served {
        Served::Answer(answer) => render(response, answer),
        Served::NoAnswer => std::future::pending().await,
    }
}

pub(super) fn render(response: &mut Response, answer: ApiAnswer) {
    response.status_code(answer.status);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response.body(answer.body);
}

//! The control side: the configuration in force and the endpoints of each service.
//!
//! The rest of the daemon sees [`ControlView`] only, whatever fills it.

pub mod claims;
mod configuration;
mod endpoints;
mod health;
mod machines;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wharfquay_core::routing::EndpointId;
use wharfquay_platform::Client;
use wharfquay_resources::snapshot::Snapshot;

use crate::clock::Clock;
use crate::control::claims::Claims;
use crate::peers::PeerPool;
use crate::settings::Settings;

pub use endpoints::{EndpointRecord, EndpointTable};

/// Where each daemon of the machine list takes control messages.
pub type ControlAddresses = BTreeMap<String, SocketAddr>;

/// What the rest of the daemon sees of the control side.
#[derive(Clone, Debug)]
pub struct ControlView {
    /// The configuration in force; its revision is zero before the first one.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The endpoints of each service.
    pub endpoints: watch::Receiver<Arc<EndpointTable>>,
    /// Whether this daemon's own back end is leaving.
    pub leaving: watch::Receiver<bool>,
    /// Claims on idempotency keys.
    pub claims: Arc<Claims>,
}

/// Starts the tasks that keep the view up to date until `stop`.
#[must_use]
pub fn start(
    settings: &Settings,
    clock: Clock,
    client: Arc<Client>,
    tasks: &TaskTracker,
    stop: &CancellationToken,
) -> ControlView {
    let (snapshot_sender, snapshot) = watch::channel(Arc::new(Snapshot::default()));
    let (endpoints_sender, endpoints) = watch::channel(Arc::new(EndpointTable::default()));
    let (leaving_sender, leaving) = watch::channel(false);
    let (addresses_sender, addresses) = watch::channel(Arc::new(ControlAddresses::default()));
    let limits = &settings.limits;
    let claims = Arc::new(Claims::new(
        &settings.id,
        clock,
        snapshot.clone(),
        addresses,
        PeerPool::new(limits.connect_timeout(), limits.header_bytes),
        tasks.clone(),
    ));
    let (health_sender, health) = watch::channel(false);
    let reader = configuration::Reader::new(Arc::clone(&client), snapshot_sender);
    let backend = settings.backend.as_ref();
    let poller = machines::Poller {
        client,
        interval: Duration::from_millis(settings.platform.poll_interval_ms),
        own: machines::OwnPlace {
            id: EndpointId::from(settings.id.as_str()),
            zone: settings.zone.clone(),
            service: backend.map(|backend| backend.service.clone()),
        },
        sources: machines::Sources {
            snapshot: snapshot.clone(),
            health,
        },
        outputs: machines::Outputs {
            endpoints: endpoints_sender,
            leaving: leaving_sender,
            addresses: addresses_sender,
        },
    };
    spawn_until(tasks, stop, reader.run());
    spawn_until(tasks, stop, poller.run());
    if let Some(poller) = health_poller(settings, health_sender) {
        spawn_until(tasks, stop, poller.run());
    }
    spawn_until(tasks, stop, claims::run_replica(Arc::clone(&claims)));
    ControlView {
        snapshot,
        endpoints,
        leaving,
        claims,
    }
}

/// Reads the back end's health where the settings say that it has an endpoint.
fn health_poller(
    settings: &Settings,
    leaving: watch::Sender<bool>,
) -> Option<health::HealthPoller> {
    let backend = settings.backend.as_ref()?;
    (!backend.health_path.is_empty()).then(|| health::HealthPoller {
        address: backend.address,
        path: backend.health_path.clone(),
        interval: Duration::from_millis(backend.health_interval_ms),
        leaving,
    })
}

fn spawn_until(
    tasks: &TaskTracker,
    stop: &CancellationToken,
    task: impl Future<Output = ()> + Send + 'static,
) {
    let stop = stop.clone();
    tasks.spawn(async move {
        stop.run_until_cancelled(task).await;
    });
}

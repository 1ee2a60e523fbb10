//! The control side: the configuration in force and the endpoints of each service.
//!
//! The rest of the daemon only uses [`ControlView`] and does not depend on the sources behind it.

pub mod claims;
mod configuration;
mod endpoints;
pub(crate) mod gossip;
mod health;
mod machines;
mod readers;
mod relay;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wharfquay_core::routing::EndpointId;
use wharfquay_membership::table::MemberTable;
use wharfquay_platform::Client;
use wharfquay_resources::snapshot::Snapshot;

use crate::body::ResponseBody;
use crate::clock::Clock;
use crate::control::claims::Claims;
use crate::control::gossip::{ControlSockets, GossipTask, StreamInbox};
use crate::events::PlatformHealth;
use crate::inbound::BackendAnnouncements;
use crate::metrics::Metrics;
use crate::peers::PeerPool;
use crate::settings::Settings;

pub use endpoints::{EndpointRecord, EndpointTable};

/// Time in which the announcement of a stop reaches the other daemons of a small deployment. A
/// stopping daemon stays up and refuses calls for at least this long.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(200);

/// Control addresses of the daemons by id, from the machine list and gossip.
pub type ControlAddresses = BTreeMap<String, SocketAddr>;

/// The state that the control side publishes to the rest of the daemon.
#[derive(Clone, Debug)]
pub struct ControlView {
    /// The configuration in force; its revision is zero before the first one is adopted.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The endpoints of each service.
    pub endpoints: watch::Receiver<Arc<EndpointTable>>,
    /// True while the local backend is leaving.
    pub leaving: watch::Receiver<bool>,
    /// What the local backend announces in its responses.
    pub(crate) announcements: Arc<BackendAnnouncements>,
    /// Claims on idempotency keys.
    pub claims: Arc<Claims>,
    /// The members known from gossip; empty without a control listener.
    pub members: watch::Receiver<MemberTable>,
    /// Whether the platform responds.
    pub platform: Arc<PlatformHealth>,
    /// Receives control messages from streams; `None` without a control listener.
    pub(crate) inbox: Option<StreamInbox>,
    /// Set to true to announce to the other daemons that this one is stopping.
    stopping: watch::Sender<bool>,
}

impl ControlView {
    /// Serves a request on the control listener.
    pub(crate) async fn serve(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        match &self.inbox {
            Some(inbox) if StreamInbox::accepts(&request) => inbox.serve(request).await,
            _ => self.claims.serve(request).await,
        }
    }

    /// Announces that this daemon is stopping. Returns the time at which the other daemons can be
    /// expected to have received the announcement.
    pub(crate) fn announce_stop(&self) -> Instant {
        self.stopping.send_replace(true);
        let now = Instant::now();
        if self.inbox.is_some() {
            now + ANNOUNCEMENT_TIME
        } else {
            now
        }
    }
}

/// Starts the tasks that update the view until `stop` is cancelled.
#[must_use]
pub(crate) fn start(
    settings: &Settings,
    clock: Clock,
    client: Arc<Client>,
    sockets: Option<ControlSockets>,
    metrics: Arc<Metrics>,
    tasks: &TaskTracker,
    stop: &CancellationToken,
) -> ControlView {
    let (snapshot_sender, snapshot) = watch::channel(Arc::new(Snapshot::default()));
    let (endpoints_sender, endpoints) = watch::channel(Arc::new(EndpointTable::default()));
    let (leaving_sender, leaving) = watch::channel(false);
    let (addresses_sender, addresses) = watch::channel(Arc::new(ControlAddresses::default()));
    let (members_sender, members) = watch::channel(MemberTable::default());
    let (stopping, stopping_receiver) = watch::channel(false);
    let platform = Arc::new(PlatformHealth::default());
    let limits = &settings.limits;
    let claims = Arc::new(Claims::new(
        &settings.id,
        clock,
        snapshot.clone(),
        addresses.clone(),
        PeerPool::new(limits.connect_timeout(), limits.header_bytes),
        tasks.clone(),
    ));
    let (health_sender, backend_leaving) = watch::channel(false);
    let announcements = Arc::new(BackendAnnouncements::new(clock));
    let channels = gossip::Channels {
        snapshot: snapshot_sender,
        members: members_sender,
        machines: addresses,
        stopping: stopping_receiver.clone(),
        metrics,
    };
    let inbox = start_reading(settings, clock, &client, sockets, channels, tasks, stop);
    let backend = settings.backend.as_ref();
    let poller = machines::MachineListPoller {
        client,
        interval: Duration::from_millis(settings.platform.poll_interval_ms),
        local: machines::LocalDaemon {
            id: EndpointId::from(settings.id.as_str()),
            zone: settings.zone.clone(),
            service: backend.map(|backend| backend.service.clone()),
        },
        sources: machines::Sources {
            snapshot: snapshot.clone(),
            members: members.clone(),
            backend_leaving,
            announced_leaving: announcements.leaving(),
            stopping: stopping_receiver,
        },
        outputs: machines::Outputs {
            endpoints: endpoints_sender,
            leaving: leaving_sender,
            addresses: addresses_sender,
        },
        platform: Arc::clone(&platform),
    };
    spawn_until(tasks, stop, poller.run());
    if let Some(poller) = health_poller(settings, health_sender, &announcements) {
        spawn_until(tasks, stop, poller.run());
    }
    spawn_until(tasks, stop, claims::run_replica(Arc::clone(&claims)));
    ControlView {
        snapshot,
        endpoints,
        leaving,
        announcements,
        claims,
        inbox,
        stopping,
        members,
        platform,
    }
}

/// Returns the poller of the backend's health endpoint, or `None` if none is configured.
fn health_poller(
    settings: &Settings,
    leaving: watch::Sender<bool>,
    announcements: &Arc<BackendAnnouncements>,
) -> Option<health::HealthPoller> {
    let backend = settings.backend.as_ref()?;
    (!backend.health_path.is_empty()).then(|| health::HealthPoller {
        address: backend.address,
        path: backend.health_path.clone(),
        interval: Duration::from_millis(backend.health_interval_ms),
        leaving,
        announcements: Arc::clone(announcements),
    })
}

/// Starts to receive the configuration from other daemons, or to read it from the store if there is
/// no control listener.
fn start_reading(
    settings: &Settings,
    clock: Clock,
    client: &Arc<Client>,
    sockets: Option<ControlSockets>,
    channels: gossip::Channels,
    tasks: &TaskTracker,
    stop: &CancellationToken,
) -> Option<StreamInbox> {
    let client = Arc::clone(client);
    let Some(sockets) = sockets else {
        let reader = configuration::Reader::new(client, channels.snapshot);
        spawn_until(tasks, stop, reader.run());
        return None;
    };
    let (task, inbox) = GossipTask::new(settings, clock, client, sockets, channels, tasks);
    spawn_until(tasks, stop, task.run());
    Some(inbox)
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

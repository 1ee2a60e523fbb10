//! Startup and graceful shutdown of a daemon: listeners, control side and background tasks.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use salvo::conn::tcp::TcpAcceptor;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wharfquay_core::admission::AdmissionSettings;
use wharfquay_core::routing::Zone;
use wharfquay_platform::{Client, ClientSettings};

use crate::admin::AdminState;
use crate::backend_pool::BackendPool;
use crate::body::ResponseBody;
use crate::clock::Clock;
use crate::control::{self, gossip::ControlSockets};
use crate::decisions::DecisionLog;
use crate::edge::EdgeHandler;
use crate::events::{self, Event, Quoted, log_event};
use crate::inbound::gate::AdmissionGate;
use crate::inbound::{InboundHandler, LocalBackend};
use crate::listener::BoundListener;
use crate::listeners::{Addresses, Listeners, StartError};
use crate::metrics::{Direction, Metrics, Transport};
use crate::node::{AppliedConfiguration, EventLimits, Node};
use crate::outbound::routes::RouteTable;
use crate::outbound::{Forwarder, OutboundHandler};
use crate::pause::PauseDetector;
use crate::peers::PeerPool;
use crate::scopes::ScopeTable;
use crate::server::{self, Protocols};
use crate::settings::{BackendSettings, Settings};
use crate::sync::lock;

/// Interval at which shutdown checks whether the last call in flight has completed.
const DRAIN_POLL: Duration = Duration::from_millis(5);
/// Maximum time for connections to close after the calls in flight have completed.
const CLOSE_GRACE: Duration = Duration::from_millis(500);
/// Connection limit of the backend until the first configuration is applied.
const INITIAL_CONNECTION_LIMIT: usize = 16;

/// Entry point that starts a daemon in this process.
#[derive(Debug)]
pub struct Daemon;

impl Daemon {
    /// Binds the listeners and starts serving.
    ///
    /// # Errors
    /// [`StartError`] with the settings field and the address that can't be bound.
    pub async fn start(settings: Settings) -> Result<RunningDaemon, StartError> {
        let listeners = Listeners::bind(&settings).await?;
        let addresses = listeners.addresses();
        let tasks = TaskTracker::new();
        let stop = CancellationToken::new();
        let sockets = listeners.control_sockets().await?;
        let node = build_node(settings, sockets, &tasks, &stop);
        let backend = node.settings.backend.as_ref();
        let backend = backend.map(|backend| build_backend(&node, backend));
        let running = RunningDaemon {
            addresses,
            node,
            backend,
            tasks,
            stop,
        };
        running.spawn_updates();
        running.spawn_listeners(listeners);
        running.log_start();
        Ok(running)
    }
}

fn build_node(
    settings: Settings,
    sockets: Option<ControlSockets>,
    tasks: &TaskTracker,
    stop: &CancellationToken,
) -> Arc<Node> {
    let clock = Clock::start();
    let metrics = Arc::new(Metrics::default());
    let platform = &settings.platform;
    let client_settings = ClientSettings {
        call_timeout: Duration::from_millis(platform.request_timeout_ms),
        ..ClientSettings::default()
    };
    let client = Arc::new(Client::new(platform.addresses.clone(), client_settings));
    let traffic = Arc::clone(&metrics);
    let control = control::start(&settings, clock, client, sockets, traffic, tasks, stop);
    let routes = RouteTable::new(Zone::from(settings.zone.as_str()), &settings.id);
    let limits = settings.limits;
    let peers = PeerPool::new(limits.connect_timeout(), limits.header_bytes);
    let forwarder = Forwarder::new(clock, routes, peers, Arc::clone(&metrics));
    let capacity = settings.admin.decision_records as usize;
    let decisions = DecisionLog::new(&settings.id, capacity, control.endpoints.clone());
    Arc::new(Node {
        settings,
        clock,
        control,
        forwarder,
        scopes: Arc::new(ScopeTable::default()),
        metrics,
        pause_detector: PauseDetector::new(clock.now()),
        applied: Mutex::default(),
        decisions,
        event_limits: EventLimits::default(),
        stopping: AtomicBool::new(false),
        calls_in_flight: Arc::default(),
    })
}

fn build_backend(node: &Node, settings: &BackendSettings) -> Arc<LocalBackend> {
    let connect_timeout = node.settings.limits.connect_timeout();
    let limit = INITIAL_CONNECTION_LIMIT;
    Arc::new(LocalBackend {
        service: settings.service.clone(),
        gate: AdmissionGate::new(AdmissionSettings::default(), node.clock),
        pool: BackendPool::new(settings.address, limit, connect_timeout),
        announcements: Arc::clone(&node.control.announcements),
        reads_health: !settings.health_path.is_empty(),
    })
}

/// A running daemon.
#[derive(Debug)]
pub struct RunningDaemon {
    addresses: Addresses,
    node: Arc<Node>,
    backend: Option<Arc<LocalBackend>>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl RunningDaemon {
    /// Returns the addresses that the daemon listens on.
    #[must_use]
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the counters of the daemon.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.node.metrics
    }

    /// Refuses new calls, waits for the calls in flight up to the configured drain limit and stops.
    pub async fn shutdown(self) {
        self.node.stopping.store(true, Ordering::Relaxed);
        let announced = self.node.control.announce_stop();
        if let Some(backend) = &self.backend {
            backend.gate.begin_drain();
        }
        let in_flight = self.node.calls_in_flight();
        log_event!(Event::Stopping, "calls_in_flight={in_flight}");
        let left = self.drain().await;
        self.node.calls_in_flight.log_cut();
        tokio::time::sleep_until(announced).await;
        self.stop.cancel();
        self.tasks.close();
        let _ = tokio::time::timeout(CLOSE_GRACE, self.tasks.wait()).await;
        log_event!(Event::Stopped, "calls_cut={left}");
    }

    /// Waits for the calls in flight; returns how many were left at the drain limit.
    async fn drain(&self) -> usize {
        let limit = Instant::now() + self.node.settings.limits.drain_limit();
        while self.node.calls_in_flight() > 0 && Instant::now() < limit {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        self.node.calls_in_flight()
    }

    fn log_start(&self) {
        let settings = &self.node.settings;
        let show = |address: Option<SocketAddr>| {
            address.map_or_else(|| "none".to_owned(), |address| address.to_string())
        };
        log_event!(
            Event::Started,
            "id={} zone={} edge={} inbound={} outbound={} control={} admin={}",
            settings.id,
            settings.zone,
            show(self.addresses.edge),
            show(self.addresses.inbound),
            show(self.addresses.outbound),
            show(self.addresses.control),
            show(self.addresses.admin),
        );
    }

    /// Spawns the tasks that apply new configurations and endpoint tables, and those that run
    /// timers.
    fn spawn_updates(&self) {
        let node = Arc::clone(&self.node);
        let backend = self.backend.clone();
        self.spawn_until_stop(async move { apply_updates(&node, backend.as_deref()).await });
        let node = Arc::clone(&self.node);
        self.spawn_until_stop(async move { node.run_pause_detector().await });
        // The pause detector logs a suspension, because it sees it as a pause.
        let clock = self.node.clock;
        self.spawn_until_stop(async move { clock.watch_suspensions(|_| {}).await });
        let observed = events::log_state_changes(Arc::clone(&self.node), self.backend.clone());
        self.spawn_until_stop(observed);
        if let Some(backend) = self.backend.clone() {
            self.spawn_until_stop(async move { backend.gate.run_timer().await });
        }
    }

    fn spawn_until_stop(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            stop.run_until_cancelled(task).await;
        });
    }

    fn spawn_listeners(&self, listeners: Listeners) {
        if let Some(listener) = listeners.edge {
            let handler = EdgeHandler::new(Arc::clone(&self.node));
            self.spawn_listener(listener, Protocols::Any, move |request| {
                let handler = handler.clone();
                async move { handler.handle(request).await }
            });
        }
        if let (Some(listener), Some(backend)) = (listeners.inbound, &self.backend) {
            let handler = InboundHandler::new(Arc::clone(&self.node), Arc::clone(backend));
            self.spawn_listener(listener, Protocols::Http2, move |request| {
                let handler = handler.clone();
                async move { handler.handle(request).await }
            });
        }
        if let (Some(listener), Some(backend)) = (listeners.outbound, &self.backend) {
            let gate = Arc::clone(&backend.gate);
            let handler = OutboundHandler::new(Arc::clone(&self.node), gate);
            self.spawn_listener(listener, Protocols::Any, move |request| {
                let handler = handler.clone();
                async move { handler.handle(request).await }
            });
        }
        if let Some(listener) = listeners.control {
            let control = self.node.control.clone();
            let metrics = Arc::clone(&self.node.metrics);
            self.spawn_listener(listener, Protocols::Http2, move |request| {
                let control = control.clone();
                let metrics = Arc::clone(&metrics);
                async move {
                    let received = request.body().size_hint().lower();
                    let response = control.serve(request).await;
                    let sent = response.body().size_hint().lower();
                    metrics.record_control_message(
                        Transport::Stream,
                        Direction::Received,
                        received,
                    );
                    metrics.record_control_message(Transport::Stream, Direction::Sent, sent);
                    response
                }
            });
        }
        self.spawn_admin(listeners.admin);
    }

    fn spawn_listener<H, F>(&self, bound: BoundListener, protocols: Protocols, handle: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        let builder = server::builder(protocols, &self.node.settings.limits);
        let tasks = self.tasks.clone();
        let stop = self.stop.clone();
        let metrics = Arc::clone(&self.node.metrics);
        self.tasks.spawn(async move {
            let serve = |stream| {
                let connection =
                    server::serve(builder.clone(), stream, stop.clone(), handle.clone());
                tasks.spawn(connection);
            };
            bound.accept_until(stop.clone(), &metrics, serve).await;
        });
    }

    fn spawn_admin(&self, bound: BoundListener) {
        let state = AdminState {
            node: Arc::clone(&self.node),
            backend: self.backend.clone(),
        };
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            let acceptor = match TcpAcceptor::try_from(bound.listener) {
                Ok(acceptor) => acceptor,
                Err(error) => {
                    log_event!(Event::AdminFailed, "error={}", Quoted(error));
                    return;
                }
            };
            let server = salvo::Server::new(acceptor);
            tokio::select! {
                ended = server.try_serve(state.router()) => {
                    if let Err(error) = ended {
                        log_event!(Event::AdminFailed, "error={}", Quoted(error));
                    }
                }
                () = stop.cancelled() => {}
            }
        });
    }
}

async fn apply_updates(node: &Node, backend: Option<&LocalBackend>) {
    let mut snapshot = node.control.snapshot.clone();
    let mut endpoints = node.control.endpoints.clone();
    let mut configured = None;
    loop {
        let current = snapshot.borrow_and_update().clone();
        let table = endpoints.borrow_and_update().clone();
        node.forwarder
            .routes()
            .update(node.clock.now(), &current, &table);
        let listed: HashSet<_> = table
            .iter()
            .map(|(_, record)| record.call_address)
            .collect();
        node.forwarder.peers().retain(|peer| listed.contains(peer));
        let service = backend.and_then(|backend| current.services.get(&backend.service));
        if let (Some(backend), Some(service)) = (backend, service)
            && configured.as_ref() != Some(service)
        {
            backend.configure(service);
            configured = Some(service.clone());
        }
        *lock(&node.applied) = AppliedConfiguration {
            revision: current.revision,
            endpoints: table,
        };
        let changed = tokio::select! {
            changed = snapshot.changed() => changed,
            changed = endpoints.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

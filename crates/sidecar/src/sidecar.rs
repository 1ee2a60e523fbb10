//! Assembly of a sidecar: listeners and background tasks.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use displaydoc::Display;
use http::HeaderValue;
use tokio::sync::watch;
use wharfquay_core::priority::AdmissionLevel;
use wharfquay_core::routing::EndpointId;
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::sync::lock;
use wharfquay_membership::member::MemberState;
use wharfquay_membership::table::MemberTable;

use crate::configuration::{Configuration, ConnectionLimits, RouteIndex};
use crate::confirmation::{Confirmation, renew_confirmation};
use crate::control::{ControlChannels, ControlTask};
use crate::dialect::Dialect;
use crate::events::Event;
use crate::exchange::{Exchange, Peer};
use crate::exchange_handler::LocalExchangeHandler;
use crate::inbound::backend::LocalBackend;
use crate::inbound::{InboundHandler, InstanceObservers, LocalExecutor, UnreadHeaders};
use crate::instance::{
    Acknowledgement, DepartureIndex, DepartureReaders, Heartbeat, InstanceId, Registry,
};
use crate::listeners::{Closing, Listeners, spawn_control, spawn_inbound, spawn_outbound};
use crate::log_event;
use crate::log_output;
use crate::metered_platform::MeteredPlatform;
use crate::metrics::{Gauges, Metrics};
use crate::orderly_stop::{OrderlyStop, StopFlags, Work};
use crate::outbound::connection::ConnectionSettings;
use crate::outbound::routing::Routing;
use crate::outbound::{CallerAdmission, Forwarder, OutboundHandler, Splits};
use crate::platform::Platform;
use crate::quarantine::{Disseminator, Quarantine, RecordStore};
use crate::quota::{OwnerSelector, QuotaClient, QuotaOwner};
use crate::settings::Settings;
use crate::stop_phase::StopSignal;
use crate::store_era::{self, StoreEra};

/// Maximum time that a starting sidecar waits until it has discovered a sidecar of each service.
const DISCOVERY_LIMIT: Duration = Duration::from_millis(2_000);
/// Pause between two updates of the routers, which combines changes that arrive together.
const MEMBER_UPDATE_PAUSE: Duration = Duration::from_millis(20);
/// Interval between two searches for connections that exceeded their idle time.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Reason why a sidecar can't start.
#[derive(Debug, Display)]
pub enum StartError {
    /// {side}: {address} can't be bound: {error}
    Bind {
        /// Name of the listener.
        side: &'static str,
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// service {0:?} is not a valid header value
    ServiceName(String),
    /// metrics: {0}
    Metrics(prometheus::Error),
}

impl std::error::Error for StartError {}

/// A running sidecar.
#[derive(Debug)]
pub struct Sidecar<P> {
    settings: Settings,
    registry: Arc<Registry<MeteredPlatform<P>>>,
    metrics: Arc<Metrics>,
    clock: Clock,
    configured_at: Mutex<Timestamp>,
    backend: Arc<LocalBackend>,
    routing: Arc<Routing>,
    configuration: watch::Receiver<Arc<RouteIndex>>,
    confirmation: Arc<Confirmation>,
    quarantine: Arc<Quarantine>,
    members: watch::Receiver<MemberTable>,
    isolated: watch::Receiver<bool>,
    stop: OrderlyStop,
}

impl<P: Platform> Sidecar<P> {
    /// Binds the listeners and starts to serve.
    ///
    /// # Errors
    /// [`StartError`] with the reason.
    pub async fn start(
        settings: Settings,
        dialect: Dialect,
        platform: Arc<P>,
    ) -> Result<Arc<Self>, StartError> {
        let caller_service = HeaderValue::from_str(&settings.service)
            .map_err(|_| StartError::ServiceName(settings.service.clone()))?;
        let metrics = Arc::new(Metrics::new().map_err(StartError::Metrics)?);
        let platform = MeteredPlatform::new(platform, Arc::clone(&metrics));
        let listeners = Listeners::bind(&settings).await?;
        let clock = Clock::from_source(settings.time_source);
        let (configuration_sender, configuration) = watch::channel(Arc::new(RouteIndex::default()));
        let (member_sender, members) = watch::channel(MemberTable::default());
        let (listed_sender, listed) = watch::channel(None);
        let (isolated_sender, isolated) = watch::channel(false);
        let (stop_sender, stopping_receiver) = watch::channel(false);
        let (stop_phase, stop_signal) = StopSignal::channel();
        let channels = ControlChannels {
            configuration: configuration_sender,
            members: member_sender,
            listed: listed_sender,
            isolated: isolated_sender,
            stopping: stopping_receiver,
        };
        let revocation = settings.bounds.key_revocation;
        let confirmation = Confirmation::new(clock, revocation, configuration.clone());
        let own = Peer {
            id: settings.id.clone(),
            address: settings.control,
        };
        let owner_selector = Arc::new(OwnerSelector::new(own, settings.is_first_start));
        let (quarantine, outgoing) = Quarantine::new(clock, settings.is_first_start);
        let departures = DepartureIndex::new(clock);
        let exchange_handler = LocalExchangeHandler {
            departures: Arc::clone(&departures),
            confirmation: Arc::clone(&confirmation),
            quarantine: Arc::clone(&quarantine),
            owner: QuotaOwner::new(
                clock,
                settings.is_first_start,
                configuration.clone(),
                Arc::clone(&owner_selector),
            ),
        };
        let datagrams = Arc::new(listeners.datagrams);
        let eras = Arc::clone(platform.eras());
        let exchange = Exchange::new(
            Arc::clone(&datagrams),
            &settings.id,
            Arc::new(exchange_handler),
            Arc::clone(&eras),
        );
        let exchange = Arc::new(exchange);
        let (control, inbox) = ControlTask::new(
            &settings,
            clock,
            Arc::clone(&platform),
            (datagrams, Arc::clone(&exchange)),
            Arc::clone(&confirmation),
            Arc::clone(&owner_selector),
            channels,
        );
        tokio::spawn(control.run());
        tokio::spawn(clock.watch_suspensions(|length| {
            let millis = length.as_millis();
            log_event!(Event::MachineSuspended, "length_ms={millis}");
        }));
        let renewing = renew_confirmation(
            Arc::clone(&confirmation),
            Arc::clone(&exchange),
            members.clone(),
        );
        tokio::spawn(renewing);
        tokio::spawn(suspend_confirmations(
            Arc::clone(&confirmation),
            eras.subscribe(),
        ));
        let disseminating = store_era::disseminate(eras, Arc::clone(&exchange), members.clone());
        tokio::spawn(disseminating);

        let disseminator = Arc::new(Disseminator {
            clock,
            quarantine: Arc::clone(&quarantine),
            record_store: Arc::new(RecordStore {
                platform: Arc::clone(&platform),
                quarantine: Arc::clone(&quarantine),
            }),
            exchange: Arc::clone(&exchange),
            owner_selector: Arc::clone(&owner_selector),
            members: members.clone(),
        });
        tokio::spawn(Arc::clone(&disseminator).rewrite_records());
        tokio::spawn(disseminator.run(outgoing));

        let backend = LocalBackend::new(
            &settings.service,
            settings.backend,
            dialect.clone(),
            clock,
            settings.bounds.retries,
        );
        let readers = Arc::new(DepartureReaders {
            clock,
            exchange: Arc::clone(&exchange),
            members: members.clone(),
            listed,
        });
        let reading = Arc::clone(&departures).list_on_demand(Arc::clone(&platform));
        tokio::spawn(reading);
        let eras = platform.eras().subscribe();
        let rewriting =
            departures.rewrite_announced(Arc::clone(&platform), Arc::clone(&readers), eras);
        tokio::spawn(rewriting);
        let registry = Registry::new(
            platform,
            Arc::clone(&backend),
            clock,
            settings.is_first_start,
            readers,
        );
        tokio::spawn(Arc::clone(&registry).rewrite_departure_records());
        let routing = Routing::new(clock, &settings.zone);
        let (flags, work) = (StopFlags::default(), Work::default());
        let (misdirected, leaving) = (Arc::clone(&registry), Arc::clone(&registry));
        let observers = InstanceObservers {
            misdirected: Arc::new(move |instance: &InstanceId| misdirected.misdirected(instance)),
            leaving: Arc::new(move |instance: &InstanceId| leaving.announced_leaving(instance)),
        };
        let local = Arc::new(LocalExecutor {
            backend: Arc::clone(&backend),
            scopes: Arc::clone(&work.scopes),
            routing: Arc::clone(&routing),
            quarantine: Arc::clone(&quarantine),
            dialect: dialect.clone(),
            clock,
            stopping: Arc::clone(&flags.stopping),
            in_flight: Arc::clone(&work.calls),
            observers,
            metrics: Arc::clone(&metrics),
            unread_headers: UnreadHeaders::default(),
        });
        let forwarder = Arc::new(Forwarder {
            clock,
            own_id: EndpointId::from(settings.id.as_str()),
            routing: Arc::clone(&routing),
            peers: crate::outbound::Peers::default(),
            local: Arc::clone(&local),
            quarantine: Arc::clone(&quarantine),
            quota: Arc::new(QuotaClient::new(
                clock,
                exchange,
                Arc::clone(&owner_selector),
            )),
            metrics: Arc::clone(&metrics),
        });
        let inbound = InboundHandler::new(local, settings.id.clone());
        let handler = OutboundHandler {
            dialect,
            clock,
            caller_service,
            configuration: configuration.clone(),
            confirmation: Arc::clone(&confirmation),
            forwarder: Arc::clone(&forwarder),
            scopes: Arc::clone(&work.scopes),
            splits: Splits::default(),
            caller_admission: CallerAdmission::new(clock),
            refusing: Arc::clone(&flags.refusing),
        };
        let requests_in_flight = Arc::clone(&work.requests);
        let closing = Closing::new(stop_signal.clone());
        let stop = OrderlyStop {
            clock,
            grace: settings.bounds.stop_grace,
            flags,
            work,
            announcement: stop_sender,
            phase: stop_phase,
            closing: closing.clone(),
            metrics: Arc::clone(&metrics),
        };
        let sidecar = Arc::new(Self {
            settings,
            metrics,
            clock,
            configured_at: Mutex::new(clock.now()),
            registry,
            backend,
            routing: Arc::clone(&routing),
            configuration,
            confirmation,
            quarantine,
            members,
            isolated,
            stop,
        });
        let connection_settings = ConnectionSettings {
            limits: sidecar.spawn_updates(routing, forwarder, owner_selector),
            stop: stop_signal,
            open: Arc::clone(closing.connections()),
            in_flight: requests_in_flight,
            metrics: Arc::clone(&sidecar.metrics),
        };
        spawn_outbound(
            listeners.outbound,
            handler,
            connection_settings,
            closing.clone(),
        );
        spawn_inbound(listeners.inbound, inbound, closing.clone());
        spawn_control(listeners.control, inbox, closing);
        sidecar.log_start();
        Ok(sidecar)
    }

    /// Returns the name of the local backend's service.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.settings.service
    }

    /// Handles a heartbeat of the local backend.
    pub async fn heartbeat(&self, heartbeat: &Heartbeat) -> Acknowledgement {
        self.registry.heartbeat(heartbeat).await
    }

    /// Handles the message of an instance of the local backend that is departing.
    pub async fn departure(&self, instance: &InstanceId) -> Acknowledgement {
        self.registry.departure(instance).await
    }

    /// True if clients may be sent to this sidecar: it has a configuration, it has discovered a
    /// sidecar of each service or the wait for them is over, it is not isolated from the other
    /// sidecars, and it is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let index = self.configuration.borrow().clone();
        let is_configured = index.configuration.version > 0;
        let has_discovered_services = self.clock.now() >= Timestamp::ZERO + DISCOVERY_LIMIT
            || knows_services(&self.members.borrow(), &index.configuration);
        let is_isolated = *self.isolated.borrow();
        is_configured
            && has_discovered_services
            && !is_isolated
            && !self.stop.flags.leaving.load(Ordering::Relaxed)
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let instance = self.backend.instance();
        let rate_limit = instance.as_ref().and_then(|open| open.rate_limit());
        let now = self.clock.now();
        let backend_load = instance.as_ref().and_then(|open| open.reported_load(now));
        let report = instance.map(|open| open.gate.report());
        let level = report.map_or(AdmissionLevel::OPEN, |report| report.level);
        let load = report.map(|report| report.load).unwrap_or_default();
        let lines = &log_output::COUNTERS;
        // Each value is read in a separate statement. A `watch` borrow that is still held would
        // block a writer, and that writer would block the next borrow of the same channel.
        let version = self.configuration.borrow().configuration.version;
        let members = count_members(&self.members.borrow());
        let is_ready = self.is_ready();
        let configured_at = *lock(&self.configured_at);
        self.metrics.render(&Gauges {
            load: (load.in_flight, load.limit, load.queued),
            level: level.number(),
            version,
            configuration_age: self.clock.now().saturating_since(configured_at),
            members,
            is_ready,
            log_lines: (lines.written(), lines.dropped()),
            repeats_left: self.backend.repeats_left(),
            confirmed_age: self.confirmation.age(),
            quarantine: self.quarantine.counts(),
            rate_limit,
            backend_load,
            execution: report.and_then(|report| report.execution),
            limited_kinds: self.routing.limited_kinds(),
            incomplete_kinds: self.routing.incomplete_kinds(),
        })
    }

    /// Stops in order: first callers are directed elsewhere, then other sidecars. Requests in
    /// progress are completed and their responses written, until the grace period is over at the
    /// latest. Then listeners and connections are closed, and what is left is cut and reported.
    pub async fn stop(&self) {
        self.stop.run().await;
    }

    fn log_start(&self) {
        let settings = &self.settings;
        log_event!(
            Event::Started,
            "id={} zone={} service={} outbound={} inbound={} control={} backend={} first_start={}",
            settings.id,
            settings.zone,
            settings.service,
            settings.outbound,
            settings.inbound,
            settings.control,
            settings.backend,
            settings.is_first_start,
        );
    }

    /// Starts the tasks that apply changes of members and configuration to routers, limits and the
    /// backend.
    fn spawn_updates(
        self: &Arc<Self>,
        routing: Arc<Routing>,
        forwarder: Arc<Forwarder>,
        owner_selector: Arc<OwnerSelector>,
    ) -> watch::Receiver<ConnectionLimits> {
        let (limit_sender, limits) = watch::channel(ConnectionLimits::default());
        let mut members = self.members.clone();
        let callers = Arc::clone(&forwarder);
        tokio::spawn(async move {
            loop {
                let table = members.borrow_and_update().clone();
                routing.update(&table);
                owner_selector.update(callers.clock.now(), &table);
                let listed = table.members().map(|member| member.profile.call_address);
                callers.peers.retain(&listed.collect());
                tokio::time::sleep(MEMBER_UPDATE_PAUSE).await;
                if members.changed().await.is_err() {
                    return;
                }
            }
        });
        tokio::spawn(close_idle_connections(Arc::clone(&forwarder)));
        let mut configuration = self.configuration.clone();
        let sidecar = Arc::clone(self);
        tokio::spawn(async move {
            let mut is_first = true;
            while configuration.changed().await.is_ok() {
                let index = configuration.borrow_and_update().clone();
                *lock(&sidecar.configured_at) = sidecar.clock.now();
                limit_sender.send_replace(index.configuration.limits);
                let service = index.configuration.services.get(sidecar.backend.service());
                if let Some(service) = service {
                    sidecar.backend.configure(service);
                }
                if std::mem::take(&mut is_first) {
                    let registry = Arc::clone(&sidecar.registry);
                    tokio::spawn(async move { registry.discover().await });
                }
            }
        });
        limits
    }
}

/// Suspends confirmations by the platform after each restore of its store. Runs until the process
/// terminates.
async fn suspend_confirmations(
    confirmation: Arc<Confirmation>,
    mut eras: watch::Receiver<StoreEra>,
) {
    while eras.changed().await.is_ok() {
        confirmation.store_restored();
    }
}

/// Closes idle connections to other sidecars. Runs until the process terminates.
async fn close_idle_connections(forwarder: Arc<Forwarder>) {
    loop {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        forwarder.peers.close_idle();
    }
}

/// True if an available sidecar is known for each service that routes refer to.
fn knows_services(table: &MemberTable, configuration: &Configuration) -> bool {
    let serving = table
        .members()
        .filter(|member| matches!(member.state(), MemberState::Alive | MemberState::Suspect));
    let known: HashSet<&str> = serving
        .filter_map(|member| member.profile.service.as_deref())
        .collect();
    let mut destinations = configuration
        .routes
        .iter()
        .flat_map(|route| &route.destinations);
    destinations.all(|destination| known.contains(destination.service.as_str()))
}

fn count_members(table: &MemberTable) -> Vec<(&'static str, i64)> {
    let count = |state| {
        let found = table.members().filter(|member| member.state() == state);
        i64::try_from(found.count()).unwrap_or(i64::MAX)
    };
    vec![
        ("alive", count(MemberState::Alive)),
        ("suspect", count(MemberState::Suspect)),
        ("leaving", count(MemberState::Leaving)),
        ("dead", count(MemberState::Dead)),
    ]
}

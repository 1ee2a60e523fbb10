//! The back end beside this sidecar: the gate and the connections of the instance that gets work.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, StatusCode};
use tokio_util::task::AbortOnDropHandle;
use wharfquay_clock::since_boot;
use wharfquay_core::admission::AdmissionSettings;
use wharfquay_core::priority::Priority;
use wharfquay_core::retry::RepeatWindow;
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::backend_pool::BackendPool;
use wharfquay_daemon::body::{BodyEnd, BodyObserver, RequestBody};
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::inbound::gate::AdmissionGate;
use wharfquay_daemon::sync::lock;

use super::end_detector::EndDetector;
use crate::configuration::Service;
use crate::dialect::{Dialect, text};
use crate::instance::InstanceId;
use crate::settings::RetryBounds;

/// Executions at a time before an instance has said how many slots it has.
const FIRST_SLOTS: u32 = 12;
/// Share of its slots above which a back end may slow down.
const FULL_LOAD: f64 = 0.95;
/// Connections before the configuration says how many the back end accepts.
const FIRST_CONNECTIONS: u32 = 64;
/// Connections that are left to others, as a share of those that the back end accepts.
const SPARE_CONNECTIONS_SHARE: u32 = 8;
/// Longest time to open a connection to a back end on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest rest of a connection to a back end that does not say how long it keeps one.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Time for which a back end that accepts no connection gets no calls.
const UNREACHABLE_HOLD: Duration = Duration::from_millis(100);
/// Calls that may wait at the gate for each slot.
const QUEUE_PER_SLOT: u32 = 4;
/// Longest wait at the gate.
const LONGEST_QUEUE_WAIT: Duration = Duration::from_millis(100);

/// Admission settings for an instance with this many slots.
fn admission_settings(slots: u32) -> AdmissionSettings {
    let limit = usable_slots(slots);
    AdmissionSettings {
        initial_limit: limit,
        maximum_limit: limit,
        queue_capacity: (limit * QUEUE_PER_SLOT) as usize,
        maximum_queue_wait: LONGEST_QUEUE_WAIT,
        ..AdmissionSettings::default()
    }
}

/// What is known of the service from the configuration.
#[derive(Clone, Debug)]
struct Configured {
    health_path: Option<String>,
    connections: u32,
}

/// The back end beside this sidecar.
#[derive(Debug)]
pub struct LocalBackend {
    service: String,
    address: SocketAddr,
    dialect: Dialect,
    clock: Clock,
    configured: Mutex<Configured>,
    instance: Mutex<Option<Arc<OpenInstance>>>,
    repeats: Mutex<RepeatWindow>,
}

/// The instance that gets work, with its gate and connections.
#[derive(Debug)]
pub struct OpenInstance {
    /// Its identity.
    pub id: InstanceId,
    /// Admission to it.
    pub gate: Arc<AdmissionGate>,
    /// Connections to it.
    pub pool: Arc<BackendPool>,
    pub(super) end: Arc<EndDetector>,
    leaving: AtomicBool,
    slots: Mutex<u32>,
    unreachable_until: Mutex<Timestamp>,
    _timer: AbortOnDropHandle<()>,
}

impl OpenInstance {
    /// Whether it gets nothing new.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whether it accepted no connection a moment ago.
    #[must_use]
    pub fn is_unreachable(&self, now: Timestamp) -> bool {
        now < *lock(&self.unreachable_until)
    }

    /// Notes that it accepted no connection.
    pub fn connect_failed(&self, now: Timestamp) {
        *lock(&self.unreachable_until) = now + UNREACHABLE_HOLD;
    }

    fn set_slots(&self, slots: u32) {
        let mut known = lock(&self.slots);
        if slots > 0 && *known != slots {
            *known = slots;
            self.gate.reconfigure(admission_settings(slots));
        }
    }
}

impl LocalBackend {
    /// A back end of which no instance is known.
    #[must_use]
    pub fn new(
        service: &str,
        address: SocketAddr,
        dialect: Dialect,
        clock: Clock,
        retries: RetryBounds,
    ) -> Arc<Self> {
        Arc::new(Self {
            service: service.to_owned(),
            address,
            dialect,
            clock,
            repeats: Mutex::new(RepeatWindow::new(retries.ratio, retries.window)),
            configured: Mutex::new(Configured {
                health_path: None,
                connections: FIRST_CONNECTIONS,
            }),
            instance: Mutex::default(),
        })
    }

    /// Name of its service.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Counts a call that is sent to the back end for the first time.
    pub fn first_arrival(&self) {
        lock(&self.repeats).first_arrival(self.clock.now());
    }

    /// Counts a repeated call and lets it pass, if the bound on repeats leaves room for it.
    #[must_use]
    pub fn admit_repeat(&self, priority: Priority) -> bool {
        lock(&self.repeats).admit_repeat(self.clock.now(), priority)
    }

    /// Repeats that the back end may still get now.
    #[must_use]
    pub fn repeats_left(&self) -> u64 {
        lock(&self.repeats).left(self.clock.now())
    }

    /// Takes over what the configuration says of the service.
    pub fn configure(&self, service: &Service) {
        let connections = usable_connections(service.connections);
        *lock(&self.configured) = Configured {
            health_path: Some(service.health_path.clone()),
            connections,
        };
        if let Some(instance) = self.instance() {
            instance.pool.set_limit(connections as usize);
        }
    }

    /// The instance that has the gate, leaving or not.
    #[must_use]
    pub fn instance(&self) -> Option<Arc<OpenInstance>> {
        lock(&self.instance).clone()
    }

    fn found(&self, id: &InstanceId) -> Option<Arc<OpenInstance>> {
        self.instance().filter(|instance| instance.id.may_be(id))
    }

    /// Lets an instance get work.
    pub fn open(&self, id: &InstanceId, slots: Option<u32>) {
        let mut current = lock(&self.instance);
        if let Some(instance) = current.as_ref()
            && instance.id.may_be(id)
            && !instance.is_leaving()
        {
            instance.set_slots(slots.unwrap_or_default());
            return;
        }
        let slots = slots.filter(|slots| *slots > 0).unwrap_or(FIRST_SLOTS);
        let gate = AdmissionGate::new(admission_settings(slots), self.clock);
        let timed = Arc::clone(&gate);
        let timer = tokio::spawn(async move { timed.run_timer().await });
        let connections = lock(&self.configured).connections as usize;
        let pool = BackendPool::with_longest_rest(
            self.address,
            connections,
            CONNECT_TIMEOUT,
            LONGEST_REST,
            since_boot,
        );
        *current = Some(Arc::new(OpenInstance {
            id: id.clone(),
            gate,
            pool,
            end: EndDetector::new(self.address, self.clock),
            leaving: AtomicBool::new(false),
            slots: Mutex::new(slots),
            unreachable_until: Mutex::default(),
            _timer: AbortOnDropHandle::new(timer),
        }));
    }

    /// Keeps new work from an instance; what is in execution goes on.
    pub fn close(&self, id: &InstanceId) {
        if let Some(instance) = self.found(id) {
            instance.leaving.store(true, Ordering::Relaxed);
            instance.gate.begin_drain();
        }
    }

    /// Keeps new work from an instance that is over, and notes its end.
    pub fn end(&self, id: &InstanceId) {
        self.close(id);
        if let Some(instance) = self.found(id) {
            instance.end.note_end();
        }
    }

    /// Takes over the slots that an instance tells.
    pub fn update_slots(&self, id: &InstanceId, slots: u32) {
        if let Some(instance) = self.found(id) {
            instance.set_slots(slots);
        }
    }

    /// Asks the back end's health endpoint; gives the instance that answers that it is healthy and
    /// does not leave.
    pub async fn healthy_instance(&self) -> Option<InstanceId> {
        let path = lock(&self.configured).health_path.clone()?;
        let pool = BackendPool::new(self.address, 1, CONNECT_TIMEOUT);
        let mut lease = pool.checkout().await.ok()?;
        let request = Request::get(path)
            .header(http::header::HOST, self.address.to_string())
            .body(RequestBody::held(bytes::Bytes::new()))
            .ok()?;
        let response = lease.send(request).await.ok()?;
        let is_healthy = response.status() == StatusCode::OK;
        let id = text(response.headers(), &self.dialect.instance).map(InstanceId::from);
        BodyObserver::ended(Box::new(lease), BodyEnd::Abandoned);
        id.filter(|_| is_healthy)
    }
}

/// Executions at a time that a back end bears without slowing down.
fn usable_slots(slots: u32) -> u32 {
    let usable = (f64::from(slots) * FULL_LOAD).floor() as u32;
    usable.max(1)
}

fn usable_connections(accepted: u32) -> u32 {
    let accepted = accepted.max(2);
    accepted - (accepted / SPARE_CONNECTIONS_SHARE).max(1)
}

//! The backend beside this sidecar: the admission gate and connections of the instance that
//! receives work.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{HeaderValue, Request};
use tokio_util::task::AbortOnDropHandle;
use wharfquay_clock::since_boot;
use wharfquay_core::admission::AdmissionSettings;
use wharfquay_core::backend_load::BackendLoad;
use wharfquay_core::priority::Priority;
use wharfquay_core::rate_limit::ExchangeTimes;
use wharfquay_core::retry::RepeatWindow;
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::backend_pool::BackendPool;
use wharfquay_daemon::body::{BodyEnd, BodyObserver, RequestBody};
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::inbound::gate::AdmissionGate;
use wharfquay_daemon::sync::lock;

use super::announcements::Announcements;
use super::health::HealthReport;
use super::load_reports::LoadReports;
use super::termination_detector::TerminationDetector;
use crate::configuration::Service;
use crate::dialect::Dialect;
use crate::events::Event;
use crate::instance::InstanceId;
use crate::log_event;
use crate::settings::RetryBounds;

/// Assumed number of concurrent executions until an instance reports its slots.
const INITIAL_SLOTS: u32 = 12;
/// Share of an instance's slots that is used. A backend may slow down above it.
const USABLE_SLOT_SHARE: f64 = 0.95;
/// Connection limit until the configuration specifies how many connections the backend accepts.
const INITIAL_CONNECTIONS: u32 = 64;
/// Divisor for the connections left to other clients: one in this many of those that the backend
/// accepts.
const RESERVED_CONNECTIONS_DIVISOR: u32 = 8;
/// Timeout for opening a connection to a backend on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum idle time of a connection to a backend that does not announce a keep-alive timeout.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Time for which a backend that refused a connection receives no calls.
const UNREACHABLE_HOLD: Duration = Duration::from_millis(100);
/// Maximum number of calls that wait for admission to the backend, per slot of the backend.
const QUEUE_PER_SLOT: u32 = 4;
/// Maximum time for which a call waits for admission to the backend if it sets no limit itself.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(100);

/// Returns the admission settings for an instance with this many slots.
fn admission_settings(slots: u32) -> AdmissionSettings {
    let limit = usable_slots(slots);
    AdmissionSettings {
        initial_limit: limit,
        maximum_limit: limit,
        queue_capacity: (limit * QUEUE_PER_SLOT) as usize,
        maximum_queue_wait: MAX_QUEUE_WAIT,
        ..AdmissionSettings::default()
    }
}

/// What is known of the announcements that an instance made before it receives work here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierAnnouncements {
    /// It has sent no responses.
    None,
    /// An earlier process beside it may have received some.
    Unknown,
}

/// Settings of the service from the configuration.
#[derive(Clone, Debug)]
struct Configured {
    health_path: Option<String>,
    connections: u32,
}

/// The backend beside this sidecar.
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

/// The instance that receives work, with its gate and connections.
#[derive(Debug)]
pub struct OpenInstance {
    /// Identity of the instance.
    pub id: InstanceId,
    /// Admission gate of the instance.
    pub gate: Arc<AdmissionGate>,
    /// Connections to the instance.
    pub pool: Arc<BackendPool>,
    pub(super) termination: Arc<TerminationDetector>,
    pub(super) announcements: Announcements,
    pub(super) load_reports: LoadReports,
    /// Name of the instance as a header value; `None` if it can't be one.
    pub(super) header_value: Option<HeaderValue>,
    leaving: AtomicBool,
    slots: Mutex<u32>,
    unreachable_until: Mutex<Timestamp>,
    _timer: AbortOnDropHandle<()>,
}

impl OpenInstance {
    /// True if the instance gets no new calls.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// True if the instance refused a connection within the last 100 ms before `now`.
    #[must_use]
    pub fn is_unreachable(&self, now: Timestamp) -> bool {
        now < *lock(&self.unreachable_until)
    }

    /// Returns the rate limit that the instance announces, in requests per second; `None` if it
    /// announces none.
    #[must_use]
    pub fn rate_limit(&self) -> Option<f64> {
        self.announcements.rate_limit()
    }

    /// Returns the load that the instance reported last; `None` if it is unknown.
    #[must_use]
    pub fn reported_load(&self, now: Timestamp) -> Option<BackendLoad> {
        self.load_reports.present(now)
    }

    /// Records that the instance refused a connection. It gets no calls for a short time.
    pub fn connect_failed(&self, now: Timestamp) {
        *lock(&self.unreachable_until) = now + UNREACHABLE_HOLD;
    }

    /// Stops new calls because the instance announced that it is leaving. Returns false if it was
    /// leaving already.
    pub(super) fn close_leaving(&self) -> bool {
        if self.is_leaving() {
            return false;
        }
        log_event!(Event::LeavingAnnounced, "instance={}", self.id);
        self.close();
        true
    }

    /// Stops new calls. Calls in execution continue.
    fn close(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.gate.begin_drain();
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
    /// Creates a backend without a known instance.
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
                connections: INITIAL_CONNECTIONS,
            }),
            instance: Mutex::default(),
        })
    }

    /// Name of the service that the backend belongs to.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Counts the first arrival of a call at the backend.
    pub fn first_arrival(&self) {
        lock(&self.repeats).first_arrival(self.clock.now());
    }

    /// Counts a repeat and admits it if the bound on repeats leaves room.
    #[must_use]
    pub fn admit_repeat(&self, priority: Priority) -> bool {
        lock(&self.repeats).admit_repeat(self.clock.now(), priority)
    }

    /// Number of repeats that the backend may still receive in the current window.
    #[must_use]
    pub fn repeats_left(&self) -> u64 {
        lock(&self.repeats).remaining(self.clock.now())
    }

    /// Applies the service's settings from the configuration.
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

    /// Returns the instance that has the gate, including one that is leaving.
    #[must_use]
    pub fn instance(&self) -> Option<Arc<OpenInstance>> {
        lock(&self.instance).clone()
    }

    /// True if this is the instance that has the gate.
    pub(super) fn is_current(&self, instance: &OpenInstance) -> bool {
        let current = self.instance();
        current.is_some_and(|current| std::ptr::eq(&*current, instance))
    }

    fn matching_instance(&self, id: &InstanceId) -> Option<Arc<OpenInstance>> {
        self.instance()
            .filter(|instance| instance.id.may_be_same(id))
    }

    /// Starts sending work to an instance, or updates its slots if it already receives work.
    /// `announcements` states what is known of the announcements that it made before.
    pub fn open(&self, id: &InstanceId, slots: Option<u32>, announcements: EarlierAnnouncements) {
        let mut current = lock(&self.instance);
        if let Some(instance) = current.as_ref()
            && instance.id.may_be_same(id)
            && !instance.is_leaving()
        {
            instance.set_slots(slots.unwrap_or_default());
            return;
        }
        let slots = slots.filter(|slots| *slots > 0).unwrap_or(INITIAL_SLOTS);
        let gate = AdmissionGate::new(admission_settings(slots), self.clock);
        let timed = Arc::clone(&gate);
        let timer = tokio::spawn(async move { timed.run_timer().await });
        let connections = lock(&self.configured).connections as usize;
        let pool = BackendPool::with_max_idle_time(
            self.address,
            connections,
            CONNECT_TIMEOUT,
            MAX_IDLE_TIME,
            since_boot,
        );
        *current = Some(Arc::new(OpenInstance {
            id: id.clone(),
            gate,
            pool,
            load_reports: LoadReports::new(id.clone()),
            termination: TerminationDetector::new(self.address, self.clock),
            header_value: HeaderValue::from_str(id.name()).ok(),
            announcements: match announcements {
                EarlierAnnouncements::None => Announcements::none(id.clone()),
                EarlierAnnouncements::Unknown => {
                    Announcements::unknown(id.clone(), self.clock.now())
                }
            },
            leaving: AtomicBool::new(false),
            slots: Mutex::new(slots),
            unreachable_until: Mutex::default(),
            _timer: AbortOnDropHandle::new(timer),
        }));
    }

    /// Stops new work for an instance. Calls in execution continue.
    pub fn close(&self, id: &InstanceId) {
        if let Some(instance) = self.matching_instance(id) {
            instance.close();
        }
    }

    /// Stops new work for an instance that announced that it is leaving. Returns the instance unless
    /// it was leaving already.
    pub(super) fn close_leaving(&self, id: &InstanceId) -> Option<Arc<OpenInstance>> {
        self.matching_instance(id)
            .filter(|instance| instance.close_leaving())
    }

    /// Stops new work for an instance that has terminated, and records its termination.
    pub fn mark_terminated(&self, id: &InstanceId) {
        self.close(id);
        if let Some(instance) = self.matching_instance(id) {
            instance.termination.record_termination();
        }
    }

    /// Applies the number of slots that an instance reports.
    pub fn update_slots(&self, id: &InstanceId, slots: u32) {
        if let Some(instance) = self.matching_instance(id) {
            instance.set_slots(slots);
        }
    }

    /// Checks the backend's health endpoint. Returns what it shows about the responding instance.
    pub async fn check_health(&self) -> Option<HealthReport> {
        let path = lock(&self.configured).health_path.clone()?;
        let pool = BackendPool::new(self.address, 1, CONNECT_TIMEOUT);
        let mut lease = pool.checkout().await.ok()?;
        let request = Request::get(path)
            .header(http::header::HOST, self.address.to_string())
            .body(RequestBody::held(bytes::Bytes::new()))
            .ok()?;
        let sent_at = self.clock.now();
        let response = lease.send(request).await.ok()?;
        let times = ExchangeTimes {
            sent_at,
            received_at: self.clock.now(),
        };
        let report = HealthReport::read(&self.dialect, times, &response);
        BodyObserver::ended(Box::new(lease), BodyEnd::Abandoned);
        report
    }

    /// Applies the rate limit that a health report announces to its instance.
    pub fn read_health(&self, report: &HealthReport) {
        if let Some(instance) = self.matching_instance(&report.instance) {
            report.apply_to(&instance.announcements, &self.dialect);
        }
    }
}

/// Number of concurrent executions that a backend tolerates without slowing down.
fn usable_slots(slots: u32) -> u32 {
    let usable = (f64::from(slots) * USABLE_SLOT_SHARE).floor() as u32;
    usable.max(1)
}

fn usable_connections(accepted: u32) -> u32 {
    let accepted = accepted.max(2);
    accepted - (accepted / RESERVED_CONNECTIONS_DIVISOR).max(1)
}

//! An emulated platform and emulated backends, and a deployment of sidecars on loopback.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test binary uses only some of the helpers"
)]

pub mod backend;
pub mod client;
#[path = "../../../daemon/tests/support/endless.rs"]
pub mod endless;
pub mod log_lines;
pub mod platform;
pub mod tenants;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::HeaderName;
use wharfquay_sidecar::configuration::{Configuration, Destination, Route, Service};
use wharfquay_sidecar::dialect::Dialect;
use wharfquay_sidecar::instance::{Acknowledgement, Heartbeat, InstanceId, ReportedState};
use wharfquay_sidecar::settings::{Bounds, Settings};
use wharfquay_sidecar::{Sidecar, StartError};

use backend::EmulatedBackend;
use platform::EmulatedPlatform;

/// Maximum wait for a condition that must become true.
pub const MAX_WAIT: Duration = Duration::from_secs(10);
/// Interval between the heartbeats of a backend that keeps sending them.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);
pub const HOST: &str = "shop.example";

/// Returns the dialect of the emulated platform and backends.
pub fn dialect() -> Dialect {
    Dialect {
        request_id: HeaderName::from_static("test-request-id"),
        deadline_ms: HeaderName::from_static("test-deadline-ms"),
        target_instance: HeaderName::from_static("test-target"),
        caller_service: HeaderName::from_static("test-caller"),
        tenant: HeaderName::from_static("test-tenant"),
        not_executed: HeaderName::from_static("test-not-executed"),
        signature: HeaderName::from_static("test-signature"),
        instance: HeaderName::from_static("test-instance"),
        rate_limit: HeaderName::from_static("test-rate-limit"),
        leaving: HeaderName::from_static("test-leaving"),
        load_report: HeaderName::from_static("test-load"),
    }
}

/// Returns an address with a port that is currently free for TCP and UDP.
pub fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Polls until `check` returns true.
pub async fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let end = Instant::now() + MAX_WAIT;
    while !check() {
        assert!(Instant::now() < end, "never: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns a route of the test's host to one service.
pub fn route(prefix: &str, service: &str, repeatable: bool) -> Route {
    Route {
        name: format!("route{}", prefix.replace('/', "-")),
        host: HOST.to_owned(),
        path_prefix: prefix.to_owned(),
        destinations: vec![Destination {
            service: service.to_owned(),
            weight: 1,
        }],
        repeatable,
        timeout_ms: Some(2_000),
        target_latency_ms: 500,
        priority: 2,
        max_attempts: 2,
        is_public: false,
    }
}

/// Returns a configuration with these routes and every service that they refer to.
pub fn configuration(version: u64, routes: Vec<Route>) -> Configuration {
    let names = routes.iter().flat_map(|route| &route.destinations);
    let services: BTreeMap<String, Service> = names
        .map(|destination| {
            let service = Service {
                health_path: "/health".to_owned(),
                connections: 64,
            };
            (destination.service.clone(), service)
        })
        .collect();
    Configuration {
        version,
        routes,
        services,
        ..Configuration::default()
    }
}

fn settings(name: &str, service: &str, backend: &EmulatedBackend) -> Settings {
    Settings {
        id: name.to_owned(),
        zone: "north".to_owned(),
        service: service.to_owned(),
        backend: backend.address(),
        outbound: free_address(),
        inbound: free_address(),
        control: free_address(),
        is_first_start: false,
        bounds: Bounds {
            stop_grace: Duration::from_millis(1_600),
            ..Bounds::default()
        },
        time_source: wharfquay_clock::since_boot,
    }
}

fn heartbeat(backend: &EmulatedBackend, state: ReportedState, sequence: u64) -> Heartbeat {
    Heartbeat {
        instance: InstanceId::from(backend.instance().as_str()),
        state,
        sequence,
        slots: 4,
        warm_up_left: Duration::ZERO,
    }
}

/// One sidecar with the backend beside it.
pub struct Machine {
    pub sidecar: Arc<Sidecar<EmulatedPlatform>>,
    pub backend: EmulatedBackend,
    pub outbound: SocketAddr,
    pub inbound: SocketAddr,
    pub control: SocketAddr,
    sequence: u64,
}

impl Machine {
    /// Starts a backend of a service and the sidecar beside it.
    pub async fn start(platform: &Arc<EmulatedPlatform>, name: &str, service: &str) -> Self {
        let mut machine = Self::start_without_heartbeat(platform, name, service).await;
        let acknowledgement = machine.send_heartbeat(ReportedState::Ready).await;
        assert_eq!(acknowledgement, Acknowledgement::Acknowledged);
        machine
    }

    /// Like [`Self::start`], with a backend that sends no heartbeat.
    pub async fn start_without_heartbeat(
        platform: &Arc<EmulatedPlatform>,
        name: &str,
        service: &str,
    ) -> Self {
        Self::start_with_settings(platform, name, service, |_| {}).await
    }

    /// Like [`Self::start_without_heartbeat`], with modified settings.
    pub async fn start_with_settings(
        platform: &Arc<EmulatedPlatform>,
        name: &str,
        service: &str,
        adjust: impl Fn(&mut Settings),
    ) -> Self {
        let backend = EmulatedBackend::start(&format!("{name}-1")).await;
        Self::start_beside(platform, name, service, backend, adjust).await
    }

    /// Starts a sidecar beside a backend that is running already.
    pub async fn start_beside(
        platform: &Arc<EmulatedPlatform>,
        name: &str,
        service: &str,
        backend: EmulatedBackend,
        adjust: impl Fn(&mut Settings),
    ) -> Self {
        loop {
            let mut settings = settings(name, service, &backend);
            adjust(&mut settings);
            let addresses = (settings.outbound, settings.inbound, settings.control);
            let started = Sidecar::start(settings, dialect(), Arc::clone(platform)).await;
            match started {
                Ok(sidecar) => {
                    let (outbound, inbound, control) = addresses;
                    return Self {
                        sidecar,
                        backend: backend.clone(),
                        outbound,
                        inbound,
                        control,
                        sequence: 0,
                    };
                }
                // Another test bound a port between the search and the use.
                Err(StartError::Bind { .. }) => {}
                Err(error) => panic!("{error}"),
            }
        }
    }

    /// Sends a heartbeat of the backend's instance.
    pub async fn send_heartbeat(&mut self, state: ReportedState) -> Acknowledgement {
        self.sequence += 1;
        let send_heartbeat = heartbeat(&self.backend, state, self.sequence);
        self.sidecar.heartbeat(&send_heartbeat).await
    }

    /// Sends heartbeats of the backend's current instance until the test is over.
    pub fn keep_sending_heartbeats(&self) {
        let (sidecar, backend) = (Arc::clone(&self.sidecar), self.backend.clone());
        let mut sequence = self.sequence;
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
                if backend.is_down() {
                    continue;
                }
                sequence += 1;
                let send_heartbeat = heartbeat(&backend, ReportedState::Ready, sequence);
                sidecar.heartbeat(&send_heartbeat).await;
            }
        });
    }

    pub async fn ready(&self) {
        eventually("the sidecar is ready", || self.sidecar.is_ready()).await;
    }
}

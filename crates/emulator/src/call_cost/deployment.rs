//! One deployment: two sidecar processes, and their backends and platform as tasks.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::backend::{AMPLE_SLOTS, Backend, Load};
use super::dialect::{Dialect, fill, header_lines};
use super::http_client::{Connection, Message};
use super::process::{Sidecar, Usage};
use super::store::Store;

/// Service whose sidecar the callers use.
const FRONT: &str = "front";
/// Service that is called.
const LEAF: &str = "leaf";
const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Ports of one sidecar and its backend.
const PORTS_EACH: u16 = 10;
const READY_LIMIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a request has at its caller.
const REQUEST_TIME: Duration = Duration::from_secs(8);

/// Settings of a deployment.
pub(super) struct DeploymentSettings<'run> {
    pub(super) dialect: &'run Arc<Dialect>,
    pub(super) program: &'run Path,
    pub(super) base_port: u16,
    /// Folder of settings and logs.
    pub(super) folder: &'run Path,
    /// True if the system calls of the sidecars are traced.
    pub(super) traced: bool,
}

pub(super) struct Deployment {
    dialect: Arc<Dialect>,
    sidecars: Vec<Sidecar>,
    outbound: SocketAddr,
    leaf_slots: Arc<AtomicU64>,
    /// Number of requests so far.
    requests: AtomicU64,
    tasks: JoinSet<()>,
}

impl Deployment {
    /// Starts everything and waits until calls succeed.
    pub(super) async fn start(settings: &DeploymentSettings<'_>) -> Result<Self, String> {
        let dialect = settings.dialect;
        let leaf_slots = Arc::new(AtomicU64::new(AMPLE_SLOTS));
        let store_address = SocketAddr::new(IP, settings.base_port + 2 * PORTS_EACH);
        let mut tasks = JoinSet::new();
        let store = Store::new(dialect.store.clone())?;
        tasks.spawn(store.serve(bind(store_address).await?));
        let mut sidecars = Vec::new();
        let mut ready = Vec::new();
        let mut outbounds = Vec::new();
        for (service, first_port) in [
            (FRONT, settings.base_port),
            (LEAF, settings.base_port + PORTS_EACH),
        ] {
            let at = |offset| SocketAddr::new(IP, first_port + offset);
            let [backend, inbound, outbound, readiness, heartbeats] = [0, 1, 2, 3, 4].map(at);
            let text = fill(
                &dialect.sidecar.settings,
                &[
                    ("service", service),
                    ("ip", &IP.to_string()),
                    ("backend", &backend.to_string()),
                    ("inbound", &inbound.to_string()),
                    ("outbound", &outbound.to_string()),
                    ("ready", &readiness.to_string()),
                    ("heartbeats", &heartbeats.to_string()),
                    ("store", &store_address.to_string()),
                    ("first_port", &at(5).port().to_string()),
                    ("last_port", &at(9).port().to_string()),
                ],
            );
            let file = |extension| settings.folder.join(format!("{service}.{extension}"));
            let path = file("conf");
            fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
            let variable = (dialect.sidecar.settings_variable.as_str(), path.as_path());
            let trace: Option<PathBuf> = settings.traced.then(|| file("trace"));
            let sidecar = Sidecar::start(settings.program, variable, &file("log"), trace);
            sidecars
                .push(sidecar.map_err(|error| format!("{}: {error}", settings.program.display()))?);
            let backend = Arc::new(Backend {
                dialect: Arc::clone(dialect),
                service,
                address: backend,
                heartbeats,
                slots: Arc::clone(&leaf_slots),
            });
            tasks.spawn(Arc::clone(&backend).serve(bind(backend.address).await?));
            tasks.spawn(backend.send_heartbeats());
            ready.push(readiness);
            outbounds.push(outbound);
        }
        let mut deployment = Self {
            dialect: Arc::clone(dialect),
            sidecars,
            outbound: outbounds[0],
            leaf_slots,
            requests: AtomicU64::new(0),
            tasks,
        };
        deployment.wait_until_ready(&ready, settings.folder).await?;
        Ok(deployment)
    }

    async fn wait_until_ready(
        &mut self,
        ready: &[SocketAddr],
        folder: &Path,
    ) -> Result<(), String> {
        let logs = format!("logs: {}", folder.display());
        let limit = Instant::now() + READY_LIMIT;
        while !self.is_ready(ready).await {
            if !self.sidecars.iter_mut().all(Sidecar::is_running) {
                return Err(format!("a sidecar has exited ({logs})"));
            }
            if Instant::now() >= limit {
                let seconds = READY_LIMIT.as_secs();
                return Err(format!("no call succeeded within {seconds} s ({logs})"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_ready(&self, ready: &[SocketAddr]) -> bool {
        let target = &self.dialect.sidecar.ready_target;
        let request = format!("GET {target} HTTP/1.1\r\nHost: ready\r\n\r\n");
        for address in ready {
            let Ok(mut connection) = Connection::open(*address).await else {
                return false;
            };
            let response = connection.exchange(&request).await;
            if response.and_then(|response| response.status()) != Some(200) {
                return false;
            }
        }
        let Ok(mut connection) = self.connect().await else {
            return false;
        };
        let request = self.request(Load::Small);
        let response = connection.exchange(&request).await;
        response.and_then(|response: Message| response.status()) == Some(200)
    }

    /// Stops everything and waits until the addresses are free.
    pub(super) async fn stop(self) {
        drop(self.sidecars);
        let mut tasks = self.tasks;
        tasks.shutdown().await;
    }

    /// Opens a connection of a caller.
    pub(super) async fn connect(&self) -> std::io::Result<Connection> {
        Connection::open(self.outbound).await
    }

    /// Returns a caller's request with the next number.
    pub(super) fn request(&self, load: Load) -> String {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let deadline = std::time::SystemTime::now() + REQUEST_TIME;
        let deadline = deadline.duration_since(std::time::UNIX_EPOCH);
        let deadline_ms = deadline.map_or(0, |time| time.as_millis()).to_string();
        let values = [
            ("id", format!("{number:016x}")),
            ("deadline_ms", deadline_ms),
        ];
        let values = values
            .each_ref()
            .map(|(name, value)| (*name, value.as_str()));
        let headers = header_lines(&fill(&self.dialect.request.headers, &values));
        let name = load.name();
        format!("GET /{name}/{number} HTTP/1.1\r\n{headers}\r\n")
    }

    /// Sets the slots that the called backend declares.
    pub(super) fn set_slots(&self, slots: u64) {
        self.leaf_slots.store(slots, Ordering::Relaxed);
    }

    /// Returns the usage of both sidecars together.
    pub(super) fn usage(&self) -> Usage {
        let usages = self.sidecars.iter().map(Sidecar::usage);
        usages.fold(Usage::default(), Usage::plus)
    }

    /// Returns the resident memory of both sidecars together in bytes.
    pub(super) fn resident(&self) -> f64 {
        self.sidecars.iter().map(Sidecar::resident).sum()
    }

    /// Returns the sum of the largest resident memory of each sidecar since its start in bytes.
    pub(super) fn peak(&self) -> f64 {
        self.sidecars.iter().map(Sidecar::peak).sum()
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, String> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| format!("{address}: {error}"))
}

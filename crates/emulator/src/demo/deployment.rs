//! A running deployment: emulated platform, backends, daemons and edges in this process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use displaydoc::Display;
use wharfquay_daemon::settings::SettingsError;
use wharfquay_daemon::{Daemon, RunningDaemon, StartError as DaemonError};
use wharfquay_platform::{Client, ClientSettings, PlatformError as ClientError};
use wharfquay_resources::kinds::Resource;

use super::layout::{BackendPlacement, EdgePlacement, Layout, Ports};
use crate::backend::record::ExecutionReport;
use crate::backend::{BackendSettings, RunningBackend, StartError as BackendError};
use crate::platform::{self, PlatformError, PlatformSettings, RunningPlatform};
use crate::readiness::{self, NotReady};
use crate::scenario::Scenario;

/// Time limit for all daemons to become ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// An error that prevents a deployment from starting or a run from finishing.
#[derive(Debug, Display)]
pub enum DeploymentError {
    /// platform: {0}
    Platform(PlatformError),
    /// backend: {0}
    Backend(BackendError),
    /// daemon settings: {0}
    Settings(SettingsError),
    /// daemon: {0}
    Daemon(DaemonError),
    /// machine list: {0}
    Machines(ClientError),
    /// {0}
    NotReady(NotReady),
    /// not finished within {0:?}
    TimedOut(Duration),
    /// daemon {0}: no address for {1}
    NoAddress(String, &'static str),
}

impl std::error::Error for DeploymentError {}

/// A running deployment.
pub struct Deployment {
    platform: RunningPlatform,
    backends: Vec<RunningBackend>,
    daemons: Vec<RunningDaemon>,
    edges: Vec<RunningDaemon>,
}

impl Deployment {
    /// Starts the platform, the backends with their daemons and the edges, and waits until all daemons
    /// are ready.
    ///
    /// # Errors
    /// [`DeploymentError`] names the part that can't start.
    pub async fn start(
        scenario: &Arc<Scenario>,
        resources: Vec<Resource>,
        seed: u64,
    ) -> Result<Self, DeploymentError> {
        let layout = Layout::new(scenario, Ports::Free);
        let platform = start_platform(resources).await?;
        let mut deployment = Self {
            platform,
            backends: Vec::new(),
            daemons: Vec::new(),
            edges: Vec::new(),
        };
        for (placement, number) in layout.backends.into_iter().zip(0_u64..) {
            let seed = seed.wrapping_add(number);
            deployment.start_backend(scenario, placement, seed).await?;
        }
        for placement in layout.edges {
            deployment.start_edge(placement).await?;
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Returns the addresses to which callers send their requests, one per zone.
    #[must_use]
    pub fn edges(&self) -> Vec<SocketAddr> {
        let addresses = self.edges.iter().map(|edge| edge.addresses().edge);
        addresses.flatten().collect()
    }

    /// Returns the backends.
    #[must_use]
    pub fn backends(&self) -> &[RunningBackend] {
        &self.backends
    }

    /// Returns the emulated platform.
    #[must_use]
    pub const fn platform(&self) -> &RunningPlatform {
        &self.platform
    }

    /// Returns the execution logs of all backends.
    #[must_use]
    pub fn records(&self) -> Vec<ExecutionReport> {
        self.backends.iter().map(RunningBackend::report).collect()
    }

    /// Stops the edges, the daemons, the backends and the emulated platform, in this order.
    pub async fn shutdown(self) {
        stop_daemons(self.edges).await;
        stop_daemons(self.daemons).await;
        for backend in self.backends {
            backend.shutdown().await;
        }
        self.platform.shutdown().await;
    }

    fn client(&self) -> Client {
        Client::new(vec![self.platform.address()], ClientSettings::default())
    }

    async fn start_backend(
        &mut self,
        scenario: &Arc<Scenario>,
        mut placement: BackendPlacement,
        seed: u64,
    ) -> Result<(), DeploymentError> {
        let mut settings =
            BackendSettings::new(Arc::clone(scenario), &placement.service, &placement.id);
        settings.seed = seed;
        settings.warm = true;
        let backend = RunningBackend::start(settings).await;
        let backend = backend.map_err(DeploymentError::Backend)?;
        placement.backend = backend.address();
        let text = placement.daemon_settings(self.platform.address());
        let daemon = start_daemon(&placement.id, &text).await?;
        placement.inbound = address(&placement.id, "inbound", daemon.addresses().inbound)?;
        placement.outbound = address(&placement.id, "outbound", daemon.addresses().outbound)?;
        placement.control = address(&placement.id, "control", daemon.addresses().control)?;
        backend.set_outbound(placement.outbound);
        let registered = self.client().put_machine(&placement.machine()).await;
        registered.map_err(DeploymentError::Machines)?;
        self.backends.push(backend);
        self.daemons.push(daemon);
        Ok(())
    }

    async fn start_edge(&mut self, mut placement: EdgePlacement) -> Result<(), DeploymentError> {
        let text = placement.daemon_settings(self.platform.address());
        let daemon = start_daemon(&placement.id, &text).await?;
        placement.edge = address(&placement.id, "edge", daemon.addresses().edge)?;
        placement.control = address(&placement.id, "control", daemon.addresses().control)?;
        let registered = self.client().put_machine(&placement.machine()).await;
        registered.map_err(DeploymentError::Machines)?;
        self.edges.push(daemon);
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), DeploymentError> {
        let limit = Instant::now() + READY_LIMIT;
        let daemons = self.daemons.iter().chain(&self.edges);
        for admin in daemons.filter_map(|daemon| daemon.addresses().admin) {
            readiness::wait(admin, self.backends.len(), limit)
                .await
                .map_err(DeploymentError::NotReady)?;
        }
        Ok(())
    }
}

async fn start_platform(resources: Vec<Resource>) -> Result<RunningPlatform, DeploymentError> {
    let settings = PlatformSettings {
        resources,
        ..PlatformSettings::new(SocketAddr::from(([127, 0, 0, 1], 0)))
    };
    let platform = platform::start(settings).await;
    platform.map_err(DeploymentError::Platform)
}

async fn start_daemon(id: &str, text: &str) -> Result<RunningDaemon, DeploymentError> {
    let settings = wharfquay_daemon::settings::parse(id, text, &[]);
    let settings = settings.map_err(DeploymentError::Settings)?;
    let daemon = Daemon::start(settings).await;
    daemon.map_err(DeploymentError::Daemon)
}

fn address(
    id: &str,
    listener: &'static str,
    bound: Option<SocketAddr>,
) -> Result<SocketAddr, DeploymentError> {
    bound.ok_or_else(|| DeploymentError::NoAddress(id.to_owned(), listener))
}

async fn stop_daemons(daemons: Vec<RunningDaemon>) {
    let mut stopping = tokio::task::JoinSet::new();
    for daemon in daemons {
        stopping.spawn(daemon.shutdown());
    }
    while stopping.join_next().await.is_some() {}
}

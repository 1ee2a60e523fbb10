//! Processes of a deployment with their zones and listen addresses.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};

use wharfquay_platform::wire::{Machine, MachineState};

use crate::scenario::Scenario;

/// A backend and its daemon, which run on the same machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendPlacement {
    /// Id of both the daemon and the backend.
    pub id: String,
    /// Name of the zone.
    pub zone: String,
    /// Name of the service.
    pub service: String,
    /// Address of the backend.
    pub backend: SocketAddr,
    /// Address of the daemon's listener for calls from other daemons.
    pub inbound: SocketAddr,
    /// Address of the daemon's listener for the calls of its backend.
    pub outbound: SocketAddr,
    /// Address of the daemon's admin listener.
    pub admin: SocketAddr,
    /// Address of the daemon's listener for control messages.
    pub control: SocketAddr,
}

/// A daemon that is the edge of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgePlacement {
    /// Id of the daemon.
    pub id: String,
    /// Name of the zone.
    pub zone: String,
    /// Address of the listener for callers.
    pub edge: SocketAddr,
    /// Address of the admin listener.
    pub admin: SocketAddr,
    /// Address of the listener for control messages.
    pub control: SocketAddr,
}

/// All processes of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Address of the emulated platform.
    pub platform: SocketAddr,
    /// Backends; those of each service are assigned to the zones round robin.
    pub backends: Vec<BackendPlacement>,
    /// One edge per zone.
    pub edges: Vec<EdgePlacement>,
}

/// Path of the emulated backend's health endpoint, which reports whether it is leaving.
const HEALTH_PATH: &str = "/wharfquay/health";

/// Worker threads of an edge, which serves all callers of its zone.
const EDGE_WORKER_THREADS: usize = 6;

/// Allocation of the ports of the listeners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ports {
    /// Port zero: the operating system selects a free port when a listener is bound.
    Free,
    /// Consecutive ports; the value is the next one.
    From(u16),
}

impl Ports {
    fn next(&mut self) -> SocketAddr {
        let port = match self {
            Self::Free => 0,
            Self::From(port) => {
                let assigned = *port;
                *port = port.saturating_add(1);
                assigned
            }
        };
        SocketAddr::from((Ipv4Addr::LOCALHOST, port))
    }
}

impl Layout {
    /// Returns the layout of a scenario, with all processes on loopback.
    #[must_use]
    pub fn new(scenario: &Scenario, mut ports: Ports) -> Self {
        let platform = ports.next();
        let mut backends = Vec::new();
        for service in &scenario.services {
            for number in 0..service.backends as usize {
                let zone = &scenario.zones[number % scenario.zones.len()];
                backends.push(BackendPlacement::new(
                    &service.name,
                    number,
                    zone,
                    &mut ports,
                ));
            }
        }
        let zones = scenario.zones.iter();
        let edges = zones
            .map(|zone| EdgePlacement::new(zone, &mut ports))
            .collect();
        Self {
            platform,
            backends,
            edges,
        }
    }
}

impl BackendPlacement {
    fn new(service: &str, number: usize, zone: &str, ports: &mut Ports) -> Self {
        Self {
            id: format!("{service}-{}", number + 1),
            zone: zone.to_owned(),
            service: service.to_owned(),
            backend: ports.next(),
            inbound: ports.next(),
            outbound: ports.next(),
            admin: ports.next(),
            control: ports.next(),
        }
    }

    /// Returns the entry for the platform's machine list.
    #[must_use]
    pub fn machine(&self) -> Machine {
        Machine {
            id: self.id.clone(),
            zone: self.zone.clone(),
            service: Some(self.service.clone()),
            state: MachineState::Live,
            call_address: self.inbound,
            control_address: self.control,
        }
    }

    /// Returns the text of the daemon's settings file.
    #[must_use]
    pub fn daemon_settings(&self, platform: SocketAddr) -> String {
        let mut text = common_settings(&self.id, &self.zone, platform, self.admin, self.control);
        table(&mut text, "backend", "address", self.backend);
        // Writing to a String can't fail.
        let _ = writeln!(text, "service = \"{}\"", self.service);
        let _ = writeln!(text, "health_path = \"{HEALTH_PATH}\"");
        table(&mut text, "inbound", "listen", self.inbound);
        table(&mut text, "outbound", "listen", self.outbound);
        text
    }
}

impl EdgePlacement {
    fn new(zone: &str, ports: &mut Ports) -> Self {
        Self {
            id: format!("edge-{zone}"),
            zone: zone.to_owned(),
            edge: ports.next(),
            admin: ports.next(),
            control: ports.next(),
        }
    }

    /// Returns the entry for the platform's machine list.
    #[must_use]
    pub fn machine(&self) -> Machine {
        Machine {
            id: self.id.clone(),
            zone: self.zone.clone(),
            service: None,
            state: MachineState::Live,
            call_address: self.edge,
            control_address: self.control,
        }
    }

    /// Returns the text of the daemon's settings file.
    #[must_use]
    pub fn daemon_settings(&self, platform: SocketAddr) -> String {
        let mut text = common_settings(&self.id, &self.zone, platform, self.admin, self.control);
        table(&mut text, "edge", "listen", self.edge);
        // Writing to a String can't fail.
        let _ = write!(text, "\n[limits]\nworker_threads = {EDGE_WORKER_THREADS}\n");
        text
    }
}

fn common_settings(
    id: &str,
    zone: &str,
    platform: SocketAddr,
    admin: SocketAddr,
    control: SocketAddr,
) -> String {
    let mut text = format!("id = \"{id}\"\nzone = \"{zone}\"\n");
    table(&mut text, "admin", "listen", admin);
    table(&mut text, "control", "listen", control);
    // Writing to a String can't fail.
    let _ = write!(text, "\n[platform]\naddresses = [\"{platform}\"]\n");
    text
}

fn table(text: &mut String, name: &str, field: &str, address: SocketAddr) {
    // Writing to a String can't fail.
    let _ = write!(text, "\n[{name}]\n{field} = \"{address}\"\n");
}

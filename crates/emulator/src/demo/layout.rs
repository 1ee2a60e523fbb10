//! Which processes a deployment has, where they run and where they listen.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};

use wharfquay_platform::wire::{Machine, MachineState};

use crate::scenario::Scenario;

/// A back end and the daemon beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendPlace {
    /// Id of the daemon and of the back end.
    pub id: String,
    /// Zone.
    pub zone: String,
    /// Service.
    pub service: String,
    /// Where the back end listens.
    pub backend: SocketAddr,
    /// Where the daemon takes calls of other daemons.
    pub inbound: SocketAddr,
    /// Where the daemon takes the calls of its back end.
    pub outbound: SocketAddr,
    /// Where the daemon serves operators.
    pub admin: SocketAddr,
    /// Where the daemon takes control messages.
    pub control: SocketAddr,
}

/// An edge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgePlace {
    /// Id of the daemon.
    pub id: String,
    /// Zone.
    pub zone: String,
    /// Where it takes requests of callers.
    pub edge: SocketAddr,
    /// Where it serves operators.
    pub admin: SocketAddr,
    /// Where it takes control messages.
    pub control: SocketAddr,
}

/// Every process of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Where the platform stand-in listens.
    pub platform: SocketAddr,
    /// Back ends; the zones receive those of each service in turn.
    pub backends: Vec<BackendPlace>,
    /// One edge per zone.
    pub edges: Vec<EdgePlace>,
}

/// Where the back end stand-in tells whether it is leaving.
const HEALTH_PATH: &str = "/wharfquay/health";

/// Threads of an edge, which takes the callers of a whole zone.
const EDGE_WORKER_THREADS: usize = 6;

/// Ports of one machine, in the order in which they are given out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ports {
    /// Each listener takes a free port when it is bound.
    Free,
    /// Consecutive ports, this one next.
    From(u16),
}

impl Ports {
    fn next(&mut self) -> SocketAddr {
        let port = match self {
            Self::Free => 0,
            Self::From(port) => {
                let given = *port;
                *port = port.saturating_add(1);
                given
            }
        };
        SocketAddr::from((Ipv4Addr::LOCALHOST, port))
    }
}

impl Layout {
    /// The processes of a scenario, all on loopback.
    #[must_use]
    pub fn new(scenario: &Scenario, mut ports: Ports) -> Self {
        let platform = ports.next();
        let mut backends = Vec::new();
        for service in &scenario.services {
            for number in 0..service.backends as usize {
                let zone = &scenario.zones[number % scenario.zones.len()];
                backends.push(BackendPlace::new(&service.name, number, zone, &mut ports));
            }
        }
        let zones = scenario.zones.iter();
        let edges = zones.map(|zone| EdgePlace::new(zone, &mut ports)).collect();
        Self {
            platform,
            backends,
            edges,
        }
    }
}

impl BackendPlace {
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

    /// Entry of the platform's machine list.
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

    /// Settings file of the daemon.
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

impl EdgePlace {
    fn new(zone: &str, ports: &mut Ports) -> Self {
        Self {
            id: format!("edge-{zone}"),
            zone: zone.to_owned(),
            edge: ports.next(),
            admin: ports.next(),
            control: ports.next(),
        }
    }

    /// Entry of the platform's machine list.
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

    /// Settings file of the daemon.
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

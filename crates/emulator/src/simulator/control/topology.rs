//! Zones, daemons and latencies of a simulated control plane.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use wharfquay_membership::member::{MemberId, MemberProfile, ZoneName};

use crate::scenario::{Scenario, ScenarioError};

/// Number of zones of the largest deployment that the system is designed for.
const TARGET_ZONES: usize = 20;
/// Number of regions over which these zones are distributed.
const TARGET_REGIONS: usize = 9;
/// Number of services of that deployment.
const TARGET_SERVICES: usize = 780;
/// One-way latency between two regions. An assumption: the requirements specify none.
const BETWEEN_REGIONS: Duration = Duration::from_millis(30);
/// One-way latency between two zones of a region. An assumption: the requirements specify none.
const BETWEEN_ZONES: Duration = Duration::from_millis(1);
/// One-way latency inside a zone. An assumption: the requirements specify none.
const SAME_ZONE: Duration = Duration::from_micros(100);
/// Port of every simulated daemon's control address.
const CONTROL_PORT: u16 = 7_000;
/// Port of every simulated daemon's call address.
const CALL_PORT: u16 = 7_001;

/// The topology of a deployment: its zones, regions, services, daemons and latencies.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Name of the scenario.
    pub name: String,
    /// Names of the zones.
    pub zones: Vec<ZoneName>,
    /// Index of the region of each zone.
    regions: Vec<usize>,
    /// Names of the services; the daemons of each zone are assigned to them round-robin.
    services: Vec<String>,
    /// Number of daemons, which are assigned to the zones round-robin.
    pub daemons: usize,
    same_zone: Duration,
    between_zones: Duration,
    between_regions: Duration,
}

impl Topology {
    /// Returns the topology named `lagos`, `gujarat` or `target`; `zones` and `daemons` override its
    /// numbers of zones and daemons.
    ///
    /// # Errors
    /// Returns [`ScenarioError`] if there is no such scenario or a number is out of range.
    pub fn named(
        name: &str,
        zones: Option<usize>,
        daemons: Option<usize>,
    ) -> Result<Self, ScenarioError> {
        let mut topology = if name == "target" {
            Self::target()
        } else {
            Self::of_scenario(&Scenario::builtin(name).map_err(|_| unknown(name))?)
        };
        if let Some(zones) = zones {
            topology.resize_zones(zones)?;
        }
        if let Some(daemons) = daemons {
            topology.daemons = daemons;
        }
        if !(topology.zones.len()..=MAX_DAEMONS).contains(&topology.daemons) {
            return Err(ScenarioError::Invalid {
                field: "daemons".to_owned(),
                problem: topology.daemons.to_string(),
                allowed: format!(
                    "{} (one for each zone) to {MAX_DAEMONS}",
                    topology.zones.len()
                ),
            });
        }
        Ok(topology)
    }

    fn of_scenario(scenario: &Scenario) -> Self {
        let backends: u32 = scenario
            .services
            .iter()
            .map(|service| service.backends)
            .sum();
        let zones = scenario.zones.len();
        Self {
            name: scenario.name.clone(),
            zones: scenario
                .zones
                .iter()
                .map(|zone| ZoneName::from(zone.as_str()))
                .collect(),
            regions: vec![0; zones],
            services: scenario
                .services
                .iter()
                .map(|service| service.name.clone())
                .collect(),
            // One daemon for each backend, and one edge in each zone.
            daemons: usize::try_from(backends).unwrap_or(0) + zones,
            same_zone: Duration::from_micros(scenario.latency.same_zone_us),
            between_zones: Duration::from_micros(scenario.latency.between_zones_us),
            between_regions: Duration::from_micros(scenario.latency.between_zones_us),
        }
    }

    fn target() -> Self {
        let zone = |index: usize| ZoneName::from(format!("zone-{index:02}").as_str());
        let service = |index: usize| format!("service-{index:03}");
        Self {
            name: "target".to_owned(),
            zones: (0..TARGET_ZONES).map(zone).collect(),
            regions: (0..TARGET_ZONES)
                .map(|index| index % TARGET_REGIONS)
                .collect(),
            services: (0..TARGET_SERVICES).map(service).collect(),
            daemons: MAX_DAEMONS,
            same_zone: SAME_ZONE,
            between_zones: BETWEEN_ZONES,
            between_regions: BETWEEN_REGIONS,
        }
    }

    fn resize_zones(&mut self, zones: usize) -> Result<(), ScenarioError> {
        if !(1..=MAX_ZONES).contains(&zones) {
            return Err(ScenarioError::Invalid {
                field: "zones".to_owned(),
                problem: zones.to_string(),
                allowed: format!("1 to {MAX_ZONES}"),
            });
        }
        let regions = self.regions.iter().max().map_or(1, |last| last + 1);
        for index in self.zones.len()..zones {
            self.zones
                .push(ZoneName::from(format!("zone-{index:02}").as_str()));
            self.regions.push(index % regions);
        }
        self.zones.truncate(zones);
        self.regions.truncate(zones);
        Ok(())
    }

    /// Returns the index of a daemon's zone.
    #[must_use]
    pub fn zone_of(&self, daemon: usize) -> usize {
        daemon % self.zones.len()
    }

    /// Returns the index of a zone's region.
    #[must_use]
    pub fn region_of(&self, zone: usize) -> usize {
        self.regions[zone]
    }

    /// Returns the number of resources in the configuration of this deployment: a fixed number for each
    /// service.
    #[must_use]
    pub const fn resources(&self) -> usize {
        const RESOURCES_PER_SERVICE: usize = 4;
        self.services.len() * RESOURCES_PER_SERVICE
    }

    /// Returns the mean one-way latency between daemons of two zones.
    #[must_use]
    pub fn latency(&self, from_zone: usize, to_zone: usize) -> Duration {
        if from_zone == to_zone {
            self.same_zone
        } else if self.regions[from_zone] == self.regions[to_zone] {
            self.between_zones
        } else {
            self.between_regions
        }
    }

    /// Returns the profile that a daemon advertises to the members.
    #[must_use]
    pub fn profile(&self, daemon: usize) -> MemberProfile {
        let zone = &self.zones[self.zone_of(daemon)];
        let position = daemon / self.zones.len();
        let service = &self.services[position % self.services.len()];
        MemberProfile {
            id: MemberId::from(format!("{service}-{zone}-{position}").as_str()),
            zone: zone.clone(),
            service: Some(service.clone()),
            call_address: address(daemon, CALL_PORT),
            control_address: address(daemon, CONTROL_PORT),
            slots: 8,
            connections: 120,
        }
    }
}

/// Largest number of daemons in a simulation.
pub const MAX_DAEMONS: usize = 13_000;
/// Largest number of zones in a simulation.
const MAX_ZONES: usize = 64;

fn unknown(name: &str) -> ScenarioError {
    ScenarioError::Invalid {
        field: "scenario".to_owned(),
        problem: format!("unknown scenario \"{name}\""),
        allowed: "lagos, gujarat, target".to_owned(),
    }
}

/// Returns the control address of a daemon.
#[must_use]
pub fn control_address(daemon: usize) -> SocketAddr {
    address(daemon, CONTROL_PORT)
}

fn address(daemon: usize, port: u16) -> SocketAddr {
    const FIRST: u32 = 0x0a00_0000;
    let offset = u32::try_from(daemon).unwrap_or(u32::MAX - FIRST);
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(FIRST + offset)), port)
}

/// Returns the index of the daemon with this address; `None` if the address is before the first simulated
/// one or not IPv4. The index may exceed the number of daemons.
#[must_use]
pub fn daemon_at(address: SocketAddr) -> Option<usize> {
    const FIRST: u32 = 0x0a00_0000;
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    usize::try_from(u32::from(ip).checked_sub(FIRST)?).ok()
}

//! Hollow daemons: many control planes in one process, without a call path.
//!
//! Each hollow daemon has the membership and relay state machines of a real one, its own datagram
//! socket, its own listener for streams and its own timers. What they cost is measured per process
//! and divided by their number.

pub mod arguments;
mod configuration;
mod daemon;
mod process;
mod reader;
pub mod report;
mod run;
mod streams;

use std::net::SocketAddr;

pub use run::RunningHollow;

/// What one process hosts.
#[derive(Clone, Debug)]
pub struct HollowSettings {
    /// Number of daemons.
    pub daemons: u16,
    /// Zones over which the daemons are spread in turn.
    pub zones: Vec<String>,
    /// First control address; the next daemons take the ports after it.
    pub listen: SocketAddr,
    /// Start of the daemons' ids.
    pub prefix: String,
    /// Control addresses of daemons to contact at the start.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of the platform's object API, read only by daemons that become readers.
    pub platform: Vec<SocketAddr>,
    /// A member of which the daemons note when they learn that it leaves.
    pub watched: Option<WatchedMember>,
}

/// A member whose leaving is followed.
#[derive(Clone, Debug)]
pub struct WatchedMember {
    /// Its zone.
    pub zone: String,
    /// Its id.
    pub id: String,
}

//! The simulated network: latency, loss, cuts between zones and of single machines.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::{Rng, RngExt};
use wharfquay_membership::node::Channel;

use super::topology::Topology;

/// Half-width of the latency's variation, as a share of its mean.
const LATENCY_VARIATION: f64 = 0.2;
/// Bytes per second of one stream.
const STREAM_BYTES_PER_SECOND: f64 = 10_000_000.0;
/// One-way trips before a stream's message arrives: connection, then the message.
const STREAM_TRIPS: f64 = 3.0;
/// Delay of a stream's message when a packet of it is lost.
const RETRANSMISSION: Duration = Duration::from_millis(200);

/// State of the links.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Share of packets that are lost on every link, 0 to 1.
    pub loss: f64,
    zone_cuts: BTreeSet<(usize, usize)>,
    deaf: BTreeSet<usize>,
    mute: BTreeSet<usize>,
}

impl Network {
    /// Cuts the direction from one zone to another.
    pub fn cut(&mut self, from_zone: usize, to_zone: usize) {
        self.zone_cuts.insert((from_zone, to_zone));
    }

    /// Heals the direction from one zone to another.
    pub fn heal(&mut self, from_zone: usize, to_zone: usize) {
        self.zone_cuts.remove(&(from_zone, to_zone));
    }

    /// Heals everything between zones.
    pub fn heal_zones(&mut self) {
        self.zone_cuts.clear();
    }

    /// Lets a machine receive nothing, or everything again.
    pub fn set_deaf(&mut self, daemon: usize, deaf: bool) {
        set(&mut self.deaf, daemon, deaf);
    }

    /// Lets nothing out of a machine, or everything again.
    pub fn set_mute(&mut self, daemon: usize, mute: bool) {
        set(&mut self.mute, daemon, mute);
    }

    /// Whether messages pass in both directions between the machine and its zone.
    #[must_use]
    pub fn is_connected(&self, daemon: usize) -> bool {
        !self.deaf.contains(&daemon) && !self.mute.contains(&daemon)
    }

    /// Time that a message takes, or nothing when it is lost.
    pub fn transit(
        &self,
        topology: &Topology,
        from: usize,
        to: usize,
        channel: Channel,
        length: usize,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        let (from_zone, to_zone) = (topology.zone_of(from), topology.zone_of(to));
        let closed = self.mute.contains(&from)
            || self.deaf.contains(&to)
            || self.zone_cuts.contains(&(from_zone, to_zone));
        // A stream needs its acknowledgements, so it also fails when the way back is cut.
        let closed_back = self.deaf.contains(&from)
            || self.mute.contains(&to)
            || self.zone_cuts.contains(&(to_zone, from_zone));
        if closed || (channel == Channel::Stream && closed_back) {
            return None;
        }
        let lost = self.loss > 0.0 && rng.random_bool(self.loss);
        let variation = 1.0 + LATENCY_VARIATION * (2.0 * rng.random::<f64>() - 1.0);
        let trip = topology.latency(from_zone, to_zone).mul_f64(variation);
        match channel {
            Channel::Datagram => (!lost).then_some(trip),
            Channel::Stream => {
                #[expect(clippy::cast_precision_loss, reason = "message sizes are small")]
                let transfer = Duration::from_secs_f64(length as f64 / STREAM_BYTES_PER_SECOND);
                let repeated = if lost { RETRANSMISSION } else { Duration::ZERO };
                Some(trip.mul_f64(STREAM_TRIPS) + transfer + repeated)
            }
        }
    }
}

fn set(machines: &mut BTreeSet<usize>, daemon: usize, member: bool) {
    if member {
        machines.insert(daemon);
    } else {
        machines.remove(&daemon);
    }
}

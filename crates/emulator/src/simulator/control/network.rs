//! The simulated network: latency, packet loss, and cuts between zones and of single machines.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::{Rng, RngExt};
use wharfquay_membership::node::Channel;

use super::topology::Topology;

/// Largest deviation of a latency from its mean, as a share of the mean.
const LATENCY_VARIATION: f64 = 0.2;
/// Throughput of one stream, in bytes per second.
const STREAM_BYTES_PER_SECOND: f64 = 10_000_000.0;
/// Number of one-way latencies until a message arrives over a new stream: two to connect, one for the
/// message.
const STREAM_LATENCIES: f64 = 3.0;
/// Additional delay of a message on a stream if a packet is lost.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);

/// State of the network links.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Share of packets lost on every link, 0 to 1.
    pub loss: f64,
    /// Cut directions, from one zone to another.
    zone_cuts: BTreeSet<(usize, usize)>,
    /// Machines that receive nothing.
    receive_blocked: BTreeSet<usize>,
    /// Machines that can send nothing.
    send_blocked: BTreeSet<usize>,
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

    /// Heals all cuts between zones.
    pub fn heal_zones(&mut self) {
        self.zone_cuts.clear();
    }

    /// Blocks or unblocks all messages to a machine.
    pub fn set_receive_blocked(&mut self, daemon: usize, receive_blocked: bool) {
        set_member(&mut self.receive_blocked, daemon, receive_blocked);
    }

    /// Blocks or unblocks all messages from a machine.
    pub fn set_send_blocked(&mut self, daemon: usize, send_blocked: bool) {
        set_member(&mut self.send_blocked, daemon, send_blocked);
    }

    /// Returns true if the machine can send and receive; cuts between zones don't count.
    #[must_use]
    pub fn is_connected(&self, daemon: usize) -> bool {
        !self.receive_blocked.contains(&daemon) && !self.send_blocked.contains(&daemon)
    }

    /// Returns the time that a message takes, or `None` if it is lost.
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
        let blocked = self.send_blocked.contains(&from)
            || self.receive_blocked.contains(&to)
            || self.zone_cuts.contains(&(from_zone, to_zone));
        // A stream needs acknowledgements, so it also fails if the opposite direction is cut.
        let reverse_blocked = self.receive_blocked.contains(&from)
            || self.send_blocked.contains(&to)
            || self.zone_cuts.contains(&(to_zone, from_zone));
        if blocked || (channel == Channel::Stream && reverse_blocked) {
            return None;
        }
        let lost = self.loss > 0.0 && rng.random_bool(self.loss);
        let variation = 1.0 + LATENCY_VARIATION * (2.0 * rng.random::<f64>() - 1.0);
        let latency = topology.latency(from_zone, to_zone).mul_f64(variation);
        match channel {
            Channel::Datagram => (!lost).then_some(latency),
            Channel::Stream => {
                #[expect(clippy::cast_precision_loss, reason = "message sizes are small")]
                let transfer = Duration::from_secs_f64(length as f64 / STREAM_BYTES_PER_SECOND);
                let retransmission = if lost {
                    RETRANSMISSION_DELAY
                } else {
                    Duration::ZERO
                };
                Some(latency.mul_f64(STREAM_LATENCIES) + transfer + retransmission)
            }
        }
    }
}

fn set_member(machines: &mut BTreeSet<usize>, daemon: usize, member: bool) {
    if member {
        machines.insert(daemon);
    } else {
        machines.remove(&daemon);
    }
}

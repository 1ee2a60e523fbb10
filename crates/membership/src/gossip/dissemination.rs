//! Gossip rounds: updates go to a few random members, and from delegates to every other zone.

use rand::Rng;
use wharfquay_core::time::Timestamp;

use crate::message::{Body, Update};

use super::{Gossip, Outgoing, TrafficClass};

/// Maximum size of the updates in one gossip message, in bytes. It fits a datagram with the header.
const ROUND_BYTES: usize = 1_000;
/// Maximum size of the updates piggybacked on a probe or its reply, in bytes.
const PIGGYBACK_BYTES: usize = 400;

impl Gossip {
    /// Takes queued updates to piggyback on a message that is sent anyway.
    pub(crate) fn piggyback(&mut self) -> Vec<Update> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        self.queue.take(PIGGYBACK_BYTES, 1, false)
    }

    /// Sends the queued updates if a round is due.
    pub(super) fn run_round(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        if now < self.next_round || !self.has_queued_updates() {
            return;
        }
        let urgent = self.queue.has_urgent();
        let class = if urgent {
            TrafficClass::Urgent
        } else {
            TrafficClass::Routine
        };
        self.gossip_in_zone(class, rng, out);
        self.gossip_to_zones(class, rng, out);
        let wait = if self.queue.has_urgent() {
            self.settings.urgent_gossip_interval
        } else {
            self.settings.routine_gossip_interval
        };
        self.next_round = now + wait;
    }

    fn gossip_in_zone(&mut self, class: TrafficClass, rng: &mut impl Rng, out: &mut Vec<Outgoing>) {
        let mut targets = Vec::with_capacity(self.settings.gossip_fanout);
        for _ in 0..self.settings.gossip_fanout {
            let Some(peer) = self.random_peer(rng) else {
                break;
            };
            if !targets.contains(&peer.profile.control_address) {
                targets.push(peer.profile.control_address);
            }
        }
        let copies = u32::try_from(targets.len()).unwrap_or(u32::MAX);
        if copies == 0 {
            return;
        }
        let urgent_only = class == TrafficClass::Urgent;
        let updates = self.queue.take(ROUND_BYTES, copies, urgent_only);
        if updates.is_empty() {
            return;
        }
        for to in targets {
            out.push(gossip(to, updates.clone(), class));
        }
    }

    fn gossip_to_zones(
        &mut self,
        class: TrafficClass,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let mut remaining = ROUND_BYTES;
        let mut updates = Vec::new();
        while let Some((id, update)) = self.zone_outbox.pop_first() {
            let length = crate::queue::encoded_length(&update);
            let Some(rest) = remaining.checked_sub(length) else {
                self.zone_outbox.insert(id, update);
                break;
            };
            remaining = rest;
            updates.push(update);
        }
        if updates.is_empty() {
            return;
        }
        for zone in self.other_zones() {
            let Some(contact) = self.contact_in(zone, rng) else {
                continue;
            };
            let to = contact.profile.control_address;
            out.push(gossip(to, updates.clone(), class));
        }
    }
}

const fn gossip(to: std::net::SocketAddr, updates: Vec<Update>, class: TrafficClass) -> Outgoing {
    Outgoing {
        to,
        updates,
        body: Body::Gossip,
        class,
    }
}

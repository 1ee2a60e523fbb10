//! Selection of receivers, and encoding of messages under the byte budget.

use std::net::SocketAddr;

use rand::Rng;
use wharfquay_core::time::Timestamp;
use wharfquay_protocol::envelope::{self, MAX_DATAGRAM};

use crate::budget::DATAGRAM_OVERHEAD;
use crate::gossip::{Outgoing, TrafficClass};
use crate::member::{MemberId, ZoneName};
use crate::message::{Body, Changes, Header, Message};
use crate::relay::RelayEffect;

use super::{Channel, Effect, Node};

/// Random picks made per wanted peer to find peers that may lack a revision.
const ATTEMPTS_PER_PEER: usize = 4;
/// Zones to which a delegate announces a new revision after a push.
const ANNOUNCED_ZONES: usize = 2;

/// Returns the bytes that a message of this length takes on the network, headers included.
pub(super) fn bytes_on_wire(length: usize) -> u64 {
    // Counts one packet header per full packet, also for streams.
    let packets = length.div_ceil(MAX_DATAGRAM).max(1);
    u64::try_from(length + packets * DATAGRAM_OVERHEAD).unwrap_or(u64::MAX)
}

impl Node {
    pub(super) fn address_of(&self, zone: &ZoneName, id: &MemberId) -> Option<SocketAddr> {
        let member = self.table().get(zone, id)?;
        Some(member.profile.control_address)
    }

    /// Returns the control address of a member whose zone is unknown. Searches the local zone
    /// first.
    fn find_address(&self, id: &MemberId) -> Option<SocketAddr> {
        let local_zone = &self.me().profile.zone;
        self.address_of(local_zone, id).or_else(|| {
            let mut tables = self.table().zones();
            tables.find_map(|(zone, _)| self.address_of(zone, id))
        })
    }

    /// Sends changes to a few peers of the zone and, from a delegate, to a few other zones.
    pub(super) fn push_changes(
        &self,
        changes: &Changes,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let body = Body::Changes(changes.clone());
        for to in self.peers_lacking_revision(self.settings.change_fanout, rng) {
            out.push(Outgoing::urgent(to, body.clone()));
        }
        if self.gossip.delegate_rank().is_some() {
            for to in self.zone_contacts(self.settings.change_zone_fanout, rng) {
                out.push(Outgoing::urgent(to, body.clone()));
            }
        }
    }

    /// Announces the revision in force to some peers, which pull it if they lack it.
    pub(super) fn announce(&self, rng: &mut impl Rng, out: &mut Vec<Outgoing>) {
        let mut targets = self.peers_lacking_revision(self.settings.announcement_fanout, rng);
        if self.gossip.delegate_rank().is_some() {
            targets.extend(self.zone_contacts(ANNOUNCED_ZONES, rng));
        }
        for to in targets {
            out.push(Outgoing::urgent(to, Body::RevisionAnnouncement));
        }
    }

    /// Returns random peers of the zone that are not known to hold the revision in force.
    fn peers_lacking_revision(&self, wanted: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut peers = Vec::with_capacity(wanted);
        for _ in 0..wanted * ATTEMPTS_PER_PEER {
            if peers.len() == wanted {
                break;
            }
            let Some(peer) = self.gossip.random_peer(rng) else {
                break;
            };
            let address = peer.profile.control_address;
            if !self.relay.is_holder(&peer.profile.id) && !peers.contains(&address) {
                peers.push(address);
            }
        }
        peers
    }

    /// Returns one contact in each of up to `wanted` random other zones.
    fn zone_contacts(&self, wanted: usize, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut zones: Vec<ZoneName> = self.gossip.other_zones().into_iter().cloned().collect();
        rand::seq::SliceRandom::shuffle(zones.as_mut_slice(), rng);
        zones
            .iter()
            .filter_map(|zone| self.gossip.contact_in(zone, rng))
            .filter(|member| !self.relay.is_holder(&member.profile.id))
            .map(|member| member.profile.control_address)
            .take(wanted)
            .collect()
    }

    pub(super) fn pull_from(&self, from: &MemberId, out: &mut Vec<Outgoing>) {
        if let Some(to) = self.find_address(from) {
            out.push(Outgoing::urgent(to, Body::Pull(self.revision())));
        }
    }

    pub(super) fn reply_to_member(&self, to: &MemberId, changes: Changes, out: &mut Vec<Outgoing>) {
        if let Some(address) = self.find_address(to) {
            out.push(Outgoing::urgent(address, Body::Changes(changes)));
        }
    }

    /// Sends the reply to a pull to the address that the pull came from.
    pub(super) fn reply_changes(
        &self,
        reply_to: SocketAddr,
        relay_effects: Vec<RelayEffect>,
        out: &mut Vec<Outgoing>,
    ) {
        for effect in relay_effects {
            if let RelayEffect::Reply(_, changes) = effect {
                out.push(Outgoing::urgent(reply_to, Body::Changes(changes)));
            }
        }
    }

    /// Sends the collected messages and reports changes of the member table as effects.
    pub(super) fn flush(&mut self, now: Timestamp, out: Vec<Outgoing>, effects: &mut Vec<Effect>) {
        for outgoing in out {
            self.send(now, outgoing, effects);
        }
        let declared = self.gossip.take_declared_dead();
        effects.extend(declared.into_iter().map(Effect::DeclaredDead));
        if self.gossip.take_changed() {
            effects.push(Effect::MembersChanged);
        }
    }

    fn send(&mut self, now: Timestamp, outgoing: Outgoing, effects: &mut Vec<Effect>) {
        if outgoing.class == TrafficClass::Routine && !self.budget.allows_routine(now) {
            self.counters.dropped_by_budget += 1;
            return;
        }
        let mut updates = outgoing.updates;
        if matches!(
            outgoing.body,
            Body::Probe(_) | Body::Acknowledge(_) | Body::RevisionAnnouncement
        ) {
            updates.extend(self.gossip.piggyback());
        }
        let message = Message {
            header: self.header(),
            updates,
            body: outgoing.body,
        };
        // Encoding can't fail: CBOR can express every type in a message.
        let Ok(bytes) = envelope::encode(&message) else {
            return;
        };
        let on_wire = bytes_on_wire(bytes.len());
        self.counters.messages_sent += 1;
        self.counters.bytes_sent += on_wire;
        self.budget.spend(now, bytes.len() + DATAGRAM_OVERHEAD);
        let channel = if bytes.len() <= MAX_DATAGRAM {
            Channel::Datagram
        } else {
            Channel::Stream
        };
        effects.push(Effect::Send {
            to: outgoing.to,
            channel,
            bytes,
        });
    }

    fn header(&self) -> Header {
        let me = self.me();
        Header {
            deployment: self.settings.deployment,
            from: me.profile.id.clone(),
            zone: me.profile.zone.clone(),
            incarnation: me.incarnation,
            revision: self.revision(),
            ready: self.is_ready(),
        }
    }
}

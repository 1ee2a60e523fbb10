//! Failure detection: direct probes, indirect probes, suspicion.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use wharfquay_core::time::Timestamp;

use crate::counters::Counters;
use crate::member::{Incarnation, Liveness, Member, MemberId};
use crate::message::{Body, Update};
use crate::table::Merge;

use super::{Gossip, Outgoing};

/// Most steps by which a daemon whose own probes fail stretches its timeouts.
const MAX_STRETCH: u32 = 8;
/// Probes that one daemon carries out for others at a time.
const MAX_RELAYED: usize = 64;

/// The probe that a daemon waits for.
#[derive(Clone, Debug)]
pub(super) struct DirectProbe {
    target: MemberId,
    incarnation: Incarnation,
    sequence: u32,
    ask_others_at: Timestamp,
    asked_others: bool,
    ends_at: Timestamp,
}

/// A probe carried out for another member.
#[derive(Clone, Debug)]
pub(super) struct RelayedProbe {
    requester: SocketAddr,
    requested_sequence: u32,
    own_sequence: u32,
    ends_at: Timestamp,
}

impl Gossip {
    /// Answers a probe.
    pub(crate) fn on_probe(
        &mut self,
        sequence: u32,
        reply_to: SocketAddr,
        out: &mut Vec<Outgoing>,
    ) {
        out.push(Outgoing::urgent(reply_to, Body::Acknowledge(sequence)));
    }

    /// Probes a member on behalf of another.
    pub(crate) fn on_probe_request(
        &mut self,
        now: Timestamp,
        requested_sequence: u32,
        target: SocketAddr,
        reply_to: SocketAddr,
        out: &mut Vec<Outgoing>,
    ) {
        self.relayed.retain(|probe| probe.ends_at > now);
        if self.relayed.len() >= MAX_RELAYED {
            return;
        }
        let own_sequence = self.next_sequence();
        self.relayed.push(RelayedProbe {
            requester: reply_to,
            requested_sequence,
            own_sequence,
            ends_at: now + self.settings.probe_interval,
        });
        out.push(Outgoing::urgent(target, Body::Probe(own_sequence)));
    }

    /// Ends the probe that an acknowledgement answers.
    pub(crate) fn on_acknowledge(&mut self, sequence: u32, out: &mut Vec<Outgoing>) {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.sequence == sequence)
        {
            self.probe = None;
            self.failed_probes = self.failed_probes.saturating_sub(1);
            return;
        }
        let relayed = self
            .relayed
            .iter()
            .position(|probe| probe.own_sequence == sequence);
        if let Some(position) = relayed {
            let probe = self.relayed.swap_remove(position);
            let body = Body::Acknowledge(probe.requested_sequence);
            out.push(Outgoing::urgent(probe.requester, body));
        }
    }

    pub(super) fn probe_due(&self) -> Option<Timestamp> {
        let probe = self.probe.as_ref()?;
        Some(if probe.asked_others {
            probe.ends_at
        } else {
            probe.ask_others_at
        })
    }

    /// Starts the next probe when it is due and none is under way.
    pub(super) fn start_probe(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + self.settings.probe_interval;
        if self.probe.is_some() {
            return;
        }
        let Some(target) = self.random_peer(rng).cloned() else {
            return;
        };
        let sequence = self.next_sequence();
        let timeout = self.settings.probe_timeout * self.stretch();
        self.probe = Some(DirectProbe {
            target: target.profile.id.clone(),
            incarnation: target.incarnation,
            sequence,
            ask_others_at: now + timeout,
            asked_others: false,
            ends_at: now + timeout + timeout + timeout,
        });
        out.push(probe_of(&target, sequence));
    }

    /// Goes on to indirect probes, and to suspicion when these are not answered either.
    pub(super) fn expire_probes(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        if now >= probe.ends_at {
            self.failed_probes = (self.failed_probes + 1).min(MAX_STRETCH);
            self.suspect(now, &probe);
            return;
        }
        if now >= probe.ask_others_at && !probe.asked_others {
            probe.asked_others = true;
            self.ask_others(&probe, rng, out);
        }
        self.probe = Some(probe);
    }

    fn ask_others(&self, probe: &DirectProbe, rng: &mut impl Rng, out: &mut Vec<Outgoing>) {
        let zone = &self.me.profile.zone;
        let Some(target) = self.table.get(zone, &probe.target) else {
            return;
        };
        let body = Body::ProbeRequest {
            sequence: probe.sequence,
            target: target.profile.control_address,
        };
        for _ in 0..self.settings.indirect_probes {
            let helper = self.random_peer(rng);
            let Some(helper) = helper.filter(|helper| helper.profile.id != probe.target) else {
                continue;
            };
            out.push(Outgoing::urgent(
                helper.profile.control_address,
                body.clone(),
            ));
        }
    }

    fn suspect(&mut self, now: Timestamp, probe: &DirectProbe) {
        self.claim(now, &probe.target, probe.incarnation, Liveness::Suspect);
    }

    /// Declares the suspects dead that have not refuted in time.
    pub(super) fn expire_suspicions(&mut self, now: Timestamp, counters: &mut Counters) {
        let expired: Vec<MemberId> = self
            .suspicions
            .iter()
            .filter(|&(_, &deadline)| deadline <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.suspicions.remove(&id);
            let zone = &self.me.profile.zone;
            let Some(incarnation) = self.table.get(zone, &id).map(|member| member.incarnation)
            else {
                continue;
            };
            counters.declared_dead += 1;
            self.claim(now, &id, incarnation, Liveness::Dead);
            self.declared_dead.push(id);
        }
    }

    /// Merges a claim of this daemon about a member of its zone and passes it on.
    fn claim(
        &mut self,
        now: Timestamp,
        id: &MemberId,
        incarnation: Incarnation,
        liveness: Liveness,
    ) {
        let zone = self.me.profile.zone.clone();
        let update = Update {
            id: id.clone(),
            zone: zone.clone(),
            incarnation,
            liveness,
            leaving: false,
            profile: None,
        };
        if matches!(self.table.merge(&update), Merge::Changed { .. }) {
            self.after_change(now, &zone, id);
            self.pass_on(now, &zone, id, &zone);
        }
    }

    /// Timeouts grow while this daemon's own probes fail: then it is likely the one cut off.
    fn stretch(&self) -> u32 {
        1 + self.failed_probes.min(MAX_STRETCH)
    }

    pub(super) fn suspicion_timeout(&self) -> Duration {
        self.settings.suspicion_timeout * self.stretch()
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}

/// A probe; a suspect is told of the suspicion, so that it can refute.
fn probe_of(target: &Member, sequence: u32) -> Outgoing {
    let mut outgoing = Outgoing::urgent(target.profile.control_address, Body::Probe(sequence));
    if target.liveness == Liveness::Suspect {
        outgoing.updates.push(Update::of(target));
    }
    outgoing
}

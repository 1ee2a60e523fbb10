//! Failure detection: direct probes, indirect probes and suspicion.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use wharfquay_core::time::Timestamp;

use crate::counters::Counters;
use crate::member::{Incarnation, Liveness, Member, MemberId};
use crate::message::{Body, Update};
use crate::table::MergeOutcome;

use super::{Gossip, Outgoing};

/// Maximum number of failed probes that extend the timeouts.
const MAX_COUNTED_FAILURES: u32 = 8;
/// Maximum number of concurrent probes made for other members.
const MAX_RELAYED_PROBES: usize = 64;

/// The direct probe in flight.
#[derive(Clone, Debug)]
pub(super) struct DirectProbe {
    target: MemberId,
    incarnation: Incarnation,
    sequence: u32,
    indirect_at: Timestamp,
    indirect_sent: bool,
    expires_at: Timestamp,
}

/// A probe made for another member.
#[derive(Clone, Debug)]
pub(super) struct RelayedProbe {
    requester: SocketAddr,
    requested_sequence: u32,
    own_sequence: u32,
    expires_at: Timestamp,
}

impl Gossip {
    /// Acknowledges a probe.
    pub(crate) fn on_probe(
        &mut self,
        sequence: u32,
        reply_to: SocketAddr,
        out: &mut Vec<Outgoing>,
    ) {
        out.push(Outgoing::urgent(reply_to, Body::Acknowledge(sequence)));
    }

    /// Probes a member for another member.
    pub(crate) fn on_probe_request(
        &mut self,
        now: Timestamp,
        requested_sequence: u32,
        target: SocketAddr,
        reply_to: SocketAddr,
        out: &mut Vec<Outgoing>,
    ) {
        self.relayed_probes.retain(|probe| probe.expires_at > now);
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let own_sequence = self.next_sequence();
        self.relayed_probes.push(RelayedProbe {
            requester: reply_to,
            requested_sequence,
            own_sequence,
            expires_at: now + self.settings.probe_interval,
        });
        out.push(Outgoing::urgent(target, Body::Probe(own_sequence)));
    }

    /// Completes the probe that an acknowledgement belongs to.
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
        let relayed_position = self
            .relayed_probes
            .iter()
            .position(|probe| probe.own_sequence == sequence);
        if let Some(position) = relayed_position {
            let probe = self.relayed_probes.swap_remove(position);
            let body = Body::Acknowledge(probe.requested_sequence);
            out.push(Outgoing::urgent(probe.requester, body));
        }
    }

    pub(super) fn probe_due(&self) -> Option<Timestamp> {
        let probe = self.probe.as_ref()?;
        Some(if probe.indirect_sent {
            probe.expires_at
        } else {
            probe.indirect_at
        })
    }

    /// Starts the next probe if it is due and none is in flight.
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
        let timeout = self.settings.probe_timeout * self.timeout_factor();
        self.probe = Some(DirectProbe {
            target: target.profile.id.clone(),
            incarnation: target.incarnation,
            sequence,
            indirect_at: now + timeout,
            indirect_sent: false,
            expires_at: now + timeout + timeout + timeout,
        });
        out.push(build_probe(&target, sequence));
    }

    /// Sends indirect probes when the direct probe times out, and suspects the target when these
    /// time out too.
    pub(super) fn expire_probes(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        if now >= probe.expires_at {
            self.failed_probes = (self.failed_probes + 1).min(MAX_COUNTED_FAILURES);
            self.suspect(now, &probe);
            return;
        }
        if now >= probe.indirect_at && !probe.indirect_sent {
            probe.indirect_sent = true;
            self.send_indirect_probes(&probe, rng, out);
        }
        self.probe = Some(probe);
    }

    fn send_indirect_probes(
        &self,
        probe: &DirectProbe,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
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
        self.apply_local_state(now, &probe.target, probe.incarnation, Liveness::Suspect);
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
            self.apply_local_state(now, &id, incarnation, Liveness::Dead);
            self.declared_dead.push(id);
        }
    }

    /// Applies and gossips a state that this daemon assigns to a member of its zone.
    fn apply_local_state(
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
        if matches!(self.table.merge(&update), MergeOutcome::Changed { .. }) {
            self.update_timers(now, &zone, id);
            self.enqueue_update(now, &zone, id, &zone);
        }
    }

    /// Returns the factor for timeouts. It grows while this daemon's own probes fail, since then
    /// this daemon is probably the one that is cut off.
    fn timeout_factor(&self) -> u32 {
        1 + self.failed_probes.min(MAX_COUNTED_FAILURES)
    }

    pub(super) fn suspicion_timeout(&self) -> Duration {
        self.settings.suspicion_timeout * self.timeout_factor()
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}

/// Builds a probe. If the target is suspect, the probe carries the suspicion, which the target can
/// refute.
fn build_probe(target: &Member, sequence: u32) -> Outgoing {
    let mut outgoing = Outgoing::urgent(target.profile.control_address, Body::Probe(sequence));
    if target.liveness == Liveness::Suspect {
        outgoing.updates.push(Update::of(target));
    }
    outgoing
}

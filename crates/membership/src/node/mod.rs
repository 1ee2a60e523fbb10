//! Control plane of one daemon: membership and configuration relay over one set of messages.

mod maintenance;
mod send;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use wharfquay_core::time::Timestamp;
use wharfquay_protocol::context::DecodeError;
use wharfquay_protocol::envelope::{self, MAX_STREAM_MESSAGE};

use crate::budget::ByteBudget;
use crate::counters::Counters;
use crate::gossip::{Gossip, Outgoing, Seed};
use crate::member::{Incarnation, Liveness, Member, MemberId, MemberProfile, ZoneName};
use crate::message::{Body, Changes, Delta, Message, Payload, Snapshot, ZoneReport};
use crate::relay::reports::delegate_for;
use crate::relay::{Relay, RelayEffect, StoreReport};
use crate::settings::Settings;
use crate::table::MemberTable;

/// Transport of a control message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// One UDP datagram.
    Datagram,
    /// A stream, for messages larger than a datagram.
    Stream,
}

/// An action that the driver must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send an encoded message to a control address.
    Send {
        /// The receiver's control address.
        to: SocketAddr,
        /// The transport to use.
        channel: Channel,
        /// The encoded message, version byte included.
        bytes: Vec<u8>,
    },
    /// The member table changed; read it from [`Node::table`].
    MembersChanged,
    /// This daemon declared a member dead because its suspicion expired. For the log.
    DeclaredDead(MemberId),
    /// Put a whole configuration in force.
    AdoptSnapshot(Snapshot),
    /// Apply a delta to the configuration in force.
    AdoptDelta(Delta),
    /// This daemon became ready with this configuration revision.
    Ready(u64),
    /// Start (`true`) or stop (`false`) reading the store.
    SetReader(bool),
    /// Read the whole configuration from the store.
    ReadSnapshot,
    /// The store reported a revision older than the one in force; its report is ignored.
    StoreOlder {
        /// The store's revision.
        store: u64,
        /// The revision in force.
        held: u64,
    },
    /// Pass a snapshot of this revision, the one in force, to [`Node::provide_snapshot`].
    Compact(u64),
    /// A received message was dropped. For the log.
    Dropped {
        /// Address that the message came from.
        source: SocketAddr,
        /// Reason for the drop.
        reason: DropReason,
    },
}

/// Reason for which a received message was dropped.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum DropReason {
    /// the message can't be decoded: {0}
    Malformed(DecodeError),
    /// the message has unsupported version {0}
    ForeignVersion(u8),
    /// the message belongs to another deployment, {0}
    ForeignDeployment(u32),
    /// the message carries this daemon's own id as its sender
    OwnId,
}

impl std::error::Error for DropReason {}

/// Identity of a daemon, fixed when it starts.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Immutable part of its member record.
    pub profile: MemberProfile,
    /// Start of the process by the wall clock, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

/// Control plane of one daemon, a state machine driven by messages and timers.
#[derive(Clone, Debug)]
pub struct Node {
    settings: Settings,
    gossip: Gossip,
    relay: Relay,
    budget: ByteBudget,
    counters: Counters,
    reading: bool,
    next_maintenance: Timestamp,
    next_report: Timestamp,
    next_count_exchange: Timestamp,
    reported_revision: u64,
    reports_skipped: u32,
}

impl Node {
    /// Creates a starting daemon that knows its seeds but no other member and no configuration.
    pub fn new(
        settings: Settings,
        identity: Identity,
        seeds: Vec<Seed>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Self {
        let me = Member {
            profile: Arc::new(identity.profile),
            incarnation: Incarnation::started_at(identity.started_at_ms),
            liveness: Liveness::Alive,
            leaving: false,
        };
        Self {
            gossip: Gossip::new(settings.clone(), me, seeds, now, rng),
            relay: Relay::new(&settings, now),
            budget: ByteBudget::new(settings.bytes_per_second, settings.burst_bytes, now),
            counters: Counters::default(),
            reading: false,
            next_maintenance: now,
            next_report: now + crate::gossip::jitter(settings.report_interval, rng),
            next_count_exchange: now,
            reported_revision: 0,
            reports_skipped: 0,
            settings,
        }
    }

    /// Starts from a prepared member table instead of joining through the seeds.
    pub fn preload(&mut self, table: MemberTable, now: Timestamp, rng: &mut impl Rng) {
        self.gossip.preload(table, now, rng);
    }

    /// Adopts a configuration before the node runs, as if a peer had sent it. It is not relayed.
    pub fn preload_configuration(&mut self, now: Timestamp, snapshot: Snapshot) {
        let from = self.me().profile.id.clone();
        let changes = Changes {
            snapshot: Some(snapshot),
            deltas: Vec::new(),
        };
        self.relay.on_changes(now, &from, &changes);
    }

    /// Returns the known members of all zones.
    #[must_use]
    pub const fn table(&self) -> &MemberTable {
        self.gossip.table()
    }

    /// Returns this daemon's own record.
    #[must_use]
    pub const fn me(&self) -> &Member {
        self.gossip.me()
    }

    /// Returns the configuration revision in force; 0 while no configuration is held.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.relay.revision()
    }

    /// Returns true once the daemon has reported ready.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.relay.is_ready()
    }

    /// Returns true if this daemon is currently selected to read the store.
    #[must_use]
    pub const fn is_reader(&self) -> bool {
        self.reading
    }

    /// Returns the traffic counters since the start.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the latest report of each zone. Only delegates receive such reports.
    #[must_use]
    pub fn zone_reports(&self, now: Timestamp) -> Vec<ZoneReport> {
        self.relay.revision_reports().zones(now)
    }

    /// Returns the approximate memory of the member table and the configuration, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.table().memory_bytes() + self.relay.memory_bytes() + size_of::<Self>()
    }

    /// Replaces the seeds, which come from the settings file and the machine list.
    pub fn set_seeds(&mut self, seeds: Vec<Seed>) {
        self.gossip.set_seeds(seeds);
    }

    /// Marks this daemon as leaving.
    pub fn leave(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<Effect> {
        self.gossip.leave(now);
        self.advance(now, rng)
    }

    /// Processes data that this daemon, as a reader, got from the store.
    pub fn on_store(
        &mut self,
        now: Timestamp,
        report: &StoreReport,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        self.set_store_contact(true);
        let relay_effects = self.relay.on_store(now, report);
        let mut effects = Vec::new();
        let mut out = Vec::new();
        self.apply_relay_effects(relay_effects, rng, &mut out, &mut effects);
        self.flush(now, out, &mut effects);
        effects
    }

    /// Records whether this daemon, as a reader, is in contact with the store.
    ///
    /// A change is reported to the other delegates of the zone immediately, since one of them may
    /// have to read instead.
    pub fn set_store_contact(&mut self, contact: bool) {
        let reports = self.relay.revision_reports_mut();
        if reports.store_contact() == Some(contact) {
            return;
        }
        reports.set_store_contact(Some(contact));
        self.next_count_exchange = Timestamp::ZERO;
        self.next_maintenance = Timestamp::ZERO;
    }

    /// Accepts a snapshot of the revision in force, as requested by [`Effect::Compact`].
    pub fn provide_snapshot(&mut self, revision: u64, payload: Payload) {
        self.relay.provide_snapshot(revision, payload);
    }

    /// Processes a received message. Malformed and foreign messages are counted and dropped.
    pub fn receive(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        bytes: &[u8],
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        let message = match self.decode(bytes) {
            Ok(message) => message,
            Err(reason) => return vec![Effect::Dropped { source, reason }],
        };
        self.counters.messages_received += 1;
        self.counters.bytes_received += send::bytes_on_wire(bytes.len());
        let mut effects = Vec::new();
        let mut out = Vec::new();
        self.handle_message(now, source, &message, rng, &mut out, &mut effects);
        self.flush(now, out, &mut effects);
        effects
    }

    fn decode(&mut self, bytes: &[u8]) -> Result<Message, DropReason> {
        let decoded: Result<Message, DecodeError> = envelope::decode(bytes, MAX_STREAM_MESSAGE);
        let message = match decoded {
            Ok(message) => message,
            Err(DecodeError::Version { found, .. }) => {
                self.counters.rejected_foreign += 1;
                return Err(DropReason::ForeignVersion(found));
            }
            Err(error) => {
                self.counters.malformed += 1;
                return Err(DropReason::Malformed(error));
            }
        };
        if message.header.deployment != self.settings.deployment {
            self.counters.rejected_foreign += 1;
            return Err(DropReason::ForeignDeployment(message.header.deployment));
        }
        if message.header.from == self.me().profile.id {
            self.counters.rejected_foreign += 1;
            return Err(DropReason::OwnId);
        }
        Ok(message)
    }

    fn handle_message(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        message: &Message,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
        effects: &mut Vec<Effect>,
    ) {
        let header = &message.header;
        if self.gossip.on_header(now, header, out) {
            for update in &message.updates {
                let counters = &mut self.counters;
                self.gossip.apply(now, update, &header.zone, counters);
            }
        }
        self.record_member_revision(now, message);
        let relay_effects = self
            .relay
            .on_header(now, &header.from, header.revision, header.ready);
        self.apply_relay_effects(relay_effects, rng, out, effects);
        let reply_to = self
            .address_of(&header.zone, &header.from)
            .unwrap_or(source);
        match &message.body {
            Body::Gossip | Body::RevisionAnnouncement => {}
            Body::Changes(changes) => {
                let relay_effects = self.relay.on_changes(now, &header.from, changes);
                self.apply_relay_effects(relay_effects, rng, out, effects);
            }
            Body::Pull(held) => {
                let changes = self.relay.on_pull(&header.from, *held);
                self.reply_changes(reply_to, changes, out);
            }
            Body::RevisionRequest => {
                out.push(Outgoing::urgent(reply_to, Body::RevisionAnnouncement))
            }
            Body::ZoneReports(reports) => self.handle_zone_reports(now, reports),
            _ => self.handle_gossip(now, reply_to, message, rng, out),
        }
    }

    fn handle_zone_reports(&mut self, now: Timestamp, reports: &[ZoneReport]) {
        for report in reports {
            let counted_at = now - Duration::from_millis(report.age_ms);
            self.gossip.record_zone_contact(&report.zone, counted_at);
            let oldest = now - self.settings.min_zone_timeout;
            let known = self
                .relay
                .revision_reports()
                .store_contact_of(&report.counted_by, oldest);
            if !report.complete && report.store_contact != known {
                self.next_maintenance = now;
            }
            self.relay
                .revision_reports_mut()
                .record_report(now, report.clone());
        }
    }

    fn handle_gossip(
        &mut self,
        now: Timestamp,
        reply_to: SocketAddr,
        message: &Message,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let header = &message.header;
        let gossip = &mut self.gossip;
        match &message.body {
            Body::Probe(sequence) => gossip.on_probe(*sequence, reply_to, out),
            Body::ProbeRequest { sequence, target } => {
                gossip.on_probe_request(now, *sequence, *target, reply_to, out);
            }
            Body::Acknowledge(sequence) => gossip.on_acknowledge(*sequence, out),
            Body::TableHash(hash) => gossip.on_table_hash(*hash, reply_to, out),
            Body::TableDigest(digests) => {
                gossip.on_table_digest(header, digests, reply_to, rng, out);
            }
            Body::BucketDigests { zone, buckets } => {
                gossip.on_bucket_digests(zone, buckets, reply_to, rng, out);
            }
            Body::BucketSummary {
                zone,
                buckets,
                entries,
            } => gossip.on_bucket_summary(zone, buckets, entries, reply_to, out),
            Body::Records {
                zone,
                records,
                wanted,
            } => {
                let counters = &mut self.counters;
                gossip.on_records(now, header, zone, records, wanted, reply_to, counters, out);
            }
            _ => {}
        }
    }

    /// Records the sender's revision if this daemon is the delegate that the sender reports to.
    fn record_member_revision(&mut self, now: Timestamp, message: &Message) {
        let header = &message.header;
        let me = &self.me().profile;
        if header.zone != me.zone {
            return;
        }
        if self.delegate_of(&header.zone, &header.from) == Some(&me.id) {
            let reports = self.relay.revision_reports_mut();
            reports.record_member(now, &header.from, header.revision, header.ready);
        }
    }

    fn delegate_of(&self, zone: &ZoneName, member: &MemberId) -> Option<&MemberId> {
        delegate_for(member, self.table().zone(zone)?.delegates())
    }

    /// Runs all timers that are due.
    pub fn advance(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut out = Vec::new();
        self.gossip.advance(now, rng, &mut self.counters, &mut out);
        let relay_effects = self.relay.advance(now);
        self.apply_relay_effects(relay_effects, rng, &mut out, &mut effects);
        self.run_maintenance(now, rng, &mut out, &mut effects);
        self.report_revision(now, &mut out);
        self.flush(now, out, &mut effects);
        effects
    }

    /// Returns the time at which [`Self::advance`] has to be called next.
    #[must_use]
    pub fn next_wakeup(&self) -> Timestamp {
        let mut next = self.gossip.next_wakeup().min(self.next_report);
        if let Some(due) = self.relay.next_wakeup() {
            next = next.min(due);
        }
        next.min(self.next_maintenance)
    }

    fn apply_relay_effects(
        &mut self,
        relay_effects: Vec<RelayEffect>,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
        effects: &mut Vec<Effect>,
    ) {
        for effect in relay_effects {
            match effect {
                RelayEffect::AdoptSnapshot(snapshot) => {
                    self.counters.adopted += 1;
                    effects.push(Effect::AdoptSnapshot(snapshot));
                }
                RelayEffect::AdoptDelta(delta) => {
                    self.counters.adopted += 1;
                    effects.push(Effect::AdoptDelta(delta));
                }
                RelayEffect::Push(changes) => self.push_changes(&changes, rng, out),
                RelayEffect::Announce => self.announce(rng, out),
                RelayEffect::Pull(from) => self.pull_from(&from, out),
                RelayEffect::Reply(to, changes) => self.reply_to_member(&to, changes, out),
                RelayEffect::Ready(revision) => effects.push(Effect::Ready(revision)),
                RelayEffect::StoreOlder { store, held } => {
                    self.counters.older_store_reports += 1;
                    effects.push(Effect::StoreOlder { store, held });
                }
                RelayEffect::Compact(revision) => effects.push(Effect::Compact(revision)),
                RelayEffect::ReadSnapshot => effects.push(Effect::ReadSnapshot),
            }
        }
    }
}

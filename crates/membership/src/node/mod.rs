//! One daemon's control plane: membership and configuration relay over one set of messages.

mod send;
mod upkeep;

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
use crate::relay::report::delegate_for;
use crate::relay::{Relay, RelayEffect, StoreReport};
use crate::settings::Settings;
use crate::table::MemberTable;

/// How a message travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// In one datagram.
    Datagram,
    /// Over a stream, since it is too large for a datagram.
    Stream,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send these bytes to a control address.
    Send {
        /// The receiver's control address.
        to: SocketAddr,
        /// How they travel.
        channel: Channel,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// The member table changed: read [`Node::table`].
    MembersChanged,
    /// This daemon declared a member dead after a suspicion; for the log.
    DeclaredDead(MemberId),
    /// Put a whole configuration in force.
    AdoptSnapshot(Snapshot),
    /// Apply a delta to the configuration in force.
    AdoptDelta(Delta),
    /// This daemon is ready with this revision.
    Ready(u64),
    /// Start or stop reading the store.
    Read(bool),
    /// Read the whole configuration from the store.
    ReadSnapshot,
    /// The store is older than the configuration in force and is ignored.
    StoreOlder {
        /// The store's revision.
        store: u64,
        /// The revision in force.
        held: u64,
    },
    /// Hand in a snapshot of the revision in force through [`Node::compacted`].
    Compact(u64),
    /// A message was dropped; for the log.
    Dropped {
        /// Where it came from.
        source: SocketAddr,
        /// Why it was dropped.
        reason: DropReason,
    },
}

/// Why a message was dropped.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum DropReason {
    /// it can't be decoded: {0}
    Malformed(DecodeError),
    /// it has message version {0}
    ForeignVersion(u8),
    /// it belongs to deployment {0}
    ForeignDeployment(u32),
    /// it bears this daemon's own id
    OwnId,
}

impl std::error::Error for DropReason {}

/// What a daemon is told about itself when it starts.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The fixed part of its member record.
    pub profile: MemberProfile,
    /// Wall clock of its start, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

/// The control plane of one daemon.
#[derive(Clone, Debug)]
pub struct Node {
    settings: Settings,
    gossip: Gossip,
    relay: Relay,
    budget: ByteBudget,
    counters: Counters,
    reading: bool,
    next_upkeep: Timestamp,
    next_report: Timestamp,
    next_exchange: Timestamp,
    reported_revision: u64,
    reports_skipped: u32,
}

impl Node {
    /// A daemon that starts now with an empty memory.
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
            next_upkeep: now,
            next_report: now + crate::gossip::jitter(settings.report_interval, rng),
            next_exchange: now,
            reported_revision: 0,
            reports_skipped: 0,
            settings,
        }
    }

    /// Starts from a prepared member table instead of joining through the seeds.
    pub fn preload(&mut self, table: MemberTable, now: Timestamp, rng: &mut impl Rng) {
        self.gossip.preload(table, now, rng);
    }

    /// Takes a configuration before anything runs, as if a peer had sent it. Nothing is passed on.
    pub fn preload_configuration(&mut self, now: Timestamp, snapshot: Snapshot) {
        let from = self.me().profile.id.clone();
        let changes = Changes {
            snapshot: Some(snapshot),
            deltas: Vec::new(),
        };
        self.relay.on_changes(now, &from, &changes);
    }

    /// What is known of all members.
    #[must_use]
    pub const fn table(&self) -> &MemberTable {
        self.gossip.table()
    }

    /// This daemon's own record.
    #[must_use]
    pub const fn me(&self) -> &Member {
        self.gossip.me()
    }

    /// Configuration revision in force; zero when none is held.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.relay.revision()
    }

    /// Whether the daemon has reported ready.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.relay.is_ready()
    }

    /// Whether this daemon should read the store.
    #[must_use]
    pub const fn is_reader(&self) -> bool {
        self.reading
    }

    /// Counters since the start.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The latest report of each zone; filled at delegates.
    #[must_use]
    pub fn zone_reports(&self, now: Timestamp) -> Vec<ZoneReport> {
        self.relay.reports().zones(now)
    }

    /// Bytes that member table and configuration take.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.table().memory() + self.relay.memory() + size_of::<Self>()
    }

    /// Puts other seeds in place: the settings file's and the machine list's.
    pub fn set_seeds(&mut self, seeds: Vec<Seed>) {
        self.gossip.set_seeds(seeds);
    }

    /// Marks this daemon as leaving.
    pub fn leave(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<Effect> {
        self.gossip.leave(now);
        self.advance(now, rng)
    }

    /// Takes what a reader got from the store.
    pub fn on_store(
        &mut self,
        now: Timestamp,
        report: &StoreReport,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        self.store_contact(true);
        let relayed = self.relay.on_store(now, report);
        let mut effects = Vec::new();
        let mut out = Vec::new();
        self.apply_relay(relayed, rng, &mut out, &mut effects);
        self.finish(now, out, &mut effects);
        effects
    }

    /// Notes whether this daemon, as a reader, is in contact with the store.
    ///
    /// A change is told to the zone's other delegates at once, since one of them may have to read instead.
    pub fn store_contact(&mut self, contact: bool) {
        let reports = self.relay.reports_mut();
        if reports.store_contact() == Some(contact) {
            return;
        }
        reports.set_store_contact(Some(contact));
        self.next_exchange = Timestamp::ZERO;
        self.next_upkeep = Timestamp::ZERO;
    }

    /// Takes a snapshot of the revision in force, as asked for by [`Effect::Compact`].
    pub fn compacted(&mut self, revision: u64, payload: Payload) {
        self.relay.compacted(revision, payload);
    }

    /// Takes a received message. Malformed and foreign ones are counted and dropped.
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
        self.take(now, source, &message, rng, &mut out, &mut effects);
        self.finish(now, out, &mut effects);
        effects
    }

    fn decode(&mut self, bytes: &[u8]) -> Result<Message, DropReason> {
        let decoded: Result<Message, DecodeError> = envelope::decode(bytes, MAX_STREAM_MESSAGE);
        let message = match decoded {
            Ok(message) => message,
            Err(DecodeError::Version { found, .. }) => {
                self.counters.foreign += 1;
                return Err(DropReason::ForeignVersion(found));
            }
            Err(error) => {
                self.counters.malformed += 1;
                return Err(DropReason::Malformed(error));
            }
        };
        if message.header.deployment != self.settings.deployment {
            self.counters.foreign += 1;
            return Err(DropReason::ForeignDeployment(message.header.deployment));
        }
        if message.header.from == self.me().profile.id {
            self.counters.foreign += 1;
            return Err(DropReason::OwnId);
        }
        Ok(message)
    }

    fn take(
        &mut self,
        now: Timestamp,
        source: SocketAddr,
        message: &Message,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
        effects: &mut Vec<Effect>,
    ) {
        let header = &message.header;
        if self.gossip.heard(now, header, out) {
            for update in &message.updates {
                let counters = &mut self.counters;
                self.gossip.apply(now, update, &header.zone, counters);
            }
        }
        self.note_report(now, message);
        let heard = self
            .relay
            .heard(now, &header.from, header.revision, header.ready);
        self.apply_relay(heard, rng, out, effects);
        let reply_to = self
            .address_of(&header.zone, &header.from)
            .unwrap_or(source);
        match &message.body {
            Body::Gossip | Body::Holding => {}
            Body::Changes(changes) => {
                let relayed = self.relay.on_changes(now, &header.from, changes);
                self.apply_relay(relayed, rng, out, effects);
            }
            Body::Pull(held) => {
                let changes = self.relay.on_pull(&header.from, *held);
                self.reply_changes(reply_to, changes, out);
            }
            Body::Ask => out.push(Outgoing::urgent(reply_to, Body::Holding)),
            Body::ZoneReports(reports) => self.take_reports(now, reports),
            _ => self.take_gossip(now, reply_to, message, rng, out),
        }
    }

    fn take_reports(&mut self, now: Timestamp, reports: &[ZoneReport]) {
        for report in reports {
            let counted_at = now - Duration::from_millis(report.age_ms);
            self.gossip.heard_of_zone(&report.zone, counted_at);
            let oldest = now - self.settings.zone_silence;
            let known = self.relay.reports().contact_of(&report.counted_by, oldest);
            if !report.whole && report.store_contact != known {
                self.next_upkeep = now;
            }
            self.relay.reports_mut().received(now, report.clone());
        }
    }

    fn take_gossip(
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

    /// Counts the sender's revision where this daemon is the delegate that it reports to.
    fn note_report(&mut self, now: Timestamp, message: &Message) {
        let header = &message.header;
        let me = &self.me().profile;
        if header.zone != me.zone {
            return;
        }
        if self.delegate_of(&header.zone, &header.from) == Some(&me.id) {
            let reports = self.relay.reports_mut();
            reports.member(now, &header.from, header.revision, header.ready);
        }
    }

    fn delegate_of(&self, zone: &ZoneName, member: &MemberId) -> Option<&MemberId> {
        delegate_for(member, self.table().zone(zone)?.delegates())
    }

    /// Runs everything that is due.
    pub fn advance(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut out = Vec::new();
        self.gossip.advance(now, rng, &mut self.counters, &mut out);
        let relayed = self.relay.advance(now);
        self.apply_relay(relayed, rng, &mut out, &mut effects);
        self.run_upkeep(now, rng, &mut out, &mut effects);
        self.run_report(now, &mut out);
        self.finish(now, out, &mut effects);
        effects
    }

    /// When [`Self::advance`] has something to do next.
    #[must_use]
    pub fn next_wakeup(&self) -> Timestamp {
        let mut next = self.gossip.next_wakeup().min(self.next_report);
        if let Some(due) = self.relay.next_wakeup() {
            next = next.min(due);
        }
        next.min(self.next_upkeep)
    }

    fn apply_relay(
        &mut self,
        relayed: Vec<RelayEffect>,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
        effects: &mut Vec<Effect>,
    ) {
        for effect in relayed {
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

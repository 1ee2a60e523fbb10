//! Anti-entropy: two daemons compare digests and exchange the records in which they differ.
//!
//! The one that opens sends a hash of its table, and the other answers with a digest per zone when
//! it differs; a joining daemon opens with the digests. Whoever gets digests answers with the
//! digests of the buckets of zones that differ, then the other sends what it knows of the differing
//! buckets, and gets newer records and the ids of those that are wanted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use wharfquay_core::time::Timestamp;

use crate::counters::Counters;
use crate::member::{Claim, Liveness, Member, MemberId, ZoneName};
use crate::message::{Body, Header, SummaryEntry, Update, ZoneDigest};
use crate::table::{BUCKETS, ZoneTable, bucket_of};

use super::{Gossip, Outgoing, jitter};

/// Longest time that a starting daemon spends on filling its table before it acts as joined.
pub(super) const JOIN_LIMIT: Duration = Duration::from_secs(10);
/// Time between two exchanges of a joining daemon.
const JOIN_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two exchanges of a daemon whose table has not agreed with another's yet, after the
/// limit for joining.
const FILL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two contacts to a seed or to a member that is held to be dead.
pub(super) const REJOIN_INTERVAL: Duration = Duration::from_secs(30);
/// Contacts with each seed before agreement among starting daemons counts.
const SEED_ROUNDS: usize = 1;
/// Seeds that a daemon which knows nobody contacts at a time.
const SEEDS_AT_ONCE: usize = 3;
/// Contacts with seeds that are enough, however many there are.
const MAX_SEED_CONTACTS: usize = 8;
/// Zones that one answer to a digest takes up.
const ZONES_PER_EXCHANGE: usize = 3;
/// Buckets that one exchange takes up in a running daemon.
const BUCKETS_PER_EXCHANGE: usize = 4;

impl Gossip {
    /// Opens an exchange inside the zone, or with a seed while this daemon joins.
    pub(super) fn run_table_sync(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        if now < self.next_table_sync {
            return;
        }
        let waited = now >= self.join_deadline && self.table.live_count() > 1;
        if self.seeds.is_empty() || waited {
            self.joined = true;
        }
        let interval = if self.joined && !self.filled && self.table.live_count() > 1 {
            FILL_INTERVAL
        } else if self.joined {
            self.settings.table_sync_interval.mul_f64(0.75)
                + jitter(self.settings.table_sync_interval.mul_f64(0.5), rng)
        } else {
            JOIN_INTERVAL
        };
        self.next_table_sync = now + interval;
        self.seed_turn = !self.seed_turn;
        if !self.joined && self.table.live_count() <= 1 {
            for _ in 0..self.seeds.len().min(SEEDS_AT_ONCE) {
                self.contact_seed(out);
            }
            return;
        }
        if !self.joined && self.seed_turn && !self.seeds.is_empty() {
            self.contact_seed(out);
            return;
        }
        let partner = self.sync_partner(rng);
        if let Some(to) = partner {
            out.push(self.open_exchange(to, false));
        }
    }

    fn sync_partner(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let peer = self
            .random_peer(rng)
            .map(|member| member.profile.control_address);
        if self.filled {
            return peer;
        }
        let elsewhere = self.random_elsewhere(rng);
        elsewhere.or(peer).or_else(|| self.random_seed(rng))
    }

    /// Any member of a zone by chance: who fills its table asks everywhere, so that nobody bears the
    /// return of a whole zone alone.
    fn random_elsewhere(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let zones: Vec<&ZoneName> = self.table.zones().map(|(zone, _)| zone).collect();
        let zone = zones.choose(rng)?;
        let member = self.random_member(zone, rng, Member::is_live)?;
        Some(member.profile.control_address)
    }

    /// Opens an exchange with the next seed in turn.
    pub(crate) fn contact_seed(&mut self, out: &mut Vec<Outgoing>) {
        let Some(turn) = self.seed_contacts.checked_rem(self.seeds.len()) else {
            return;
        };
        self.seed_contacts += 1;
        let to = self.seeds[turn].control_address;
        if to != self.me.profile.control_address {
            out.push(self.open_exchange(to, true));
        }
    }

    /// Whether the seeds have had their chance to answer: daemons that start together and find only
    /// each other must not take themselves for the whole deployment.
    fn seeds_tried(&self) -> bool {
        let enough = (self.seeds.len() * SEED_ROUNDS).min(MAX_SEED_CONTACTS);
        self.seed_contacts >= enough
    }

    fn random_seed(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let own = self.me.profile.control_address;
        let others: Vec<SocketAddr> = self
            .seeds
            .iter()
            .map(|seed| seed.control_address)
            .filter(|address| *address != own)
            .collect();
        others.choose(rng).copied()
    }

    /// A delegate opens an exchange with another zone.
    pub(super) fn run_zone_sync(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        if now < self.next_zone_sync {
            return;
        }
        self.next_zone_sync = now + self.settings.zone_sync_interval;
        if self.delegate_rank().is_none() {
            return;
        }
        let Some(zone) = self.next_zone() else {
            return;
        };
        if let Some(contact) = self.contact_in(&zone, rng) {
            out.push(self.open_exchange(contact.profile.control_address, false));
        }
    }

    /// The other zones in turn.
    fn next_zone(&mut self) -> Option<ZoneName> {
        self.zone_turn = self.zone_turn.wrapping_add(1);
        let zones = self.other_zones();
        let turn = self.zone_turn.checked_rem(zones.len())?;
        Some(zones[turn].clone())
    }

    /// Contacts a seed and a member that is held to be dead, so that the two sides of a healed cut
    /// find each other.
    pub(super) fn run_rejoin(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        if now < self.next_rejoin {
            return;
        }
        self.next_rejoin = now + REJOIN_INTERVAL.mul_f64(0.5) + jitter(REJOIN_INTERVAL, rng);
        let zone = &self.me.profile.zone;
        let dead = self.random_member(zone, rng, |member| !member.is_live());
        let dead = dead.map(|member| member.profile.control_address);
        for to in dead.into_iter().chain(self.random_seed(rng)) {
            out.push(self.open_exchange(to, true));
        }
    }

    /// Opens an exchange. A daemon that joins, or may have been forgotten, introduces itself.
    fn open_exchange(&self, to: SocketAddr, introduce: bool) -> Outgoing {
        let body = if self.joined {
            Body::TableHash(self.table.digest())
        } else {
            Body::TableDigest(self.zone_digests())
        };
        let mut outgoing = Outgoing::routine(to, body);
        if introduce || !self.joined {
            outgoing.updates.push(Update::of(&self.me));
        }
        if !self.joined {
            outgoing.class = super::TrafficClass::Urgent;
        }
        outgoing
    }

    fn zone_digests(&self) -> Vec<ZoneDigest> {
        let zones = self.table.zones().map(|(zone, table)| ZoneDigest {
            zone: zone.clone(),
            digest: table.digest(),
        });
        zones.collect()
    }

    /// Answers a table hash with the digests of the zones, or with none when the tables agree.
    pub(crate) fn on_table_hash(&self, hash: u64, reply_to: SocketAddr, out: &mut Vec<Outgoing>) {
        let digests = if hash == self.table.digest() {
            Vec::new()
        } else {
            self.zone_digests()
        };
        out.push(Outgoing::routine(reply_to, Body::TableDigest(digests)));
    }

    /// Answers a digest with the bucket digests of zones that differ.
    pub(crate) fn on_table_digest(
        &mut self,
        header: &Header,
        digests: &[ZoneDigest],
        reply_to: SocketAddr,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        if digests.is_empty() {
            if header.ready || self.seeds_tried() {
                self.joined = true;
                self.filled = true;
            }
            return;
        }
        let theirs: BTreeMap<&ZoneName, u64> = digests
            .iter()
            .map(|entry| (&entry.zone, entry.digest))
            .collect();
        let mut differing = self.differing_zones(&theirs);
        if differing.is_empty() {
            out.push(Outgoing::routine(reply_to, Body::TableDigest(Vec::new())));
            return;
        }
        differing.shuffle(rng);
        differing.sort_by_key(|zone| *zone != header.zone);
        for zone in differing.into_iter().take(ZONES_PER_EXCHANGE) {
            let buckets = self.buckets(&zone).to_vec();
            out.push(Outgoing::routine(
                reply_to,
                Body::BucketDigests { zone, buckets },
            ));
        }
    }

    fn differing_zones(&self, theirs: &BTreeMap<&ZoneName, u64>) -> Vec<ZoneName> {
        let empty = ZoneTable::default().digest();
        let known = self
            .table
            .zones()
            .filter(|(zone, table)| theirs.get(zone).copied().unwrap_or(empty) != table.digest())
            .map(|(zone, _)| zone.clone());
        let unknown = theirs
            .iter()
            .filter(|(zone, digest)| self.table.zone(zone).is_none() && **digest != empty)
            .map(|(zone, _)| (*zone).clone());
        known.chain(unknown).collect()
    }

    fn buckets(&self, zone: &ZoneName) -> [u64; BUCKETS] {
        self.table
            .zone(zone)
            .map_or([0; BUCKETS], |table| *table.bucket_digests())
    }

    /// Answers bucket digests with what this daemon knows of the buckets that differ.
    pub(crate) fn on_bucket_digests(
        &mut self,
        zone: &ZoneName,
        theirs: &[u64],
        reply_to: SocketAddr,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let mine = self.buckets(zone);
        let mut differing: Vec<u8> = (0u8..)
            .zip(mine.iter().zip(theirs))
            .filter(|(_, (mine, theirs))| mine != theirs)
            .map(|(bucket, _)| bucket)
            .collect();
        differing.shuffle(rng);
        if self.filled {
            differing.truncate(BUCKETS_PER_EXCHANGE);
        }
        if differing.is_empty() {
            return;
        }
        let table = self.table.zone(zone);
        let entries = table.map_or_else(Vec::new, |table| {
            let summaries = differing.iter().map(|&bucket| table.summary(bucket));
            summaries.flatten().collect()
        });
        let body = Body::BucketSummary {
            zone: zone.clone(),
            buckets: differing,
            entries,
        };
        out.push(Outgoing::routine(reply_to, body));
    }

    /// Answers a summary with newer records, and names the records that this daemon wants.
    pub(crate) fn on_bucket_summary(
        &mut self,
        zone: &ZoneName,
        buckets: &[u8],
        entries: &[SummaryEntry],
        reply_to: SocketAddr,
        out: &mut Vec<Outgoing>,
    ) {
        let theirs: BTreeMap<&MemberId, Claim> = entries
            .iter()
            .map(|entry| (&entry.id, claim_of(entry)))
            .collect();
        let records = self.records_newer_than(zone, buckets, &theirs);
        let wanted = self.wanted(zone, &theirs);
        if records.is_empty() && wanted.is_empty() {
            return;
        }
        let body = Body::Records {
            zone: zone.clone(),
            records,
            wanted,
        };
        out.push(Outgoing::routine(reply_to, body));
    }

    fn records_newer_than(
        &self,
        zone: &ZoneName,
        buckets: &[u8],
        theirs: &BTreeMap<&MemberId, Claim>,
    ) -> Vec<Update> {
        let Some(table) = self.table.zone(zone) else {
            return Vec::new();
        };
        let in_buckets = |member: &&Member| {
            let bucket = bucket_of(&member.profile.id);
            buckets.iter().any(|&wanted| usize::from(wanted) == bucket)
        };
        table
            .members()
            .iter()
            .filter(in_buckets)
            .filter(|member| match theirs.get(&member.profile.id) {
                Some(claim) => differs(claim.merge(member.claim()), *claim),
                None => member.is_live(),
            })
            .map(Update::of)
            .collect()
    }

    fn wanted(&self, zone: &ZoneName, theirs: &BTreeMap<&MemberId, Claim>) -> Vec<MemberId> {
        theirs
            .iter()
            .filter(|(id, claim)| match self.table.get(zone, id) {
                Some(member) => differs(member.claim().merge(**claim), member.claim()),
                None => true,
            })
            .map(|(id, _)| (*id).clone())
            .collect()
    }

    /// Merges records, and answers with the wanted ones and those that are newer here.
    #[expect(clippy::too_many_arguments, reason = "one message with its context")]
    pub(crate) fn on_records(
        &mut self,
        now: Timestamp,
        header: &Header,
        zone: &ZoneName,
        records: &[Update],
        wanted: &[MemberId],
        reply_to: SocketAddr,
        counters: &mut Counters,
        out: &mut Vec<Outgoing>,
    ) {
        self.zone_known |= header.ready && *zone == self.me.profile.zone;
        let mut answer: Vec<Update> = wanted
            .iter()
            .filter_map(|id| self.table.get(zone, id))
            .map(Update::of)
            .collect();
        for record in records {
            self.learn(now, header, record, counters);
            let known = self.table.get(&record.zone, &record.id);
            if let Some(member) = known.filter(|member| differs(member.claim(), record.claim())) {
                answer.push(Update::of(member));
            }
        }
        if answer.is_empty() {
            return;
        }
        let body = Body::Records {
            zone: zone.clone(),
            records: answer,
            wanted: Vec::new(),
        };
        out.push(Outgoing::routine(reply_to, body));
    }

    /// Merges a record. What is news to a daemon whose table was full is passed on; a daemon that
    /// fills its table only takes what the others know.
    fn learn(&mut self, now: Timestamp, header: &Header, record: &Update, counters: &mut Counters) {
        let about_me = record.id == self.me.profile.id;
        if about_me || self.filled {
            self.apply(now, record, &header.zone, counters);
            return;
        }
        if matches!(
            self.table.merge(record),
            crate::table::Merge::Changed { .. }
        ) {
            self.after_change(now, &record.zone, &record.id);
        }
    }
}

const fn claim_of(entry: &SummaryEntry) -> Claim {
    Claim {
        incarnation: entry.incarnation,
        liveness: Liveness::Alive,
        leaving: entry.leaving,
    }
}

/// Whether two claims differ in what the digests cover, or in death.
const fn differs(one: Claim, other: Claim) -> bool {
    let dead = matches!(one.liveness, Liveness::Dead) != matches!(other.liveness, Liveness::Dead);
    let process = one.incarnation.process() != other.incarnation.process();
    dead || process || one.leaving != other.leaving
}

//! Anti-entropy: two daemons compare digests and exchange the records in which they differ.
//!
//! The initiator sends a hash of its table. The receiver replies with a digest per zone, or with
//! none if its own table has the same hash; a joining daemon starts with its zone digests instead.
//! The receiver of zone digests replies with the bucket digests of the zones that differ. The other
//! daemon then sends a summary of the differing buckets, and receives newer records and the ids of
//! the records to send in return.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use wharfquay_core::time::Timestamp;

use crate::counters::Counters;
use crate::member::{Liveness, Member, MemberId, VersionedState, ZoneName};
use crate::message::{Body, Header, SummaryEntry, Update, ZoneDigest};
use crate::table::{BUCKETS, ZoneTable, bucket_of};

use super::{Gossip, Outgoing, jitter};

/// Maximum time that a starting daemon spends on filling its table before it counts as joined.
pub(super) const JOIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two exchanges of a joining daemon.
const JOIN_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two exchanges of a daemon that has joined by timeout while its table has not yet
/// agreed with another daemon's.
const FILL_INTERVAL: Duration = Duration::from_secs(1);
/// Mean time between two contacts to a seed and to a member that is considered dead.
pub(super) const REJOIN_INTERVAL: Duration = Duration::from_secs(30);
/// Contacts per seed that are required before agreement with daemons that are not ready counts.
const SEED_ROUNDS: usize = 1;
/// Number of seeds that a daemon without known members contacts concurrently.
const CONCURRENT_SEEDS: usize = 3;
/// Maximum number of seed contacts required, regardless of the number of seeds.
const MAX_SEED_CONTACTS: usize = 8;
/// Maximum number of zones covered by one reply to zone digests.
const ZONES_PER_EXCHANGE: usize = 3;
/// Maximum number of buckets covered by one exchange of a daemon whose table is filled.
const BUCKETS_PER_EXCHANGE: usize = 4;

impl Gossip {
    /// Opens an exchange within the zone, or with a seed while this daemon is joining.
    pub(super) fn run_table_sync(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        if now < self.next_table_sync {
            return;
        }
        let join_timed_out = now >= self.join_deadline && self.table.live_count() > 1;
        if self.seeds.is_empty() || join_timed_out {
            self.joined = true;
        }
        let interval = if self.joined && !self.table_filled && self.table.live_count() > 1 {
            FILL_INTERVAL
        } else if self.joined {
            self.settings.table_sync_interval.mul_f64(0.75)
                + jitter(self.settings.table_sync_interval.mul_f64(0.5), rng)
        } else {
            JOIN_INTERVAL
        };
        self.next_table_sync = now + interval;
        self.is_seed_round = !self.is_seed_round;
        if !self.joined && self.table.live_count() <= 1 {
            for _ in 0..self.seeds.len().min(CONCURRENT_SEEDS) {
                self.contact_seed(out);
            }
            return;
        }
        if !self.joined && self.is_seed_round && !self.seeds.is_empty() {
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
        if self.table_filled {
            return peer;
        }
        let any_member = self.random_address_in_any_zone(rng);
        any_member.or(peer).or_else(|| self.random_seed(rng))
    }

    /// Returns the address of a random member of a random zone. A daemon that fills its table
    /// queries all zones, which spreads the load when a whole zone restarts.
    fn random_address_in_any_zone(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let zones: Vec<&ZoneName> = self.table.zones().map(|(zone, _)| zone).collect();
        let zone = zones.choose(rng)?;
        let member = self.random_member(zone, rng, Member::is_live)?;
        Some(member.profile.control_address)
    }

    /// Opens an exchange with the next seed in turn.
    pub(crate) fn contact_seed(&mut self, out: &mut Vec<Outgoing>) {
        let Some(index) = self.seed_contacts.checked_rem(self.seeds.len()) else {
            return;
        };
        self.seed_contacts += 1;
        let to = self.seeds[index].control_address;
        if to != self.me.profile.control_address {
            out.push(self.open_exchange(to, true));
        }
    }

    /// Returns true once the seeds have had a chance to reply. Daemons that start together and find
    /// only each other must not conclude that they are the whole deployment.
    fn seeds_contacted(&self) -> bool {
        let required = (self.seeds.len() * SEED_ROUNDS).min(MAX_SEED_CONTACTS);
        self.seed_contacts >= required
    }

    fn random_seed(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let own_address = self.me.profile.control_address;
        let others: Vec<SocketAddr> = self
            .seeds
            .iter()
            .map(|seed| seed.control_address)
            .filter(|address| *address != own_address)
            .collect();
        others.choose(rng).copied()
    }

    /// Opens an exchange with another zone if this daemon is a delegate.
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

    /// Returns the other zones in turn.
    fn next_zone(&mut self) -> Option<ZoneName> {
        self.zone_index = self.zone_index.wrapping_add(1);
        let zones = self.other_zones();
        let index = self.zone_index.checked_rem(zones.len())?;
        Some(zones[index].clone())
    }

    /// Contacts a seed and a member that is considered dead, which rejoins the two sides of a
    /// healed network partition.
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

    /// Builds the opening message of an exchange. It includes this daemon's own record while
    /// joining, or if `introduce` is set because the receiver may not know this daemon any more.
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

    /// Replies to a table hash with the zone digests, or with none if the tables agree.
    pub(crate) fn on_table_hash(&self, hash: u64, reply_to: SocketAddr, out: &mut Vec<Outgoing>) {
        let digests = if hash == self.table.digest() {
            Vec::new()
        } else {
            self.zone_digests()
        };
        out.push(Outgoing::routine(reply_to, Body::TableDigest(digests)));
    }

    /// Replies to zone digests with the bucket digests of zones that differ.
    pub(crate) fn on_table_digest(
        &mut self,
        header: &Header,
        digests: &[ZoneDigest],
        reply_to: SocketAddr,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        if digests.is_empty() {
            if header.ready || self.seeds_contacted() {
                self.joined = true;
                self.table_filled = true;
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

    /// Replies to bucket digests with a summary of the buckets that differ.
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
        if self.table_filled {
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

    /// Replies to a summary with newer records and the ids of the records that this daemon
    /// requests.
    pub(crate) fn on_bucket_summary(
        &mut self,
        zone: &ZoneName,
        buckets: &[u8],
        entries: &[SummaryEntry],
        reply_to: SocketAddr,
        out: &mut Vec<Outgoing>,
    ) {
        let theirs: BTreeMap<&MemberId, VersionedState> = entries
            .iter()
            .map(|entry| (&entry.id, versioned_state_of(entry)))
            .collect();
        let records = self.records_newer_than(zone, buckets, &theirs);
        let wanted = self.records_to_request(zone, &theirs);
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
        theirs: &BTreeMap<&MemberId, VersionedState>,
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
                Some(state) => states_differ(state.merge(member.versioned_state()), *state),
                None => member.is_live(),
            })
            .map(Update::of)
            .collect()
    }

    fn records_to_request(
        &self,
        zone: &ZoneName,
        theirs: &BTreeMap<&MemberId, VersionedState>,
    ) -> Vec<MemberId> {
        theirs
            .iter()
            .filter(|(id, state)| match self.table.get(zone, id) {
                Some(member) => states_differ(
                    member.versioned_state().merge(**state),
                    member.versioned_state(),
                ),
                None => true,
            })
            .map(|(id, _)| (*id).clone())
            .collect()
    }

    /// Merges records, and replies with the requested ones and those that are newer here.
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
        self.local_zone_known |= header.ready && *zone == self.me.profile.zone;
        let mut reply: Vec<Update> = wanted
            .iter()
            .filter_map(|id| self.table.get(zone, id))
            .map(Update::of)
            .collect();
        for record in records {
            self.merge_record(now, header, record, counters);
            let known = self.table.get(&record.zone, &record.id);
            if let Some(member) = known
                .filter(|member| states_differ(member.versioned_state(), record.versioned_state()))
            {
                reply.push(Update::of(member));
            }
        }
        if reply.is_empty() {
            return;
        }
        let body = Body::Records {
            zone: zone.clone(),
            records: reply,
            wanted: Vec::new(),
        };
        out.push(Outgoing::routine(reply_to, body));
    }

    /// Merges a record. A daemon whose table is filled gossips a changed record. One that is
    /// filling its table does not, because the other daemons already have it.
    fn merge_record(
        &mut self,
        now: Timestamp,
        header: &Header,
        record: &Update,
        counters: &mut Counters,
    ) {
        let about_self = record.id == self.me.profile.id;
        if about_self || self.table_filled {
            self.apply(now, record, &header.zone, counters);
            return;
        }
        if matches!(
            self.table.merge(record),
            crate::table::MergeOutcome::Changed { .. }
        ) {
            self.update_timers(now, &record.zone, &record.id);
        }
    }
}

const fn versioned_state_of(entry: &SummaryEntry) -> VersionedState {
    VersionedState {
        incarnation: entry.incarnation,
        liveness: Liveness::Alive,
        leaving: entry.leaving,
    }
}

/// Returns true if two states differ in the fields that the digests cover, or in death.
const fn states_differ(one: VersionedState, other: VersionedState) -> bool {
    let dead = matches!(one.liveness, Liveness::Dead) != matches!(other.liveness, Liveness::Dead);
    let process = one.incarnation.process() != other.incarnation.process();
    dead || process || one.leaving != other.leaving
}

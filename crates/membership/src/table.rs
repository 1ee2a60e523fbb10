//! The member table: what a daemon knows of every member, by zone, with digests for anti-entropy.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::hash::{hash_bytes, mix};
use crate::member::{Claim, Liveness, Member, MemberId, MemberProfile, ZoneName, rendezvous_score};
use crate::message::{SummaryEntry, Update};

/// Buckets into which the members of a zone fall for anti-entropy.
pub const BUCKETS: usize = 16;

/// What came of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// The table holds what the report says, or more.
    Known,
    /// The table changed.
    Changed {
        /// Whether the member was not in the table or was dead before.
        appeared: bool,
    },
    /// The report is about a member that is not in the table, and has no profile.
    Unknown,
}

/// Every known member by zone.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    zones: BTreeMap<ZoneName, ZoneTable>,
    delegate_count: usize,
}

/// The members of one zone, in order of id. Copies share the records until one of them changes.
#[derive(Clone, Debug, Default)]
pub struct ZoneTable {
    members: Arc<Vec<Member>>,
    digests: [u64; BUCKETS],
    live: usize,
    delegates: Vec<MemberId>,
}

impl MemberTable {
    /// An empty table in which each zone has this many delegates.
    #[must_use]
    pub const fn new(delegate_count: usize) -> Self {
        Self {
            zones: BTreeMap::new(),
            delegate_count,
        }
    }

    /// The zones, in order of name.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneName, &ZoneTable)> {
        self.zones.iter()
    }

    /// One zone.
    #[must_use]
    pub fn zone(&self, zone: &ZoneName) -> Option<&ZoneTable> {
        self.zones.get(zone)
    }

    /// One member.
    #[must_use]
    pub fn get(&self, zone: &ZoneName, id: &MemberId) -> Option<&Member> {
        self.zones.get(zone)?.get(id)
    }

    /// Every member, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.zones.values().flat_map(|zone| zone.members.iter())
    }

    /// Digest over the live members of all zones.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let empty = ZoneTable::default().digest();
        self.zones
            .iter()
            .filter(|(_, zone)| zone.digest() != empty)
            .fold(0, |digest, (name, zone)| {
                let named = hash_bytes(name.as_str().as_bytes()) ^ zone.digest();
                digest ^ mix(named)
            })
    }

    /// Members that are not dead.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.zones.values().map(|zone| zone.live).sum()
    }

    /// Merges a report.
    pub fn merge(&mut self, update: &Update) -> Merge {
        if update.profile.is_none() && self.get(&update.zone, &update.id).is_none() {
            return Merge::Unknown;
        }
        let zone = self.zones.entry(update.zone.clone()).or_default();
        let merge = zone.merge(update);
        if matches!(merge, Merge::Changed { .. }) {
            zone.elect(self.delegate_count);
        }
        merge
    }

    /// Puts many records in, as a start from a prepared table does.
    pub fn extend(&mut self, members: impl IntoIterator<Item = Member>) {
        for member in members {
            let zone = self.zones.entry(member.profile.zone.clone()).or_default();
            zone.put(member);
        }
        for zone in self.zones.values_mut() {
            zone.elect(self.delegate_count);
        }
    }

    /// Forgets a dead member.
    pub fn forget(&mut self, zone: &ZoneName, id: &MemberId) {
        let Some(table) = self.zones.get_mut(zone) else {
            return;
        };
        let Some(position) = table.position(id).ok() else {
            return;
        };
        if !table.members[position].is_live() {
            Arc::make_mut(&mut table.members).remove(position);
        }
    }

    /// Bytes that the table takes, shared parts counted whole.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.members().map(memory_of).sum()
    }
}

fn memory_of(member: &Member) -> usize {
    let profile = &member.profile;
    let texts = profile.id.as_str().len()
        + profile.zone.as_str().len()
        + profile.service.as_ref().map_or(0, String::len);
    size_of::<Member>() + size_of::<MemberProfile>() + texts
}

impl ZoneTable {
    /// The members, dead ones included.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Members that are not dead.
    #[must_use]
    pub const fn live_count(&self) -> usize {
        self.live
    }

    /// The delegates, best first: the highest rendezvous scores among members that are alive and do
    /// not leave, or among all live ones when every one leaves.
    #[must_use]
    pub fn delegates(&self) -> &[MemberId] {
        &self.delegates
    }

    /// Digest over the live members; suspicion does not show in it.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digests
            .iter()
            .fold(0, |digest, &bucket| mix(digest ^ bucket))
    }

    /// Digest of each bucket.
    #[must_use]
    pub const fn bucket_digests(&self) -> &[u64; BUCKETS] {
        &self.digests
    }

    /// One member.
    #[must_use]
    pub fn get(&self, id: &MemberId) -> Option<&Member> {
        self.position(id).ok().map(|at| &self.members[at])
    }

    /// What is known of the live members of a bucket, without profiles.
    #[must_use]
    pub fn summary(&self, bucket: u8) -> Vec<SummaryEntry> {
        self.live_in_bucket(bucket)
            .map(|member| SummaryEntry {
                id: member.profile.id.clone(),
                incarnation: member.incarnation,
                leaving: member.leaving,
            })
            .collect()
    }

    /// The live members of a bucket.
    pub fn live_in_bucket(&self, bucket: u8) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| member.is_live())
            .filter(move |member| bucket_of(&member.profile.id) == usize::from(bucket))
    }

    fn position(&self, id: &MemberId) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| member.profile.id.cmp(id))
    }

    fn merge(&mut self, update: &Update) -> Merge {
        let Ok(position) = self.position(&update.id) else {
            return self.insert(update);
        };
        let known = &self.members[position];
        let merged = known.claim().merge(update.claim());
        if merged == known.claim() {
            return Merge::Known;
        }
        let appeared = !known.is_live() && merged.liveness != Liveness::Dead;
        let changed = Member {
            profile: merged_profile(known, update, merged),
            incarnation: merged.incarnation,
            liveness: merged.liveness,
            leaving: merged.leaving,
        };
        self.put(changed);
        Merge::Changed { appeared }
    }

    fn insert(&mut self, update: &Update) -> Merge {
        let Some(profile) = update.member_profile() else {
            return Merge::Unknown;
        };
        self.put(Member {
            profile: Arc::new(profile),
            incarnation: update.incarnation,
            liveness: update.liveness,
            leaving: update.leaving,
        });
        Merge::Changed { appeared: true }
    }

    /// Puts a record in place of the one with its id, and keeps digests and count.
    fn put(&mut self, member: Member) {
        let bucket = bucket_of(&member.profile.id);
        self.digests[bucket] ^= fingerprint(&member);
        self.live += usize::from(member.is_live());
        match self.position(&member.profile.id) {
            Ok(position) => {
                let replaced =
                    std::mem::replace(&mut Arc::make_mut(&mut self.members)[position], member);
                self.digests[bucket] ^= fingerprint(&replaced);
                self.live -= usize::from(replaced.is_live());
            }
            Err(position) => Arc::make_mut(&mut self.members).insert(position, member),
        }
    }

    fn elect(&mut self, count: usize) {
        let takes_work = |member: &&Member| member.is_live() && !member.leaving;
        let mut best = self.best(count, takes_work);
        if best.is_empty() {
            best = self.best(count, |member| member.is_live());
        }
        self.delegates = best;
    }

    fn best(&self, count: usize, eligible: impl Fn(&&Member) -> bool) -> Vec<MemberId> {
        let mut best: Vec<(u64, &MemberId)> = Vec::with_capacity(count + 1);
        for member in self.members.iter().filter(eligible) {
            let candidate = (rendezvous_score(&member.profile.id), &member.profile.id);
            let position = best.partition_point(|ranked| *ranked > candidate);
            if position < count {
                best.insert(position, candidate);
                best.truncate(count);
            }
        }
        best.into_iter().map(|(_, id)| id.clone()).collect()
    }
}

/// The bucket of a member.
pub(crate) fn bucket_of(id: &MemberId) -> usize {
    usize::try_from(hash_bytes(id.as_str().as_bytes()) % BUCKETS as u64).unwrap_or(0)
}

/// What a live member adds to the digest of its bucket; zero for a dead one.
fn fingerprint(member: &Member) -> u64 {
    if !member.is_live() {
        return 0;
    }
    let identity = hash_bytes(member.profile.id.as_str().as_bytes());
    let process = mix(member.incarnation.process());
    mix(identity ^ process ^ u64::from(member.leaving))
}

/// Keeps the known profile unless a later process has reported another one.
fn merged_profile(known: &Member, update: &Update, merged: Claim) -> Arc<MemberProfile> {
    let same_process = known.incarnation.process() == merged.incarnation.process();
    if same_process {
        return Arc::clone(&known.profile);
    }
    match update.member_profile() {
        Some(profile) if profile != *known.profile => Arc::new(profile),
        _ => Arc::clone(&known.profile),
    }
}

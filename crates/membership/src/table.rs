//! Member table: the known members by zone, with digests for anti-entropy.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::hash::{hash_bytes, mix};
use crate::member::{
    Liveness, Member, MemberId, MemberProfile, VersionedState, ZoneName, rendezvous_score,
};
use crate::message::{SummaryEntry, Update};

/// Number of buckets into which the members of a zone are divided for anti-entropy.
pub const BUCKETS: usize = 16;

/// Result of merging an update into the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The update added nothing to what the table already held.
    Unchanged,
    /// The update changed the table.
    Changed {
        /// True if the member was previously unknown or dead.
        appeared: bool,
    },
    /// The update concerns an unknown member and carries no profile, so it was ignored.
    UnknownMember,
}

/// Known members by zone.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    zones: BTreeMap<ZoneName, ZoneTable>,
    delegate_count: usize,
}

/// Members of one zone, in order of id. Clones share the records until one of them changes.
#[derive(Clone, Debug, Default)]
pub struct ZoneTable {
    members: Arc<Vec<Member>>,
    digests: [u64; BUCKETS],
    live: usize,
    delegates: Vec<MemberId>,
}

impl MemberTable {
    /// Creates an empty table in which each zone has this many delegates.
    #[must_use]
    pub const fn new(delegate_count: usize) -> Self {
        Self {
            zones: BTreeMap::new(),
            delegate_count,
        }
    }

    /// Returns the zones, in order of name.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneName, &ZoneTable)> {
        self.zones.iter()
    }

    /// Returns a zone's members, or `None` if the zone is unknown.
    #[must_use]
    pub fn zone(&self, zone: &ZoneName) -> Option<&ZoneTable> {
        self.zones.get(zone)
    }

    /// Returns a member's record, or `None` if the zone or member is unknown.
    #[must_use]
    pub fn get(&self, zone: &ZoneName, id: &MemberId) -> Option<&Member> {
        self.zones.get(zone)?.get(id)
    }

    /// Returns all members, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.zones.values().flat_map(|zone| zone.members.iter())
    }

    /// Returns the digest over the live members of all zones.
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

    /// Returns the number of members that are not dead.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.zones.values().map(|zone| zone.live).sum()
    }

    /// Merges an update.
    pub fn merge(&mut self, update: &Update) -> MergeOutcome {
        if update.profile.is_none() && self.get(&update.zone, &update.id).is_none() {
            return MergeOutcome::UnknownMember;
        }
        let zone = self.zones.entry(update.zone.clone()).or_default();
        let merge = zone.merge(update);
        if matches!(merge, MergeOutcome::Changed { .. }) {
            zone.select_delegates(self.delegate_count);
        }
        merge
    }

    /// Inserts records without merging, replacing those with the same id. Used to fill a prepared
    /// table and for the record of the local daemon.
    pub fn extend(&mut self, members: impl IntoIterator<Item = Member>) {
        for member in members {
            let zone = self.zones.entry(member.profile.zone.clone()).or_default();
            zone.upsert(member);
        }
        for zone in self.zones.values_mut() {
            zone.select_delegates(self.delegate_count);
        }
    }

    /// Removes a member if it is dead.
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

    /// Returns the approximate size of the table in bytes. Shared records are counted in full.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.members().map(memory_of).sum()
    }
}

fn memory_of(member: &Member) -> usize {
    let profile = &member.profile;
    let text_bytes = profile.id.as_str().len()
        + profile.zone.as_str().len()
        + profile.service.as_ref().map_or(0, String::len);
    size_of::<Member>() + size_of::<MemberProfile>() + text_bytes
}

impl ZoneTable {
    /// Returns the members in order of id, dead ones included.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the number of members that are not dead.
    #[must_use]
    pub const fn live_count(&self) -> usize {
        self.live
    }

    /// Returns the delegates, best first: the members with the highest rendezvous scores among the
    /// live ones that are not leaving, or among all live ones if every one is leaving.
    #[must_use]
    pub fn delegates(&self) -> &[MemberId] {
        &self.delegates
    }

    /// Returns the digest over the live members. It does not depend on suspicion.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digests
            .iter()
            .fold(0, |digest, &bucket| mix(digest ^ bucket))
    }

    /// Returns the digest of each bucket.
    #[must_use]
    pub const fn bucket_digests(&self) -> &[u64; BUCKETS] {
        &self.digests
    }

    /// Returns a member's record, or `None` if the member is unknown.
    #[must_use]
    pub fn get(&self, id: &MemberId) -> Option<&Member> {
        self.position(id).ok().map(|at| &self.members[at])
    }

    /// Returns the state of each live member in a bucket, without profiles.
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

    /// Returns the live members in a bucket.
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

    fn merge(&mut self, update: &Update) -> MergeOutcome {
        let Ok(position) = self.position(&update.id) else {
            return self.insert(update);
        };
        let known = &self.members[position];
        let merged = known.versioned_state().merge(update.versioned_state());
        if merged == known.versioned_state() {
            return MergeOutcome::Unchanged;
        }
        let appeared = !known.is_live() && merged.liveness != Liveness::Dead;
        let changed = Member {
            profile: merged_profile(known, update, merged),
            incarnation: merged.incarnation,
            liveness: merged.liveness,
            leaving: merged.leaving,
        };
        self.upsert(changed);
        MergeOutcome::Changed { appeared }
    }

    fn insert(&mut self, update: &Update) -> MergeOutcome {
        let Some(profile) = update.member_profile() else {
            return MergeOutcome::UnknownMember;
        };
        self.upsert(Member {
            profile: Arc::new(profile),
            incarnation: update.incarnation,
            liveness: update.liveness,
            leaving: update.leaving,
        });
        MergeOutcome::Changed { appeared: true }
    }

    /// Inserts a record or replaces the one with the same id, and updates digests and live count.
    fn upsert(&mut self, member: Member) {
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

    fn select_delegates(&mut self, count: usize) {
        let accepts_work = |member: &&Member| member.is_live() && !member.leaving;
        let mut best = self.best(count, accepts_work);
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

/// Returns the bucket of a member.
pub(crate) fn bucket_of(id: &MemberId) -> usize {
    usize::try_from(hash_bytes(id.as_str().as_bytes()) % BUCKETS as u64).unwrap_or(0)
}

/// Returns the contribution of a member to the digest of its bucket; 0 for a dead member.
fn fingerprint(member: &Member) -> u64 {
    if !member.is_live() {
        return 0;
    }
    let identity = hash_bytes(member.profile.id.as_str().as_bytes());
    let process = mix(member.incarnation.process());
    mix(identity ^ process ^ u64::from(member.leaving))
}

/// Returns the profile for a merged record: the known one, unless a later process reported another.
fn merged_profile(known: &Member, update: &Update, merged: VersionedState) -> Arc<MemberProfile> {
    let same_process = known.incarnation.process() == merged.incarnation.process();
    if same_process {
        return Arc::clone(&known.profile);
    }
    match update.member_profile() {
        Some(profile) if profile != *known.profile => Arc::new(profile),
        _ => Arc::clone(&known.profile),
    }
}

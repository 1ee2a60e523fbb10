//! Random selection of members and zones.

use rand::{Rng, RngExt};

use crate::member::{Member, ZoneName};

use super::Gossip;

/// Random picks made to find an eligible member before a round is skipped.
const PICK_ATTEMPTS: usize = 16;

impl Gossip {
    /// Returns a random live member of the local zone other than this one.
    pub(crate) fn random_peer(&self, rng: &mut impl Rng) -> Option<&Member> {
        self.random_member(&self.me.profile.zone, rng, Member::is_live)
    }

    /// Returns a random member of a zone that satisfies a condition, never this member itself.
    pub(super) fn random_member(
        &self,
        zone: &ZoneName,
        rng: &mut impl Rng,
        eligible: impl Fn(&Member) -> bool,
    ) -> Option<&Member> {
        let members = self.table.zone(zone)?.members();
        if members.is_empty() {
            return None;
        }
        (0..PICK_ATTEMPTS)
            .map(|_| &members[rng.random_range(0..members.len())])
            .find(|member| member.profile.id != self.me.profile.id && eligible(member))
    }

    /// Returns a random other zone.
    pub(crate) fn random_zone(&self, rng: &mut impl Rng) -> Option<&ZoneName> {
        let others = self.other_zones();
        if others.is_empty() {
            return None;
        }
        Some(others[rng.random_range(0..others.len())])
    }

    /// Returns the other zones that have live members, in order of name.
    pub(crate) fn other_zones(&self) -> Vec<&ZoneName> {
        self.table
            .zones()
            .filter(|(zone, table)| **zone != self.me.profile.zone && table.live_count() > 0)
            .map(|(zone, _)| zone)
            .collect()
    }

    /// Returns a random delegate of a zone, or with a small probability any live member, in case
    /// all its delegates have failed.
    pub(crate) fn contact_in(&self, zone: &ZoneName, rng: &mut impl Rng) -> Option<&Member> {
        const ANY_MEMBER_PROBABILITY: f64 = 0.1;
        let table = self.table.zone(zone)?;
        let delegates = table.delegates();
        if delegates.is_empty() || rng.random_bool(ANY_MEMBER_PROBABILITY) {
            return self.random_member(zone, rng, Member::is_live);
        }
        table.get(&delegates[rng.random_range(0..delegates.len())])
    }
}

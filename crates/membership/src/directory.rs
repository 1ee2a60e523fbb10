//! When a member looks into the platform's directory for others, and when it enters itself there.
//!
//! Every call to the platform has a price, and the directory is read by those that know nobody: a few addresses are
//! enough, since gossip tells the rest. So the directory holds a bounded number of entries, whatever the size of the
//! deployment, and nobody has to agree on whose they are:
//!
//! - A member that knows nobody and finds nobody enters itself with a chance that grows with each look. Of any number
//!   that start together, a few do so first, and the others find these.
//! - A member that knows the others enters itself if it is among the first of them by rendezvous, once its table has
//!   stopped growing. So an entry whose member is gone is replaced by another.
//! - After the platform's store was restored from a copy, the members that have an entry write it again.

use std::cmp::Reverse;
use std::time::Duration;

use rand::{Rng, RngExt};
use wharfquay_core::time::Timestamp;

use crate::gossip::jitter;
use crate::member::{Member, MemberId, rendezvous_score};
use crate::table::MemberTable;

/// Entries that are kept, where the deployment has as many members. Starting members spread their first contacts over
/// them, and most may be gone before a start is hard.
pub const ENTRIES: usize = 80;

/// Which members enter themselves, and how often they look.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectorySettings {
    /// Entries that are kept, where the deployment has as many members.
    pub entries: usize,
    /// How members that find nobody enter themselves at the first start of the whole deployment.
    pub first_start: EntryPace,
    /// The same at a later start, when the directory mostly shows others: only a restored store shows nobody.
    pub later_start: EntryPace,
    /// Looks that may show an older state, at a fraction of the price, before fresh ones are asked for.
    pub stale_looks: u32,
    /// Longest wait of a starting member before its first look.
    pub first_look: Duration,
    /// Pause after the first call that failed; each further one is twice as long.
    pub first_retry: Duration,
    /// Longest pause between two calls.
    pub longest_pause: Duration,
    /// The same where listings have shown others, who have to answer first.
    pub stale_looks_at_others: u32,
    /// Time between two reviews whether a member that knows others should have an entry. It enters itself when two
    /// reviews in a row say so.
    pub review_interval: Duration,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self {
            entries: ENTRIES,
            first_start: EntryPace {
                chances: vec![1.0 / 16.0, 1.0 / 16.0, 1.0 / 8.0, 0.5, 1.0],
                look_pause: Duration::from_secs(1),
            },
            later_start: EntryPace {
                chances: vec![1.0 / 16.0, 0.5, 1.0],
                look_pause: Duration::from_millis(400),
            },
            stale_looks: 2,
            first_look: Duration::from_millis(125),
            first_retry: Duration::from_millis(250),
            longest_pause: Duration::from_secs(2),
            stale_looks_at_others: 6,
            review_interval: Duration::from_secs(2),
        }
    }
}

impl DirectorySettings {
    /// Every member enters itself at once.
    #[must_use]
    pub fn of_all_members() -> Self {
        let at_once = EntryPace {
            chances: vec![1.0],
            look_pause: Duration::from_millis(250),
        };
        Self {
            entries: usize::MAX,
            first_start: at_once.clone(),
            later_start: at_once,
            ..Self::default()
        }
    }
}

/// How members that find nobody enter themselves, so that a few of many do so first and the others find these.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryPace {
    /// Chance of an entry, by the number of earlier draws; the last one holds for all further ones.
    pub chances: Vec<f64>,
    /// Pause after a look: time in which those who were seen answer, and in which the entry of one that looked at the
    /// same time shows in listings that may be stale.
    pub look_pause: Duration,
}

impl EntryPace {
    fn chance(&self, draw: u32) -> f64 {
        let draw = usize::try_from(draw).unwrap_or(usize::MAX);
        let last = self.chances.last().copied();
        let chance = self.chances.get(draw).copied().or(last);
        chance.unwrap_or(1.0)
    }
}

/// How new a listing has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingAge {
    /// It may be seconds old.
    MayBeStale,
    /// It shows everything that was acknowledged before the question.
    Latest,
}

/// What the driver does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryStep {
    /// List the directory, and hand the result to [`Enrolment::listed`] or [`Enrolment::look_failed`].
    Look(ListingAge),
    /// Write the own entry, and hand the result to [`Enrolment::entered`].
    Enter,
    /// Ask again at this time, or when the store was restored.
    WaitUntil(Timestamp),
}

/// How the own entry stands in a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnEntry {
    /// It is not there.
    Missing,
    /// It says what it should.
    Current,
    /// It says something else: another address, or what another writer left there.
    Different,
}

/// One member's part in the directory.
#[derive(Clone, Debug)]
pub struct Enrolment {
    settings: DirectorySettings,
    pace: EntryPace,
    id: MemberId,
    next_at: Timestamp,
    retry: Duration,
    looks: u32,
    /// Times that the chance to enter was drawn.
    draws: u32,
    /// How new the listing was that was last asked for.
    asked: ListingAge,
    /// Whether the directory is to be looked at even where others have made contact first: the entry of an earlier
    /// process may stand, and all that start together go by the same listing in some matters.
    owes_look: bool,
    /// Whether others were known at the last look.
    knows_others: bool,
    /// Whether an earlier look showed others, who did not answer since.
    has_seen_others: bool,
    /// Whether the own entry is known to stand.
    has_entry: bool,
    /// Whether the entry is to be written now.
    wants_entry: bool,
    /// Live members at the last review that found this member among the first.
    chosen_among: Option<usize>,
}

impl Enrolment {
    /// A member that starts now. `is_first_start`: whether the whole deployment starts for the first time, so that no
    /// entries of earlier processes can be there.
    pub fn new(
        settings: DirectorySettings,
        id: MemberId,
        is_first_start: bool,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Self {
        let pace = match is_first_start {
            true => settings.first_start.clone(),
            false => settings.later_start.clone(),
        };
        let mut enrolment = Self {
            pace,
            next_at: now + jitter(settings.first_look, rng),
            retry: settings.first_retry,
            id,
            looks: 0,
            draws: 0,
            asked: ListingAge::MayBeStale,
            owes_look: !is_first_start,
            knows_others: false,
            has_seen_others: false,
            has_entry: false,
            wants_entry: false,
            chosen_among: None,
            settings,
        };
        if is_first_start {
            // There is nothing to see yet.
            enrolment.wants_entry = enrolment.draws_entry(rng);
            if !enrolment.wants_entry {
                enrolment.wait_for_others(now, rng);
            }
        }
        enrolment
    }

    /// What to do now.
    pub fn next(&mut self, now: Timestamp, table: &MemberTable) -> DirectoryStep {
        if now < self.next_at {
            return DirectoryStep::WaitUntil(self.next_at);
        }
        if self.wants_entry {
            return DirectoryStep::Enter;
        }
        let members = table.live_count();
        if members <= 1 || self.owes_look {
            self.owes_look = false;
            self.knows_others = members > 1;
            self.asked = self.listing_age();
            return DirectoryStep::Look(self.asked);
        }
        self.review(now, table, members);
        if self.wants_entry {
            return DirectoryStep::Enter;
        }
        self.next_at = now + self.settings.review_interval;
        DirectoryStep::WaitUntil(self.next_at)
    }

    /// Takes in a listing: the own entry, and the number of others.
    pub fn listed(&mut self, now: Timestamp, own: OwnEntry, others: usize, rng: &mut impl Rng) {
        let is_alone = !self.knows_others && (others == 0 || self.has_seen_others);
        self.has_seen_others |= others > 0;
        match own {
            OwnEntry::Current => self.has_entry = true,
            OwnEntry::Different => self.wants_entry = true,
            // It may have been written since the listing was made.
            OwnEntry::Missing if self.has_entry && self.asked == ListingAge::MayBeStale => {}
            OwnEntry::Missing => {
                self.has_entry = false;
                self.wants_entry = is_alone && self.draws_entry(rng);
            }
        }
        self.looks += 1;
        self.wait_for_others(now, rng);
        if self.wants_entry {
            self.next_at = now;
        }
    }

    /// The platform gave no listing.
    pub fn look_failed(&mut self, now: Timestamp, rng: &mut impl Rng) {
        self.after_failure(now, rng);
    }

    /// The own entry was written, or the platform did not take it.
    pub fn entered(&mut self, now: Timestamp, is_written: bool, rng: &mut impl Rng) {
        self.has_entry |= is_written;
        self.wants_entry = !is_written;
        if is_written {
            self.retry = self.settings.first_retry;
            self.next_at = now + self.pace.look_pause;
        } else {
            self.after_failure(now, rng);
        }
    }

    /// The platform's store was restored from a copy, which may lack the own entry.
    pub fn store_restored(&mut self, now: Timestamp, rng: &mut impl Rng) {
        if self.has_entry {
            self.has_entry = false;
            self.wants_entry = true;
            self.retry = self.settings.first_retry;
            self.next_at = now + jitter(self.pace.look_pause, rng);
        }
    }

    /// Where others were seen, a fresh listing would show little more: they have to answer.
    fn listing_age(&self) -> ListingAge {
        let stale_looks = match self.has_seen_others {
            true => self.settings.stale_looks_at_others,
            false => self.settings.stale_looks,
        };
        if self.looks < stale_looks {
            ListingAge::MayBeStale
        } else {
            ListingAge::Latest
        }
    }

    fn draws_entry(&mut self, rng: &mut impl Rng) -> bool {
        let chance = self.pace.chance(self.draws);
        self.draws += 1;
        rng.random_bool(chance)
    }

    fn wait_for_others(&mut self, now: Timestamp, rng: &mut impl Rng) {
        let draws = usize::try_from(self.draws).unwrap_or(usize::MAX);
        let pause = match draws < self.pace.chances.len() {
            true => self.pace.look_pause,
            false => self.settings.longest_pause,
        };
        self.retry = self.settings.first_retry;
        self.next_at = now + pause.mul_f64(0.75) + jitter(pause.mul_f64(0.25), rng);
    }

    /// Waits before the next call, spread so that members which start together do not call together.
    fn after_failure(&mut self, now: Timestamp, rng: &mut impl Rng) {
        let pause = self.retry;
        self.retry = (pause * 2).min(self.settings.longest_pause);
        self.next_at = now + pause.mul_f64(0.5) + jitter(pause.mul_f64(0.5), rng);
    }

    /// Finds out whether this member should have an entry: two reviews in a row, between which the table has not
    /// grown, find it among the first.
    fn review(&mut self, now: Timestamp, table: &MemberTable, members: usize) {
        if self.has_entry {
            return;
        }
        let before = self.chosen_among.take();
        if !self.is_among_first(table) {
            return;
        }
        self.wants_entry = before.is_some_and(|before| members <= before);
        self.chosen_among = Some(members);
        self.next_at = now;
    }

    fn is_among_first(&self, table: &MemberTable) -> bool {
        if table.live_count() <= self.settings.entries {
            return true;
        }
        let rank = |id: &MemberId| Reverse(rendezvous_score(id));
        let own = rank(&self.id);
        let stays = |member: &&Member| member.is_live() && !member.leaving;
        let candidates = table.members().filter(stays);
        let better = candidates.filter(|member| rank(&member.profile.id) < own);
        better.take(self.settings.entries).count() < self.settings.entries
    }
}

//! Decides when a member reads the platform's directory to discover others, and when it registers
//! itself there.
//!
//! Each call to the platform is costly, and only members that know no others read the directory. A
//! few addresses are enough for them, since gossip provides the rest. The directory therefore holds
//! a bounded number of entries, independent of the size of the deployment. Members decide without
//! coordination who registers:
//!
//! - A member that knows no others and finds none registers with a probability that grows with each
//!   draw. Of many members that start together, a few register first and the others discover these.
//! - A member that knows others registers if it is among the first members in rendezvous order and
//!   its table has stopped growing. The entry of a departed member is thereby replaced by another
//!   one.
//! - After the platform's store has been restored from a backup, the members that have an entry
//!   write it again.

use std::cmp::Reverse;
use std::time::Duration;

use rand::{Rng, RngExt};
use wharfquay_core::time::Timestamp;

use crate::gossip::jitter;
use crate::member::{Member, MemberId, rendezvous_score};
use crate::table::MemberTable;

/// Number of directory entries that are maintained if the deployment has at least as many members.
/// Starting members spread their first contacts over the entries. The number leaves enough of them
/// if most of the registered members have departed.
pub const DIRECTORY_ENTRIES: usize = 80;

/// Number of entries, registration probabilities and poll intervals.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectorySettings {
    /// Number of entries that are maintained if the deployment has at least as many members.
    pub entries: usize,
    /// Registration of members that find no others, at the first start of the whole deployment.
    pub first_start: RegistrationSchedule,
    /// Registration of members that find no others, at a later start. The directory then usually
    /// lists others; it is empty only if the store was restored.
    pub later_start: RegistrationSchedule,
    /// Number of polls, from the first on, that accept a stale listing while no listing has shown
    /// other members. A stale listing costs a fraction of a fresh one.
    pub stale_polls: u32,
    /// Maximum delay of a starting member's first poll.
    pub max_first_poll_delay: Duration,
    /// Delay after the first failed call. Each further failure doubles it, up to
    /// `max_call_interval`.
    pub initial_retry_delay: Duration,
    /// Maximum time between two calls.
    pub max_call_interval: Duration,
    /// Number of polls, from the first on, that accept a stale listing once a listing has shown
    /// other members, who need time to reply.
    pub stale_polls_after_listing: u32,
    /// Time between two reviews of whether a member that knows others should have an entry. It
    /// registers when two consecutive reviews select it.
    pub review_interval: Duration,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self {
            entries: DIRECTORY_ENTRIES,
            first_start: RegistrationSchedule {
                probabilities: vec![1.0 / 16.0, 1.0 / 16.0, 1.0 / 8.0, 0.5, 1.0],
                poll_interval: Duration::from_secs(1),
            },
            later_start: RegistrationSchedule {
                probabilities: vec![1.0 / 16.0, 0.5, 1.0],
                poll_interval: Duration::from_millis(400),
            },
            stale_polls: 2,
            max_first_poll_delay: Duration::from_millis(125),
            initial_retry_delay: Duration::from_millis(250),
            max_call_interval: Duration::from_secs(2),
            stale_polls_after_listing: 6,
            review_interval: Duration::from_secs(2),
        }
    }
}

impl DirectorySettings {
    /// Settings under which every member registers immediately.
    #[must_use]
    pub fn register_all() -> Self {
        let immediate = RegistrationSchedule {
            probabilities: vec![1.0],
            poll_interval: Duration::from_millis(250),
        };
        Self {
            entries: usize::MAX,
            first_start: immediate.clone(),
            later_start: immediate,
            ..Self::default()
        }
    }
}

/// Registration of members that find no others. Of many such members a few register first, and the
/// others discover these.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrationSchedule {
    /// Probability of registering at each draw, in order; the last one applies to all further
    /// draws.
    pub probabilities: Vec<f64>,
    /// Time between polls and after registering. In this time listed members reply, and a
    /// registration made at the same time becomes visible in stale listings.
    pub poll_interval: Duration,
}

impl RegistrationSchedule {
    fn probability(&self, draw: u32) -> f64 {
        let draw = usize::try_from(draw).unwrap_or(usize::MAX);
        let last = self.probabilities.last().copied();
        let probability = self.probabilities.get(draw).copied().or(last);
        probability.unwrap_or(1.0)
    }
}

/// Required freshness of a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingFreshness {
    /// The listing may be seconds old.
    MayBeStale,
    /// The listing includes every write acknowledged before the request.
    Latest,
}

/// The next action for the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryStep {
    /// List the directory and pass the result to [`DirectoryRegistration::on_listing`] or
    /// [`DirectoryRegistration::on_listing_failed`].
    List(ListingFreshness),
    /// Write this member's entry and pass the result to
    /// [`DirectoryRegistration::on_registration_result`].
    Register,
    /// Call [`DirectoryRegistration::next`] again at this time, or when the store has been
    /// restored.
    WaitUntil(Timestamp),
}

/// State of this member's entry in a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// The listing has no such entry.
    Missing,
    /// The entry has the expected content.
    Current,
    /// The entry has other content: an old address, or what another writer has put there.
    Different,
}

/// Registration state of one member in the directory.
#[derive(Clone, Debug)]
pub struct DirectoryRegistration {
    settings: DirectorySettings,
    schedule: RegistrationSchedule,
    id: MemberId,
    next_at: Timestamp,
    retry_delay: Duration,
    polls: u32,
    /// Number of draws made so far for registering.
    draws: u32,
    /// Freshness of the listing requested last.
    requested_freshness: ListingFreshness,
    /// True if the directory must be polled even though others have already made contact: the entry
    /// of an earlier instance may still be there, and members that start together base some
    /// decisions on the same listing.
    must_poll: bool,
    /// True if other members were known at the last poll.
    knows_other_members: bool,
    /// True if an earlier listing showed others. As long as this member knows no others, those have
    /// not replied.
    has_listed_others: bool,
    /// True if this member's entry is known to be in the directory.
    has_entry: bool,
    /// True if the entry has to be written now.
    entry_due: bool,
    /// Number of live members at the last review that selected this member.
    members_at_last_selection: Option<usize>,
}

impl DirectoryRegistration {
    /// Creates the state of a member that starts now. `is_first_start` is true if the whole
    /// deployment starts for the first time, which rules out entries of earlier instances.
    pub fn new(
        settings: DirectorySettings,
        id: MemberId,
        is_first_start: bool,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Self {
        let schedule = match is_first_start {
            true => settings.first_start.clone(),
            false => settings.later_start.clone(),
        };
        let mut registration = Self {
            schedule,
            next_at: now + jitter(settings.max_first_poll_delay, rng),
            retry_delay: settings.initial_retry_delay,
            id,
            polls: 0,
            draws: 0,
            requested_freshness: ListingFreshness::MayBeStale,
            must_poll: !is_first_start,
            knows_other_members: false,
            has_listed_others: false,
            has_entry: false,
            entry_due: false,
            members_at_last_selection: None,
            settings,
        };
        if is_first_start {
            // The directory is still empty, so the first poll is skipped.
            registration.entry_due = registration.draw_registration(rng);
            if !registration.entry_due {
                registration.schedule_next_poll(now, rng);
            }
        }
        registration
    }

    /// Returns the next action at `now`.
    pub fn next(&mut self, now: Timestamp, table: &MemberTable) -> DirectoryStep {
        if now < self.next_at {
            return DirectoryStep::WaitUntil(self.next_at);
        }
        if self.entry_due {
            return DirectoryStep::Register;
        }
        let members = table.live_count();
        if members <= 1 || self.must_poll {
            self.must_poll = false;
            self.knows_other_members = members > 1;
            self.requested_freshness = self.listing_freshness();
            return DirectoryStep::List(self.requested_freshness);
        }
        self.review(now, table, members);
        if self.entry_due {
            return DirectoryStep::Register;
        }
        self.next_at = now + self.settings.review_interval;
        DirectoryStep::WaitUntil(self.next_at)
    }

    /// Processes a listing: the state of this member's entry, and the number of other entries.
    pub fn on_listing(
        &mut self,
        now: Timestamp,
        entry: EntryState,
        others: usize,
        rng: &mut impl Rng,
    ) {
        let is_alone = !self.knows_other_members && (others == 0 || self.has_listed_others);
        self.has_listed_others |= others > 0;
        match entry {
            EntryState::Current => self.has_entry = true,
            EntryState::Different => self.entry_due = true,
            // The entry may have been written after the stale listing was made.
            EntryState::Missing
                if self.has_entry && self.requested_freshness == ListingFreshness::MayBeStale => {}
            EntryState::Missing => {
                self.has_entry = false;
                self.entry_due = is_alone && self.draw_registration(rng);
            }
        }
        self.polls += 1;
        self.schedule_next_poll(now, rng);
        if self.entry_due {
            self.next_at = now;
        }
    }

    /// Records that the platform returned no listing.
    pub fn on_listing_failed(&mut self, now: Timestamp, rng: &mut impl Rng) {
        self.schedule_retry(now, rng);
    }

    /// Records whether the platform accepted this member's entry.
    pub fn on_registration_result(&mut self, now: Timestamp, is_written: bool, rng: &mut impl Rng) {
        self.has_entry |= is_written;
        self.entry_due = !is_written;
        if is_written {
            self.retry_delay = self.settings.initial_retry_delay;
            self.next_at = now + self.schedule.poll_interval;
        } else {
            self.schedule_retry(now, rng);
        }
    }

    /// Records that the platform's store was restored from a backup, which may lack this member's
    /// entry.
    pub fn on_store_restored(&mut self, now: Timestamp, rng: &mut impl Rng) {
        if self.has_entry {
            self.has_entry = false;
            self.entry_due = true;
            self.retry_delay = self.settings.initial_retry_delay;
            self.next_at = now + jitter(self.schedule.poll_interval, rng);
        }
    }

    /// Returns the freshness to request. Once others are listed, a fresh listing would add little,
    /// since they still have to reply.
    fn listing_freshness(&self) -> ListingFreshness {
        let stale_polls = match self.has_listed_others {
            true => self.settings.stale_polls_after_listing,
            false => self.settings.stale_polls,
        };
        if self.polls < stale_polls {
            ListingFreshness::MayBeStale
        } else {
            ListingFreshness::Latest
        }
    }

    fn draw_registration(&mut self, rng: &mut impl Rng) -> bool {
        let probability = self.schedule.probability(self.draws);
        self.draws += 1;
        rng.random_bool(probability)
    }

    fn schedule_next_poll(&mut self, now: Timestamp, rng: &mut impl Rng) {
        let draws = usize::try_from(self.draws).unwrap_or(usize::MAX);
        let delay = match draws < self.schedule.probabilities.len() {
            true => self.schedule.poll_interval,
            false => self.settings.max_call_interval,
        };
        self.retry_delay = self.settings.initial_retry_delay;
        self.next_at = now + delay.mul_f64(0.75) + jitter(delay.mul_f64(0.25), rng);
    }

    /// Schedules the next call after a failure, with jitter to spread members that start together.
    fn schedule_retry(&mut self, now: Timestamp, rng: &mut impl Rng) {
        let delay = self.retry_delay;
        self.retry_delay = (delay * 2).min(self.settings.max_call_interval);
        self.next_at = now + delay.mul_f64(0.5) + jitter(delay.mul_f64(0.5), rng);
    }

    /// Decides whether this member should have an entry: two consecutive reviews have to select it,
    /// and the table must not have grown between them.
    fn review(&mut self, now: Timestamp, table: &MemberTable, members: usize) {
        if self.has_entry {
            return;
        }
        let previous = self.members_at_last_selection.take();
        if !self.is_selected(table) {
            return;
        }
        self.entry_due = previous.is_some_and(|previous| members <= previous);
        self.members_at_last_selection = Some(members);
        self.next_at = now;
    }

    fn is_selected(&self, table: &MemberTable) -> bool {
        if table.live_count() <= self.settings.entries {
            return true;
        }
        let rank = |id: &MemberId| Reverse(rendezvous_score(id));
        let own = rank(&self.id);
        let is_candidate = |member: &&Member| member.is_live() && !member.leaving;
        let candidates = table.members().filter(is_candidate);
        let better = candidates.filter(|member| rank(&member.profile.id) < own);
        better.take(self.settings.entries).count() < self.settings.entries
    }
}

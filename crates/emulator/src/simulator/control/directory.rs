//! The simulated directory of the platform, in which daemons register to be found by others: stale
//! listings, refused calls, restored backups, and the cost of the calls.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::seq::SliceRandom;
use wharfquay_core::time::Timestamp;
use wharfquay_membership::directory::{
    DirectoryRegistration, DirectorySettings, DirectoryStep, EntryState, ListingFreshness,
};
use wharfquay_membership::gossip::Seed;

use super::topology::control_address;
use super::{ControlSimulation, Event};

/// Time from a call to its reply.
const REPLY_TIME: Duration = Duration::from_millis(8);
/// Number of entries on one page of a listing.
const PAGE_ENTRIES: usize = 500;
/// Cost of one page of a listing that may be stale; any other call costs 1.
const STALE_LISTING_COST: f64 = 0.1;
/// Largest number of seeds that a daemon takes from a listing.
const MAX_SEEDS: usize = 64;

/// The simulated directory.
#[derive(Clone, Debug)]
pub struct Directory {
    settings: DirectorySettings,
    /// Age of the listings for which the caller accepts stale data: such a listing lacks the entries written
    /// more recently.
    pub staleness: Duration,
    /// Percentage of the daemons whose calls are refused until `refused_until`.
    pub refused_percent: usize,
    /// Time until which the directory refuses calls of `refused_percent` of the daemons.
    pub refused_until: Timestamp,
    /// True while processes that start belong to the first start of the deployment.
    pub is_first_start: bool,
    /// Time of the last write, by daemon.
    entries: BTreeMap<usize, Timestamp>,
    /// Cost of all calls so far.
    call_cost: f64,
    writes: u64,
}

impl Directory {
    /// Creates an empty directory.
    #[must_use]
    pub const fn new(settings: DirectorySettings, staleness: Duration) -> Self {
        Self {
            settings,
            staleness,
            refused_percent: 0,
            refused_until: Timestamp::ZERO,
            is_first_start: true,
            entries: BTreeMap::new(),
            call_cost: 0.0,
            writes: 0,
        }
    }

    /// Returns the cost of all calls so far: 1 for a call, a fraction of it for a page that may be stale.
    #[must_use]
    pub const fn call_cost(&self) -> f64 {
        self.call_cost
    }

    /// Returns the number of writes so far.
    #[must_use]
    pub const fn writes(&self) -> u64 {
        self.writes
    }

    /// Returns the current number of entries.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Drops all entries written after `at`, as if the store had been restored from a backup of that time.
    pub fn restore(&mut self, at: Timestamp) {
        self.entries.retain(|_, written_at| *written_at <= at);
    }

    fn refuses(&self, now: Timestamp, daemon: usize) -> bool {
        /// Distributes the refused daemons over zones and services.
        const STEP: usize = 37;
        now < self.refused_until && daemon * STEP % 100 < self.refused_percent
    }

    fn list(&mut self, now: Timestamp, age: ListingFreshness) -> Vec<usize> {
        let (min_age, cost) = match age {
            ListingFreshness::MayBeStale => (self.staleness, STALE_LISTING_COST),
            ListingFreshness::Latest => (Duration::ZERO, 1.0),
        };
        let entries = self.entries.iter();
        let shown = entries.filter(|(_, written_at)| **written_at + min_age <= now);
        let shown: Vec<usize> = shown.map(|(daemon, _)| *daemon).collect();
        #[expect(clippy::cast_precision_loss, reason = "a few pages")]
        let pages = shown.len().div_ceil(PAGE_ENTRIES).max(1) as f64;
        self.call_cost += pages * cost;
        shown
    }

    /// Writes the entry of a daemon; returns false if the store refused it.
    fn write_entry(&mut self, now: Timestamp, daemon: usize) -> bool {
        self.call_cost += 1.0;
        if self.refuses(now, daemon) {
            return false;
        }
        self.entries.insert(daemon, now);
        self.writes += 1;
        true
    }
}

impl ControlSimulation {
    /// Starts the registration of a daemon in the directory, if the deployment has one.
    pub(super) fn register(&mut self, index: usize) {
        let Some(directory) = &self.directory else {
            return;
        };
        let daemon = &mut self.daemons[index];
        let id = self.topology.profile(index).id;
        let registration = DirectoryRegistration::new(
            directory.settings.clone(),
            id,
            directory.is_first_start,
            self.now,
            &mut daemon.random,
        );
        daemon.registration = Some(registration);
        let process = daemon.process;
        let daemon = index;
        self.schedule(self.now, Event::Directory { daemon, process });
    }

    /// Restores the directory to its state at `at`; each running daemon is notified at a random time within
    /// `delay`.
    pub fn restore_directory(&mut self, at: Timestamp, delay: Duration) {
        let Some(directory) = &mut self.directory else {
            return;
        };
        directory.restore(at);
        let now = self.now;
        for index in 0..self.daemons.len() {
            let daemon = &mut self.daemons[index];
            let notified_at = now + super::random_delay(delay, &mut daemon.random);
            if let Some(registration) = daemon.registration.as_mut() {
                registration.on_store_restored(notified_at, &mut daemon.random);
                let process = daemon.process;
                let daemon = index;
                self.schedule(notified_at, Event::Directory { daemon, process });
            }
        }
    }

    /// Executes the step at the directory that is due for a daemon, and schedules the next one.
    pub(super) fn run_directory_step(&mut self, index: usize, process: u32) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let (Some(node), Some(directory)) = (&daemon.node, &mut self.directory) else {
            return;
        };
        let Some(registration) = daemon.registration.as_mut() else {
            return;
        };
        if daemon.process != process {
            return;
        }
        let random = &mut daemon.random;
        let next_at = match registration.next(now, node.table()) {
            DirectoryStep::WaitUntil(at) => at,
            DirectoryStep::Register => {
                let is_written = directory.write_entry(now, index);
                registration.on_registration_result(now, is_written, random);
                now + REPLY_TIME
            }
            DirectoryStep::List(age) => {
                let shown = directory.list(now, age);
                if directory.refuses(now, index) {
                    registration.on_listing_failed(now, random);
                } else {
                    self.apply_listing(index, shown);
                }
                now + REPLY_TIME
            }
        };
        let daemon = index;
        self.schedule(next_at, Event::Directory { daemon, process });
    }

    fn apply_listing(&mut self, index: usize, mut shown: Vec<usize>) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let own = match shown.contains(&index) {
            true => EntryState::Current,
            false => EntryState::Missing,
        };
        shown.retain(|other| *other != index);
        if let Some(registration) = daemon.registration.as_mut() {
            registration.on_listing(now, own, shown.len(), &mut daemon.random);
        }
        shown.shuffle(&mut daemon.random);
        let seeds = shown.iter().take(MAX_SEEDS).map(|other| Seed {
            control_address: control_address(*other),
        });
        let seeds = seeds.collect();
        if let Some(node) = daemon.node.as_mut() {
            node.set_seeds(seeds);
        }
        self.set_timer(index);
    }
}

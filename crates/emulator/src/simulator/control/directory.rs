//! The platform's directory in the simulation: entries that show late in cheap listings, refusals, restoring, and the
//! calls with their price.

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

/// Time until the answer to a call is there.
const ANSWER_TIME: Duration = Duration::from_millis(8);
/// Entries that one page of a listing shows.
const PAGE: usize = 500;
/// Price of a page that may be stale, relative to that of any other call.
const STALE_PRICE: f64 = 0.1;
/// Seeds that a daemon takes from a listing.
const MAX_SEEDS: usize = 64;

/// The directory.
#[derive(Clone, Debug)]
pub struct Directory {
    settings: DirectorySettings,
    /// How old a listing is that may be stale.
    pub staleness: Duration,
    /// So many daemons of each hundred are refused.
    pub refused_percent: usize,
    /// Until when they are.
    pub refused_until: Timestamp,
    /// Whether processes that start belong to the first start of the deployment.
    pub is_first_start: bool,
    entries: BTreeMap<usize, Timestamp>,
    calls: f64,
    writes: u64,
}

impl Directory {
    /// An empty directory.
    #[must_use]
    pub const fn new(settings: DirectorySettings, staleness: Duration) -> Self {
        Self {
            settings,
            staleness,
            refused_percent: 0,
            refused_until: Timestamp::ZERO,
            is_first_start: true,
            entries: BTreeMap::new(),
            calls: 0.0,
            writes: 0,
        }
    }

    /// Calls so far; one that may be stale counts as the fraction that it costs.
    #[must_use]
    pub const fn calls(&self) -> f64 {
        self.calls
    }

    /// Entries written so far.
    #[must_use]
    pub const fn writes(&self) -> u64 {
        self.writes
    }

    /// Entries that stand now.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Forgets what was written after `at`: the store was restored from a copy of that time.
    pub fn restore(&mut self, at: Timestamp) {
        self.entries.retain(|_, written_at| *written_at <= at);
    }

    fn refuses(&self, now: Timestamp, daemon: usize) -> bool {
        /// Spreads the refused ones over zones and services.
        const STEP: usize = 37;
        now < self.refused_until && daemon * STEP % 100 < self.refused_percent
    }

    fn list(&mut self, now: Timestamp, age: ListingFreshness) -> Vec<usize> {
        let (oldest, price) = match age {
            ListingFreshness::MayBeStale => (self.staleness, STALE_PRICE),
            ListingFreshness::Latest => (Duration::ZERO, 1.0),
        };
        let entries = self.entries.iter();
        let shown = entries.filter(|(_, written_at)| **written_at + oldest <= now);
        let shown: Vec<usize> = shown.map(|(daemon, _)| *daemon).collect();
        #[expect(clippy::cast_precision_loss, reason = "a few pages")]
        let pages = shown.len().div_ceil(PAGE).max(1) as f64;
        self.calls += pages * price;
        shown
    }

    /// Makes the entry of a daemon; whether the store took it.
    fn enter(&mut self, now: Timestamp, daemon: usize) -> bool {
        self.calls += 1.0;
        if self.refuses(now, daemon) {
            return false;
        }
        self.entries.insert(daemon, now);
        self.writes += 1;
        true
    }
}

impl ControlSimulation {
    /// Begins a daemon's part in the directory, if there is one.
    pub(super) fn enrol(&mut self, index: usize) {
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

    /// The store is restored from a copy as it was at `at`; each daemon that runs hears of it within `delay`.
    pub fn restore_directory(&mut self, at: Timestamp, delay: Duration) {
        let Some(directory) = &mut self.directory else {
            return;
        };
        directory.restore(at);
        let now = self.now;
        for index in 0..self.daemons.len() {
            let daemon = &mut self.daemons[index];
            let heard_at = now + super::random_delay(delay, &mut daemon.random);
            if let Some(registration) = daemon.registration.as_mut() {
                registration.on_store_restored(heard_at, &mut daemon.random);
                let process = daemon.process;
                let daemon = index;
                self.schedule(heard_at, Event::Directory { daemon, process });
            }
        }
    }

    /// Lets a daemon do what is due at the directory.
    pub(super) fn use_directory(&mut self, index: usize, process: u32) {
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
                let is_written = directory.enter(now, index);
                registration.on_registration_result(now, is_written, random);
                now + ANSWER_TIME
            }
            DirectoryStep::List(age) => {
                let shown = directory.list(now, age);
                if directory.refuses(now, index) {
                    registration.on_listing_failed(now, random);
                } else {
                    self.take_listing(index, shown);
                }
                now + ANSWER_TIME
            }
        };
        let daemon = index;
        self.schedule(next_at, Event::Directory { daemon, process });
    }

    fn take_listing(&mut self, index: usize, mut shown: Vec<usize>) {
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

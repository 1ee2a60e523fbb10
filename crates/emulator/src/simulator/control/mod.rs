//! Seeded simulation of the control plane alone: membership and configuration relay of thousands of
//! daemons in one process, on a virtual clock. Messages are encoded and decoded as on the network.
//!
//! Each accepted configuration change gets a revision in the platform's store. A few daemons, the readers,
//! list and watch the store and relay changes to the other daemons. The revision in force at a daemon is
//! the one that it currently uses.

pub mod daemon;
pub mod directory;
mod faults;
pub mod measure;
pub mod network;
pub mod observations;
pub mod store;
pub mod topology;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::time::Timestamp;
use wharfquay_membership::gossip::Seed;
use wharfquay_membership::member::{Incarnation, Liveness, Member};
use wharfquay_membership::node::{Channel, Effect, Node};
use wharfquay_membership::settings::Settings;
use wharfquay_membership::table::MemberTable;

use daemon::SimulatedDaemon;
use directory::Directory;
use network::Network;
use observations::{Observations, record};
use store::Store;
use topology::{Topology, control_address, daemon_at};

/// Payload size of a configuration change, in bytes: one resource with its identity.
pub const CHANGE_BYTES: usize = 300;
/// Wall-clock time at the start of the simulation, in milliseconds since the Unix epoch.
const WALL_CLOCK_START_MS: u64 = 1_700_000_000_000;
/// Number of gossip seeds in the settings of a daemon.
const SEEDS: usize = 4;
/// Time between two requests of a reader while the store does not reply.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// An event at a point of virtual time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The timer of a daemon, or the time of its start, is due.
    Wake(usize),
    /// A control message arrives at a daemon.
    Deliver {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    /// The reply to a list request arrives at a reader.
    StoreList { reader: usize, process: u32 },
    /// A watch event arrives at a reader.
    StoreWatch { reader: usize, process: u32 },
    /// The next step of a daemon at the directory is due.
    Directory { daemon: usize, process: u32 },
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at: Timestamp,
    sequence: u64,
    event: Event,
}

/// A simulation of the control plane.
pub struct ControlSimulation {
    now: Timestamp,
    sequence: u64,
    events: BinaryHeap<Reverse<Scheduled>>,
    settings: Settings,
    topology: Topology,
    daemons: Vec<SimulatedDaemon>,
    random: Pcg64Mcg,
    /// State of the network links.
    pub network: Network,
    /// The platform's configuration store.
    pub store: Store,
    /// The platform's directory. If set, daemons find others through it instead of through the seeds in
    /// their settings.
    pub directory: Option<Directory>,
    /// Measurements of the run so far.
    pub observations: Observations,
}

impl ControlSimulation {
    /// Creates a deployment in which no daemon runs yet.
    #[must_use]
    pub fn new(topology: Topology, settings: Settings, seed: u64) -> Self {
        let store = Store::new(topology.resources(), CHANGE_BYTES);
        let daemons = (0..topology.daemons)
            .map(|index| SimulatedDaemon::new(seed, index))
            .collect();
        Self {
            now: Timestamp::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            settings,
            topology,
            daemons,
            random: Pcg64Mcg::seed_from_u64(seed),
            network: Network::default(),
            store,
            directory: None,
            observations: Observations::default(),
        }
    }

    /// Schedules the start of every daemon, without any state, at random times within `spread`.
    pub fn start_cold(&mut self, spread: Duration) {
        for index in 0..self.daemons.len() {
            let delay = random_delay(spread, &mut self.random);
            self.daemons[index].starts_at = Some(self.now + delay);
            self.schedule(self.now + delay, Event::Wake(index));
        }
    }

    /// Starts every daemon with a full member table and the store's current revision.
    pub fn start_warm(&mut self) {
        let mut table = MemberTable::new(self.settings.delegates);
        let incarnation = Incarnation::started_at(self.wall_clock_ms());
        table.extend((0..self.daemons.len()).map(|index| Member {
            profile: Arc::new(self.topology.profile(index)),
            incarnation,
            liveness: Liveness::Alive,
            leaving: false,
        }));
        let snapshot = self.store.snapshot();
        for index in 0..self.daemons.len() {
            self.start(index);
            let now = self.now;
            let daemon = &mut self.daemons[index];
            let Some(node) = daemon.node.as_mut() else {
                continue;
            };
            node.preload(table.clone(), now, &mut daemon.random);
            node.preload_configuration(now, snapshot.clone());
            daemon.in_force = snapshot.revision;
            daemon.highest_in_force = snapshot.revision;
        }
    }

    /// Returns the virtual time.
    #[must_use]
    pub const fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns the topology of the deployment.
    #[must_use]
    pub const fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Returns the control plane of a daemon; `None` while the daemon does not run.
    #[must_use]
    pub fn node(&self, daemon: usize) -> Option<&Node> {
        self.daemons[daemon].node.as_ref()
    }

    /// Returns the revision in force at a daemon; zero while the daemon does not run.
    #[must_use]
    pub fn in_force(&self, daemon: usize) -> u64 {
        self.daemons[daemon].in_force
    }

    /// Returns the indices of the daemons that run.
    pub fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.daemons.len()).filter(|&index| self.daemons[index].node.is_some())
    }

    /// Returns the control traffic of a daemon, summed over all its starts.
    #[must_use]
    pub fn traffic(&self, daemon: usize) -> daemon::Traffic {
        self.daemons[daemon].traffic()
    }

    /// Accepts a change in the store, sends it to the readers that watch, and returns its revision.
    pub fn accept_change(&mut self) -> u64 {
        let revision = self.store.accept(self.now);
        let at = self.now + self.store.reply_time();
        for reader in self.store.watchers() {
            let process = self.daemons[reader].process;
            self.schedule(at, Event::StoreWatch { reader, process });
        }
        revision
    }

    /// Runs all events up to and including the virtual time `until`.
    pub fn run_until(&mut self, until: Timestamp) {
        while let Some(Reverse(next)) = self.events.peek() {
            if next.at > until {
                break;
            }
            let Some(Reverse(scheduled)) = self.events.pop() else {
                break;
            };
            self.now = scheduled.at;
            self.handle(scheduled.event);
        }
        self.now = until;
    }

    /// Runs for this much virtual time.
    pub fn run_for(&mut self, duration: Duration) {
        self.run_until(self.now + duration);
    }

    /// Runs until a condition holds, which is checked every 10 ms, but at most for `limit`. Returns true
    /// if the condition holds in the end.
    pub fn run_until_holds(
        &mut self,
        limit: Duration,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> bool {
        const STEP: Duration = Duration::from_millis(10);
        let end = self.now + limit;
        while self.now < end {
            if holds(self) {
                return true;
            }
            self.run_for(STEP);
        }
        holds(self)
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.events.push(Reverse(Scheduled {
            at,
            sequence,
            event,
        }));
    }

    const fn wall_clock_ms(&self) -> u64 {
        WALL_CLOCK_START_MS + self.now.as_micros() / 1_000
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake(index) => self.wake(index),
            Event::Deliver { to, from, bytes } => self.deliver(to, from, bytes),
            Event::StoreList { reader, process } => self.handle_list_reply(reader, process),
            Event::StoreWatch { reader, process } => self.handle_watch_event(reader, process),
            Event::Directory { daemon, process } => self.run_directory_step(daemon, process),
        }
    }

    fn wake(&mut self, index: usize) {
        if self.daemons[index]
            .starts_at
            .is_some_and(|at| at <= self.now)
        {
            self.daemons[index].starts_at = None;
            self.start(index);
            return;
        }
        if self.daemons[index].wakes_at != Some(self.now) {
            return;
        }
        self.daemons[index].wakes_at = None;
        self.resume_if_due(index);
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let Some(node) = daemon.node.as_mut() else {
            return;
        };
        if daemon.frozen_until.is_some_and(|until| until > now) {
            return;
        }
        let effects = node.advance(now, &mut daemon.random);
        self.apply(index, effects);
    }

    fn deliver(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        let now = self.now;
        let daemon = &mut self.daemons[to];
        if daemon.frozen_until.is_some_and(|until| until > now) {
            daemon.buffer_message(from, bytes);
            return;
        }
        let Some(node) = daemon.node.as_mut() else {
            return;
        };
        let effects = node.receive(now, control_address(from), &bytes, &mut daemon.random);
        self.apply(to, effects);
    }

    /// Executes the effects that a daemon's control plane requests, and sets its timer.
    fn apply(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.apply_one(index, effect);
        }
        self.set_timer(index);
    }

    fn apply_one(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Send { to, channel, bytes } => self.transmit(index, to, channel, bytes),
            Effect::MembersChanged => self.record_known_departures(index),
            Effect::DeclaredDead(id) => self.record_death(index, &id),
            Effect::AdoptSnapshot(snapshot) => self.put_in_force(index, snapshot.revision),
            Effect::AdoptDelta(delta) => self.put_in_force(index, delta.revision),
            Effect::Ready(revision) => self.record_ready(index, revision),
            Effect::SetReader(true) => self.request_list(index),
            Effect::ReadSnapshot => {
                self.daemons[index].snapshot_requested = true;
                self.request_list(index);
            }
            Effect::SetReader(false) => self.store.unwatch(index),
            Effect::StoreOlder { .. } => self.observations.older_store_reports += 1,
            Effect::Compact(revision) => self.compact(index, revision),
            Effect::Dropped { .. } => {}
        }
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, channel: Channel, bytes: Vec<u8>) {
        let Some(to) = daemon_at(to).filter(|&to| to < self.daemons.len()) else {
            return;
        };
        let length = bytes.len();
        let transit =
            self.network
                .transit(&self.topology, from, to, channel, length, &mut self.random);
        match transit {
            Some(transit) => {
                let at = self.now + transit;
                self.schedule(at, Event::Deliver { to, from, bytes });
            }
            None => self.observations.lost_messages += 1,
        }
    }

    fn set_timer(&mut self, index: usize) {
        let Some(next) = self.daemons[index].node.as_ref().map(Node::next_wakeup) else {
            return;
        };
        let at = next.max(self.now + Duration::from_micros(1));
        let sooner = self.daemons[index]
            .wakes_at
            .is_none_or(|set| at < set || set < self.now);
        if sooner {
            self.daemons[index].wakes_at = Some(at);
            self.schedule(at, Event::Wake(index));
        }
    }

    fn put_in_force(&mut self, index: usize, revision: u64) {
        let daemon = &mut self.daemons[index];
        if revision <= daemon.in_force {
            self.observations.revisions_reverted += 1;
        }
        let held = daemon.in_force;
        daemon.in_force = revision;
        daemon.highest_in_force = daemon.highest_in_force.max(revision);
        for change in self.store.changes_between(held, revision) {
            // A change accepted before the daemon's start says nothing about propagation time.
            if change.at >= daemon.started_at {
                let time = self.now.saturating_since(change.at);
                record(&mut self.observations.time_in_force, time);
            }
        }
    }

    fn record_ready(&mut self, index: usize, revision: u64) {
        let daemon = &mut self.daemons[index];
        if revision < daemon.highest_in_force {
            self.observations.ready_with_older += 1;
        }
        let time = self.now.saturating_since(daemon.started_at);
        record(&mut self.observations.time_to_ready, time);
    }

    fn compact(&mut self, index: usize, revision: u64) {
        let payload = self.store.snapshot_at(revision).payload;
        if let Some(node) = self.daemons[index].node.as_mut() {
            node.provide_snapshot(revision, payload);
        }
    }

    fn seeds_of(&self, index: usize) -> Vec<Seed> {
        if self.directory.is_some() {
            return Vec::new();
        }
        let count = self.daemons.len();
        // Distributes the seeds over several zones.
        let step = (count / SEEDS).max(1);
        (0..SEEDS)
            .map(|position| (index + 1 + position * (step + 1)) % count)
            .filter(|&seed| seed != index)
            .map(|seed| Seed {
                control_address: control_address(seed),
            })
            .collect()
    }
}

/// Returns a random delay from zero to `spread`, uniformly distributed.
fn random_delay(spread: Duration, random: &mut Pcg64Mcg) -> Duration {
    use rand::RngExt;
    spread.mul_f64(random.random::<f64>())
}

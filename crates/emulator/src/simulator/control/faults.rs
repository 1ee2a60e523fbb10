//! Starts, ends and pauses of simulated daemons, readers' work at the store, and what is noted of
//! deaths and departures.

use std::time::Duration;

use wharfquay_core::time::Timestamp;
use wharfquay_membership::member::{MemberId, MemberState};
use wharfquay_membership::node::{Identity, Node};
use wharfquay_membership::relay::StoreReport;

use super::observations::{Departure, record};
use super::topology::daemon_at;
use super::{ControlSimulation, Event, STORE_RETRY};

impl ControlSimulation {
    /// Starts a daemon's process with an empty memory.
    pub fn start(&mut self, index: usize) {
        let identity = Identity {
            profile: self.topology.profile(index),
            started_at_ms: self.wall_clock_ms(),
        };
        let seeds = self.seeds_of(index);
        let now = self.now;
        let settings = self.settings.clone();
        let daemon = &mut self.daemons[index];
        daemon.end();
        daemon.process += 1;
        daemon.started_at = now;
        daemon.node = Some(Node::new(
            settings,
            identity,
            seeds,
            now,
            &mut daemon.random,
        ));
        self.set_timer(index);
        self.enrol(index);
    }

    /// Ends a daemon's process without notice.
    pub fn kill(&mut self, index: usize) {
        self.store.unwatch(index);
        self.daemons[index].end();
    }

    /// Ends a daemon's process without notice and starts it again after `pause`.
    pub fn restart(&mut self, index: usize, pause: Duration) {
        self.kill(index);
        let at = self.now + pause;
        self.daemons[index].starts_at = Some(at);
        self.schedule(at, Event::Wake(index));
    }

    /// Lets a daemon's process do nothing for some time, unaware of it.
    pub fn freeze(&mut self, index: usize, duration: Duration) {
        let until = self.now + duration;
        self.daemons[index].frozen_until = Some(until);
        self.daemons[index].wakes_at = Some(until);
        self.schedule(until, Event::Wake(index));
    }

    /// Whether a daemon's process runs and is not frozen.
    #[must_use]
    pub fn is_awake(&self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        daemon.node.is_some() && daemon.frozen_until.is_none()
    }

    /// Hands the messages to a process that waited in its socket while it was frozen.
    fn thaw(&mut self, index: usize) {
        self.daemons[index].frozen_until = None;
        for (from, bytes) in self.daemons[index].take_waiting() {
            self.deliver(index, from, bytes);
        }
    }

    /// Thaws a daemon whose freeze is over.
    pub(super) fn thaw_if_due(&mut self, index: usize) {
        let due = self.daemons[index].frozen_until;
        if due.is_some_and(|until| until <= self.now) {
            self.thaw(index);
        }
    }

    /// Tells a daemon to leave, and follows who knows.
    pub fn leave(&mut self, index: usize) {
        let profile = self.topology.profile(index);
        self.observations.departures.push(Departure {
            id: profile.id,
            zone: profile.zone,
            at: self.now,
            known_by: [index].into(),
        });
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let Some(node) = daemon.node.as_mut() else {
            return;
        };
        let effects = node.leave(now, &mut daemon.random);
        self.apply(index, effects);
    }

    pub(super) fn note_departures(&mut self, index: usize) {
        let Some(node) = self.daemons[index].node.as_ref() else {
            return;
        };
        for departure in &mut self.observations.departures {
            if departure.known_by.contains(&index) {
                continue;
            }
            let state = node
                .table()
                .get(&departure.zone, &departure.id)
                .map(wharfquay_membership::member::Member::state);
            if matches!(state, Some(MemberState::Leaving | MemberState::Dead)) {
                departure.known_by.insert(index);
                let time = self.now.saturating_since(departure.at);
                record(&mut self.observations.leaving_known, time);
            }
        }
    }

    pub(super) fn note_death(&mut self, by: usize, id: &MemberId) {
        let Some(node) = self.daemons[by].node.as_ref() else {
            return;
        };
        let zone = &node.me().profile.zone;
        let Some(member) = node.table().get(zone, id) else {
            return;
        };
        let Some(dead) = daemon_at(member.profile.control_address) else {
            return;
        };
        let frozen = self.daemons[dead].frozen_until.is_some();
        let process = member.incarnation.process();
        let same_process = |node: &Node| node.me().incarnation.process() == process;
        let runs = self.daemons[dead].node.as_ref().is_some_and(same_process) && !frozen;
        if runs && self.network.is_connected(dead) && self.network.is_connected(by) {
            self.observations.false_deaths += 1;
        } else {
            self.observations.true_deaths += 1;
        }
    }

    /// Takes the store down or brings it back. Watches end when it goes.
    pub fn set_store_down(&mut self, down: bool) {
        self.store.down = down;
        self.end_watches();
    }

    /// Lets the store answer from a state that many revisions ago. Watches end.
    pub fn set_store_behind(&mut self, revisions: u64) {
        self.store.behind = revisions;
        self.end_watches();
    }

    /// Cuts a zone from the store or heals the cut. Watches end.
    pub fn set_store_reachable(&mut self, zone: usize, reachable: bool) {
        self.store.set_reachable(zone, reachable);
        self.end_watches();
    }

    /// Every reader that watches finds its connection closed and asks again.
    fn end_watches(&mut self) {
        for reader in self.store.watchers() {
            self.store.unwatch(reader);
            self.list_store(reader);
        }
    }

    /// A reader asks the store for the whole configuration.
    pub(super) fn list_store(&mut self, reader: usize) {
        let process = self.daemons[reader].process;
        let at = self.now + self.store.answer_time() * 2;
        self.schedule(at, Event::StoreList { reader, process });
    }

    fn retry_store(&mut self, reader: usize, process: u32) {
        self.store.unwatch(reader);
        if let Some(node) = self.daemons[reader].node.as_mut() {
            node.set_store_contact(false);
        }
        let at = self.now + STORE_RETRY;
        self.schedule(at, Event::StoreList { reader, process });
    }

    pub(super) fn store_list(&mut self, reader: usize, process: u32) {
        if !self.still_reads(reader, process) {
            return;
        }
        if self.postponed(reader, &Event::StoreList { reader, process }) {
            return;
        }
        if !self.store.answers(self.topology.zone_of(reader)) {
            self.retry_store(reader, process);
            return;
        }
        self.store.count_list();
        self.store.watch(reader);
        let snapshot = self.store.snapshot();
        let daemon = &mut self.daemons[reader];
        daemon.watched_revision = snapshot.revision;
        let whole = std::mem::take(&mut daemon.whole_wanted) || daemon.in_force == 0;
        let report = if whole || snapshot.revision <= daemon.in_force {
            StoreReport::Snapshot(snapshot)
        } else {
            // As the daemon's reader does: what differs from the configuration in force.
            let held = daemon.in_force;
            StoreReport::Delta(self.store.delta(held, snapshot.revision))
        };
        self.report_store(reader, &report);
    }

    pub(super) fn store_watch(&mut self, reader: usize, process: u32) {
        if !self.still_reads(reader, process) {
            return;
        }
        if self.postponed(reader, &Event::StoreWatch { reader, process }) {
            return;
        }
        if !self.store.answers(self.topology.zone_of(reader)) {
            self.retry_store(reader, process);
            return;
        }
        let previous = self.daemons[reader].watched_revision;
        let revision = self.store.revision().saturating_sub(self.store.behind);
        if revision <= previous {
            return;
        }
        self.daemons[reader].watched_revision = revision;
        let delta = self.store.delta(previous, revision);
        self.report_store(reader, &StoreReport::Delta(delta));
    }

    fn report_store(&mut self, reader: usize, report: &StoreReport) {
        let now = self.now;
        let daemon = &mut self.daemons[reader];
        let Some(node) = daemon.node.as_mut() else {
            return;
        };
        let effects = node.on_store(now, report, &mut daemon.random);
        self.apply(reader, effects);
    }

    /// A frozen reader takes the answer when it runs again.
    fn postponed(&mut self, reader: usize, event: &Event) -> bool {
        let until: Option<Timestamp> = self.daemons[reader].frozen_until;
        let Some(until) = until.filter(|&until| until > self.now) else {
            return false;
        };
        self.schedule(until + Duration::from_millis(1), event.clone());
        true
    }

    fn still_reads(&self, reader: usize, process: u32) -> bool {
        let daemon = &self.daemons[reader];
        daemon.process == process && daemon.node.as_ref().is_some_and(Node::is_reader)
    }
}

//! Starts, terminations and pauses of simulated daemons, the readers' requests to the store, and the
//! recording of deaths and departures.

use std::time::Duration;

use wharfquay_core::time::Timestamp;
use wharfquay_membership::member::{MemberId, MemberState};
use wharfquay_membership::node::{Identity, Node};
use wharfquay_membership::relay::StoreReport;

use super::observations::{Departure, record};
use super::topology::daemon_at;
use super::{ControlSimulation, Event, STORE_RETRY_INTERVAL};

impl ControlSimulation {
    /// Starts a new process of a daemon, without any state.
    pub fn start(&mut self, index: usize) {
        let identity = Identity {
            profile: self.topology.profile(index),
            started_at_ms: self.wall_clock_ms(),
        };
        let seeds = self.seeds_of(index);
        let now = self.now;
        let settings = self.settings.clone();
        let daemon = &mut self.daemons[index];
        daemon.terminate();
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
        self.register(index);
    }

    /// Terminates a daemon's process without notice.
    pub fn kill(&mut self, index: usize) {
        self.store.unwatch(index);
        self.daemons[index].terminate();
    }

    /// Terminates a daemon's process without notice and starts a new one after `pause`.
    pub fn restart(&mut self, index: usize, pause: Duration) {
        self.kill(index);
        let at = self.now + pause;
        self.daemons[index].starts_at = Some(at);
        self.schedule(at, Event::Wake(index));
    }

    /// Freezes a daemon's process for `duration`, as `SIGSTOP` does: it handles no messages and no timers.
    pub fn freeze(&mut self, index: usize, duration: Duration) {
        let until = self.now + duration;
        self.daemons[index].frozen_until = Some(until);
        self.daemons[index].wakes_at = Some(until);
        self.schedule(until, Event::Wake(index));
    }

    /// Returns true if a daemon's process runs and is not frozen.
    #[must_use]
    pub fn is_awake(&self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        daemon.node.is_some() && daemon.frozen_until.is_none()
    }

    /// Resumes a frozen process, which first receives the messages buffered by its socket.
    fn resume(&mut self, index: usize) {
        self.daemons[index].frozen_until = None;
        for (from, bytes) in self.daemons[index].take_buffered_messages() {
            self.deliver(index, from, bytes);
        }
    }

    /// Resumes a frozen daemon if its pause is over.
    pub(super) fn resume_if_due(&mut self, index: usize) {
        let due = self.daemons[index].frozen_until;
        if due.is_some_and(|until| until <= self.now) {
            self.resume(index);
        }
    }

    /// Makes a daemon announce its departure, and starts to record which daemons know of it.
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

    pub(super) fn record_known_departures(&mut self, index: usize) {
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
                record(&mut self.observations.time_to_departure_known, time);
            }
        }
    }

    pub(super) fn record_death(&mut self, by: usize, id: &MemberId) {
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

    /// Takes the store down or brings it back up. All watches are closed.
    pub fn set_store_down(&mut self, down: bool) {
        self.store.down = down;
        self.close_watches();
    }

    /// Makes the store reply from a state that is `revisions` old. All watches are closed.
    pub fn set_store_revisions_behind(&mut self, revisions: u64) {
        self.store.revisions_behind = revisions;
        self.close_watches();
    }

    /// Cuts a zone off from the store or heals the cut. All watches are closed.
    pub fn set_store_reachable(&mut self, zone: usize, reachable: bool) {
        self.store.set_reachable(zone, reachable);
        self.close_watches();
    }

    /// Closes all watches; each reader requests the whole configuration again.
    fn close_watches(&mut self) {
        for reader in self.store.watchers() {
            self.store.unwatch(reader);
            self.request_list(reader);
        }
    }

    /// Sends a reader's request for the whole configuration to the store.
    pub(super) fn request_list(&mut self, reader: usize) {
        let process = self.daemons[reader].process;
        let at = self.now + self.store.reply_time() * 2;
        self.schedule(at, Event::StoreList { reader, process });
    }

    fn retry_store(&mut self, reader: usize, process: u32) {
        self.store.unwatch(reader);
        if let Some(node) = self.daemons[reader].node.as_mut() {
            node.set_store_contact(false);
        }
        let at = self.now + STORE_RETRY_INTERVAL;
        self.schedule(at, Event::StoreList { reader, process });
    }

    pub(super) fn handle_list_reply(&mut self, reader: usize, process: u32) {
        if !self.is_current_reader(reader, process) {
            return;
        }
        if self.postpone_if_frozen(reader, &Event::StoreList { reader, process }) {
            return;
        }
        if !self.store.replies_to(self.topology.zone_of(reader)) {
            self.retry_store(reader, process);
            return;
        }
        self.store.count_list_request();
        self.store.watch(reader);
        let snapshot = self.store.snapshot();
        let daemon = &mut self.daemons[reader];
        daemon.watched_revision = snapshot.revision;
        let sends_snapshot = std::mem::take(&mut daemon.snapshot_requested) || daemon.in_force == 0;
        let report = if sends_snapshot || snapshot.revision <= daemon.in_force {
            StoreReport::Snapshot(snapshot)
        } else {
            // As in the daemon, the reader relays only the difference from the configuration in force.
            let held = daemon.in_force;
            StoreReport::Delta(self.store.delta(held, snapshot.revision))
        };
        self.relay_store_report(reader, &report);
    }

    pub(super) fn handle_watch_event(&mut self, reader: usize, process: u32) {
        if !self.is_current_reader(reader, process) {
            return;
        }
        if self.postpone_if_frozen(reader, &Event::StoreWatch { reader, process }) {
            return;
        }
        if !self.store.replies_to(self.topology.zone_of(reader)) {
            self.retry_store(reader, process);
            return;
        }
        let previous = self.daemons[reader].watched_revision;
        let revision = self
            .store
            .revision()
            .saturating_sub(self.store.revisions_behind);
        if revision <= previous {
            return;
        }
        self.daemons[reader].watched_revision = revision;
        let delta = self.store.delta(previous, revision);
        self.relay_store_report(reader, &StoreReport::Delta(delta));
    }

    fn relay_store_report(&mut self, reader: usize, report: &StoreReport) {
        let now = self.now;
        let daemon = &mut self.daemons[reader];
        let Some(node) = daemon.node.as_mut() else {
            return;
        };
        let effects = node.on_store(now, report, &mut daemon.random);
        self.apply(reader, effects);
    }

    /// Reschedules an event of a frozen reader to the end of its pause; returns true if it did.
    fn postpone_if_frozen(&mut self, reader: usize, event: &Event) -> bool {
        let until: Option<Timestamp> = self.daemons[reader].frozen_until;
        let Some(until) = until.filter(|&until| until > self.now) else {
            return false;
        };
        self.schedule(until + Duration::from_millis(1), event.clone());
        true
    }

    fn is_current_reader(&self, reader: usize, process: u32) -> bool {
        let daemon = &self.daemons[reader];
        daemon.process == process && daemon.node.as_ref().is_some_and(Node::is_reader)
    }
}

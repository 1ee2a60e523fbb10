//! SWIM-style membership within a zone, with delegates that exchange updates with other zones.
//!
//! Delegates are the members of a zone with the highest rendezvous scores. Each daemon derives them
//! from its own table, without an election.

mod anti_entropy;
mod dissemination;
mod probe;
mod selection;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use wharfquay_core::time::Timestamp;

use crate::counters::Counters;
use crate::member::{Liveness, Member, MemberId, ZoneName};
use crate::message::{Body, Header, Update};
use crate::queue::UpdateQueue;
use crate::settings::Settings;
use crate::table::{MemberTable, MergeOutcome};

use probe::{DirectProbe, RelayedProbe};

/// Delay of a wakeup from which a daemon concludes that its own process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Transmissions of an update in addition to the logarithm of the zone's size.
const EXTRA_TRANSMISSIONS: u32 = 4;
/// Cycles through all zones without contact after which a zone counts as unreachable.
const ZONE_TIMEOUT_CYCLES: f64 = 1.25;
/// Upper bound of the random index of the zone with which a delegate starts its exchanges.
const MAX_FIRST_ZONE_INDEX: usize = 1_024;

/// Priority of a message under the byte budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficClass {
    /// Probes, replies and changes. Always sent, even if this overdraws the budget.
    Urgent,
    /// Sent only while the budget is positive, otherwise dropped.
    Routine,
}

/// A message to be sent.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Control address of the receiver.
    pub to: SocketAddr,
    /// Updates to piggyback.
    pub updates: Vec<Update>,
    /// Content of the message.
    pub body: Body,
    /// Priority under the byte budget.
    pub class: TrafficClass,
}

impl Outgoing {
    pub(crate) const fn urgent(to: SocketAddr, body: Body) -> Self {
        Self {
            to,
            updates: Vec::new(),
            body,
            class: TrafficClass::Urgent,
        }
    }

    pub(crate) const fn routine(to: SocketAddr, body: Body) -> Self {
        Self {
            to,
            updates: Vec::new(),
            body,
            class: TrafficClass::Routine,
        }
    }
}

/// A daemon to contact before any member is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Control address of the seed.
    pub control_address: SocketAddr,
}

/// Membership of one daemon, a state machine.
#[derive(Clone, Debug)]
pub struct Gossip {
    settings: Settings,
    me: Member,
    table: MemberTable,
    seeds: Vec<Seed>,
    queue: UpdateQueue,
    /// Updates that a delegate has yet to send to the other zones.
    zone_outbox: BTreeMap<MemberId, Update>,
    probe: Option<DirectProbe>,
    relayed_probes: Vec<RelayedProbe>,
    /// Time at which each suspect is declared dead.
    suspicions: BTreeMap<MemberId, Timestamp>,
    /// Dead members that are still in the table, with the time of their removal.
    tombstones: VecDeque<(Timestamp, ZoneName, MemberId)>,
    last_zone_contact: BTreeMap<ZoneName, Timestamp>,
    zone_index: usize,
    sequence: u32,
    failed_probes: u32,
    declared_dead: Vec<MemberId>,
    joined: bool,
    /// True once the records of the local zone have arrived from a daemon that is ready.
    local_zone_known: bool,
    seed_contacts: usize,
    /// True if the current exchange goes to a seed; alternates while joining.
    is_seed_round: bool,
    /// True once the table has agreed with another daemon's table.
    table_filled: bool,
    changed: bool,
    join_deadline: Timestamp,
    next_probe: Timestamp,
    next_round: Timestamp,
    next_table_sync: Timestamp,
    next_zone_sync: Timestamp,
    next_rejoin: Timestamp,
}

impl Gossip {
    /// Creates a state machine that knows only itself and its seeds.
    pub fn new(
        settings: Settings,
        me: Member,
        seeds: Vec<Seed>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Self {
        let mut table = MemberTable::new(settings.delegates);
        table.extend([me.clone()]);
        let mut gossip = Self {
            me,
            table,
            seeds,
            queue: UpdateQueue::default(),
            zone_outbox: BTreeMap::new(),
            probe: None,
            relayed_probes: Vec::new(),
            suspicions: BTreeMap::new(),
            tombstones: VecDeque::new(),
            last_zone_contact: BTreeMap::new(),
            zone_index: rng.random_range(0..MAX_FIRST_ZONE_INDEX),
            sequence: 0,
            failed_probes: 0,
            declared_dead: Vec::new(),
            joined: false,
            local_zone_known: false,
            seed_contacts: 0,
            is_seed_round: false,
            table_filled: false,
            changed: true,
            join_deadline: now + anti_entropy::JOIN_TIMEOUT,
            next_probe: now + jitter(settings.probe_interval, rng),
            next_round: now,
            next_table_sync: now,
            next_zone_sync: now + jitter(settings.zone_sync_interval, rng),
            next_rejoin: now + jitter(anti_entropy::REJOIN_INTERVAL, rng),
            settings,
        };
        gossip.announce_self(false);
        gossip
    }

    /// Starts from a prepared table instead of joining through the seeds.
    pub fn preload(&mut self, table: MemberTable, now: Timestamp, rng: &mut impl Rng) {
        self.table = table;
        self.table.extend([self.me.clone()]);
        self.joined = true;
        self.local_zone_known = true;
        self.table_filled = true;
        self.queue = UpdateQueue::default();
        self.next_table_sync = now + jitter(self.settings.table_sync_interval, rng);
        for (zone, _) in self.table.zones() {
            self.last_zone_contact.insert(zone.clone(), now);
        }
    }

    /// Returns this daemon's own member record.
    #[must_use]
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the known members of all zones.
    #[must_use]
    pub const fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns true once the table has agreed with another member's, the wait for this has expired,
    /// or there are no seeds to join through.
    #[must_use]
    pub const fn is_joined(&self) -> bool {
        self.joined
    }

    /// Returns true once the members of the local zone are known, or the wait for them has expired.
    #[must_use]
    pub const fn is_local_zone_known(&self) -> bool {
        self.local_zone_known || self.joined
    }

    /// Returns this daemon's rank among the delegates of its zone, 0 for the first, or `None` if it
    /// is not a delegate.
    #[must_use]
    pub fn delegate_rank(&self) -> Option<usize> {
        let delegates = self.table.zone(&self.me.profile.zone)?.delegates();
        delegates.iter().position(|id| *id == self.me.profile.id)
    }

    /// Returns true if the last contact with a zone is recent enough. The limit grows with the
    /// number of zones. The local zone is always reachable.
    #[must_use]
    pub fn is_zone_reachable(&self, now: Timestamp, zone: &ZoneName) -> bool {
        let zones = u32::try_from(self.last_zone_contact.len()).unwrap_or(u32::MAX);
        let cycle = self
            .settings
            .zone_sync_interval
            .mul_f64(ZONE_TIMEOUT_CYCLES)
            * zones;
        let limit = self.settings.min_zone_timeout.max(cycle);
        *zone == self.me.profile.zone
            || self
                .last_zone_contact
                .get(zone)
                .is_some_and(|&last_contact| now.saturating_since(last_contact) < limit)
    }

    /// Records that another daemon of the local zone had contact with a zone at `at`.
    pub(crate) fn record_zone_contact(&mut self, zone: &ZoneName, at: Timestamp) {
        let last_contact = self.last_zone_contact.entry(zone.clone()).or_insert(at);
        *last_contact = at.max(*last_contact);
    }

    /// Replaces the seeds, which come from the settings file and the machine list. A daemon that
    /// knows no other member restarts joining, since without seeds it may have concluded that it is
    /// the only member.
    pub fn set_seeds(&mut self, seeds: Vec<Seed>) {
        self.seeds = seeds;
        if !self.seeds.is_empty() && self.table.live_count() <= 1 {
            self.joined = false;
            self.seed_contacts = 0;
            self.next_table_sync = Timestamp::ZERO;
        }
    }

    /// Marks this daemon as leaving. The leaving flag is gossiped with priority and is never
    /// withdrawn.
    pub fn leave(&mut self, now: Timestamp) {
        if self.me.leaving {
            return;
        }
        self.me.leaving = true;
        self.announce_self(true);
        self.next_round = now;
    }

    /// Returns true if the table changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the members that this daemon declared dead since the last call.
    pub fn take_declared_dead(&mut self) -> Vec<MemberId> {
        std::mem::take(&mut self.declared_dead)
    }

    /// Records contact with a message's sender. Returns true if the sender's updates may be
    /// applied. A sender that counts as dead receives only the update about its death, because it
    /// may itself be the one that receives no messages.
    pub fn on_header(&mut self, now: Timestamp, header: &Header, out: &mut Vec<Outgoing>) -> bool {
        self.last_zone_contact.insert(header.zone.clone(), now);
        let Some(member) = self.table.get(&header.zone, &header.from) else {
            return true;
        };
        if member.is_live() || header.incarnation > member.incarnation {
            return true;
        }
        let mut reply = Outgoing::urgent(member.profile.control_address, Body::Gossip);
        reply.updates.push(Update::of(member));
        out.push(reply);
        false
    }

    /// Applies an update; `from_zone` is the zone of the daemon that sent it.
    pub fn apply(
        &mut self,
        now: Timestamp,
        update: &Update,
        from_zone: &ZoneName,
        counters: &mut Counters,
    ) -> MergeOutcome {
        if update.id == self.me.profile.id {
            self.apply_to_self(now, update, counters);
            return MergeOutcome::Unchanged;
        }
        let merge = self.table.merge(update);
        if matches!(merge, MergeOutcome::Changed { .. }) {
            self.update_timers(now, &update.zone, &update.id);
            self.enqueue_update(now, &update.zone, &update.id, from_zone);
        }
        merge
    }

    /// Refutes an update that declares this daemon suspect or dead, or that attributes a later
    /// process start to its id. The latter is left by an earlier process whose clock was ahead.
    fn apply_to_self(&mut self, now: Timestamp, update: &Update, counters: &mut Counters) {
        let reported = update.incarnation;
        let later_process = reported.process() > self.me.incarnation.process();
        let is_suspected = reported >= self.me.incarnation && update.liveness != Liveness::Alive;
        if later_process {
            self.me.incarnation = crate::member::Incarnation::started_at(reported.process() + 1);
        } else if is_suspected {
            self.me.incarnation = reported.refuted();
        } else {
            return;
        }
        counters.refutations += 1;
        self.announce_self(true);
        self.next_round = self
            .next_round
            .min(now + self.settings.urgent_gossip_interval);
    }

    fn announce_self(&mut self, urgent: bool) {
        let update = Update::of(&self.me);
        self.table.extend([self.me.clone()]);
        self.changed = true;
        let transmissions = self.transmissions();
        self.queue.push(update.clone(), transmissions, urgent);
        if self.me.leaving || self.delegate_rank().is_some() {
            self.zone_outbox.insert(update.id.clone(), update);
        }
    }

    /// Updates suspicion and tombstone timers after a record has changed.
    fn update_timers(&mut self, now: Timestamp, zone: &ZoneName, id: &MemberId) {
        self.changed = true;
        let Some(member) = self.table.get(zone, id) else {
            return;
        };
        if *zone == self.me.profile.zone {
            if member.liveness == Liveness::Suspect {
                let deadline = now + self.suspicion_timeout();
                self.suspicions.entry(id.clone()).or_insert(deadline);
            } else {
                self.suspicions.remove(id);
            }
        }
        if !member.is_live() {
            let expiry = now + self.settings.tombstone_retention;
            self.tombstones
                .push_back((expiry, zone.clone(), id.clone()));
        }
    }

    /// Queues a changed record for the local zone and, if required, for the other zones.
    fn enqueue_update(
        &mut self,
        now: Timestamp,
        zone: &ZoneName,
        id: &MemberId,
        from_zone: &ZoneName,
    ) {
        let Some(member) = self.table.get(zone, id) else {
            return;
        };
        let update = Update::of(member);
        let urgent = member.leaving && member.is_live();
        let is_local_zone = *zone == self.me.profile.zone;
        let from_local_zone = *from_zone == self.me.profile.zone;
        if is_local_zone && update.liveness != Liveness::Suspect && self.delegate_rank().is_some() {
            self.zone_outbox.insert(id.clone(), update.clone());
        }
        if self.joined || (is_local_zone && from_local_zone) {
            let transmissions = self.transmissions();
            self.queue.push(update, transmissions, urgent);
        }
        self.schedule_round(now, urgent);
    }

    fn schedule_round(&mut self, now: Timestamp, urgent: bool) {
        let wait = if urgent {
            self.settings.urgent_gossip_interval
        } else {
            self.settings.routine_gossip_interval
        };
        let due = now + wait;
        if self.next_round <= now || self.next_round > due {
            self.next_round = due;
        }
    }

    /// Returns the number of times an update is transmitted: the logarithm of the zone's size plus
    /// a constant.
    fn transmissions(&self) -> u32 {
        let members = self.zone_size();
        usize::BITS - members.leading_zeros() + EXTRA_TRANSMISSIONS
    }

    fn zone_size(&self) -> usize {
        let zone = self.table.zone(&self.me.profile.zone);
        zone.map_or(1, crate::table::ZoneTable::live_count)
    }

    /// Runs all timers that are due.
    pub fn advance(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        counters: &mut Counters,
        out: &mut Vec<Outgoing>,
    ) {
        self.handle_own_pause(now);
        self.expire_probes(now, rng, out);
        self.expire_suspicions(now, counters);
        self.expire_tombstones(now);
        self.start_probe(now, rng, out);
        self.run_round(now, rng, out);
        self.run_table_sync(now, rng, out);
        self.run_zone_sync(now, rng, out);
        self.run_rejoin(now, rng, out);
    }

    /// Returns the time at which [`Self::advance`] has to be called next.
    #[must_use]
    pub fn next_wakeup(&self) -> Timestamp {
        let timers = [self.next_probe, self.next_table_sync, self.next_rejoin];
        let mut next = timers.into_iter().min().unwrap_or(self.next_probe);
        next = next.min(self.next_zone_sync);
        if self.has_queued_updates() {
            next = next.min(self.next_round);
        }
        if let Some(due) = self.probe_due() {
            next = next.min(due);
        }
        if let Some(deadline) = self.suspicions.values().min() {
            next = next.min(*deadline);
        }
        next
    }

    fn has_queued_updates(&self) -> bool {
        !self.queue.is_empty() || !self.zone_outbox.is_empty()
    }

    /// Discards probes and extends suspicions after a pause of this process, during which it could
    /// not receive the replies of others.
    fn handle_own_pause(&mut self, now: Timestamp) {
        let delay = now.saturating_since(self.next_wakeup());
        if delay < PAUSE_THRESHOLD {
            return;
        }
        self.probe = None;
        self.relayed_probes.clear();
        for deadline in self.suspicions.values_mut() {
            *deadline = *deadline + delay;
        }
    }

    fn expire_tombstones(&mut self, now: Timestamp) {
        while let Some((expiry, zone, id)) = self.tombstones.front().cloned() {
            if expiry > now {
                return;
            }
            self.tombstones.pop_front();
            self.table.forget(&zone, &id);
        }
    }
}

/// Returns a random duration from 0 to `interval`, which keeps daemons from acting in step.
pub(crate) fn jitter(interval: Duration, rng: &mut impl Rng) -> Duration {
    interval.mul_f64(rng.random::<f64>())
}

//! SWIM-style membership inside a zone, with delegates that exchange with other zones.

mod choose;
mod probe;
mod spread;
mod sync;

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
use crate::table::{MemberTable, Merge};

use probe::{DirectProbe, RelayedProbe};

/// Lateness of a wake-up from which a daemon concludes that it was itself paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Transmissions of a report beyond the logarithm of the zone's size.
const EXTRA_TRANSMISSIONS: u32 = 4;
/// Cycles through all zones after which one that was not heard of counts as unreachable.
const SILENT_CYCLES: f64 = 1.25;
/// Bound of the random zone with which a delegate's exchanges begin.
const MAX_FIRST_TURN: usize = 1_024;

/// Which messages give way to which under the byte budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficClass {
    /// Probes, answers and changes: always sent.
    Urgent,
    /// Waits for the byte budget.
    Routine,
}

/// A message that a machine wants sent.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Control address of the receiver.
    pub to: SocketAddr,
    /// Reports that ride along.
    pub updates: Vec<Update>,
    /// The matter.
    pub body: Body,
    /// How it is treated under the byte budget.
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
    /// Its control address.
    pub control_address: SocketAddr,
}

/// The membership machine of one daemon.
#[derive(Clone, Debug)]
pub struct Gossip {
    settings: Settings,
    me: Member,
    table: MemberTable,
    seeds: Vec<Seed>,
    queue: UpdateQueue,
    zone_outbox: BTreeMap<MemberId, Update>,
    probe: Option<DirectProbe>,
    relayed: Vec<RelayedProbe>,
    suspicions: BTreeMap<MemberId, Timestamp>,
    tombstones: VecDeque<(Timestamp, ZoneName, MemberId)>,
    zone_heard: BTreeMap<ZoneName, Timestamp>,
    zone_turn: usize,
    sequence: u32,
    failed_probes: u32,
    declared_dead: Vec<MemberId>,
    joined: bool,
    /// The own zone's records have arrived from a daemon that is ready.
    zone_known: bool,
    seed_contacts: usize,
    seed_turn: bool,
    /// The table has once agreed with another daemon's.
    filled: bool,
    changed: bool,
    join_deadline: Timestamp,
    next_probe: Timestamp,
    next_round: Timestamp,
    next_table_sync: Timestamp,
    next_zone_sync: Timestamp,
    next_rejoin: Timestamp,
}

impl Gossip {
    /// A machine that knows nobody but itself and its seeds.
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
            relayed: Vec::new(),
            suspicions: BTreeMap::new(),
            tombstones: VecDeque::new(),
            zone_heard: BTreeMap::new(),
            zone_turn: rng.random_range(0..MAX_FIRST_TURN),
            sequence: 0,
            failed_probes: 0,
            declared_dead: Vec::new(),
            joined: false,
            zone_known: false,
            seed_contacts: 0,
            seed_turn: false,
            filled: false,
            changed: true,
            join_deadline: now + sync::JOIN_LIMIT,
            next_probe: now + jitter(settings.probe_interval, rng),
            next_round: now,
            next_table_sync: now,
            next_zone_sync: now + jitter(settings.zone_sync_interval, rng),
            next_rejoin: now + jitter(sync::REJOIN_INTERVAL, rng),
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
        self.zone_known = true;
        self.filled = true;
        self.queue = UpdateQueue::default();
        self.next_table_sync = now + jitter(self.settings.table_sync_interval, rng);
        for (zone, _) in self.table.zones() {
            self.zone_heard.insert(zone.clone(), now);
        }
    }

    /// The member that this machine speaks for.
    #[must_use]
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// What is known of all members.
    #[must_use]
    pub const fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Whether the table has been filled from another member, or the wait for one is over.
    #[must_use]
    pub const fn is_joined(&self) -> bool {
        self.joined
    }

    /// Whether the members of the own zone are known, or the wait for them is over.
    #[must_use]
    pub const fn is_zone_known(&self) -> bool {
        self.zone_known || self.joined
    }

    /// Whether this daemon is a delegate of its zone, and which: zero is the first.
    #[must_use]
    pub fn delegate_rank(&self) -> Option<usize> {
        let delegates = self.table.zone(&self.me.profile.zone)?.delegates();
        delegates.iter().position(|id| *id == self.me.profile.id)
    }

    /// Whether a zone was heard of within the limit of silence, which grows with the number of zones;
    /// the own zone always is.
    #[must_use]
    pub fn is_zone_reachable(&self, now: Timestamp, zone: &ZoneName) -> bool {
        let zones = u32::try_from(self.zone_heard.len()).unwrap_or(u32::MAX);
        let cycle = self.settings.zone_sync_interval.mul_f64(SILENT_CYCLES) * zones;
        let limit = self.settings.zone_silence.max(cycle);
        *zone == self.me.profile.zone
            || self
                .zone_heard
                .get(zone)
                .is_some_and(|&heard| now.saturating_since(heard) < limit)
    }

    /// Notes that another daemon of the own zone heard of a zone at `at`.
    pub(crate) fn heard_of_zone(&mut self, zone: &ZoneName, at: Timestamp) {
        let heard = self.zone_heard.entry(zone.clone()).or_insert(at);
        *heard = at.max(*heard);
    }

    /// Puts other seeds in place: the settings file's and the machine list's. A daemon that knows nobody
    /// begins to join anew: it may have taken itself for the whole deployment for lack of seeds.
    pub fn set_seeds(&mut self, seeds: Vec<Seed>) {
        self.seeds = seeds;
        if !self.seeds.is_empty() && self.table.live_count() <= 1 {
            self.joined = false;
            self.seed_contacts = 0;
            self.next_table_sync = Timestamp::ZERO;
        }
    }

    /// Marks this daemon as leaving. The mark spreads before anything else and is never taken back.
    pub fn leave(&mut self, now: Timestamp) {
        if self.me.leaving {
            return;
        }
        self.me.leaving = true;
        self.announce_self(true);
        self.next_round = now;
    }

    /// Whether the table changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Members that this daemon declared dead since the last call.
    pub fn take_declared_dead(&mut self) -> Vec<MemberId> {
        std::mem::take(&mut self.declared_dead)
    }

    /// Takes notice of a message's sender. Returns whether its updates may be believed: a sender
    /// that is held to be dead is only told so, since it may be the one that hears nothing.
    pub fn heard(&mut self, now: Timestamp, header: &Header, out: &mut Vec<Outgoing>) -> bool {
        self.zone_heard.insert(header.zone.clone(), now);
        let Some(member) = self.table.get(&header.zone, &header.from) else {
            return true;
        };
        if member.is_live() || header.incarnation > member.incarnation {
            return true;
        }
        let mut answer = Outgoing::urgent(member.profile.control_address, Body::Gossip);
        answer.updates.push(Update::of(member));
        out.push(answer);
        false
    }

    /// Merges a report; `from_zone` is the zone of the daemon that sent it.
    pub fn apply(
        &mut self,
        now: Timestamp,
        update: &Update,
        from_zone: &ZoneName,
        counters: &mut Counters,
    ) -> Merge {
        if update.id == self.me.profile.id {
            self.apply_to_self(now, update, counters);
            return Merge::Known;
        }
        let merge = self.table.merge(update);
        if matches!(merge, Merge::Changed { .. }) {
            self.after_change(now, &update.zone, &update.id);
            self.pass_on(now, &update.zone, &update.id, from_zone);
        }
        merge
    }

    /// Refutes a report that this daemon is suspect or dead, or that an earlier process of its id
    /// is the latest.
    fn apply_to_self(&mut self, now: Timestamp, update: &Update, counters: &mut Counters) {
        let claimed = update.incarnation;
        let other_process = claimed.process() > self.me.incarnation.process();
        let doubted = claimed >= self.me.incarnation && update.liveness != Liveness::Alive;
        if other_process {
            self.me.incarnation = crate::member::Incarnation::started_at(claimed.process() + 1);
        } else if doubted {
            self.me.incarnation = claimed.refuted();
        } else {
            return;
        }
        counters.refutations += 1;
        self.announce_self(true);
        self.next_round = self.next_round.min(now + self.settings.urgent_round);
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

    /// Keeps timers and marks in step with a changed record.
    fn after_change(&mut self, now: Timestamp, zone: &ZoneName, id: &MemberId) {
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

    /// Queues a changed record for the own zone, and for the other zones where this is due.
    fn pass_on(&mut self, now: Timestamp, zone: &ZoneName, id: &MemberId, from_zone: &ZoneName) {
        let Some(member) = self.table.get(zone, id) else {
            return;
        };
        let update = Update::of(member);
        let urgent = member.leaving && member.is_live();
        let own_zone = *zone == self.me.profile.zone;
        let local_news = *from_zone == self.me.profile.zone;
        if own_zone && update.liveness != Liveness::Suspect && self.delegate_rank().is_some() {
            self.zone_outbox.insert(id.clone(), update.clone());
        }
        if self.joined || (own_zone && local_news) {
            let transmissions = self.transmissions();
            self.queue.push(update, transmissions, urgent);
        }
        self.schedule_round(now, urgent);
    }

    fn schedule_round(&mut self, now: Timestamp, urgent: bool) {
        let wait = if urgent {
            self.settings.urgent_round
        } else {
            self.settings.routine_round
        };
        let due = now + wait;
        if self.next_round <= now || self.next_round > due {
            self.next_round = due;
        }
    }

    /// How often a report is passed on: the logarithm of the zone's size and a few.
    fn transmissions(&self) -> u32 {
        let members = self.zone_size();
        usize::BITS - members.leading_zeros() + EXTRA_TRANSMISSIONS
    }

    fn zone_size(&self) -> usize {
        let zone = self.table.zone(&self.me.profile.zone);
        zone.map_or(1, crate::table::ZoneTable::live_count)
    }

    /// Runs everything that is due.
    pub fn advance(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        counters: &mut Counters,
        out: &mut Vec<Outgoing>,
    ) {
        self.forgive_own_pause(now);
        self.expire_probes(now, rng, out);
        self.expire_suspicions(now, counters);
        self.expire_tombstones(now);
        self.start_probe(now, rng, out);
        self.run_round(now, rng, out);
        self.run_table_sync(now, rng, out);
        self.run_zone_sync(now, rng, out);
        self.run_rejoin(now, rng, out);
    }

    /// When [`Self::advance`] has something to do next.
    #[must_use]
    pub fn next_wakeup(&self) -> Timestamp {
        let timers = [self.next_probe, self.next_table_sync, self.next_rejoin];
        let mut next = timers.into_iter().min().unwrap_or(self.next_probe);
        next = next.min(self.next_zone_sync);
        if self.has_news() {
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

    fn has_news(&self) -> bool {
        !self.queue.is_empty() || !self.zone_outbox.is_empty()
    }

    /// After a pause of this process the silence of others proves nothing.
    fn forgive_own_pause(&mut self, now: Timestamp) {
        let late = now.saturating_since(self.next_wakeup());
        if late < PAUSE_THRESHOLD {
            return;
        }
        self.probe = None;
        self.relayed.clear();
        for deadline in self.suspicions.values_mut() {
            *deadline = *deadline + late;
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

/// A time from zero to `interval` by chance, so that daemons do not act in step.
pub(crate) fn jitter(interval: Duration, rng: &mut impl Rng) -> Duration {
    interval.mul_f64(rng.random::<f64>())
}

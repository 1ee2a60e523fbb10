//! Periodic work beside gossip: the wait for readiness, reports of revisions, the choice of readers.

use std::time::Duration;

use rand::Rng;
use wharfquay_core::time::Timestamp;

use crate::gossip::Outgoing;
use crate::hash::hash_bytes;
use crate::member::{MemberId, ZoneName};
use crate::message::{Body, ZoneReport};
use crate::relay::report::delegate_for;

use super::{Effect, Node};

/// Time between two rounds of upkeep in a running daemon.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two rounds of upkeep in a starting daemon.
const STARTING_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two exchanges of a delegate's counts.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Report intervals after which an unchanged revision is reported again.
const UNCHANGED_REPORT_INTERVALS: u32 = 6;
/// Report intervals after which a silent member no longer counts.
const FORGOTTEN_AFTER_INTERVALS: u32 = 20;
/// Age up to which another zone's report is passed on to the zone's delegates.
const FRESH_REPORT: Duration = Duration::from_millis(2_500);

impl Node {
    pub(super) fn run_upkeep(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
        effects: &mut Vec<Effect>,
    ) {
        if now < self.next_upkeep {
            return;
        }
        if self.is_ready() {
            self.next_upkeep = now + UPKEEP_INTERVAL;
        } else {
            self.next_upkeep = now + STARTING_INTERVAL;
            if self.gossip.is_joined() {
                self.gossip.contact_seed(out);
            }
            self.ask_peers(rng, out);
            let relayed = self.relay.pull_first(now, rng);
            self.apply_relay(relayed, rng, out, effects);
        }
        let should_read = self.should_read(now);
        if should_read != self.reading {
            self.reading = should_read;
            self.relay.reports_mut().set_store_contact(None);
            effects.push(Effect::Read(should_read));
        }
        if self.gossip.delegate_rank().is_some() && now >= self.next_exchange {
            self.next_exchange = now + EXCHANGE_INTERVAL;
            self.exchange_reports(now, rng, out);
        }
    }

    /// Asks peers of the own zone, then of others, which revision they hold.
    fn ask_peers(&mut self, rng: &mut impl Rng, out: &mut Vec<Outgoing>) {
        if self.gossip.is_zone_known() {
            self.relay.readiness_mut().members_known();
        }
        let wanted = self.settings.readiness_peers;
        let zone_share = wanted.div_ceil(3) * 2;
        for attempt in 0..wanted {
            let peer = if attempt < zone_share {
                self.gossip.random_peer(rng)
            } else {
                let zone = self.gossip.random_zone(rng);
                zone.and_then(|zone| self.gossip.contact_in(zone, rng))
            };
            let Some(peer) = peer else {
                continue;
            };
            let (id, address) = (peer.profile.id.clone(), peer.profile.control_address);
            let readiness = self.relay.readiness_mut();
            if readiness.has_asked(&id) || readiness.asked_count() < wanted {
                readiness.asked(id);
                out.push(Outgoing::urgent(address, Body::Ask));
            }
        }
    }

    /// Tells the delegate that counts this member which revision is in force here.
    pub(super) fn run_report(&mut self, now: Timestamp, out: &mut Vec<Outgoing>) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + self.report_interval();
        let unchanged = self.reported_revision == self.revision();
        self.reports_skipped += 1;
        if unchanged && self.reports_skipped < UNCHANGED_REPORT_INTERVALS {
            return;
        }
        self.reported_revision = self.revision();
        self.reports_skipped = 0;
        let me = self.me().profile.id.clone();
        let (revision, ready) = (self.revision(), self.is_ready());
        let Some(delegate) = self.own_delegate() else {
            return;
        };
        if delegate == me {
            self.relay.reports_mut().member(now, &me, revision, ready);
        } else if let Some(to) = self.address_of(&self.me().profile.zone, &delegate) {
            out.push(Outgoing::routine(to, Body::Holding));
        }
    }

    fn own_delegate(&self) -> Option<MemberId> {
        let me = &self.me().profile;
        let delegates = self.table().zone(&me.zone)?.delegates();
        delegate_for(&me.id, delegates).cloned()
    }

    /// Time between two reports: longer in a large zone, so that a delegate's load is bounded.
    fn report_interval(&self) -> Duration {
        let zone = self.table().zone(&self.me().profile.zone);
        let members = zone.map_or(1, crate::table::ZoneTable::live_count);
        let per_second = self.settings.reports_per_second.max(1);
        let micros = u64::try_from(members * 1_000_000 / per_second).unwrap_or(u64::MAX);
        Duration::from_micros(micros).max(self.settings.report_interval)
    }

    /// Counts the zone, shares the count with the zone's other delegates and with one other zone.
    fn exchange_reports(&mut self, now: Timestamp, rng: &mut impl Rng, out: &mut Vec<Outgoing>) {
        let me = self.me().profile.clone();
        let limit = self.report_interval() * FORGOTTEN_AFTER_INTERVALS;
        let part = self.relay.reports_mut().count(now, &me.zone, &me.id, limit);
        let mut shared = vec![part];
        shared.extend(self.fresh_reports(now, &me.zone));
        for to in self.other_delegates(&me.zone, &me.id) {
            out.push(Outgoing::routine(to, Body::ZoneReports(shared.clone())));
        }
        let whole = self.relay.reports().zone(now, &me.zone);
        let contact = self
            .gossip
            .random_zone(rng)
            .and_then(|zone| self.gossip.contact_in(zone, rng));
        if let (Some(whole), Some(contact)) = (whole, contact) {
            let to = contact.profile.control_address;
            out.push(Outgoing::routine(to, Body::ZoneReports(vec![whole])));
        }
    }

    fn fresh_reports(&self, now: Timestamp, own_zone: &ZoneName) -> Vec<ZoneReport> {
        let fresh = |report: &ZoneReport| Duration::from_millis(report.age_ms) <= FRESH_REPORT;
        let reports = self.relay.reports().zones(now).into_iter();
        reports
            .filter(|report| report.zone != *own_zone)
            .filter(fresh)
            .collect()
    }

    fn other_delegates(&self, zone: &ZoneName, me: &MemberId) -> Vec<std::net::SocketAddr> {
        let Some(table) = self.table().zone(zone) else {
            return Vec::new();
        };
        let others = table.delegates().iter().filter(|id| *id != me);
        others.filter_map(|id| self.address_of(zone, id)).collect()
    }

    /// Whether this daemon is among the readers of the store.
    ///
    /// The first delegates of the first zones by rendezvous read. A zone whose readers have no
    /// contact with the store keeps trying; the next zone in order reads in its place, and so do the
    /// other delegates of the zone itself: the store may refuse some machines and serve the others.
    fn should_read(&self, now: Timestamp) -> bool {
        let Some(rank) = self.gossip.delegate_rank() else {
            return false;
        };
        if !self.relay.may_read_store(now) {
            return false;
        }
        let own_zone = &self.me().profile.zone;
        let mut zones: Vec<&ZoneName> = self
            .table()
            .zones()
            .filter(|(zone, table)| *zone == own_zone || table.live_count() > 0)
            .map(|(zone, _)| zone)
            .filter(|zone| self.gossip.is_zone_reachable(now, zone))
            .collect();
        zones.sort_by_key(|zone| hash_bytes(zone.as_str().as_bytes()));
        let per_zone = (self.settings.readers / zones.len().max(1))
            .clamp(1, self.settings.readers_per_zone.max(1));
        let zone_count = (self.settings.readers / per_zone).max(1);
        if rank >= per_zone && !self.do_delegates_lack_store(now, rank) {
            return false;
        }
        let position = zones.iter().position(|zone| *zone == own_zone);
        zones.retain(|zone| *zone == own_zone || !self.lacks_store(now, zone));
        let among_working = zones.iter().position(|zone| *zone == own_zone);
        let chosen = |position: Option<usize>| position.is_some_and(|at| at < zone_count);
        chosen(position) || chosen(among_working)
    }

    /// Whether the first `count` delegates of the own zone all say that they can't read the store.
    fn do_delegates_lack_store(&self, now: Timestamp, count: usize) -> bool {
        let Some(table) = self.table().zone(&self.me().profile.zone) else {
            return false;
        };
        let oldest = now - self.settings.zone_silence;
        let mut before = table.delegates().iter().take(count);
        before.all(|id| self.relay.reports().contact_of(id, oldest) == Some(false))
    }

    fn lacks_store(&self, now: Timestamp, zone: &ZoneName) -> bool {
        let silence = self.settings.zone_silence;
        self.relay.reports().zone(now, zone).is_some_and(|report| {
            report.store_contact == Some(false) && Duration::from_millis(report.age_ms) < silence
        })
    }
}

//! Periodic work besides gossip: readiness queries, revision reports and the selection of readers.

use std::time::Duration;

use rand::Rng;
use wharfquay_core::time::Timestamp;

use crate::gossip::Outgoing;
use crate::hash::hash_bytes;
use crate::member::{MemberId, ZoneName};
use crate::message::{Body, ZoneReport};
use crate::relay::reports::delegate_for;

use super::{Effect, Node};

/// Time between two maintenance rounds of a daemon that is ready.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two maintenance rounds of a daemon that is not ready yet.
const STARTING_MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two exchanges of revision counts by a delegate.
const COUNT_EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Report intervals after which an unchanged revision is reported again.
const UNCHANGED_REPORT_INTERVALS: u32 = 6;
/// Report intervals without a report after which a member is no longer counted.
const SILENT_MEMBER_INTERVALS: u32 = 20;
/// Maximum age of another zone's report that is still forwarded to the delegates of the local zone.
const MAX_FORWARDED_REPORT_AGE: Duration = Duration::from_millis(2_500);

impl Node {
    pub(super) fn run_maintenance(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
        effects: &mut Vec<Effect>,
    ) {
        if now < self.next_maintenance {
            return;
        }
        if self.is_ready() {
            self.next_maintenance = now + MAINTENANCE_INTERVAL;
        } else {
            self.next_maintenance = now + STARTING_MAINTENANCE_INTERVAL;
            if self.gossip.is_joined() {
                self.gossip.contact_seed(out);
            }
            self.query_peers(rng, out);
            let relay_effects = self.relay.pull_first(now, rng);
            self.apply_relay_effects(relay_effects, rng, out, effects);
        }
        let should_read = self.should_read(now);
        if should_read != self.reading {
            self.reading = should_read;
            self.relay.revision_reports_mut().set_store_contact(None);
            effects.push(Effect::SetReader(should_read));
        }
        if self.gossip.delegate_rank().is_some() && now >= self.next_count_exchange {
            self.next_count_exchange = now + COUNT_EXCHANGE_INTERVAL;
            self.exchange_revision_counts(now, rng, out);
        }
    }

    /// Queries peers of the local zone, then of other zones, for the revision that they hold.
    fn query_peers(&mut self, rng: &mut impl Rng, out: &mut Vec<Outgoing>) {
        if self.gossip.is_local_zone_known() {
            self.relay.readiness_mut().record_members_known();
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
            if readiness.was_queried(&id) || readiness.queried_count() < wanted {
                readiness.record_query(id);
                out.push(Outgoing::urgent(address, Body::RevisionRequest));
            }
        }
    }

    /// Reports the revision in force to the delegate that counts this member.
    pub(super) fn report_revision(&mut self, now: Timestamp, out: &mut Vec<Outgoing>) {
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
        let Some(delegate) = self.assigned_delegate() else {
            return;
        };
        if delegate == me {
            self.relay
                .revision_reports_mut()
                .record_member(now, &me, revision, ready);
        } else if let Some(to) = self.address_of(&self.me().profile.zone, &delegate) {
            out.push(Outgoing::routine(to, Body::RevisionAnnouncement));
        }
    }

    fn assigned_delegate(&self) -> Option<MemberId> {
        let me = &self.me().profile;
        let delegates = self.table().zone(&me.zone)?.delegates();
        delegate_for(&me.id, delegates).cloned()
    }

    /// Returns the time between two reports. It grows with the zone to bound a delegate's load.
    fn report_interval(&self) -> Duration {
        let zone = self.table().zone(&self.me().profile.zone);
        let members = zone.map_or(1, crate::table::ZoneTable::live_count);
        let per_second = self.settings.reports_per_second.max(1);
        let micros = u64::try_from(members * 1_000_000 / per_second).unwrap_or(u64::MAX);
        Duration::from_micros(micros).max(self.settings.report_interval)
    }

    /// Counts the members that report to this delegate by readiness, with their lowest and highest
    /// revision in force. Sends the result, with fresh reports about other zones, to the other
    /// delegates of the local zone, and the local zone's total to one member of a random other
    /// zone.
    fn exchange_revision_counts(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let me = self.me().profile.clone();
        let max_silence = self.report_interval() * SILENT_MEMBER_INTERVALS;
        let part =
            self.relay
                .revision_reports_mut()
                .count_members(now, &me.zone, &me.id, max_silence);
        let mut shared = vec![part];
        shared.extend(self.fresh_reports(now, &me.zone));
        for to in self.other_delegates(&me.zone, &me.id) {
            out.push(Outgoing::routine(to, Body::ZoneReports(shared.clone())));
        }
        let complete = self.relay.revision_reports().zone(now, &me.zone);
        let contact = self
            .gossip
            .random_zone(rng)
            .and_then(|zone| self.gossip.contact_in(zone, rng));
        if let (Some(complete), Some(contact)) = (complete, contact) {
            let to = contact.profile.control_address;
            out.push(Outgoing::routine(to, Body::ZoneReports(vec![complete])));
        }
    }

    fn fresh_reports(&self, now: Timestamp, local_zone: &ZoneName) -> Vec<ZoneReport> {
        let fresh =
            |report: &ZoneReport| Duration::from_millis(report.age_ms) <= MAX_FORWARDED_REPORT_AGE;
        let reports = self.relay.revision_reports().zones(now).into_iter();
        reports
            .filter(|report| report.zone != *local_zone)
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

    /// Returns true if this daemon is one of the readers of the store.
    ///
    /// Readers are the first delegates of the first zones in rendezvous order. A zone whose readers
    /// have no contact with the store keeps trying. Meanwhile the next zone in order reads too, and
    /// so do the other delegates of the zone itself, because the store may refuse some machines and
    /// serve others.
    fn should_read(&self, now: Timestamp) -> bool {
        let Some(rank) = self.gossip.delegate_rank() else {
            return false;
        };
        if !self.relay.may_read_store(now) {
            return false;
        }
        let local_zone = &self.me().profile.zone;
        let mut zones: Vec<&ZoneName> = self
            .table()
            .zones()
            .filter(|(zone, table)| *zone == local_zone || table.live_count() > 0)
            .map(|(zone, _)| zone)
            .filter(|zone| self.gossip.is_zone_reachable(now, zone))
            .collect();
        zones.sort_by_key(|zone| hash_bytes(zone.as_str().as_bytes()));
        let per_zone = (self.settings.max_readers / zones.len().max(1))
            .clamp(1, self.settings.max_readers_per_zone.max(1));
        let zone_count = (self.settings.max_readers / per_zone).max(1);
        if rank >= per_zone && !self.first_delegates_lack_store(now, rank) {
            return false;
        }
        let position = zones.iter().position(|zone| *zone == local_zone);
        zones.retain(|zone| *zone == local_zone || !self.lacks_store(now, zone));
        let position_among_connected = zones.iter().position(|zone| *zone == local_zone);
        let is_selected = |position: Option<usize>| position.is_some_and(|at| at < zone_count);
        is_selected(position) || is_selected(position_among_connected)
    }

    /// Returns true if the first `count` delegates of the local zone all report no contact with the
    /// store.
    fn first_delegates_lack_store(&self, now: Timestamp, count: usize) -> bool {
        let Some(table) = self.table().zone(&self.me().profile.zone) else {
            return false;
        };
        let oldest = now - self.settings.min_zone_timeout;
        let mut first_delegates = table.delegates().iter().take(count);
        first_delegates
            .all(|id| self.relay.revision_reports().store_contact_of(id, oldest) == Some(false))
    }

    fn lacks_store(&self, now: Timestamp, zone: &ZoneName) -> bool {
        let timeout = self.settings.min_zone_timeout;
        self.relay
            .revision_reports()
            .zone(now, zone)
            .is_some_and(|report| {
                report.store_contact == Some(false)
                    && Duration::from_millis(report.age_ms) < timeout
            })
    }
}

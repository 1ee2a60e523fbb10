//! Which revision is in force in each zone, as its delegates count it.

use std::collections::BTreeMap;
use std::time::Duration;

use wharfquay_core::time::Timestamp;

use crate::hash::hash_bytes;
use crate::member::{MemberId, ZoneName};
use crate::message::ZoneReport;

#[derive(Clone, Copy, Debug)]
struct Heard {
    revision: u64,
    ready: bool,
    at: Timestamp,
}

#[derive(Clone, Debug)]
struct Received {
    report: ZoneReport,
    counted_at: Timestamp,
}

/// The reports that one daemon has heard: of members while it is a delegate, and of zones.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    members: BTreeMap<MemberId, Heard>,
    parts: BTreeMap<MemberId, Received>,
    zones: BTreeMap<ZoneName, Received>,
    store_contact: Option<bool>,
}

/// The delegate to which a member reports.
pub(crate) fn delegate_for<'a>(
    member: &MemberId,
    delegates: &'a [MemberId],
) -> Option<&'a MemberId> {
    let count = u64::try_from(delegates.len()).ok()?;
    let rank = hash_bytes(member.as_str().as_bytes())
        .rotate_left(32)
        .checked_rem(count)?;
    delegates.get(usize::try_from(rank).ok()?)
}

impl Reports {
    /// Notes the revision of a member that reports to this delegate.
    pub fn member(&mut self, now: Timestamp, id: &MemberId, revision: u64, ready: bool) {
        let heard = Heard {
            revision,
            ready,
            at: now,
        };
        self.members.insert(id.clone(), heard);
    }

    /// Notes whether this daemon, as a reader, is in contact with the store.
    pub const fn set_store_contact(&mut self, contact: Option<bool>) {
        self.store_contact = contact;
    }

    /// Whether this daemon, as a reader, is in contact with the store; `None` when it does not read.
    #[must_use]
    pub const fn store_contact(&self) -> Option<bool> {
        self.store_contact
    }

    /// What another delegate of the own zone said since `oldest` about its contact with the store.
    #[must_use]
    pub fn contact_of(&self, delegate: &MemberId, oldest: Timestamp) -> Option<bool> {
        let part = self.parts.get(delegate)?;
        part.report
            .store_contact
            .filter(|_| part.counted_at >= oldest)
    }

    /// Notes a report of another delegate.
    pub fn received(&mut self, now: Timestamp, report: ZoneReport) {
        let counted_at = now - Duration::from_millis(report.age_ms);
        let received = Received { report, counted_at };
        if received.report.whole {
            let zone = received.report.zone.clone();
            keep_newer(&mut self.zones, zone, received);
        } else {
            let counted_by = received.report.counted_by.clone();
            keep_newer(&mut self.parts, counted_by, received);
        }
    }

    /// Counts the members that report to `me`, and forgets those silent for `limit`.
    pub fn count(
        &mut self,
        now: Timestamp,
        zone: &ZoneName,
        me: &MemberId,
        limit: Duration,
    ) -> ZoneReport {
        let oldest = now - limit;
        self.members.retain(|_, heard| heard.at >= oldest);
        self.parts.retain(|_, part| part.counted_at >= oldest);
        let ready = || self.members.values().filter(|heard| heard.ready);
        let part = ZoneReport {
            zone: zone.clone(),
            counted_by: me.clone(),
            whole: false,
            age_ms: 0,
            members: count_of(self.members.len()),
            ready: count_of(ready().count()),
            lowest: ready().map(|heard| heard.revision).min().unwrap_or(0),
            highest: ready().map(|heard| heard.revision).max().unwrap_or(0),
            store_contact: self.store_contact,
        };
        let whole = self.join_parts(&part);
        let received = Received {
            report: whole,
            counted_at: now,
        };
        self.zones.insert(zone.clone(), received);
        part
    }

    fn join_parts(&self, own: &ZoneReport) -> ZoneReport {
        let mut whole = ZoneReport {
            whole: true,
            ..own.clone()
        };
        for part in self.parts.values().map(|part| &part.report) {
            if part.counted_by == own.counted_by {
                continue;
            }
            whole.members += part.members;
            if part.ready > 0 {
                let known = whole.ready > 0;
                whole.lowest = if known {
                    whole.lowest.min(part.lowest)
                } else {
                    part.lowest
                };
                whole.highest = whole.highest.max(part.highest);
                whole.ready += part.ready;
            }
            whole.store_contact = join_contact(whole.store_contact, part.store_contact);
        }
        whole
    }

    /// The latest report of each zone with its age.
    #[must_use]
    pub fn zones(&self, now: Timestamp) -> Vec<ZoneReport> {
        let aged = |received: &Received| ZoneReport {
            age_ms: millis(now.saturating_since(received.counted_at)),
            ..received.report.clone()
        };
        self.zones.values().map(aged).collect()
    }

    /// The latest report of one zone with its age.
    #[must_use]
    pub fn zone(&self, now: Timestamp, zone: &ZoneName) -> Option<ZoneReport> {
        let received = self.zones.get(zone)?;
        Some(ZoneReport {
            age_ms: millis(now.saturating_since(received.counted_at)),
            ..received.report.clone()
        })
    }
}

fn keep_newer<K: Ord>(reports: &mut BTreeMap<K, Received>, key: K, received: Received) {
    let newer = reports
        .get(&key)
        .is_none_or(|known| known.counted_at <= received.counted_at);
    if newer {
        reports.insert(key, received);
    }
}

/// One reader in contact is enough.
const fn join_contact(one: Option<bool>, other: Option<bool>) -> Option<bool> {
    match (one, other) {
        (Some(true), _) | (_, Some(true)) => Some(true),
        (None, contact) | (contact, None) => contact,
        (Some(false), Some(false)) => Some(false),
    }
}

fn count_of(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

//! Configuration revisions in force in each zone, as counted by its delegates.

use std::collections::BTreeMap;
use std::time::Duration;

use wharfquay_core::time::Timestamp;

use crate::hash::hash_bytes;
use crate::member::{MemberId, ZoneName};
use crate::message::ZoneReport;

#[derive(Clone, Copy, Debug)]
struct MemberRevision {
    revision: u64,
    ready: bool,
    received_at: Timestamp,
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    report: ZoneReport,
    counted_at: Timestamp,
}

/// Reports on configuration revisions in force that one daemon received: from members while it is a
/// delegate, and about zones.
#[derive(Clone, Debug, Default)]
pub struct RevisionReports {
    members: BTreeMap<MemberId, MemberRevision>,
    /// Reports of the other delegates of the local zone, by delegate.
    partial_reports: BTreeMap<MemberId, ReceivedReport>,
    /// Latest report about each zone.
    zones: BTreeMap<ZoneName, ReceivedReport>,
    /// True if this daemon, as a reader, is in contact with the store, false if its last attempt
    /// failed; `None` while it does not read or has not tried yet.
    store_contact: Option<bool>,
}

/// Returns the delegate to which a member reports, or `None` if there are no delegates.
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

impl RevisionReports {
    /// Records the revision of a member that reports to this delegate.
    pub fn record_member(&mut self, now: Timestamp, id: &MemberId, revision: u64, ready: bool) {
        let member = MemberRevision {
            revision,
            ready,
            received_at: now,
        };
        self.members.insert(id.clone(), member);
    }

    /// Records whether this daemon, as a reader, is in contact with the store.
    pub const fn set_store_contact(&mut self, contact: Option<bool>) {
        self.store_contact = contact;
    }

    /// Returns true if this daemon, as a reader, is in contact with the store; `None` while it does
    /// not read or has not tried yet.
    #[must_use]
    pub const fn store_contact(&self) -> Option<bool> {
        self.store_contact
    }

    /// Returns whether `delegate`, another delegate of the local zone, is in contact with the
    /// platform's store, according to its latest report. `None` if that report was counted before
    /// `oldest`, if there is none, or if the delegate does not read the store or has not tried yet.
    #[must_use]
    pub fn store_contact_of(&self, delegate: &MemberId, oldest: Timestamp) -> Option<bool> {
        let part = self.partial_reports.get(delegate)?;
        part.report
            .store_contact
            .filter(|_| part.counted_at >= oldest)
    }

    /// Records a report from another delegate, unless a newer one is known.
    pub fn record_report(&mut self, now: Timestamp, report: ZoneReport) {
        let counted_at = now - Duration::from_millis(report.age_ms);
        let received = ReceivedReport { report, counted_at };
        if received.report.complete {
            let zone = received.report.zone.clone();
            insert_if_newer(&mut self.zones, zone, received);
        } else {
            let counted_by = received.report.counted_by.clone();
            insert_if_newer(&mut self.partial_reports, counted_by, received);
        }
    }

    /// Counts the members that report to `me`, after removing those silent for longer than
    /// `max_silence`. Stores the total of the zone and returns this delegate's partial report.
    pub fn count_members(
        &mut self,
        now: Timestamp,
        zone: &ZoneName,
        me: &MemberId,
        max_silence: Duration,
    ) -> ZoneReport {
        let oldest = now - max_silence;
        self.members
            .retain(|_, member| member.received_at >= oldest);
        self.partial_reports
            .retain(|_, part| part.counted_at >= oldest);
        let ready = || self.members.values().filter(|member| member.ready);
        let part = ZoneReport {
            zone: zone.clone(),
            counted_by: me.clone(),
            complete: false,
            age_ms: 0,
            members: count_of(self.members.len()),
            ready: count_of(ready().count()),
            lowest: ready().map(|member| member.revision).min().unwrap_or(0),
            highest: ready().map(|member| member.revision).max().unwrap_or(0),
            store_contact: self.store_contact,
        };
        let complete = self.merge_partial_reports(&part);
        let received = ReceivedReport {
            report: complete,
            counted_at: now,
        };
        self.zones.insert(zone.clone(), received);
        part
    }

    fn merge_partial_reports(&self, own: &ZoneReport) -> ZoneReport {
        let mut complete = ZoneReport {
            complete: true,
            ..own.clone()
        };
        for part in self.partial_reports.values().map(|part| &part.report) {
            if part.counted_by == own.counted_by {
                continue;
            }
            complete.members += part.members;
            if part.ready > 0 {
                let known = complete.ready > 0;
                complete.lowest = if known {
                    complete.lowest.min(part.lowest)
                } else {
                    part.lowest
                };
                complete.highest = complete.highest.max(part.highest);
                complete.ready += part.ready;
            }
            complete.store_contact =
                merge_store_contact(complete.store_contact, part.store_contact);
        }
        complete
    }

    /// Returns the latest report of each zone, with its current age.
    #[must_use]
    pub fn zones(&self, now: Timestamp) -> Vec<ZoneReport> {
        let aged = |received: &ReceivedReport| ZoneReport {
            age_ms: millis(now.saturating_since(received.counted_at)),
            ..received.report.clone()
        };
        self.zones.values().map(aged).collect()
    }

    /// Returns the latest report of one zone, with its current age.
    #[must_use]
    pub fn zone(&self, now: Timestamp, zone: &ZoneName) -> Option<ZoneReport> {
        let received = self.zones.get(zone)?;
        Some(ZoneReport {
            age_ms: millis(now.saturating_since(received.counted_at)),
            ..received.report.clone()
        })
    }
}

fn insert_if_newer<K: Ord>(
    reports: &mut BTreeMap<K, ReceivedReport>,
    key: K,
    received: ReceivedReport,
) {
    let newer = reports
        .get(&key)
        .is_none_or(|known| known.counted_at <= received.counted_at);
    if newer {
        reports.insert(key, received);
    }
}

/// Merges two contact states: one reader in contact is enough.
const fn merge_store_contact(one: Option<bool>, other: Option<bool>) -> Option<bool> {
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

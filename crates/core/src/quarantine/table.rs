//! What a sidecar knows of suspects and quarantined requests, merged from reports in any order.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{QUARANTINE_TIME, RequestFingerprint, SUSPECT_TIME, Standing};
use crate::time::Timestamp;

/// Requests that are known at most, in about 50 bytes each. Beyond it those that were cleared go first, then suspects,
/// the oldest first.
const CAPACITY: usize = 4_096;
/// Part of the requests that goes at once when there are too many.
const DROPPED_SHARE: usize = 8;
/// Time for which it is remembered that a request was cleared, so that late reports do not bring the suspicion back.
const CLEARED_TIME: Duration = Duration::from_secs(30);
/// A report that is newer by so much renews what is known and is passed on; the rest of the difference is the time
/// that reports travel.
const RENEWAL: Duration = Duration::from_secs(1);

/// What a report says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReportedStanding {
    /// A back end answered it.
    #[serde(rename = "c")]
    Cleared,
    /// See [`Standing::Suspect`].
    #[serde(rename = "s")]
    Suspect,
    /// See [`Standing::Quarantined`].
    #[serde(rename = "q")]
    Quarantined,
}

/// A report on one request, as it goes from sidecar to sidecar. Names are one letter long on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: RequestFingerprint,
    /// What is said of it.
    #[serde(rename = "s")]
    pub standing: ReportedStanding,
    /// Time since it was found, in milliseconds: clocks of two machines can't be compared.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    standing: ReportedStanding,
    since: Timestamp,
}

impl Known {
    /// How long it holds.
    const fn lifetime(self) -> Duration {
        match self.standing {
            ReportedStanding::Cleared => CLEARED_TIME,
            ReportedStanding::Suspect => SUSPECT_TIME,
            // One half as quarantined, the other as a suspect.
            ReportedStanding::Quarantined => QUARANTINE_TIME.saturating_mul(2),
        }
    }

    fn is_over(self, now: Timestamp) -> bool {
        now >= self.since + self.lifetime()
    }

    fn standing(self, now: Timestamp) -> Standing {
        if self.is_over(now) {
            return Standing::Unsuspected;
        }
        match self.standing {
            ReportedStanding::Cleared => Standing::Unsuspected,
            ReportedStanding::Suspect => Standing::Suspect,
            ReportedStanding::Quarantined if now < self.since + QUARANTINE_TIME => {
                Standing::Quarantined
            }
            ReportedStanding::Quarantined => Standing::Suspect,
        }
    }

    /// Whether `newer` says something else that holds.
    fn gives_way_to(self, newer: Self) -> bool {
        use ReportedStanding::{Cleared, Quarantined, Suspect};
        match (self.standing, newer.standing) {
            (Suspect, Quarantined) => true,
            (Quarantined, Suspect) => false,
            (Cleared, Suspect | Quarantined) => newer.since > self.since,
            (Suspect | Quarantined, Cleared) => newer.since >= self.since,
            (Cleared, Cleared) | (Suspect, Suspect) | (Quarantined, Quarantined) => {
                newer.since > self.since + RENEWAL
            }
        }
    }
}

/// The suspects and quarantined requests that one sidecar knows of.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    known: HashMap<RequestFingerprint, Known>,
}

impl QuarantineTable {
    /// What is held against a request.
    #[must_use]
    pub fn standing(&self, now: Timestamp, fingerprint: RequestFingerprint) -> Standing {
        let known = self.known.get(&fingerprint);
        known.map_or(Standing::Unsuspected, |known| known.standing(now))
    }

    /// Time until a quarantined request is tried again.
    #[must_use]
    pub fn time_left(&self, now: Timestamp, fingerprint: RequestFingerprint) -> Duration {
        let known = self.known.get(&fingerprint);
        known.map_or(Duration::ZERO, |known| {
            (known.since + QUARANTINE_TIME).saturating_since(now)
        })
    }

    /// Takes a report in; whether it is news, which others should hear of.
    pub fn learn(&mut self, now: Timestamp, report: QuarantineReport) -> bool {
        let newer = Known {
            standing: report.standing,
            since: now - Duration::from_millis(report.age_ms),
        };
        if newer.is_over(now) {
            return false;
        }
        let known = self.known.get(&report.fingerprint);
        let is_news = known.is_none_or(|known| known.is_over(now) || known.gives_way_to(newer));
        if is_news {
            self.make_room(now);
            self.known.insert(report.fingerprint, newer);
        }
        is_news
    }

    /// Reports on every quarantined request, the newest first.
    #[must_use]
    pub fn quarantined(&self, now: Timestamp) -> Vec<QuarantineReport> {
        let mut reports: Vec<QuarantineReport> = self
            .current_quarantined(now)
            .map(|(fingerprint, known)| QuarantineReport {
                fingerprint,
                standing: known.standing,
                age_ms: age_ms(now, known.since),
            })
            .collect();
        reports.sort_by_key(|report| (report.age_ms, report.fingerprint));
        reports
    }

    /// Digest of the quarantined requests, to find out whether two sidecars know of the same.
    #[must_use]
    pub fn digest(&self, now: Timestamp) -> u64 {
        self.current_quarantined(now)
            .fold(0, |digest, (fingerprint, _)| digest ^ fingerprint.bits())
    }

    /// Numbers of suspects and of quarantined requests.
    #[must_use]
    pub fn counts(&self, now: Timestamp) -> (usize, usize) {
        let count = |wanted| {
            let standings = self.known.values().map(|known| known.standing(now));
            standings.filter(|standing| *standing == wanted).count()
        };
        (count(Standing::Suspect), count(Standing::Quarantined))
    }

    /// Requests that are known, the cleared ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether nothing is known against any request, nor that one was cleared.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn current_quarantined(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (RequestFingerprint, Known)> {
        let known = self
            .known
            .iter()
            .map(|(fingerprint, known)| (*fingerprint, *known));
        known.filter(move |(_, known)| known.standing(now) == Standing::Quarantined)
    }

    fn make_room(&mut self, now: Timestamp) {
        if self.known.len() < CAPACITY {
            return;
        }
        self.known.retain(|_, known| !known.is_over(now));
        if self.known.len() < CAPACITY {
            return;
        }
        let mut order: Vec<_> = self
            .known
            .iter()
            .map(|(fingerprint, known)| (known.standing, known.since, *fingerprint))
            .collect();
        order.sort_unstable();
        for (_, _, fingerprint) in order.into_iter().take(CAPACITY / DROPPED_SHARE) {
            self.known.remove(&fingerprint);
        }
    }
}

fn age_ms(now: Timestamp, since: Timestamp) -> u64 {
    u64::try_from(now.saturating_since(since).as_millis()).unwrap_or(u64::MAX)
}

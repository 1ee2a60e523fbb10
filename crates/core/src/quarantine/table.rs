//! Suspect and quarantined requests known to a sidecar, merged from reports in any order.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{QUARANTINE_TIME, QuarantineState, RequestFingerprint, SUSPECT_TIME};
use crate::time::Timestamp;

/// Maximum number of requests stored, at about 50 bytes each. Beyond it, cleared requests are
/// dropped first, then suspects, the oldest first.
const CAPACITY: usize = 4_096;
/// One in this many of the stored requests is dropped when the table is full. Dropping them in
/// batches means that a flood of new requests causes one sort per batch, not one per request.
const EVICTION_DIVISOR: usize = 8;
/// Time for which a cleared request is remembered, which prevents delayed reports from making it a
/// suspect again.
const CLEARED_TIME: Duration = Duration::from_secs(30);
/// Minimum age difference from which a newer report with the same status replaces the stored one
/// and is forwarded. Smaller differences are caused by the transmission time of reports.
const RENEWAL: Duration = Duration::from_secs(1);

/// Quarantine status of a request as sidecars report it to each other. Unlike [`QuarantineState`],
/// it includes that a request was cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReportedQuarantineState {
    /// A backend responded to the request, so it is no longer a suspect.
    #[serde(rename = "c")]
    Cleared,
    /// See [`QuarantineState::Suspect`].
    #[serde(rename = "s")]
    Suspect,
    /// See [`QuarantineState::Quarantined`].
    #[serde(rename = "q")]
    Quarantined,
}

/// A report on one request, exchanged between sidecars. Field names are one letter long on the
/// wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Fingerprint of the request.
    #[serde(rename = "f")]
    pub fingerprint: RequestFingerprint,
    /// Reported status of the request.
    #[serde(rename = "s")]
    pub state: ReportedQuarantineState,
    /// Time since the reported status was determined, in milliseconds. An age is sent because the
    /// clocks of two machines can't be compared.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct StoredStatus {
    state: ReportedQuarantineState,
    since: Timestamp,
}

impl StoredStatus {
    /// Returns the time for which the status is valid.
    const fn lifetime(self) -> Duration {
        match self.state {
            ReportedQuarantineState::Cleared => CLEARED_TIME,
            ReportedQuarantineState::Suspect => SUSPECT_TIME,
            // The first half as quarantined, the second as a suspect.
            ReportedQuarantineState::Quarantined => QUARANTINE_TIME.saturating_mul(2),
        }
    }

    fn is_expired(self, now: Timestamp) -> bool {
        now >= self.since + self.lifetime()
    }

    fn state(self, now: Timestamp) -> QuarantineState {
        if self.is_expired(now) {
            return QuarantineState::Unsuspected;
        }
        match self.state {
            ReportedQuarantineState::Cleared => QuarantineState::Unsuspected,
            ReportedQuarantineState::Suspect => QuarantineState::Suspect,
            ReportedQuarantineState::Quarantined if now < self.since + QUARANTINE_TIME => {
                QuarantineState::Quarantined
            }
            ReportedQuarantineState::Quarantined => QuarantineState::Suspect,
        }
    }

    /// Returns true if `newer` replaces this status.
    fn is_superseded_by(self, newer: Self) -> bool {
        use ReportedQuarantineState::{Cleared, Quarantined, Suspect};
        match (self.state, newer.state) {
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

/// Suspect and quarantined requests known to one sidecar.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    known: HashMap<RequestFingerprint, StoredStatus>,
}

impl QuarantineTable {
    /// Returns the current status of a request.
    #[must_use]
    pub fn state(&self, now: Timestamp, fingerprint: RequestFingerprint) -> QuarantineState {
        let known = self.known.get(&fingerprint);
        known.map_or(QuarantineState::Unsuspected, |known| known.state(now))
    }

    /// Returns the time until the quarantine of a request ends and backends may execute it again;
    /// zero if the request is unknown. Meaningful only for a quarantined request.
    #[must_use]
    pub fn time_left(&self, now: Timestamp, fingerprint: RequestFingerprint) -> Duration {
        let known = self.known.get(&fingerprint);
        known.map_or(Duration::ZERO, |known| {
            (known.since + QUARANTINE_TIME).saturating_since(now)
        })
    }

    /// Merges a report. Returns true if it changed the table and should be forwarded.
    pub fn merge(&mut self, now: Timestamp, report: QuarantineReport) -> bool {
        let newer = StoredStatus {
            state: report.state,
            since: now - Duration::from_millis(report.age_ms),
        };
        if newer.is_expired(now) {
            return false;
        }
        let known = self.known.get(&report.fingerprint);
        let is_new =
            known.is_none_or(|known| known.is_expired(now) || known.is_superseded_by(newer));
        if is_new {
            self.make_room(now);
            self.known.insert(report.fingerprint, newer);
        }
        is_new
    }

    /// Returns a report on every quarantined request, the newest first.
    #[must_use]
    pub fn quarantined(&self, now: Timestamp) -> Vec<QuarantineReport> {
        let mut reports: Vec<QuarantineReport> = self
            .current_quarantined(now)
            .map(|(fingerprint, known)| QuarantineReport {
                fingerprint,
                state: known.state,
                age_ms: age_ms(now, known.since),
            })
            .collect();
        reports.sort_by_key(|report| (report.age_ms, report.fingerprint));
        reports
    }

    /// Returns a digest of the quarantined requests, with which two sidecars check whether they
    /// know the same ones.
    #[must_use]
    pub fn digest(&self, now: Timestamp) -> u64 {
        self.current_quarantined(now)
            .fold(0, |digest, (fingerprint, _)| digest ^ fingerprint.bits())
    }

    /// Returns the number of suspects and the number of quarantined requests.
    #[must_use]
    pub fn counts(&self, now: Timestamp) -> (usize, usize) {
        let count = |wanted| {
            let states = self.known.values().map(|known| known.state(now));
            states.filter(|state| *state == wanted).count()
        };
        (
            count(QuarantineState::Suspect),
            count(QuarantineState::Quarantined),
        )
    }

    /// Returns the number of requests stored, including cleared ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns true if no request is stored, not even a cleared one.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn current_quarantined(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (RequestFingerprint, StoredStatus)> {
        let known = self
            .known
            .iter()
            .map(|(fingerprint, known)| (*fingerprint, *known));
        known.filter(move |(_, known)| known.state(now) == QuarantineState::Quarantined)
    }

    fn make_room(&mut self, now: Timestamp) {
        if self.known.len() < CAPACITY {
            return;
        }
        self.known.retain(|_, known| !known.is_expired(now));
        if self.known.len() < CAPACITY {
            return;
        }
        let mut order: Vec<_> = self
            .known
            .iter()
            .map(|(fingerprint, known)| (known.state, known.since, *fingerprint))
            .collect();
        order.sort_unstable();
        for (_, _, fingerprint) in order.into_iter().take(CAPACITY / EVICTION_DIVISOR) {
            self.known.remove(&fingerprint);
        }
    }
}

fn age_ms(now: Timestamp, since: Timestamp) -> u64 {
    u64::try_from(now.saturating_since(since).as_millis()).unwrap_or(u64::MAX)
}

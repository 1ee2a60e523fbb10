//! Times at which refused requests are asked to return, and what an edge promised about them.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::admission::estimate::unit_hash;
use crate::priority::{AdmissionKey, Priority, Rank};
use crate::quarantine::RequestFingerprint;
use crate::time::Timestamp;

/// Maximum number of refused requests that are remembered.
pub const MAX_PROMISES: usize = 4_096;
/// Time after its promised time during which a return counts as on time.
pub const GRACE: Duration = Duration::from_secs(1);
/// Longest time after which a refused call is asked to return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Shortest promised time. The level that refused a request is older than this.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time before the promised one at which a return counts as on time, since Retry-After is rounded to
/// milliseconds.
const EARLY_TOLERANCE: Duration = Duration::from_millis(2);
/// Number of early returns after which a request is forgotten. Requests with the same content have
/// one fingerprint, so a single refusal must not decide about all of them: with this value they are
/// served at least a quarter as often as requests with different contents.
const MAX_EARLY_RETURNS: u8 = 3;
/// Part of the rate at which a caller's requests are admitted that is promised to returning ones.
/// With a larger part, more returns are promised than capacity serves in a surge; with a smaller one,
/// clients that wait have no advantage.
const RETURN_PART: f64 = 0.3;
/// Lowest rate of promises to one caller, per second.
const MIN_RATE: f64 = 0.05;
/// Time constant of the rate at which a caller's requests are admitted, in seconds.
const RATE_SECONDS: f64 = 5.0;
/// Maximum number of callers, by priority, whose rates are kept.
const MAX_RATES: usize = 512;

/// Number of refused calls that have not returned yet, estimated from the rate at which they may.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReturnSchedule {
    returning: f64,
    updated: Timestamp,
}

impl ReturnSchedule {
    /// Adds a refused call and returns the time after which it should return. `position` from 0.0
    /// to 1.0 is its position in the time that all refused calls need at this rate.
    pub(crate) fn add(&mut self, now: Timestamp, per_second: f64, position: f64) -> Duration {
        self.advance(now, per_second);
        let most = per_second * MAX_RETRY_AFTER.as_secs_f64();
        self.returning = (self.returning + 1.0).min(most);
        MAX_RETRY_AFTER.min(Duration::from_secs_f64(
            self.returning / per_second * position.clamp(0.0, 1.0),
        ))
    }

    /// Like [`Self::add`], but adds the call only if its time is at most `longest`.
    fn add_within(
        &mut self,
        now: Timestamp,
        per_second: f64,
        position: f64,
        longest: Duration,
    ) -> Result<Duration, Duration> {
        self.advance(now, per_second);
        let needed = (self.returning + 1.0) / per_second;
        let wait = Duration::from_secs_f64(needed * position.clamp(0.0, 1.0)).max(MIN_RETRY_AFTER);
        if wait > longest {
            return Err(wait);
        }
        self.returning += 1.0;
        Ok(wait)
    }

    fn advance(&mut self, now: Timestamp, per_second: f64) {
        let elapsed = now.saturating_since(self.updated).as_secs_f64();
        self.updated = now;
        self.returning = (self.returning - elapsed * per_second).max(0.0);
    }
}

/// What a refusal says about the return of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promise {
    /// A request that returns after this time, or up to [`GRACE`] later, ranks ahead of new ones.
    After(Duration),
    /// Nothing is promised: capacity is expected after this time only, which is beyond the deadline.
    BeyondDeadline(Duration),
}

/// How a request that arrives relates to those that were refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    /// It was not refused before, or too long ago.
    New,
    /// It returned before its promised time, or nothing was promised. It keeps the rank that was
    /// refused, so repeating it immediately is no new chance.
    Early(Rank),
    /// It returned at its promised time.
    OnTime,
}

/// Numbers of promises since the last call of [`ReturnPromises::take_counts`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromiseCounts {
    /// Promises given.
    pub given: u64,
    /// Refusals without a promise, because the time lies beyond the deadline.
    pub beyond_deadline: u64,
    /// Requests that returned before their time or without a promise.
    pub early: u64,
    /// Promises whose requests did not return in time.
    pub unclaimed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Refused {
    rank: Rank,
    /// Promised time; `None` if nothing was promised.
    due: Option<Timestamp>,
    until: Timestamp,
    early: u8,
}

/// Rate at which the requests of one caller and priority are admitted, and its schedule.
#[derive(Clone, Copy, Debug)]
struct AdmittedRate {
    admitted: f64,
    since: Timestamp,
    updated: Timestamp,
    schedule: ReturnSchedule,
}

impl AdmittedRate {
    fn new(now: Timestamp) -> Self {
        Self {
            admitted: 0.0,
            since: now,
            updated: now,
            schedule: ReturnSchedule::default(),
        }
    }

    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.saturating_since(self.updated).as_secs_f64();
        self.admitted *= (-elapsed / RATE_SECONDS).exp();
        self.updated = now;
    }

    fn promised_per_second(&mut self, now: Timestamp) -> f64 {
        self.decay(now);
        let age = now.saturating_since(self.since).as_secs_f64();
        let span = RATE_SECONDS * (1.0 - (-age / RATE_SECONDS).exp());
        (self.admitted / span.max(1.0) * RETURN_PART).max(MIN_RATE)
    }
}

/// Requests that this edge refused, with the times at which they were asked to return.
#[derive(Clone, Debug, Default)]
pub struct ReturnPromises {
    refused: HashMap<RequestFingerprint, Refused>,
    expiries: BTreeSet<(Timestamp, RequestFingerprint)>,
    rates: HashMap<(Priority, Box<str>), AdmittedRate>,
    counts: PromiseCounts,
}

impl ReturnPromises {
    /// Creates an instance without promises.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts an admitted request of a caller.
    pub fn record_admitted(&mut self, now: Timestamp, caller: &str, priority: Priority) {
        let rate = self.rate(now, caller, priority);
        rate.decay(now);
        rate.admitted += 1.0;
    }

    /// Decides when a refused request of a caller may return. A request that was refused before and
    /// returned early keeps its promise.
    pub fn refuse(
        &mut self,
        now: Timestamp,
        caller: &str,
        fingerprint: RequestFingerprint,
        key: AdmissionKey,
        deadline: Timestamp,
    ) -> Promise {
        self.expire(now);
        let known = self.refused.get(&fingerprint).and_then(|known| known.due);
        if let Some(due) = known.filter(|due| *due > now) {
            let wait = due.saturating_since(now);
            return match due <= deadline {
                true => Promise::After(wait),
                false => Promise::BeyondDeadline(wait),
            };
        }
        let longest = deadline.saturating_since(now).min(MAX_RETRY_AFTER);
        let position = unit_hash(fingerprint.bits() ^ now.as_micros().rotate_left(32));
        let rate = self.rate(now, caller, key.priority());
        let per_second = rate.promised_per_second(now);
        let wait = rate.schedule.add_within(now, per_second, position, longest);
        let (due, until) = match wait {
            Ok(wait) => (Some(now + wait), now + wait + GRACE),
            Err(_) => (None, now + longest),
        };
        let early = self.refused.get(&fingerprint);
        let early = early.map_or(0, |known| known.early);
        let rank = key.rank();
        self.remember(
            fingerprint,
            Refused {
                rank,
                due,
                until,
                early,
            },
        );
        match wait {
            Ok(wait) => {
                self.counts.given += 1;
                Promise::After(wait)
            }
            Err(wait) => {
                self.counts.beyond_deadline += 1;
                Promise::BeyondDeadline(wait)
            }
        }
    }

    /// Returns whether an arriving request was refused before. A promise can be used once.
    pub fn returning(&mut self, now: Timestamp, fingerprint: RequestFingerprint) -> Return {
        self.expire(now);
        let Some(known) = self.refused.get_mut(&fingerprint) else {
            return Return::New;
        };
        if known.due.is_some_and(|due| now + EARLY_TOLERANCE >= due) {
            self.forget(fingerprint);
            return Return::OnTime;
        }
        self.counts.early += 1;
        known.early += 1;
        let (rank, early) = (known.rank, known.early);
        if early > MAX_EARLY_RETURNS {
            self.forget(fingerprint);
            return Return::New;
        }
        Return::Early(rank)
    }

    /// Returns the numbers of promises since the last call.
    pub fn take_counts(&mut self, now: Timestamp) -> PromiseCounts {
        self.expire(now);
        std::mem::take(&mut self.counts)
    }

    /// Returns the number of refused requests that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.refused.len()
    }

    /// Returns true if no refused request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.refused.is_empty()
    }

    fn rate(&mut self, now: Timestamp, caller: &str, priority: Priority) -> &mut AdmittedRate {
        let key = (priority, Box::from(caller));
        if self.rates.len() >= MAX_RATES && !self.rates.contains_key(&key) {
            let oldest = self.rates.iter().min_by_key(|(_, rate)| rate.updated);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.rates.remove(&oldest);
            }
        }
        self.rates
            .entry(key)
            .or_insert_with(|| AdmittedRate::new(now))
    }

    fn remember(&mut self, fingerprint: RequestFingerprint, refused: Refused) {
        self.forget(fingerprint);
        if self.refused.len() >= MAX_PROMISES
            && let Some(&(_, first)) = self.expiries.first()
        {
            self.drop_unclaimed(first);
        }
        self.expiries.insert((refused.until, fingerprint));
        self.refused.insert(fingerprint, refused);
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some(&(until, first)) = self.expiries.first()
            && until < now
        {
            self.drop_unclaimed(first);
        }
    }

    fn drop_unclaimed(&mut self, fingerprint: RequestFingerprint) {
        let dropped = self.forget(fingerprint);
        let is_promise = dropped.is_some_and(|refused| refused.due.is_some());
        self.counts.unclaimed += u64::from(is_promise);
    }

    fn forget(&mut self, fingerprint: RequestFingerprint) -> Option<Refused> {
        let refused = self.refused.remove(&fingerprint)?;
        self.expiries.remove(&(refused.until, fingerprint));
        Some(refused)
    }
}

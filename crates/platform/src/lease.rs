//! The leases that bound the number of readers in a zone.
//!
//! A zone has a few slots, each a lease named `reader-<zone>-<number>`. Holding one gives nothing
//! but the right to read: two holders of one slot, or a holder that was paused past its lease, cost
//! the store a reader more for a while and break nothing.

use std::time::Duration;

use rand::{Rng, RngExt};
use wharfquay_core::time::Timestamp;

use crate::backoff::Backoff;
use crate::client::LeaseOutcome;

/// A lease is renewed when this part of its time is over.
const RENEWAL_DIVISOR: u32 = 3;

/// Bounds on the leases of one candidate.
#[derive(Clone, Debug)]
pub struct ReaderLeaseSettings {
    /// Zone whose slots are competed for.
    pub zone: String,
    /// Id of the candidate, unique among processes.
    pub holder: String,
    /// Readers that the zone may have; at least 1.
    pub slots: u32,
    /// Time after which a lease lapses unless it is renewed.
    pub ttl: Duration,
    /// Waits after failures.
    pub backoff: Backoff,
}

impl ReaderLeaseSettings {
    /// Default settings for a candidate: 3 slots, 15 s.
    #[must_use]
    pub fn new(zone: impl Into<String>, holder: impl Into<String>) -> Self {
        Self {
            zone: zone.into(),
            holder: holder.into(),
            slots: 3,
            ttl: Duration::from_secs(15),
            backoff: Backoff::default(),
        }
    }

    /// Name of the lease of a slot.
    #[must_use]
    pub fn lease_name(&self, slot: u32) -> String {
        format!("reader-{}-{slot}", self.zone)
    }
}

/// A request to be made; its answer goes to [`ReaderLease::answered`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Name of the lease.
    pub name: String,
    /// Who asks.
    pub holder: String,
    /// Time asked for.
    pub ttl: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldSlot {
    until: Timestamp,
}

/// State machine of one candidate for a slot.
#[derive(Clone, Debug)]
pub struct ReaderLease {
    settings: ReaderLeaseSettings,
    slot: u32,
    held: Option<HeldSlot>,
    /// When the request under way was made.
    asked_at: Option<Timestamp>,
    next_request_at: Timestamp,
    /// Slots in a row that others hold.
    refusals: u32,
    failures: u32,
}

impl ReaderLease {
    /// A candidate that holds nothing and starts with a random slot at once.
    #[must_use]
    pub fn new(settings: ReaderLeaseSettings, now: Timestamp, random: &mut impl Rng) -> Self {
        let slot = random.random_range(0..settings.slots.max(1));
        Self {
            settings,
            slot,
            held: None,
            asked_at: None,
            next_request_at: now,
            refusals: 0,
            failures: 0,
        }
    }

    /// Whether the candidate may read.
    #[must_use]
    pub fn may_read(&self, now: Timestamp) -> bool {
        self.held.is_some_and(|held| now < held.until)
    }

    /// When [`Self::advance`] has something to do or [`Self::may_read`] changes.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let request_at = self.asked_at.is_none().then_some(self.next_request_at);
        let lapse_at = self.held.map(|held| held.until);
        request_at.into_iter().chain(lapse_at).min()
    }

    /// Forgets a lease that has lapsed and returns the request that is due, if one is.
    pub fn advance(&mut self, now: Timestamp) -> Option<LeaseRequest> {
        if !self.may_read(now) {
            self.held = None;
        }
        if self.asked_at.is_some() || now < self.next_request_at {
            return None;
        }
        self.asked_at = Some(now);
        Some(LeaseRequest {
            name: self.settings.lease_name(self.slot),
            holder: self.settings.holder.clone(),
            ttl: self.settings.ttl,
        })
    }

    /// Takes in the answer to the request under way, or that there was none.
    pub fn answered(
        &mut self,
        now: Timestamp,
        answer: Option<&LeaseOutcome>,
        random: &mut impl Rng,
    ) {
        let Some(asked_at) = self.asked_at.take() else {
            return;
        };
        match answer {
            Some(LeaseOutcome::Granted(time)) => self.granted(asked_at, *time),
            Some(LeaseOutcome::HeldBy(held)) => {
                let expires_in = Duration::from_millis(held.expires_in_ms);
                self.refused(now, expires_in, random);
            }
            None => self.failed(now, random),
        }
    }

    /// The time granted counts from when the request was made, not from its answer.
    fn granted(&mut self, asked_at: Timestamp, time: Duration) {
        self.failures = 0;
        self.refusals = 0;
        self.held = Some(HeldSlot {
            until: asked_at + time,
        });
        self.next_request_at = asked_at + time / RENEWAL_DIVISOR;
    }

    /// Tries the next slot at once, and waits after a round of refusals.
    fn refused(&mut self, now: Timestamp, expires_in: Duration, random: &mut impl Rng) {
        self.held = None;
        self.failures = 0;
        self.refusals += 1;
        self.slot = (self.slot + 1) % self.settings.slots.max(1);
        self.next_request_at = now;
        if self.refusals >= self.settings.slots.max(1) {
            self.refusals = 0;
            self.next_request_at = now + self.wait_after_round(expires_in, random);
        }
    }

    /// A random wait between the held lease's rest and a whole lease more.
    fn wait_after_round(&self, expires_in: Duration, random: &mut impl Rng) -> Duration {
        let spread = self.settings.ttl.mul_f64(random.random::<f64>());
        expires_in.min(self.settings.ttl) + spread
    }

    fn failed(&mut self, now: Timestamp, random: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        self.next_request_at = now + self.settings.backoff.delay(self.failures, random);
    }
}

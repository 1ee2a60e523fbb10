//! Leases that limit the number of readers in a zone.
//!
//! A zone has a few slots, each a lease named `reader-<zone>-<number>`. A lease only permits
//! reading. When two processes hold one slot, or a holder was paused until after its lease expired,
//! the store temporarily has one more reader; correctness is not affected.

use std::time::Duration;

use rand::{Rng, RngExt};
use wharfquay_core::time::Timestamp;

use crate::backoff::Backoff;
use crate::client::LeaseOutcome;

/// A lease is renewed after its duration divided by this.
const RENEWAL_DIVISOR: u32 = 3;

/// Settings of one candidate for a lease.
#[derive(Clone, Debug)]
pub struct ReaderLeaseSettings {
    /// Zone whose slots the candidate competes for.
    pub zone: String,
    /// Id of the candidate, which is the lease's holder once granted; unique among processes.
    pub holder: String,
    /// Maximum number of readers in the zone; at least 1.
    pub slots: u32,
    /// Time after which a lease expires unless it is renewed.
    pub ttl: Duration,
    /// Waits after failures.
    pub backoff: Backoff,
}

impl ReaderLeaseSettings {
    /// Creates the default settings of a candidate: 3 slots, leases of 15 s.
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

    /// Returns the name of the lease of a slot.
    #[must_use]
    pub fn lease_name(&self, slot: u32) -> String {
        format!("reader-{}-{slot}", self.zone)
    }
}

/// A lease request to send; its result goes to [`ReaderLease::handle_result`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Name of the lease.
    pub name: String,
    /// Id of the candidate that requests the lease.
    pub holder: String,
    /// Time after which the lease expires unless it is renewed.
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
    /// Time at which the lease request in flight was sent; `None` when none is in flight.
    requested_at: Option<Timestamp>,
    next_request_at: Timestamp,
    /// Number of consecutive lease requests that were refused because another candidate held the
    /// slot.
    consecutive_held: u32,
    failures: u32,
}

impl ReaderLease {
    /// Creates a candidate without a lease, which requests a random slot immediately.
    #[must_use]
    pub fn new(settings: ReaderLeaseSettings, now: Timestamp, random: &mut impl Rng) -> Self {
        let slot = random.random_range(0..settings.slots.max(1));
        Self {
            settings,
            slot,
            held: None,
            requested_at: None,
            next_request_at: now,
            consecutive_held: 0,
            failures: 0,
        }
    }

    /// Returns true while the candidate holds a lease and may read.
    #[must_use]
    pub fn may_read(&self, now: Timestamp) -> bool {
        self.held.is_some_and(|held| now < held.until)
    }

    /// Returns the next time at which [`Self::advance`] must be called or [`Self::may_read`] changes.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let request_at = self.requested_at.is_none().then_some(self.next_request_at);
        let expires_at = self.held.map(|held| held.until);
        request_at.into_iter().chain(expires_at).min()
    }

    /// Drops an expired lease and returns the request that is due, if any.
    pub fn advance(&mut self, now: Timestamp) -> Option<LeaseRequest> {
        if !self.may_read(now) {
            self.held = None;
        }
        if self.requested_at.is_some() || now < self.next_request_at {
            return None;
        }
        self.requested_at = Some(now);
        Some(LeaseRequest {
            name: self.settings.lease_name(self.slot),
            holder: self.settings.holder.clone(),
            ttl: self.settings.ttl,
        })
    }

    /// Handles the result of the request in flight; `None` means that there was no reply.
    pub fn handle_result(
        &mut self,
        now: Timestamp,
        outcome: Option<&LeaseOutcome>,
        random: &mut impl Rng,
    ) {
        let Some(requested_at) = self.requested_at.take() else {
            return;
        };
        match outcome {
            Some(LeaseOutcome::Granted(time)) => self.handle_grant(requested_at, *time),
            Some(LeaseOutcome::HeldBy(held)) => {
                let expires_in = Duration::from_millis(held.expires_in_ms);
                self.handle_held_by_other(now, expires_in, random);
            }
            None => self.handle_failure(now, random),
        }
    }

    /// Records a granted lease. Its duration counts from when the request was sent, not from the
    /// reply.
    fn handle_grant(&mut self, requested_at: Timestamp, time: Duration) {
        self.failures = 0;
        self.consecutive_held = 0;
        self.held = Some(HeldSlot {
            until: requested_at + time,
        });
        self.next_request_at = requested_at + time / RENEWAL_DIVISOR;
    }

    /// Requests the next slot immediately, or after a wait when every slot was held by others.
    fn handle_held_by_other(
        &mut self,
        now: Timestamp,
        expires_in: Duration,
        random: &mut impl Rng,
    ) {
        self.held = None;
        self.failures = 0;
        self.consecutive_held += 1;
        self.slot = (self.slot + 1) % self.settings.slots.max(1);
        self.next_request_at = now;
        if self.consecutive_held >= self.settings.slots.max(1) {
            self.consecutive_held = 0;
            self.next_request_at = now + self.wait_after_round(expires_in, random);
        }
    }

    /// Returns the remaining time of the held lease plus a random part of the lease duration.
    fn wait_after_round(&self, expires_in: Duration, random: &mut impl Rng) -> Duration {
        let spread = self.settings.ttl.mul_f64(random.random::<f64>());
        expires_in.min(self.settings.ttl) + spread
    }

    fn handle_failure(&mut self, now: Timestamp, random: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        self.next_request_at = now + self.settings.backoff.delay(self.failures, random);
    }
}

//! The lease on the configuration: requests with API keys are served only while the configuration in force was
//! confirmed to be the newest one a short time ago.
//!
//! Nothing tells a sidecar that is cut off that a key was taken away. So it refuses requests with keys once the last
//! confirmation is older than the time after which a key must no longer work. Readers of the platform confirm with
//! each answer to a watch; the others ask sidecars whose confirmation is younger than their own.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::sync::watch;
use wharfquay_core::freshness::Freshness;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::answer::Failure;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::sync::lock;
use wharfquay_membership::member::MemberState;
use wharfquay_membership::table::MemberTable;

use crate::configuration::RouteIndex;
use crate::exchange::{Exchange, ExchangeRequest, Peer, Reply};

/// Part of the bound on revocation for which a confirmation holds. Times are those of one monotonic clock, so the
/// rest covers only clocks that run unevenly.
const LEASE_SHARE: f64 = 0.9;
/// Part of the bound up to which a key that is not in the configuration is answered as unknown. That answer is final
/// for a caller, and the key may have been added a moment ago; later, the caller is told to come back.
const UNKNOWN_KEY_SHARE: f64 = 0.4;
/// Part of the bound after which a reader's watch ends and a new one confirms the configuration: 700 ms of 5 s. A
/// call to the platform each 0.7 s and reader, against requests refused during an outage of the platform: a sidecar
/// keeps serving through the first 2.5 to 3.5 s of one.
const WATCH_SHARE: f64 = 0.14;
/// Part of the bound from which on a confirmation is renewed by asking other sidecars.
const ASK_SHARE: f64 = 0.2;
/// Pause between two looks whether to ask.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for the answer of another sidecar.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after a restored store was noticed for which its answers confirm nothing: it may lack configurations that were
/// acknowledged, which the operator is about to write again. Shorter than the rest of a lease that was just renewed.
const RESTORED_HOLD: Duration = Duration::from_secs(2);
/// Added to the process's clock, so that a process that has just started can hold a confirmation from before.
const CLOCK_OFFSET: Duration = Duration::from_secs(3_600);
/// Retry-After while the configuration is not confirmed: about the time in which a lost confirmation is renewed.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How recently the configuration in force was confirmed.
#[derive(Debug)]
pub(crate) struct Confirmation {
    clock: Clock,
    /// Time after which a key that was taken away must not work; without one, the configuration in force decides.
    revocation: Option<Duration>,
    configuration: watch::Receiver<Arc<RouteIndex>>,
    freshness: Mutex<Freshness>,
    /// Until when answers of the platform confirm nothing.
    held_until: Mutex<Timestamp>,
}

impl Confirmation {
    pub(crate) fn new(
        clock: Clock,
        revocation: Option<Duration>,
        configuration: watch::Receiver<Arc<RouteIndex>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            clock,
            revocation,
            configuration,
            freshness: Mutex::default(),
            held_until: Mutex::default(),
        })
    }

    /// Longest wait of a watch at the platform, where its answers have to confirm the configuration.
    pub(crate) fn watch_limit(&self) -> Option<Duration> {
        self.revocation.map(|bound| bound.mul_f64(WATCH_SHARE))
    }

    /// The time, as confirmations are dated.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now() + CLOCK_OFFSET
    }

    /// The platform's store was restored from a copy.
    pub(crate) fn store_restored(&self) {
        *lock(&self.held_until) = self.now() + RESTORED_HOLD;
    }

    /// Notes that the platform held `version` as the newest one at `at`, a time of [`Self::now`].
    pub(crate) fn confirm_by_platform(&self, version: u64, at: Timestamp) {
        let held_until = *lock(&self.held_until);
        if self.now() >= held_until {
            self.confirm(version, at);
        }
    }

    /// Notes that `version` was the newest one at `at`, a time of [`Self::now`].
    pub(crate) fn confirm(&self, version: u64, at: Timestamp) {
        let in_force = self.in_force();
        lock(&self.freshness).confirm(version, at, in_force);
    }

    /// Whether a request with a key that the configuration in force holds may be served now.
    ///
    /// # Errors
    /// The refusal, when the key may have been taken away meanwhile.
    pub(crate) fn check_known_key(&self) -> Result<(), Failure> {
        self.check(LEASE_SHARE)
    }

    /// The refusal of a request with a key that the configuration in force does not hold.
    pub(crate) fn refuse_unknown_key(&self) -> Failure {
        match self.check(UNKNOWN_KEY_SHARE) {
            Ok(()) => Failure::new(ResultCode::UnknownApiKey),
            Err(unconfirmed) => unconfirmed,
        }
    }

    /// Time since the last confirmation; none where there was none.
    pub(crate) fn age(&self) -> Option<Duration> {
        let in_force = self.in_force();
        let confirmed_at = lock(&self.freshness).confirmed_at(in_force)?;
        Some(self.now().saturating_since(confirmed_at))
    }

    /// The answer to a sidecar that asks for a confirmation.
    pub(crate) fn reply(&self) -> Reply {
        match self.age() {
            Some(age) => Reply::Confirmed {
                version: self.in_force(),
                age_micros: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
            },
            None => Reply::Unknown,
        }
    }

    fn in_force(&self) -> u64 {
        self.configuration.borrow().configuration.version
    }

    fn check(&self, share: f64) -> Result<(), Failure> {
        let Some(bound) = self.revocation else {
            return Ok(());
        };
        let limit = bound.mul_f64(share);
        match self.age() {
            Some(age) if age <= limit => Ok(()),
            _ => Err(Failure::with_retry_after(
                ResultCode::ApiKeyUnconfirmed,
                UNCONFIRMED_RETRY_AFTER,
            )),
        }
    }

    fn needs_renewal(&self, bound: Duration) -> bool {
        let has_tenants = !self.configuration.borrow().configuration.tenants.is_empty();
        let renew_after = bound.mul_f64(ASK_SHARE);
        has_tenants && self.age().is_none_or(|age| age > renew_after)
    }
}

/// Renews the confirmation by asking other sidecars; ends at once where no bound on revocation is set.
pub(crate) async fn renew_confirmation(
    confirmation: Arc<Confirmation>,
    exchange: Arc<Exchange>,
    members: watch::Receiver<MemberTable>,
) {
    let Some(bound) = confirmation.revocation else {
        return;
    };
    let mut source: Option<Peer> = None;
    loop {
        let jitter = rand::random_range(0.75..=1.25);
        tokio::time::sleep(ASK_INTERVAL.mul_f64(jitter)).await;
        if !confirmation.needs_renewal(bound) {
            continue;
        }
        let before = confirmation.age();
        let other = pick(&members.borrow(), exchange.own_id());
        let (first, second) = tokio::join!(
            ask(&confirmation, &exchange, source.as_ref()),
            ask(&confirmation, &exchange, other.as_ref()),
        );
        // The next question goes to whoever was confirmed last; a source that has nothing newer is given up.
        source = match (first, second) {
            (Some(first), Some(second)) if first <= second => source,
            (Some(_), None) => source,
            (_, Some(_)) => other,
            (None, None) => None,
        };
        if confirmation.age() >= before {
            source = None;
        }
    }
}

/// Asks one sidecar and takes in what it confirms; gives the age of that.
async fn ask(
    confirmation: &Confirmation,
    exchange: &Exchange,
    peer: Option<&Peer>,
) -> Option<Duration> {
    let requested_at = confirmation.now();
    let reply = exchange.request(peer?, ExchangeRequest::Confirmation, REPLY_TIMEOUT);
    let Reply::Confirmed {
        version,
        age_micros,
    } = reply.await?
    else {
        return None;
    };
    let age = Duration::from_micros(age_micros);
    confirmation.confirm(version, requested_at - age);
    Some(age)
}

/// Another sidecar that serves, by chance.
fn pick(table: &MemberTable, own_id: &str) -> Option<Peer> {
    let others = table
        .members()
        .filter(|member| member.profile.id.as_str() != own_id);
    let serving = others.filter(|member| member.state() == MemberState::Alive);
    let serving: Vec<_> = serving.collect();
    let chosen = serving.choose(&mut rand::rng())?;
    Some(Peer {
        id: chosen.profile.id.as_str().to_owned(),
        address: chosen.profile.control_address,
    })
}

//! The lease on the configuration: requests with API keys are served only if the configuration in
//! force was recently confirmed to be the newest one.
//!
//! A sidecar that is cut off is not notified when a key is revoked. It therefore refuses requests
//! with keys once its last confirmation is older than the time within which a revocation must take
//! effect. Readers of the platform confirm the configuration with each reply to a watch; the other
//! sidecars request confirmations that are younger than their own.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::sync::watch;
use wharfquay_core::freshness::Freshness;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::response::Failure;
use wharfquay_daemon::sync::lock;
use wharfquay_membership::member::MemberState;
use wharfquay_membership::table::MemberTable;

use crate::configuration::RouteIndex;
use crate::exchange::{Exchange, ExchangeRequest, Peer, Reply};

/// Share of the revocation time for which a confirmation is valid. All times are of one monotonic
/// clock; the remainder only covers clocks that run at different speeds.
const LEASE_SHARE: f64 = 0.9;
/// Share of the revocation time up to which a key that the configuration lacks is rejected as
/// unknown. That response is final for a caller, although the key may just have been added. Beyond
/// it, the response requests a retry.
const UNKNOWN_KEY_SHARE: f64 = 0.4;
/// Share of the revocation time after which a reader's watch ends and a new one confirms the
/// configuration: 700 ms of 5 s. It trades one platform call per 0.7 s and reader against requests
/// refused during an outage of the platform: a sidecar keeps serving through the first 2.5 to 3.5 s
/// of one.
const WATCH_SHARE: f64 = 0.14;
/// Share of the revocation time after which a confirmation is renewed by requests to other
/// sidecars.
const RENEW_SHARE: f64 = 0.2;
/// Interval at which the age of the confirmation is checked.
const RENEW_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a request to another sidecar.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after the detection of a restored store for which its replies confirm nothing. The store
/// may lack acknowledged configurations, which the operator is about to write again. It is shorter
/// than the remaining time of a lease that was just renewed.
const RESTORED_STORE_HOLD: Duration = Duration::from_secs(2);
/// Offset added to the process clock, which allows a process that has just started to represent
/// confirmations from before its start.
const CLOCK_OFFSET: Duration = Duration::from_secs(3_600);
/// Retry-After while the configuration is not confirmed. A lost confirmation is renewed in about
/// this time.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time of the last confirmation of the configuration in force.
#[derive(Debug)]
pub(crate) struct Confirmation {
    clock: Clock,
    /// Time within which a key revocation must take effect at this sidecar. Requests are refused if
    /// the last confirmation that the configuration in force is the newest is older than
    /// [`LEASE_SHARE`] of this time. `None` if requests are served however old it is.
    key_revocation: Option<Duration>,
    configuration: watch::Receiver<Arc<RouteIndex>>,
    freshness: Mutex<Freshness>,
    /// Time until which replies of the platform confirm nothing.
    platform_ignored_until: Mutex<Timestamp>,
}

impl Confirmation {
    pub(crate) fn new(
        clock: Clock,
        key_revocation: Option<Duration>,
        configuration: watch::Receiver<Arc<RouteIndex>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            clock,
            key_revocation,
            configuration,
            freshness: Mutex::default(),
            platform_ignored_until: Mutex::default(),
        })
    }

    /// Returns the maximum duration of a watch at the platform, which ends early enough for its
    /// reply to renew the confirmation of the configuration; `None` if no time limit for key
    /// revocations is set.
    pub(crate) fn watch_limit(&self) -> Option<Duration> {
        self.key_revocation
            .map(|key_revocation| key_revocation.mul_f64(WATCH_SHARE))
    }

    /// Returns the current time on the clock used for confirmations.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now() + CLOCK_OFFSET
    }

    /// Suspends confirmations by the platform after its store was restored from a backup.
    pub(crate) fn store_restored(&self) {
        *lock(&self.platform_ignored_until) = self.now() + RESTORED_STORE_HOLD;
    }

    /// Records that `version` was the newest one at the platform at `at`, a time of [`Self::now`].
    pub(crate) fn confirm_by_platform(&self, version: u64, at: Timestamp) {
        let platform_ignored_until = *lock(&self.platform_ignored_until);
        if self.now() >= platform_ignored_until {
            self.confirm(version, at);
        }
    }

    /// Records that `version` was the newest one at `at`, a time of [`Self::now`].
    pub(crate) fn confirm(&self, version: u64, at: Timestamp) {
        let in_force = self.in_force();
        lock(&self.freshness).confirm(version, at, in_force);
    }

    /// Checks whether a request may be served now whose key the configuration in force contains.
    ///
    /// # Errors
    /// The refusal if the key may have been revoked meanwhile.
    pub(crate) fn check_known_key(&self) -> Result<(), Failure> {
        self.check(LEASE_SHARE)
    }

    /// Returns the refusal of a request whose key the configuration in force lacks.
    pub(crate) fn refuse_unknown_key(&self) -> Failure {
        match self.check(UNKNOWN_KEY_SHARE) {
            Ok(()) => Failure::new(ResultCode::UnknownApiKey),
            Err(unconfirmed) => unconfirmed,
        }
    }

    /// Returns the time since the last confirmation; `None` if there was none.
    pub(crate) fn age(&self) -> Option<Duration> {
        let in_force = self.in_force();
        let confirmed_at = lock(&self.freshness).confirmed_at(in_force)?;
        Some(self.now().saturating_since(confirmed_at))
    }

    /// Returns the reply to a sidecar that requests a confirmation.
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
        let Some(key_revocation) = self.key_revocation else {
            return Ok(());
        };
        let limit = key_revocation.mul_f64(share);
        match self.age() {
            Some(age) if age <= limit => Ok(()),
            _ => Err(Failure::with_retry_after(
                ResultCode::ApiKeyUnconfirmed,
                UNCONFIRMED_RETRY_AFTER,
            )),
        }
    }

    fn needs_renewal(&self, key_revocation: Duration) -> bool {
        let has_tenants = !self.configuration.borrow().configuration.tenants.is_empty();
        let renew_after = key_revocation.mul_f64(RENEW_SHARE);
        has_tenants && self.age().is_none_or(|age| age > renew_after)
    }
}

/// Renews the confirmation by requests to other sidecars. Returns immediately if no time limit for
/// key revocations is set.
pub(crate) async fn renew_confirmation(
    confirmation: Arc<Confirmation>,
    exchange: Arc<Exchange>,
    members: watch::Receiver<MemberTable>,
) {
    let Some(key_revocation) = confirmation.key_revocation else {
        return;
    };
    let mut source: Option<Peer> = None;
    loop {
        let jitter = rand::random_range(0.75..=1.25);
        tokio::time::sleep(RENEW_CHECK_INTERVAL.mul_f64(jitter)).await;
        if !confirmation.needs_renewal(key_revocation) {
            continue;
        }
        let before = confirmation.age();
        let other = random_peer(&members.borrow(), exchange.own_id());
        let (first, second) = tokio::join!(
            request_confirmation(&confirmation, &exchange, source.as_ref()),
            request_confirmation(&confirmation, &exchange, other.as_ref()),
        );
        // The next request goes to the peer with the newest confirmation; one without newer data is
        // dropped.
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

/// Requests a confirmation from one sidecar and applies it. Returns its age.
async fn request_confirmation(
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

/// Returns a random other sidecar that is alive.
fn random_peer(table: &MemberTable, own_id: &str) -> Option<Peer> {
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

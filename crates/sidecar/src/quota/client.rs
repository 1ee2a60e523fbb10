//! Acquires tokens for requests that are about to be served.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::seq::SliceRandom;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::quota::{TOKEN_LIFETIME, TokenPool};
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::response::Failure;
use wharfquay_daemon::sync::lock;

use super::OwnerSelector;
use crate::exchange::{Exchange, ExchangeRequest, Peer, Reply};

/// Timeout of a request to an owner. An idle sidecar replies within two milliseconds, one that has
/// used up its share of a processor within tens of milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);
/// Time for which an owner that did not reply receives no further request.
const UNRESPONSIVE_HOLD: Duration = Duration::from_millis(500);
/// Retry-After while no owner replies.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Upper factor of the random Retry-After, relative to the time until the next token. It spreads
/// the repeats of callers that are over the limit.
const RETRY_AFTER_SPREAD: f64 = 2.0;
/// Maximum Retry-After of a request over its tenant's limit.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A token, which admits one request.
#[derive(Debug)]
pub(crate) struct Token {
    tenant: String,
    expires_at: Timestamp,
}

/// Acquires tokens from the owners of tenants.
#[derive(Debug)]
pub(crate) struct QuotaClient {
    clock: Clock,
    exchange: Arc<Exchange>,
    owner_selector: Arc<OwnerSelector>,
    tenants: Mutex<HashMap<String, TenantTokens>>,
}

/// State of a tenant's tokens at this sidecar.
#[derive(Debug, Default)]
struct TenantTokens {
    /// Tokens of requests that are known not to have been executed.
    unused: TokenPool,
    /// Owners that have no token at present or did not reply.
    owner_backoffs: HashMap<String, OwnerBackoff>,
}

#[derive(Clone, Copy, Debug)]
struct OwnerBackoff {
    until: Timestamp,
    is_unresponsive: bool,
}

impl QuotaClient {
    pub(crate) fn new(
        clock: Clock,
        exchange: Arc<Exchange>,
        owner_selector: Arc<OwnerSelector>,
    ) -> Self {
        Self {
            clock,
            exchange,
            owner_selector,
            tenants: Mutex::default(),
        }
    }

    /// Takes a token for a request of a tenant.
    ///
    /// # Errors
    /// The refusal, with the time after which a token may be available.
    pub(crate) async fn take(&self, tenant: &str) -> Result<Token, Failure> {
        if let Some(expires_at) = self.take_unused(tenant) {
            return Ok(self.token(tenant, expires_at));
        }
        let owners = self.owner_selector.owners(self.clock.now(), tenant);
        let mut owners: Vec<&Peer> = owners.iter().collect();
        owners.shuffle(&mut rand::rng());
        for owner in &owners {
            if self.is_backing_off(tenant, owner) {
                continue;
            }
            if let Some(expires_at) = self.request_token(tenant, owner).await {
                return Ok(self.token(tenant, expires_at));
            }
        }
        Err(self.refusal(tenant))
    }

    /// Returns the token of a request that is known not to have been executed.
    pub(crate) fn return_unused(&self, token: Token) {
        let mut tenants = lock(&self.tenants);
        let known = tenants.entry(token.tenant).or_default();
        known.unused.put(token.expires_at);
    }

    fn token(&self, tenant: &str, expires_at: Timestamp) -> Token {
        Token {
            tenant: tenant.to_owned(),
            expires_at,
        }
    }

    fn take_unused(&self, tenant: &str) -> Option<Timestamp> {
        let now = self.clock.now();
        lock(&self.tenants).get_mut(tenant)?.unused.take(now)
    }

    fn is_backing_off(&self, tenant: &str, owner: &Peer) -> bool {
        let tenants = lock(&self.tenants);
        let backoff = tenants
            .get(tenant)
            .and_then(|known| known.owner_backoffs.get(&owner.id));
        backoff.is_some_and(|backoff| self.clock.now() < backoff.until)
    }

    /// Requests a token from an owner. Returns the time at which the token expires.
    async fn request_token(&self, tenant: &str, owner: &Peer) -> Option<Timestamp> {
        let requested_at = self.clock.now();
        let request = ExchangeRequest::Tokens {
            tenant: tenant.to_owned(),
            wanted: 1,
        };
        let backoff = match self.exchange.request(owner, request, REPLY_TIMEOUT).await {
            Some(Reply::Granted { tokens: 1.., .. }) => return Some(requested_at + TOKEN_LIFETIME),
            Some(Reply::Granted {
                next_after_micros, ..
            }) => OwnerBackoff {
                until: self.clock.now() + Duration::from_micros(next_after_micros),
                is_unresponsive: false,
            },
            _ => OwnerBackoff {
                until: self.clock.now() + UNRESPONSIVE_HOLD,
                is_unresponsive: true,
            },
        };
        let mut tenants = lock(&self.tenants);
        let known = tenants.entry(tenant.to_owned()).or_default();
        known.owner_backoffs.insert(owner.id.clone(), backoff);
        None
    }

    fn refusal(&self, tenant: &str) -> Failure {
        let now = self.clock.now();
        let tenants = lock(&self.tenants);
        let backoffs = tenants
            .get(tenant)
            .into_iter()
            .flat_map(|known| known.owner_backoffs.values());
        let next = backoffs
            .filter(|backoff| !backoff.is_unresponsive && now < backoff.until)
            .map(|backoff| backoff.until.saturating_since(now))
            .min();
        match next {
            Some(wait) => {
                let spread = wait.mul_f64(rand::random_range(1.0..=RETRY_AFTER_SPREAD));
                let retry_after = spread.min(MAX_RETRY_AFTER);
                Failure::with_retry_after(ResultCode::OverQuota, retry_after)
            }
            None => {
                Failure::with_retry_after(ResultCode::QuotaUnavailable, UNAVAILABLE_RETRY_AFTER)
            }
        }
    }
}

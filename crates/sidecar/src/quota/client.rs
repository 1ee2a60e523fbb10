//! Taking tokens for requests that are about to be served.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::seq::SliceRandom;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::quota::{TOKEN_LIFETIME, TokenPool};
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::answer::Failure;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::sync::lock;

use super::OwnerRing;
use crate::exchange::{Exchange, Peer, Question, Reply};

/// Longest wait for an owner's answer: it comes within two milliseconds from an idle sidecar, within some tens from
/// one that has used up its share of a processor.
const ANSWER_LIMIT: Duration = Duration::from_millis(80);
/// Time for which an owner that did not answer is not asked again.
const SILENCE_HOLD: Duration = Duration::from_millis(500);
/// Retry-After while no owner answers.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Callers that are over the limit come back spread over so many times the wait for the next token.
const SPREAD: f64 = 2.0;
/// Longest Retry-After of a request over its tenant's limit.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A token, for one request.
#[derive(Debug)]
pub(crate) struct Token {
    tenant: String,
    end: Timestamp,
}

/// Takes tokens of the owners of tenants.
#[derive(Debug)]
pub(crate) struct QuotaClient {
    clock: Clock,
    exchange: Arc<Exchange>,
    ring: Arc<OwnerRing>,
    tenants: Mutex<HashMap<String, TenantTokens>>,
}

/// What this sidecar knows of a tenant's tokens.
#[derive(Debug, Default)]
struct TenantTokens {
    /// Tokens of requests that certainly did not run.
    unused: TokenPool,
    /// Owners without a token for now, and those that did not answer.
    closed: HashMap<String, Closed>,
}

#[derive(Clone, Copy, Debug)]
struct Closed {
    until: Timestamp,
    is_silent: bool,
}

impl QuotaClient {
    pub(crate) fn new(clock: Clock, exchange: Arc<Exchange>, ring: Arc<OwnerRing>) -> Self {
        Self {
            clock,
            exchange,
            ring,
            tenants: Mutex::default(),
        }
    }

    /// Takes a token for a request of a tenant.
    ///
    /// # Errors
    /// The refusal, with the time at which a token may be there.
    pub(crate) async fn take(&self, tenant: &str) -> Result<Token, Failure> {
        if let Some(end) = self.take_unused(tenant) {
            return Ok(self.token(tenant, end));
        }
        let owners = self.ring.owners(self.clock.now(), tenant);
        let mut owners: Vec<&Peer> = owners.iter().collect();
        owners.shuffle(&mut rand::rng());
        for owner in &owners {
            if self.is_closed(tenant, owner) {
                continue;
            }
            if let Some(end) = self.ask(tenant, owner).await {
                return Ok(self.token(tenant, end));
            }
        }
        Err(self.refusal(tenant))
    }

    /// Takes back the token of a request that certainly did not run.
    pub(crate) fn return_unused(&self, token: Token) {
        let mut tenants = lock(&self.tenants);
        let known = tenants.entry(token.tenant).or_default();
        known.unused.put(token.end);
    }

    fn token(&self, tenant: &str, end: Timestamp) -> Token {
        Token {
            tenant: tenant.to_owned(),
            end,
        }
    }

    fn take_unused(&self, tenant: &str) -> Option<Timestamp> {
        let now = self.clock.now();
        lock(&self.tenants).get_mut(tenant)?.unused.take(now)
    }

    fn is_closed(&self, tenant: &str, owner: &Peer) -> bool {
        let tenants = lock(&self.tenants);
        let closed = tenants
            .get(tenant)
            .and_then(|known| known.closed.get(&owner.id));
        closed.is_some_and(|closed| self.clock.now() < closed.until)
    }

    /// Asks an owner for a token; gives when that ends.
    async fn ask(&self, tenant: &str, owner: &Peer) -> Option<Timestamp> {
        let asked_at = self.clock.now();
        let question = Question::Tokens {
            tenant: tenant.to_owned(),
            wanted: 1,
        };
        let closed = match self.exchange.ask(owner, question, ANSWER_LIMIT).await {
            Some(Reply::Granted { tokens: 1.., .. }) => return Some(asked_at + TOKEN_LIFETIME),
            Some(Reply::Granted {
                next_after_micros, ..
            }) => Closed {
                until: self.clock.now() + Duration::from_micros(next_after_micros),
                is_silent: false,
            },
            _ => Closed {
                until: self.clock.now() + SILENCE_HOLD,
                is_silent: true,
            },
        };
        let mut tenants = lock(&self.tenants);
        let known = tenants.entry(tenant.to_owned()).or_default();
        known.closed.insert(owner.id.clone(), closed);
        None
    }

    fn refusal(&self, tenant: &str) -> Failure {
        let now = self.clock.now();
        let tenants = lock(&self.tenants);
        let closed = tenants
            .get(tenant)
            .into_iter()
            .flat_map(|known| known.closed.values());
        let next = closed
            .filter(|closed| !closed.is_silent && now < closed.until)
            .map(|closed| closed.until.saturating_since(now))
            .min();
        match next {
            Some(wait) => {
                let spread = wait.mul_f64(rand::random_range(1.0..=SPREAD));
                let retry_after = spread.min(LONGEST_RETRY_AFTER);
                Failure::with_retry_after(ResultCode::OverQuota, retry_after)
            }
            None => {
                Failure::with_retry_after(ResultCode::QuotaUnavailable, UNAVAILABLE_RETRY_AFTER)
            }
        }
    }
}

//! Grants tokens from this sidecar's share of the limits of the tenants that it owns.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;
use wharfquay_core::quota::{TokenBucket, TokenRate};
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::sync::lock;

use super::{OWNERS, OwnerSelector};
use crate::configuration::RouteIndex;
use crate::exchange::Reply;
use crate::tenant::Quota;

/// Minimum bucket capacity. A share below one could never provide a whole token.
const MIN_CAPACITY: f64 = 1.0;

/// Token buckets of the tenants that this sidecar owns.
#[derive(Debug)]
pub(crate) struct QuotaOwner {
    clock: Clock,
    /// True if no earlier process can have granted tokens. Otherwise buckets start empty.
    is_first_start: bool,
    configuration: watch::Receiver<Arc<RouteIndex>>,
    owner_selector: Arc<OwnerSelector>,
    buckets: Mutex<HashMap<String, Share>>,
}

#[derive(Debug)]
struct Share {
    quota: Quota,
    bucket: TokenBucket,
}

impl QuotaOwner {
    pub(crate) fn new(
        clock: Clock,
        is_first_start: bool,
        configuration: watch::Receiver<Arc<RouteIndex>>,
        owner_selector: Arc<OwnerSelector>,
    ) -> Self {
        Self {
            clock,
            is_first_start,
            configuration,
            owner_selector,
            buckets: Mutex::default(),
        }
    }

    /// Grants the available tokens of a tenant, up to `wanted`.
    pub(crate) fn grant(&self, tenant: &str, wanted: u32) -> Reply {
        let now = self.clock.now();
        if !self.owner_selector.is_initialized(now) || !self.owner_selector.owns(now, tenant) {
            return Reply::Unknown;
        }
        let index = Arc::clone(&self.configuration.borrow());
        let Some(known) = index.tenant_named(tenant) else {
            return Reply::Unknown;
        };
        let Some(quota) = known.quota else {
            return granted(wanted, Duration::ZERO);
        };
        let mut buckets = lock(&self.buckets);
        if !buckets.contains_key(tenant) {
            // Buckets of removed tenants are dropped, which bounds their number by that of the
            // configured tenants.
            buckets.retain(|name, _| index.tenant_named(name).is_some());
            buckets.insert(tenant.to_owned(), self.new_share(now, quota));
        }
        let Some(share) = buckets.get_mut(tenant) else {
            return Reply::Unknown;
        };
        if share.quota != quota {
            share.bucket.set_rate(now, rate_of(quota));
            share.quota = quota;
        }
        let tokens = share.bucket.take(now, wanted);
        granted(tokens, share.bucket.until_next())
    }

    fn new_share(&self, now: Timestamp, quota: Quota) -> Share {
        let rate = rate_of(quota);
        let bucket = match self.is_first_start {
            true => TokenBucket::full(now, rate),
            false => TokenBucket::filled_since(now, Timestamp::ZERO, rate),
        };
        Share { quota, bucket }
    }
}

/// Returns one owner's share of a limit.
fn rate_of(quota: Quota) -> TokenRate {
    let owners = OWNERS as f64;
    TokenRate {
        per_second: quota.rate_per_s / owners,
        capacity: (quota.burst / owners).max(MIN_CAPACITY),
    }
}

fn granted(tokens: u32, next_after: Duration) -> Reply {
    Reply::Granted {
        tokens,
        next_after_micros: u64::try_from(next_after.as_micros()).unwrap_or(u64::MAX),
    }
}

//! Leases that expire unless they are renewed.

use std::collections::BTreeMap;
use std::time::Duration;

use wharfquay_core::time::Timestamp;

/// Holder and expiry of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Id of the holder.
    pub holder: String,
    /// Time at which the lease expires.
    pub expires_at: Timestamp,
}

/// The leases by name. Expired ones are kept until they are granted again or released.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    by_name: BTreeMap<String, Lease>,
}

impl Leases {
    /// Grants or renews a lease for `ttl`. The error is the unexpired lease of another holder.
    pub fn acquire(
        &mut self,
        now: Timestamp,
        name: &str,
        holder: &str,
        ttl: Duration,
    ) -> Result<Lease, Lease> {
        if let Some(held) = self.held(now, name)
            && held.holder != holder
        {
            return Err(held.clone());
        }
        let lease = Lease {
            holder: holder.to_owned(),
            expires_at: now + ttl,
        };
        self.by_name.insert(name.to_owned(), lease.clone());
        Ok(lease)
    }

    /// Releases a lease if `holder` holds it; returns true if it did.
    pub fn release(&mut self, name: &str, holder: &str) -> bool {
        let held = self
            .by_name
            .get(name)
            .is_some_and(|lease| lease.holder == holder);
        if held {
            self.by_name.remove(name);
        }
        held
    }

    /// Returns the lease with this name, or `None` if there is none or it has expired.
    #[must_use]
    pub fn held(&self, now: Timestamp, name: &str) -> Option<&Lease> {
        self.by_name
            .get(name)
            .filter(|lease| now < lease.expires_at)
    }
}

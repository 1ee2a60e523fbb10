//! Leases that lapse unless they are renewed.

use std::collections::BTreeMap;
use std::time::Duration;

use wharfquay_core::time::Timestamp;

/// Who holds a lease, and until when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Who holds it.
    pub holder: String,
    /// When it lapses.
    pub expires_at: Timestamp,
}

/// The leases in force.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    by_name: BTreeMap<String, Lease>,
}

impl Leases {
    /// Grants or renews a lease. The error is the lease that someone else holds.
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

    /// Ends a lease if `holder` holds it; returns whether it did.
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

    /// The lease with this name, if it has not lapsed.
    #[must_use]
    pub fn held(&self, now: Timestamp, name: &str) -> Option<&Lease> {
        self.by_name
            .get(name)
            .filter(|lease| now < lease.expires_at)
    }
}

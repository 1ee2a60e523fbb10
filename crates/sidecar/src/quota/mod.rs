//! Rate limits of tenants, enforced over all sidecars together.
//!
//! Each tenant has a few owners among the sidecars, chosen by rendezvous hashing. A sidecar that is
//! about to serve a request takes a token from one of them. [`wharfquay_core::quota`] explains
//! why no sequence of partitions, kills and restarts admits more requests than the limit.

mod client;
mod owner;
mod owner_selector;
#[cfg(test)]
mod tests;

pub(crate) use client::{QuotaClient, Token};
pub(crate) use owner::QuotaOwner;
pub(crate) use owner_selector::OwnerSelector;

/// Number of owners of a tenant. Losing one removes a quarter of the limit, which does not affect a
/// tenant below six tenths of its limit. With more owners, more sidecars would have to be queried
/// before a request is refused.
const OWNERS: usize = 4;

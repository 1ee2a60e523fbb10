//! Rate limits of tenants, kept over all sidecars together.
//!
//! Each tenant has a few owners among the sidecars, chosen by rendezvous hashing. A sidecar that is about to serve a
//! request asks one of them for a token; [`wharfquay_core::quota`] says why no schedule of cuts, kills and restarts
//! lets more requests through than the limit.

mod client;
mod owner;
mod ring;
#[cfg(test)]
mod tests;

pub(crate) use client::{QuotaClient, Token};
pub(crate) use owner::QuotaOwner;
pub(crate) use ring::OwnerRing;

/// Owners of a tenant. A lost one takes a quarter of the limit along, which a tenant within six tenths of its limit
/// does not notice; more owners mean more sidecars to ask before a request is refused.
const OWNERS: usize = 4;

//! Claims on idempotency keys, which make a repeated request take effect at most once.
//!
//! A request that must not be repeated carries an [`IdempotencyKey`](crate::call::IdempotencyKey).
//! Before such a request is dispatched, the edge requests a majority of a small replica group to
//! record a [`claim`] on the key. `docs/design/idempotency.md` contains the protocol and its proof.

pub mod claim;
pub mod clock;

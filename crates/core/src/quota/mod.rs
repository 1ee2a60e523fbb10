//! Rate limits of tenants, enforced over many processes without coordination per request.
//!
//! A limit is divided among a few owners, each with a [`TokenBucket`] for its share. A request
//! needs a token of any owner, and tokens that a process holds unused expire after a short time.
//! The requests that all processes admit in a window therefore don't exceed the sum of the shares,
//! however processes are partitioned, killed or restarted: the share of a lost owner is unavailable
//! until it is back.

mod bucket;
mod pool;

pub use bucket::{TokenBucket, TokenRate};
pub use pool::{TOKEN_LIFETIME, TokenPool};

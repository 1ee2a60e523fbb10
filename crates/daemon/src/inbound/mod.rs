//! The inbound side: calls of other daemons to the local backend.

mod dispatch;
pub mod gate;
mod handler;
mod rate_limit;

pub(crate) use handler::{InboundHandler, LocalBackend};
pub(crate) use rate_limit::BackendRateLimit;

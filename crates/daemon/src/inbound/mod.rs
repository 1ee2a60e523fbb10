//! The inbound side: calls of other daemons for the local back end.

mod dispatch;
pub mod gate;
mod handler;

pub(crate) use handler::{InboundHandler, LocalBackend};

//! The inbound side: calls of other daemons to the local backend.

mod dispatch;
pub mod gate;
mod handler;

pub(crate) use handler::{InboundHandler, LocalBackend};

//! The inbound side: calls of other daemons to the local backend.

mod announcements;
mod dispatch;
pub mod gate;
mod handler;

pub(crate) use announcements::BackendAnnouncements;
pub(crate) use handler::{InboundHandler, LocalBackend};

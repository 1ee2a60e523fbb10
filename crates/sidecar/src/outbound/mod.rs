//! The outbound side: requests of callers on this machine and of the local backend.

pub mod connection;
pub mod routing;

mod attempt;
mod caller_admission;
mod forward;
mod handler;
mod identity;
pub mod parse;
mod peers;
mod report;
mod response;
mod splits;

pub(crate) use caller_admission::CallerAdmission;
pub(crate) use forward::Forwarder;
pub(crate) use handler::OutboundHandler;
pub(crate) use peers::Peers;
pub(crate) use report::millis;
pub(crate) use splits::Splits;

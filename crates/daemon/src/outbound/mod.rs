//! The outbound side: calls of the local back end, and the way of every call to a service.

pub(crate) mod attempt;
pub(crate) mod call;
pub(crate) mod forward;
mod handler;
pub(crate) mod routes;

pub(crate) use forward::Forwarder;
pub(crate) use handler::OutboundHandler;

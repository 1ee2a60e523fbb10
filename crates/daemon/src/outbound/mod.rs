//! The outbound side: calls of the local backend, and the forwarding of all calls to services.

pub(crate) mod attempt;
pub(crate) mod call;
pub(crate) mod forward;
mod handler;
pub(crate) mod routes;

pub(crate) use forward::Forwarder;
pub(crate) use handler::OutboundHandler;

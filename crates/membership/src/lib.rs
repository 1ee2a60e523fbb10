//! Gossip membership and configuration relay, sans-I/O.
//!
//! [`node::Node`] joins the two machines: [`gossip::Gossip`] keeps the member table (SWIM inside a
//! zone, delegates between zones, anti-entropy by digest), [`relay::Relay`] brings each accepted
//! configuration revision to every member and never goes back to an older one. The driver hands in
//! the time, received bytes and what the store reports; it sends the bytes and applies the changes
//! that come out.

pub mod budget;
pub mod counters;
pub mod directory;
pub mod gossip;
pub mod hash;
pub mod member;
pub mod message;
pub mod node;
mod queue;
pub mod relay;
pub mod settings;
pub mod table;

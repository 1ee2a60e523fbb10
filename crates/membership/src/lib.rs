//! Gossip membership and configuration relay, sans-I/O.
//!
//! [`node::Node`] combines two state machines: [`gossip::Gossip`] maintains the member table (SWIM
//! within a zone, delegates between zones, anti-entropy by digest), and [`relay::Relay`]
//! distributes each accepted configuration revision to every member and never reverts to an older
//! one. The driver passes in the current time, received bytes and store reports; it sends the
//! resulting bytes and applies the resulting changes.

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

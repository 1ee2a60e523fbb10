//! Claims: at most one attempt per idempotency key is dispatched.
//!
//! - [`replica`]: votes for at most one claim per key and keeps recorded outcomes;
//! - [`coordinator`]: collects a majority of votes before the edge dispatches a request;
//! - [`handover`]: transfers the votes of a group to the group that replaces it;
//! - [`message`]: the messages between replicas and coordinators.

pub mod coordinator;
mod delivery;
pub mod group;
pub mod handover;
pub mod interface;
pub mod message;
pub mod records;
pub mod replica;
pub mod tally;

//! Sans-I/O decision logic of wharfquay.
//!
//! Every decision (admission, retry, routing, drain, idempotency) is a state machine that takes the
//! current [`time::Timestamp`] and a typed input and returns typed effects. Nothing in this crate
//! owns a clock, a socket, a task or a global source of randomness, so the daemon and the simulator
//! run the same code.

pub mod admission;
pub mod backend_load;
pub mod call;
pub mod drain;
pub mod freshness;
pub mod idempotency;
pub mod outcome;
pub mod priority;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod retry;
pub mod routing;
pub mod time;

//! Stand-in for a back end: slots, connection limit, service time, cold start, drain and faults.

pub mod arguments;
mod body;
mod calls;
mod endpoints;
mod execution;
pub mod faults;
pub mod record;
mod request;
pub mod server;
mod slots;
pub mod speed;
mod state;

pub use server::{RunningBackend, StartError};
pub use state::BackendSettings;

/// Header of an answer that says that the request was provably not executed.
pub const REFUSED_HEADER: http::HeaderName = http::HeaderName::from_static("wharfquay-refused");
/// Value of [`REFUSED_HEADER`].
pub const BEFORE_EXECUTION: &str = "before-execution";

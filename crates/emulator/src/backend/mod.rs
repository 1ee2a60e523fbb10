//! Emulated backend with execution slots, a connection limit, random service times, a cold start,
//! drain and fault injection.

pub mod arguments;
mod body;
mod calls;
mod endpoints;
mod execution;
pub mod faults;
mod limit_course;
pub mod record;
mod repeating_stream;
mod request;
pub mod server;
mod slots;
pub mod speed;
mod state;

pub use limit_course::LimitCourse;
pub use server::{RunningBackend, StartError};
pub use state::BackendSettings;

/// Response header which guarantees that the backend did not execute the request.
pub const REFUSED_HEADER: http::HeaderName = http::HeaderName::from_static("wharfquay-refused");
/// The only value of [`REFUSED_HEADER`].
pub const BEFORE_EXECUTION: &str = "before-execution";

//! Wire formats between wharfquay's processes: header names, the call context and response
//! metadata, and the envelope of control messages.

pub mod announcement;
pub mod context;
pub mod envelope;
pub mod headers;
pub mod response;

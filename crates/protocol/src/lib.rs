//! What wharfquay's processes say to each other: header names, the call context and answer metadata
//! on the wire, and the envelope of control messages.

pub mod answer;
pub mod context;
pub mod envelope;
pub mod headers;

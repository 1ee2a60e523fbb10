//! The choice of an endpoint for a call.

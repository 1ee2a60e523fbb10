//! Contract between the client of the platform and the stand-in, over loopback sockets.

mod api;
mod source_model;
mod support;
mod write_faults;

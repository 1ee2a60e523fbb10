//! Contract between the client of the platform and the stand-in, over loopback sockets.

mod api;
mod reader_lease;
mod source_faults;
mod source_model;
mod support;
mod write_faults;

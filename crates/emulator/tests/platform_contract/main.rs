//! Contract tests of the platform client against the emulated platform, mostly over loopback sockets.

mod api;
mod reader_lease;
mod source_faults;
mod source_model;
mod support;
mod write_faults;

//! wharfquay-emulator: stand-ins for the platform, back ends and callers, each a process.

fn main() {}

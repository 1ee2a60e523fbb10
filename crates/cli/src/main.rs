//! Entry point of the `wharfquay` command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    wharfquay::run(std::env::args_os().skip(1))
}

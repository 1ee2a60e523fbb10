//! wharfquay-emulator: stand-ins for the platform, back ends and callers, each a process.

use std::process::ExitCode;

use wharfquay_emulator::command;

#[tokio::main]
async fn main() -> ExitCode {
    command::run(lexopt::Parser::from_env()).await
}

//! wharfquay-emulator: runs the emulated platform, backends and callers, each as a process.

use std::process::ExitCode;

use wharfquay_emulator::command;

#[tokio::main]
async fn main() -> ExitCode {
    command::run(lexopt::Parser::from_env()).await
}

//! Waits until daemons are ready.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use lexopt::Parser;

use crate::arguments::{self, ArgumentError, Command};
use crate::readiness;

/// Usage text, printed for `--help` and after an argument error.
pub(super) const USAGE: &str = "\
wharfquay-emulator wait --admins IP:PORT,… [--endpoints N] [--seconds N]

Polls the admin pages of daemons until each is ready and knows N endpoints (default 0), at most
N seconds (default 30).

Example:
  wharfquay-emulator wait --admins 127.0.0.1:7300,127.0.0.1:7301 --endpoints 2
";

const DEFAULT_LIMIT: Duration = Duration::from_secs(30);

/// Parsed command line.
pub(super) struct WaitArguments {
    admins: Vec<SocketAddr>,
    endpoints: usize,
    limit: Duration,
}

pub(super) fn parse_arguments(parser: Parser) -> Result<Command<WaitArguments>, ArgumentError> {
    let defaults = WaitArguments {
        admins: Vec::new(),
        endpoints: 0,
        limit: DEFAULT_LIMIT,
    };
    arguments::read(parser, defaults, read_option)?.try_map(check)
}

fn read_option(
    parser: &mut Parser,
    name: &str,
    wait_arguments: &mut WaitArguments,
) -> Result<(), ArgumentError> {
    match name {
        "admins" => wait_arguments.admins = arguments::address_list(parser, "admins")?,
        "endpoints" => {
            wait_arguments.endpoints = arguments::value(parser, "endpoints", "0 or more")?
        }
        "seconds" => {
            let seconds = arguments::number_in(parser, "seconds", 0.1..=3600.0, "0.1 to 3600")?;
            wait_arguments.limit = Duration::from_secs_f64(seconds);
        }
        other => return Err(arguments::unknown_option(other)),
    }
    Ok(())
}

fn check(wait_arguments: WaitArguments) -> Result<WaitArguments, ArgumentError> {
    if wait_arguments.admins.is_empty() {
        return Err(ArgumentError::Missing("admins"));
    }
    Ok(wait_arguments)
}

pub(super) async fn run(arguments: WaitArguments) -> ExitCode {
    let limit = Instant::now() + arguments.limit;
    for admin in arguments.admins {
        if let Err(error) = readiness::wait(admin, arguments.endpoints, limit).await {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

//! Waits until daemons are ready.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use lexopt::Arg;

use crate::arguments::{self, ArgumentError, Command};
use crate::readiness;

/// Usage of the command.
pub(super) const USAGE: &str = "\
wharfquay-emulator wait --admins IP:PORT,… [--endpoints N] [--seconds N]

Polls the admin pages of daemons until each is ready and knows N endpoints (default 0), at most
N seconds (default 30).

Example:
  wharfquay-emulator wait --admins 127.0.0.1:7300,127.0.0.1:7301 --endpoints 2
";

const DEFAULT_SECONDS: f64 = 30.0;

/// What the command line asks for.
pub(super) struct WaitArguments {
    admins: Vec<SocketAddr>,
    endpoints: usize,
    limit: Duration,
}

pub(super) fn parse_arguments(
    mut parser: lexopt::Parser,
) -> Result<Command<WaitArguments>, ArgumentError> {
    let mut admins = Vec::new();
    let mut endpoints = 0;
    let mut seconds = DEFAULT_SECONDS;
    let parser = &mut parser;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("admins") => {
                admins = arguments::addresses("admins", &arguments::text(parser)?)?;
            }
            Arg::Long("endpoints") => {
                endpoints = arguments::value(parser, "endpoints", "0 or more")?;
            }
            Arg::Long("seconds") => {
                seconds = arguments::number_in(parser, "seconds", 0.1..=3600.0, "0.1 to 3600")?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    if admins.is_empty() {
        return Err(ArgumentError::Missing("admins"));
    }
    Ok(Command::Run(WaitArguments {
        admins,
        endpoints,
        limit: Duration::from_secs_f64(seconds),
    }))
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

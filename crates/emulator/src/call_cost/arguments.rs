//! Command-line arguments of the measurement of the cost of a call.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use lexopt::Parser;

use super::dialect::Dialect;
use super::measure::{CallCostSettings, Program};
use crate::arguments::{self, ArgumentError, Command};

/// Usage text, printed for `--help` and after an argument error.
pub const USAGE: &str = "\
wharfquay-emulator call-cost --names FILE.toml --program NAME=FILE [--program NAME=FILE]…
    --directory DIR [--rounds N] [--calls N] [--burst N] [--base-port N] [--system-calls] [--json]

Starts two sidecars of each program in turn, with emulated backends, platform and callers on
loopback, and prints the medians of the rounds: processor time and voluntary context switches for a
call by kind of load (responses of 100 bytes, of 6 KB, refused calls), resident memory at rest, at
the peak of a burst of concurrent requests and seconds later, and memory for an idle and a busy
connection. Every figure is the sum of both sidecars. With --system-calls, counts system calls as
well, in an additional round under strace. The file of --names has the platform's names.
scripts/call-cost builds the programs.

Example:
  wharfquay-emulator call-cost --names platform/call-cost.toml --directory /tmp/call-cost \\
      --program before=/tmp/before/wharfquay-adapter --program now=target/release/wharfquay-adapter
";

const DEFAULT_ROUNDS: usize = 3;
const DEFAULT_CALLS: usize = 5_000;
const DEFAULT_BURST: usize = 2_000;
const DEFAULT_BASE_PORT: u16 = 23_000;

/// Parsed command line.
#[derive(Clone, Debug)]
pub struct CallCostArguments {
    /// Settings of the measurement.
    pub settings: CallCostSettings,
    /// True if the report is printed as JSON instead of a table.
    pub json: bool,
}

#[derive(Default)]
struct RawArguments {
    names: Option<String>,
    programs: Vec<Program>,
    directory: Option<PathBuf>,
    rounds: Option<usize>,
    calls: Option<usize>,
    burst: Option<usize>,
    base_port: Option<u16>,
    system_calls: bool,
    json: bool,
}

/// Parses the command line.
///
/// # Errors
/// [`ArgumentError`] names the option, the specified value and the allowed values.
pub fn parse(parser: Parser) -> Result<Command<CallCostArguments>, ArgumentError> {
    arguments::read(parser, RawArguments::default(), read_option)?.try_map(call_cost_arguments)
}

fn read_option(
    parser: &mut Parser,
    name: &str,
    raw: &mut RawArguments,
) -> Result<(), ArgumentError> {
    match name {
        "names" => raw.names = Some(arguments::text(parser)?),
        "program" => raw.programs.push(program(&arguments::text(parser)?)?),
        "directory" => raw.directory = Some(PathBuf::from(parser.value()?)),
        "rounds" => raw.rounds = Some(number(parser, "rounds", 1.0..=100.0, "1 to 100")?),
        "calls" => raw.calls = Some(number(parser, "calls", 100.0..=1e6, "100 to 1000000")?),
        "burst" => raw.burst = Some(number(parser, "burst", 1.0..=3_500.0, "1 to 3500")?),
        "base-port" => {
            let range = 1_024.0..=60_000.0;
            let port = arguments::number_in(parser, "base-port", range, "1024 to 60000")?;
            raw.base_port = Some(port as u16);
        }
        "system-calls" => raw.system_calls = true,
        "json" => raw.json = true,
        other => return Err(arguments::unknown_option(other)),
    }
    Ok(())
}

fn number(
    parser: &mut Parser,
    option: &'static str,
    range: std::ops::RangeInclusive<f64>,
    allowed: &'static str,
) -> Result<usize, ArgumentError> {
    Ok(arguments::number_in(parser, option, range, allowed)? as usize)
}

fn program(text: &str) -> Result<Program, ArgumentError> {
    const ALLOWED: &str = "NAME=FILE";
    let Some((name, path)) = text.split_once('=') else {
        return Err(arguments::invalid("program", text, "no name", ALLOWED));
    };
    let path = PathBuf::from(path);
    if !path.is_file() {
        return Err(arguments::invalid("program", text, "no such file", ALLOWED));
    }
    Ok(Program {
        name: name.to_owned(),
        path,
    })
}

fn call_cost_arguments(raw: RawArguments) -> Result<CallCostArguments, ArgumentError> {
    let names = raw.names.ok_or(ArgumentError::Missing("names"))?;
    let dialect = Dialect::load(Path::new(&names)).map_err(|problem| {
        arguments::invalid(
            "names",
            names,
            problem,
            "a file like platform/call-cost.toml",
        )
    })?;
    if raw.programs.is_empty() {
        return Err(ArgumentError::Missing("program"));
    }
    let settings = CallCostSettings {
        dialect: Arc::new(dialect),
        programs: raw.programs,
        rounds: raw.rounds.unwrap_or(DEFAULT_ROUNDS),
        calls: raw.calls.unwrap_or(DEFAULT_CALLS),
        burst: raw.burst.unwrap_or(DEFAULT_BURST),
        base_port: raw.base_port.unwrap_or(DEFAULT_BASE_PORT),
        folder: raw.directory.ok_or(ArgumentError::Missing("directory"))?,
        system_calls: raw.system_calls,
    };
    Ok(CallCostArguments {
        settings,
        json: raw.json,
    })
}

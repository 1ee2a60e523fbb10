//! Command-line arguments of the latency measurement.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lexopt::Parser;

use super::measure::LatencySettings;
use crate::arguments::{self, ArgumentError, Command};
use crate::scenario::Scenario;

/// Usage text, printed for `--help` and after an argument error.
pub const USAGE: &str = "\
wharfquay-emulator latency --scenario NAME|FILE --direct IP:PORT --edge IP:PORT
    [--seconds N] [--warm-up N] [--rate-factor F] [--seed N] [--pids N,…] [--json]

Sends the scenario's requests at its rates, each either directly to the first backend of a chain
without daemons or to the edge of a chain with daemons, and reports the percentiles of both routes
and the latency that the daemons add per call. With the process ids of the daemons in --pids,
reports their processor time per call and their wait for a processor as well. scripts/latency starts
the processes.

Example:
  wharfquay-emulator latency --scenario scenarios/latency.toml --direct 127.0.0.1:9001 \\
      --edge 127.0.0.1:7000 --seconds 20
";

const DEFAULT_SECONDS: f64 = 20.0;
const DEFAULT_WARM_UP: f64 = 3.0;
const DEFAULT_SEED: u64 = 1;
const PIDS: &str = "comma-separated process ids";

/// Parsed command line.
#[derive(Clone, Debug)]
pub struct LatencyArguments {
    /// Settings of the measurement.
    pub settings: LatencySettings,
    /// True if the report is printed as JSON instead of a table.
    pub json: bool,
}

#[derive(Default)]
struct RawArguments {
    scenario: Option<String>,
    direct: Option<SocketAddr>,
    edge: Option<SocketAddr>,
    seconds: Option<f64>,
    warm_up: Option<f64>,
    rate_factor: Option<f64>,
    seed: Option<u64>,
    pids: Vec<u32>,
    json: bool,
}

/// Parses the command line.
///
/// # Errors
/// [`ArgumentError`] names the option, the specified value and the allowed values.
pub fn parse(parser: Parser) -> Result<Command<LatencyArguments>, ArgumentError> {
    arguments::read(parser, RawArguments::default(), read_option)?.try_map(latency_arguments)
}

fn read_option(
    parser: &mut Parser,
    name: &str,
    raw: &mut RawArguments,
) -> Result<(), ArgumentError> {
    match name {
        "scenario" => raw.scenario = Some(arguments::text(parser)?),
        "direct" => raw.direct = Some(arguments::address(parser, "direct")?),
        "edge" => raw.edge = Some(arguments::address(parser, "edge")?),
        "seconds" => raw.seconds = Some(seconds(parser, "seconds")?),
        "warm-up" => raw.warm_up = Some(seconds(parser, "warm-up")?),
        "rate-factor" => {
            let range = 0.001..=1e3;
            let factor = arguments::number_in(parser, "rate-factor", range, "0.001 to 1000")?;
            raw.rate_factor = Some(factor);
        }
        "seed" => raw.seed = Some(arguments::seed(parser)?),
        "pids" => raw.pids = arguments::list(parser, "pids", PIDS)?,
        "json" => raw.json = true,
        other => return Err(arguments::unknown_option(other)),
    }
    Ok(())
}

fn seconds(parser: &mut Parser, option: &'static str) -> Result<f64, ArgumentError> {
    arguments::number_in(parser, option, 0.1..=3_600.0, "0.1 to 3600")
}

fn latency_arguments(raw: RawArguments) -> Result<LatencyArguments, ArgumentError> {
    let name = raw.scenario.ok_or(ArgumentError::Missing("scenario"))?;
    let scenario: Scenario = arguments::scenario(&name)?;
    let length = raw.seconds.unwrap_or(DEFAULT_SECONDS);
    let warm_up = raw.warm_up.unwrap_or(DEFAULT_WARM_UP);
    let settings = LatencySettings {
        scenario: Arc::new(scenario),
        direct: raw.direct.ok_or(ArgumentError::Missing("direct"))?,
        edge: raw.edge.ok_or(ArgumentError::Missing("edge"))?,
        length: Duration::from_secs_f64(length),
        warm_up: Duration::from_secs_f64(warm_up),
        rate_factor: raw.rate_factor.unwrap_or(1.0),
        pids: raw.pids,
        seed: raw.seed.unwrap_or(DEFAULT_SEED),
    };
    Ok(LatencyArguments {
        settings,
        json: raw.json,
    })
}

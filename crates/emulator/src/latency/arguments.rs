//! Command line of the measurement of added latency.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lexopt::Parser;

use super::measure::LatencySettings;
use crate::arguments::{self, ArgumentError, Command};
use crate::scenario::Scenario;

/// Usage of the command.
pub const USAGE: &str = "\
wharfquay-emulator latency --scenario NAME|FILE --direct IP:PORT --edge IP:PORT
    [--seconds N] [--warm-up N] [--rate-factor F] [--seed N] [--pids N,…] [--json]

Sends the scenario's requests at its rates, each either straight to the first back end of a chain
without daemons or to the edge of a chain with daemons, and reports the percentiles of both ways
and what the daemons add per call. With the processes of the daemons in --pids, their processor time
per call and their wait for a processor are reported as well. scripts/latency starts the processes.

Example:
  wharfquay-emulator latency --scenario scenarios/latency.toml --direct 127.0.0.1:9001 \\
      --edge 127.0.0.1:7000 --seconds 20
";

const DEFAULT_SECONDS: f64 = 20.0;
const DEFAULT_WARM_UP: f64 = 3.0;
const DEFAULT_SEED: u64 = 1;
const PIDS: &str = "process ids with commas in between";

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct LatencyArguments {
    /// The measurement.
    pub settings: LatencySettings,
    /// Print JSON instead of a table.
    pub json: bool,
}

#[derive(Default)]
struct Given {
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

/// Reads the command line.
///
/// # Errors
/// [`ArgumentError`] names the option, what was given and what is allowed.
pub fn parse(parser: Parser) -> Result<Command<LatencyArguments>, ArgumentError> {
    arguments::read(parser, Given::default(), read_option)?.try_map(latency_arguments)
}

fn read_option(parser: &mut Parser, name: &str, given: &mut Given) -> Result<(), ArgumentError> {
    match name {
        "scenario" => given.scenario = Some(arguments::text(parser)?),
        "direct" => given.direct = Some(arguments::address(parser, "direct")?),
        "edge" => given.edge = Some(arguments::address(parser, "edge")?),
        "seconds" => given.seconds = Some(seconds(parser, "seconds")?),
        "warm-up" => given.warm_up = Some(seconds(parser, "warm-up")?),
        "rate-factor" => {
            let range = 0.001..=1e3;
            let factor = arguments::number_in(parser, "rate-factor", range, "0.001 to 1000")?;
            given.rate_factor = Some(factor);
        }
        "seed" => given.seed = Some(arguments::seed(parser)?),
        "pids" => given.pids = arguments::list(parser, "pids", PIDS)?,
        "json" => given.json = true,
        other => return Err(arguments::unknown_option(other)),
    }
    Ok(())
}

fn seconds(parser: &mut Parser, option: &'static str) -> Result<f64, ArgumentError> {
    arguments::number_in(parser, option, 0.1..=3_600.0, "0.1 to 3600")
}

fn latency_arguments(given: Given) -> Result<LatencyArguments, ArgumentError> {
    let name = given.scenario.ok_or(ArgumentError::Missing("scenario"))?;
    let scenario: Scenario = arguments::scenario(&name)?;
    let length = given.seconds.unwrap_or(DEFAULT_SECONDS);
    let warm_up = given.warm_up.unwrap_or(DEFAULT_WARM_UP);
    let settings = LatencySettings {
        scenario: Arc::new(scenario),
        direct: given.direct.ok_or(ArgumentError::Missing("direct"))?,
        edge: given.edge.ok_or(ArgumentError::Missing("edge"))?,
        length: Duration::from_secs_f64(length),
        warm_up: Duration::from_secs_f64(warm_up),
        rate_factor: given.rate_factor.unwrap_or(1.0),
        pids: given.pids,
        seed: given.seed.unwrap_or(DEFAULT_SEED),
    };
    Ok(LatencyArguments {
        settings,
        json: given.json,
    })
}

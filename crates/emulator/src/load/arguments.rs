//! Command-line arguments of the load generator.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lexopt::Parser;

use super::arrivals::Surge;
use super::run::LoadSettings;
use crate::arguments::{self, ArgumentError, Command};

/// Usage text, printed for `--help` and after an argument error.
pub const USAGE: &str = "\
wharfquay-emulator load --scenario NAME|FILE --edges IP:PORT,… [--seconds N]
    [--factor F [--surge-start S] [--surge-seconds S]] [--rate-factor F] [--seed N]
    [--backends IP:PORT,…] [--retry-bound N] [--json]

Sends the scenario's requests open loop and reports per request kind. With --backends, every
response is checked against the execution logs of the backends; exit status 1 when a promise is
broken.

Example:
  wharfquay-emulator load --scenario lagos --edges 127.0.0.1:7000 --seconds 20 --factor 4
";

const DEFAULT_SECONDS: f64 = 10.0;
const MAX_SECONDS: f64 = 86_400.0;
const SECONDS_RANGE: &str = "0.1 to 86400";
const DEFAULT_SEED: u64 = 1;

/// Parsed command line.
#[derive(Clone, Debug)]
pub struct LoadArguments {
    /// Settings of the load.
    pub settings: LoadSettings,
    /// Backends whose execution logs are compared with the responses; without any, no audit is made.
    pub backends: Vec<SocketAddr>,
    /// Maximum number of retries per originating request that the configuration allows; absent, the
    /// audit doesn't check it.
    pub retry_bound: Option<u64>,
    /// True if the report is printed as JSON instead of a table.
    pub json: bool,
}

#[derive(Default)]
struct RawArguments {
    scenario: Option<String>,
    edges: Vec<SocketAddr>,
    seconds: Option<f64>,
    factor: Option<f64>,
    surge_start: Option<f64>,
    surge_seconds: Option<f64>,
    rate_factor: Option<f64>,
    seed: Option<u64>,
    backends: Vec<SocketAddr>,
    retry_bound: Option<u64>,
    json: bool,
}

/// Parses the command line.
///
/// # Errors
/// [`ArgumentError`] names the option, the specified value and the allowed values.
pub fn parse(parser: Parser) -> Result<Command<LoadArguments>, ArgumentError> {
    arguments::read(parser, RawArguments::default(), read_option)?.try_map(load_arguments)
}

fn read_option(
    parser: &mut Parser,
    name: &str,
    raw: &mut RawArguments,
) -> Result<(), ArgumentError> {
    match name {
        "scenario" => raw.scenario = Some(arguments::text(parser)?),
        "edges" => raw.edges = arguments::address_list(parser, "edges")?,
        "seconds" => raw.seconds = Some(seconds(parser, "seconds")?),
        "factor" => raw.factor = Some(factor(parser, "factor")?),
        "surge-start" => raw.surge_start = Some(seconds(parser, "surge-start")?),
        "surge-seconds" => raw.surge_seconds = Some(seconds(parser, "surge-seconds")?),
        "rate-factor" => raw.rate_factor = Some(factor(parser, "rate-factor")?),
        "seed" => raw.seed = Some(arguments::seed(parser)?),
        "backends" => raw.backends = arguments::address_list(parser, "backends")?,
        "retry-bound" => {
            raw.retry_bound = Some(arguments::value(parser, "retry-bound", "0 or more")?);
        }
        "json" => raw.json = true,
        other => return Err(arguments::unknown_option(other)),
    }
    Ok(())
}

fn seconds(parser: &mut Parser, option: &'static str) -> Result<f64, ArgumentError> {
    arguments::number_in(parser, option, 0.1..=MAX_SECONDS, SECONDS_RANGE)
}

fn factor(parser: &mut Parser, option: &'static str) -> Result<f64, ArgumentError> {
    arguments::number_in(parser, option, 0.001..=1e3, "0.001 to 1000")
}

fn load_arguments(raw: RawArguments) -> Result<LoadArguments, ArgumentError> {
    let length = raw.seconds.unwrap_or(DEFAULT_SECONDS);
    let surge = surge(&raw, length);
    let name = raw.scenario.ok_or(ArgumentError::Missing("scenario"))?;
    if raw.edges.is_empty() {
        return Err(ArgumentError::Missing("edges"));
    }
    let settings = LoadSettings {
        scenario: Arc::new(arguments::scenario(&name)?),
        edges: raw.edges,
        length: Duration::from_secs_f64(length),
        surge,
        rate_factor: raw.rate_factor.unwrap_or(1.0),
        seed: raw.seed.unwrap_or(DEFAULT_SEED),
    };
    Ok(LoadArguments {
        settings,
        backends: raw.backends,
        retry_bound: raw.retry_bound,
        json: raw.json,
    })
}

/// Returns the surge, by default in the second quarter of the load; `None` without `--factor`.
fn surge(raw: &RawArguments, length: f64) -> Option<Surge> {
    let factor = raw.factor?;
    let start = raw.surge_start.unwrap_or(length / 4.0);
    let surge_seconds = raw.surge_seconds.unwrap_or(length / 4.0);
    Some(Surge {
        factor,
        start: Duration::from_secs_f64(start),
        length: Duration::from_secs_f64(surge_seconds),
    })
}

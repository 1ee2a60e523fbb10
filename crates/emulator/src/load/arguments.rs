//! Command line of the load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lexopt::Parser;

use super::arrivals::Surge;
use super::run::LoadSettings;
use crate::arguments::{self, ArgumentError, Command};

/// Usage of the command.
pub const USAGE: &str = "\
wharfquay-emulator load --scenario NAME|FILE --edges IP:PORT,… [--seconds N]
    [--factor F [--surge-start S] [--surge-seconds S]] [--rate-factor F] [--seed N]
    [--backends IP:PORT,…] [--retry-bound N] [--json]

Sends the scenario's requests open loop and reports per request kind. With --backends, every
answer is checked against the back ends' records; exit status 1 when a promise is broken.

Example:
  wharfquay-emulator load --scenario lagos --edges 127.0.0.1:7000 --seconds 20 --factor 4
";

const DEFAULT_SECONDS: f64 = 10.0;
const LONGEST_SECONDS: f64 = 86_400.0;
const SECONDS: &str = "0.1 to 86400";
const DEFAULT_SEED: u64 = 1;

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct LoadArguments {
    /// The load.
    pub settings: LoadSettings,
    /// Back ends whose records are compared with the answers.
    pub backends: Vec<SocketAddr>,
    /// Retries per originating request that the configuration allows.
    pub retry_bound: Option<u64>,
    /// Print JSON instead of a table.
    pub json: bool,
}

#[derive(Default)]
struct Given {
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

/// Reads the command line.
///
/// # Errors
/// [`ArgumentError`] names the option, what was given and what is allowed.
pub fn parse(parser: Parser) -> Result<Command<LoadArguments>, ArgumentError> {
    arguments::read(parser, Given::default(), read_option)?.try_map(load_arguments)
}

fn read_option(parser: &mut Parser, name: &str, given: &mut Given) -> Result<(), ArgumentError> {
    match name {
        "scenario" => given.scenario = Some(arguments::text(parser)?),
        "edges" => given.edges = arguments::address_list(parser, "edges")?,
        "seconds" => given.seconds = Some(seconds(parser, "seconds")?),
        "factor" => given.factor = Some(factor(parser, "factor")?),
        "surge-start" => given.surge_start = Some(seconds(parser, "surge-start")?),
        "surge-seconds" => given.surge_seconds = Some(seconds(parser, "surge-seconds")?),
        "rate-factor" => given.rate_factor = Some(factor(parser, "rate-factor")?),
        "seed" => given.seed = Some(arguments::seed(parser)?),
        "backends" => given.backends = arguments::address_list(parser, "backends")?,
        "retry-bound" => {
            given.retry_bound = Some(arguments::value(parser, "retry-bound", "0 or more")?);
        }
        "json" => given.json = true,
        other => return Err(arguments::unknown_option(other)),
    }
    Ok(())
}

fn seconds(parser: &mut Parser, option: &'static str) -> Result<f64, ArgumentError> {
    arguments::number_in(parser, option, 0.1..=LONGEST_SECONDS, SECONDS)
}

fn factor(parser: &mut Parser, option: &'static str) -> Result<f64, ArgumentError> {
    arguments::number_in(parser, option, 0.001..=1e3, "0.001 to 1000")
}

fn load_arguments(given: Given) -> Result<LoadArguments, ArgumentError> {
    let length = given.seconds.unwrap_or(DEFAULT_SECONDS);
    let surge = surge(&given, length);
    let name = given.scenario.ok_or(ArgumentError::Missing("scenario"))?;
    if given.edges.is_empty() {
        return Err(ArgumentError::Missing("edges"));
    }
    let settings = LoadSettings {
        scenario: Arc::new(arguments::scenario(&name)?),
        edges: given.edges,
        length: Duration::from_secs_f64(length),
        surge,
        rate_factor: given.rate_factor.unwrap_or(1.0),
        seed: given.seed.unwrap_or(DEFAULT_SEED),
    };
    Ok(LoadArguments {
        settings,
        backends: given.backends,
        retry_bound: given.retry_bound,
        json: given.json,
    })
}

/// The surge takes the second quarter of the load unless told otherwise.
fn surge(given: &Given, length: f64) -> Option<Surge> {
    let factor = given.factor?;
    let start = given.surge_start.unwrap_or(length / 4.0);
    let surge_seconds = given.surge_seconds.unwrap_or(length / 4.0);
    Some(Surge {
        factor,
        start: Duration::from_secs_f64(start),
        length: Duration::from_secs_f64(surge_seconds),
    })
}

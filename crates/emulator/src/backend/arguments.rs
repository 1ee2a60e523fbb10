//! Command line of the back end stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use lexopt::Parser;

use super::faults::{Faults, HealthAnswer};
use super::state::BackendSettings;
use crate::arguments::{self, ArgumentError, Command};

/// Usage of the command.
pub const USAGE: &str = "\
wharfquay-emulator backend --scenario NAME|FILE --service NAME --id ID --listen IP:PORT
    [--outbound IP:PORT] [--queue-limit N] [--seed N] [--warm]
    [--slow FACTOR] [--cut-answer SHARE] [--close-before SHARE] [--close-after SHARE]
    [--refuse SHARE] [--hang SHARE] [--end SHARE] [--report-lag-ms N] [--load-factor F]
    [--health truthful|always_live|always_leaving]

Serves the steps of one service, slower at first unless --warm is given. SHARE is a probability from 0 to 1.
Endpoints: GET /wharfquay/health, /wharfquay/load, /wharfquay/executions,
GET and PUT /wharfquay/faults, POST and DELETE /wharfquay/drain.

Example:
  wharfquay-emulator backend --scenario lagos --service record --id record-1 \\
      --listen 127.0.0.1:9001
";

const SHARE: &str = "0 to 1";

#[derive(Default)]
struct Given {
    scenario: Option<String>,
    service: Option<String>,
    id: Option<String>,
    listen: Option<SocketAddr>,
    outbound: Option<SocketAddr>,
    queue_limit: Option<usize>,
    seed: Option<u64>,
    warm: bool,
    faults: Faults,
}

/// Reads the command line.
///
/// # Errors
/// [`ArgumentError`] names the option, what was given and what is allowed.
pub fn parse(parser: Parser) -> Result<Command<BackendSettings>, ArgumentError> {
    arguments::read(parser, Given::default(), read_option)?.try_map(settings)
}

fn read_option(parser: &mut Parser, name: &str, given: &mut Given) -> Result<(), ArgumentError> {
    match name {
        "scenario" => given.scenario = Some(arguments::text(parser)?),
        "service" => given.service = Some(arguments::text(parser)?),
        "id" => given.id = Some(arguments::text(parser)?),
        "listen" => given.listen = Some(arguments::address(parser, "listen")?),
        "outbound" => given.outbound = Some(arguments::address(parser, "outbound")?),
        "queue-limit" => {
            given.queue_limit = Some(arguments::value(parser, "queue-limit", "0 or more")?);
        }
        "seed" => given.seed = Some(arguments::seed(parser)?),
        "warm" => given.warm = true,
        _ => return read_fault(parser, name, &mut given.faults),
    }
    Ok(())
}

fn read_fault(parser: &mut Parser, name: &str, faults: &mut Faults) -> Result<(), ArgumentError> {
    match name {
        "slow" => faults.slow = arguments::number_in(parser, "slow", 0.01..=1e3, "0.01 to 1000")?,
        "cut-answer" => faults.cut_answer = share(parser, "cut-answer")?,
        "close-before" => faults.close_before = share(parser, "close-before")?,
        "end" => faults.end = share(parser, "end")?,
        "close-after" => faults.close_after = share(parser, "close-after")?,
        "refuse" => faults.refuse = share(parser, "refuse")?,
        "hang" => faults.hang = share(parser, "hang")?,
        "load-factor" => {
            faults.load_factor =
                arguments::number_in(parser, "load-factor", 0.0..=1e3, "0 to 1000")?;
        }
        "report-lag-ms" => {
            faults.report_lag_ms = arguments::value(parser, "report-lag-ms", "0 to 600000")?;
        }
        "health" => faults.health = health(&arguments::text(parser)?)?,
        other => return Err(arguments::unknown_option(other)),
    }
    Ok(())
}

fn share(parser: &mut Parser, option: &'static str) -> Result<f64, ArgumentError> {
    arguments::number_in(parser, option, 0.0..=1.0, SHARE)
}

fn health(given: &str) -> Result<HealthAnswer, ArgumentError> {
    match given {
        "truthful" => Ok(HealthAnswer::Truthful),
        "always_live" => Ok(HealthAnswer::AlwaysLive),
        "always_leaving" => Ok(HealthAnswer::AlwaysLeaving),
        other => Err(arguments::invalid(
            "health",
            other,
            "unknown answer",
            "truthful, always_live, always_leaving",
        )),
    }
}

fn settings(given: Given) -> Result<BackendSettings, ArgumentError> {
    let name = given.scenario.ok_or(ArgumentError::Missing("scenario"))?;
    let scenario = Arc::new(arguments::scenario(&name)?);
    let service = given.service.ok_or(ArgumentError::Missing("service"))?;
    let id = given.id.ok_or(ArgumentError::Missing("id"))?;
    let mut settings = BackendSettings::new(scenario, &service, &id);
    settings.listen = given.listen.ok_or(ArgumentError::Missing("listen"))?;
    settings.outbound = given.outbound;
    settings.faults = given.faults;
    settings.warm = given.warm;
    if let Some(limit) = given.queue_limit {
        settings.queue_limit = limit;
    }
    if let Some(seed) = given.seed {
        settings.seed = seed;
    }
    Ok(settings)
}

//! Command-line arguments of the emulated backend.

use std::net::SocketAddr;
use std::sync::Arc;

use http::HeaderName;
use lexopt::Parser;

use super::faults::{Faults, HealthMode};
use super::limit_course::LimitCourse;
use super::state::BackendSettings;
use crate::arguments::{self, ArgumentError, Command};

/// Usage text, printed for `--help` and after an argument error.
pub const USAGE: &str = "\
wharfquay-emulator backend --scenario NAME|FILE --service NAME --id ID --listen IP:PORT
    [--outbound IP:PORT] [--queue-limit N] [--seed N] [--warm]
    [--load-report HEADER]
    [--slow FACTOR] [--cut-answer SHARE] [--close-before SHARE] [--close-after SHARE]
    [--refuse SHARE] [--hang SHARE] [--end SHARE] [--report-lag-ms N] [--load-factor F]
    [--rate-limit RATE] [--garble-rate-limit SHARE] [--limit-course COURSE] [--health truthful|always_live|always_leaving]

Executes the steps of one service; slower during the cold start, which --warm skips.
SHARE is a probability from 0 to 1. RATE is announced in every response, in requests per second.
COURSE: the announced rate is low, fraction, falling, rising, lifted or garbled.
A draining backend announces its leaving in every response.
Endpoints: GET /wharfquay/health, /wharfquay/load, /wharfquay/executions,
GET and PUT /wharfquay/faults, POST and DELETE /wharfquay/drain.

Example:
  wharfquay-emulator backend --scenario lagos --service record --id record-1 \\
      --listen 127.0.0.1:9001
";

const SHARE_RANGE: &str = "0 to 1";

#[derive(Default)]
struct RawArguments {
    scenario: Option<String>,
    service: Option<String>,
    id: Option<String>,
    listen: Option<SocketAddr>,
    outbound: Option<SocketAddr>,
    queue_limit: Option<usize>,
    seed: Option<u64>,
    warm: bool,
    load_report: Option<HeaderName>,
    faults: Faults,
}

/// Parses the command line.
///
/// # Errors
/// [`ArgumentError`] names the option, the specified value and the allowed values.
pub fn parse(parser: Parser) -> Result<Command<BackendSettings>, ArgumentError> {
    arguments::read(parser, RawArguments::default(), read_option)?.try_map(settings)
}

fn read_option(
    parser: &mut Parser,
    name: &str,
    raw: &mut RawArguments,
) -> Result<(), ArgumentError> {
    match name {
        "scenario" => raw.scenario = Some(arguments::text(parser)?),
        "service" => raw.service = Some(arguments::text(parser)?),
        "id" => raw.id = Some(arguments::text(parser)?),
        "listen" => raw.listen = Some(arguments::address(parser, "listen")?),
        "outbound" => raw.outbound = Some(arguments::address(parser, "outbound")?),
        "queue-limit" => {
            raw.queue_limit = Some(arguments::value(parser, "queue-limit", "0 or more")?);
        }
        "seed" => raw.seed = Some(arguments::seed(parser)?),
        "warm" => raw.warm = true,
        "load-report" => {
            raw.load_report = Some(arguments::value(parser, "load-report", "a header name")?);
        }
        _ => return read_fault(parser, name, &mut raw.faults),
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
        "twice" => faults.twice = share(parser, "twice")?,
        "endless" => faults.endless = share(parser, "endless")?,
        "rate-limit" => {
            faults.rate_limit =
                arguments::number_in(parser, "rate-limit", 0.0..=1e6, "0 to 1000000")?;
        }
        "limit-course" => {
            faults.limit_course = Some(arguments::value(
                parser,
                "limit-course",
                LimitCourse::ALLOWED,
            )?);
        }
        "garble-rate-limit" => faults.garble_rate_limit = share(parser, "garble-rate-limit")?,
        "load-factor" => {
            faults.load_factor =
                arguments::number_in(parser, "load-factor", 0.0..=1e3, "0 to 1000")?;
        }
        "report-lag-ms" => {
            faults.report_lag_ms = arguments::value(parser, "report-lag-ms", "0 to 600000")?;
        }
        "health" => faults.health = health_mode(&arguments::text(parser)?)?,
        other => return Err(arguments::unknown_option(other)),
    }
    Ok(())
}

fn share(parser: &mut Parser, option: &'static str) -> Result<f64, ArgumentError> {
    arguments::number_in(parser, option, 0.0..=1.0, SHARE_RANGE)
}

fn health_mode(value: &str) -> Result<HealthMode, ArgumentError> {
    match value {
        "truthful" => Ok(HealthMode::Truthful),
        "always_live" => Ok(HealthMode::AlwaysLive),
        "always_leaving" => Ok(HealthMode::AlwaysLeaving),
        other => Err(arguments::invalid(
            "health",
            other,
            "unknown health mode",
            "truthful, always_live, always_leaving",
        )),
    }
}

fn settings(raw: RawArguments) -> Result<BackendSettings, ArgumentError> {
    let name = raw.scenario.ok_or(ArgumentError::Missing("scenario"))?;
    let scenario = Arc::new(arguments::scenario(&name)?);
    let service = raw.service.ok_or(ArgumentError::Missing("service"))?;
    let id = raw.id.ok_or(ArgumentError::Missing("id"))?;
    let mut settings = BackendSettings::new(scenario, &service, &id);
    settings.listen = raw.listen.ok_or(ArgumentError::Missing("listen"))?;
    settings.outbound = raw.outbound;
    settings.faults = raw.faults;
    settings.warm = raw.warm;
    settings.load_report = raw.load_report;
    if let Some(limit) = raw.queue_limit {
        settings.queue_limit = limit;
    }
    if let Some(seed) = raw.seed {
        settings.seed = seed;
    }
    Ok(settings)
}

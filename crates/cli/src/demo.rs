//! `demo`: runs a whole deployment on loopback in this process, through a surge.

use std::sync::Arc;
use std::time::Duration;

use wharfquay_emulator::demo::time_scale::{slow_resources, slow_scenario, suitable_factor};
use wharfquay_emulator::demo::{self, DemoReport, DemoSettings, DeploymentError, Moment};
use wharfquay_emulator::scenario::Scenario;

use crate::arguments::Arguments;
use crate::commands::{CommandSpec, Example, Flag, JSON, Positionals};
use crate::error::{CliError, Finish};
use crate::output::{Output, progress};

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "demo",
    summary: "Run a whole deployment on loopback through a surge",
    details: "\
Starts the stand-in for the platform, a daemon beside each back end, an edge in each zone, the back
ends and their callers in this process, without leaving loopback. Shows the progress once a second
and a table at the end, and ends by itself within 60 s. Exit code 1 means that a promise was broken. Refusals beside
answers to less important requests are shown (inverted) but not judged, since they may be due to
a service that only the refused request needs.",
    positionals: Positionals {
        usage: "",
        minimum: 0,
        maximum: 0,
    },
    flags: &[
        Flag::with_value("scenario", "NAME", "Deployment, lagos or gujarat (default lagos)"),
        Flag::with_value("seconds", "N", "Length of the load, 3 to 40 (default 30)"),
        Flag::with_value("factor", "F", "Demand during the surge, 1 to 20 (default 4)"),
        Flag::with_value("rate-factor", "F", "Factor on all demand, 0.001 to 10 (default 1)"),
        Flag::with_value(
            "time-factor",
            "N",
            "Slow motion for few processors, 1 to 8 (default 1 with 8 processors and more)",
        ),
        Flag::with_value("seed", "N", "Seed of arrivals and service times (default 1)"),
        JSON,
    ],
    examples: &[
        Example {
            line: "wharfquay demo",
            meaning: "Run the Lagos deployment for 30 s.",
        },
        Example {
            line: "wharfquay demo --scenario gujarat --seconds 20 --json",
            meaning: "Run the Gujarat deployment and print the result as JSON.",
        },
    ],
    run,
};

const DEFAULT_SCENARIO: &str = "lagos";
const DEFAULT_SECONDS: f64 = 30.0;
const DEFAULT_FACTOR: f64 = 4.0;
const DEFAULT_RATE_FACTOR: f64 = 1.0;
const DEFAULT_SEED: u64 = 1;
const LARGEST_TIME_FACTOR: u32 = 8;
/// The demonstration ends by itself after this time, whatever happens.
const LONGEST_RUN: Duration = Duration::from_secs(58);

fn run(arguments: &Arguments, output: &mut Output) -> Result<Finish, CliError> {
    let settings = settings(arguments)?;
    progress(&format!("starting {} on loopback", settings.scenario.name));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(CliError::Runtime)?;
    let demonstration = demo::run(settings, show_moment);
    let result = runtime.block_on(async { tokio::time::timeout(LONGEST_RUN, demonstration).await });
    runtime.shutdown_background();
    let report = result.unwrap_or(Err(DeploymentError::TooLong(LONGEST_RUN)))?;
    if arguments.has(JSON.name) {
        output.json(&report)?;
    } else {
        output.text(&report.to_string())?;
    }
    Ok(finish_of(&report))
}

fn finish_of(report: &DemoReport) -> Finish {
    if report.broken_promises.is_empty() {
        Finish::Done
    } else {
        Finish::ProblemFound
    }
}

fn settings(arguments: &Arguments) -> Result<DemoSettings, CliError> {
    let name = arguments.text("scenario");
    let name = name.unwrap_or_else(|| DEFAULT_SCENARIO.to_owned());
    let seconds = number(arguments, "seconds", DEFAULT_SECONDS, 3.0, 40.0)?;
    let time_factor = time_factor(arguments)?;
    let seed = arguments.value("seed", "0 to 18446744073709551615")?;
    Ok(DemoSettings {
        resources: slow_resources(demo::resources::builtin(&name), time_factor),
        scenario: Arc::new(slow_scenario(Scenario::builtin(&name)?, time_factor)),
        length: Duration::from_secs_f64(seconds),
        surge_factor: number(arguments, "factor", DEFAULT_FACTOR, 1.0, 20.0)?,
        rate_factor: number(arguments, "rate-factor", DEFAULT_RATE_FACTOR, 0.001, 10.0)?,
        seed: seed.unwrap_or(DEFAULT_SEED),
    })
}

/// How much slower everything runs: as given, or as this machine's processors need it.
fn time_factor(arguments: &Arguments) -> Result<u32, CliError> {
    let suitable = f64::from(suitable_factor().min(LARGEST_TIME_FACTOR));
    let largest = f64::from(LARGEST_TIME_FACTOR);
    let factor = number(arguments, "time-factor", suitable, 1.0, largest)? as u32;
    if factor > 1 {
        progress(&format!(
            "slow motion: work and deadlines x {factor}, rates / {factor}"
        ));
    }
    Ok(factor)
}

/// The value of a flag, which must lie in a range.
fn number(
    arguments: &Arguments,
    flag: &str,
    default: f64,
    lowest: f64,
    highest: f64,
) -> Result<f64, CliError> {
    let allowed = format!("{lowest} to {highest}");
    let given = arguments.value(flag, &allowed)?.unwrap_or(default);
    if (lowest..=highest).contains(&given) {
        return Ok(given);
    }
    Err(CliError::InvalidValue {
        name: format!("--{flag}"),
        given: given.to_string(),
        problem: "out of range".to_owned(),
        allowed,
    })
}

fn show_moment(moment: Moment) {
    let (now, before) = (moment.progress, moment.before);
    progress(&format!(
        "{:>5.1} s {:<6} sent {:>6}/s  whole in time {:>6}/s  refused {:>6}/s  other {:>5}/s",
        moment.elapsed.as_secs_f64(),
        if moment.surge { "surge" } else { "" },
        now.sent - before.sent,
        now.whole - before.whole,
        now.refused - before.refused,
        now.other - before.other,
    ));
}

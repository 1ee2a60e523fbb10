//! `demo`: runs a whole deployment on loopback in this process, with a surge of demand.

use std::sync::Arc;
use std::time::Duration;

use wharfquay_emulator::demo::time_scale::{default_time_factor, scale_resources, scale_scenario};
use wharfquay_emulator::demo::{self, DemoReport, DemoSettings, DeploymentError, ProgressSample};
use wharfquay_emulator::scenario::Scenario;

use crate::arguments::Arguments;
use crate::commands::{CommandSpec, Example, Flag, JSON, Positionals};
use crate::error::{CliError, ExitStatus};
use crate::output::{Output, progress};

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "demo",
    summary: "Run a whole deployment on loopback, with a surge of demand",
    details: "\
Starts the emulated platform, a daemon beside each backend, an edge in each zone, the backends and
their callers in this process, on loopback only. Shows the progress once a second and a table at the
end, and exits within 60 s. Exit code 1 means that a promise was broken. Refusals of requests while
less important ones succeed are shown (inverted) but don't count as a broken promise, since they may
be due to a service that only the refused request needs.",
    positionals: Positionals {
        usage: "",
        minimum: 0,
        maximum: 0,
    },
    flags: &[
        Flag::with_value(
            "scenario",
            "NAME",
            "Scenario of the deployment, lagos or gujarat (default lagos)",
        ),
        Flag::with_value("seconds", "N", "Duration of the load, 3 to 40 (default 30)"),
        Flag::with_value(
            "factor",
            "F",
            "Factor on the demand during the surge, 1 to 20 (default 4)",
        ),
        Flag::with_value(
            "rate-factor",
            "F",
            "Factor on all demand, 0.001 to 10 (default 1)",
        ),
        Flag::with_value(
            "time-factor",
            "N",
            "Slowdown for few processors, 1 to 8 (default 1 with 8 processors or more)",
        ),
        Flag::with_value(
            "seed",
            "N",
            "Seed of arrivals and service times (default 1)",
        ),
        JSON,
    ],
    examples: &[
        Example {
            line: "wharfquay demo",
            description: "Run the Lagos deployment for 30 s.",
        },
        Example {
            line: "wharfquay demo --scenario gujarat --seconds 20 --json",
            description: "Run the Gujarat deployment and print the result as JSON.",
        },
    ],
    run,
};

const DEFAULT_SCENARIO: &str = "lagos";
const DEFAULT_SECONDS: f64 = 30.0;
const DEFAULT_FACTOR: f64 = 4.0;
const DEFAULT_RATE_FACTOR: f64 = 1.0;
const DEFAULT_SEED: u64 = 1;
const MAX_TIME_FACTOR: u32 = 8;
/// Time limit of the whole demonstration. It stays below the 60 s that the help text promises.
const RUN_TIMEOUT: Duration = Duration::from_secs(58);

fn run(arguments: &Arguments, output: &mut Output) -> Result<ExitStatus, CliError> {
    let settings = settings(arguments)?;
    progress(&format!("starting {} on loopback", settings.scenario.name));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(CliError::Runtime)?;
    let demonstration = demo::run(settings, show_progress);
    let result = runtime.block_on(async { tokio::time::timeout(RUN_TIMEOUT, demonstration).await });
    runtime.shutdown_background();
    let report = result.unwrap_or(Err(DeploymentError::TimedOut(RUN_TIMEOUT)))?;
    if arguments.has(JSON.name) {
        output.write_json(&report)?;
    } else {
        output.write_text(&report.to_string())?;
    }
    Ok(exit_status_of(&report))
}

fn exit_status_of(report: &DemoReport) -> ExitStatus {
    if report.broken_promises.is_empty() {
        ExitStatus::Success
    } else {
        ExitStatus::ProblemFound
    }
}

fn settings(arguments: &Arguments) -> Result<DemoSettings, CliError> {
    let name = arguments.text("scenario");
    let name = name.unwrap_or_else(|| DEFAULT_SCENARIO.to_owned());
    let seconds = number(arguments, "seconds", DEFAULT_SECONDS, 3.0, 40.0)?;
    let time_factor = time_factor(arguments)?;
    let seed = arguments.value("seed", "0 to 18446744073709551615")?;
    Ok(DemoSettings {
        resources: scale_resources(demo::resources::builtin(&name), time_factor),
        scenario: Arc::new(scale_scenario(Scenario::builtin(&name)?, time_factor)),
        length: Duration::from_secs_f64(seconds),
        surge_factor: number(arguments, "factor", DEFAULT_FACTOR, 1.0, 20.0)?,
        rate_factor: number(arguments, "rate-factor", DEFAULT_RATE_FACTOR, 0.001, 10.0)?,
        seed: seed.unwrap_or(DEFAULT_SEED),
    })
}

/// Returns the factor by which work and deadlines are lengthened and rates lowered: the flag's
/// value or, without the flag, a value that suits the number of processors.
fn time_factor(arguments: &Arguments) -> Result<u32, CliError> {
    let suitable = f64::from(default_time_factor().min(MAX_TIME_FACTOR));
    let largest = f64::from(MAX_TIME_FACTOR);
    let factor = number(arguments, "time-factor", suitable, 1.0, largest)? as u32;
    if factor > 1 {
        progress(&format!(
            "slowdown: work and deadlines x {factor}, rates / {factor}"
        ));
    }
    Ok(factor)
}

/// Returns the value of a flag, or an error when it is out of range.
fn number(
    arguments: &Arguments,
    flag: &str,
    default: f64,
    lowest: f64,
    highest: f64,
) -> Result<f64, CliError> {
    let allowed = format!("{lowest} to {highest}");
    let value = arguments.value(flag, &allowed)?.unwrap_or(default);
    if (lowest..=highest).contains(&value) {
        return Ok(value);
    }
    Err(CliError::InvalidValue {
        name: format!("--{flag}"),
        given: value.to_string(),
        problem: "out of range".to_owned(),
        allowed,
    })
}

fn show_progress(sample: ProgressSample) {
    let (now, previous) = (sample.progress, sample.previous);
    progress(&format!(
        "{:>5.1} s {:<6} sent {:>6}/s  complete in time {:>6}/s  refused {:>6}/s  other {:>5}/s",
        sample.elapsed.as_secs_f64(),
        if sample.surge { "surge" } else { "" },
        now.sent - previous.sent,
        now.complete - previous.complete,
        now.refused - previous.refused,
        now.other - previous.other,
    ));
}

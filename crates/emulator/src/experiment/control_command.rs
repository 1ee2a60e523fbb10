//! Command line of the experiments on the control plane: `propagation`, `drain`, `churn` and `start`.

use std::ffi::OsString;
use std::fmt::Display;
use std::process::ExitCode;

use lexopt::Arg;
use serde::Serialize;

use super::propagation::ControlOptions;
use super::{churn, drain, propagation, start};
use crate::arguments::{ArgumentError, BAD_USE, Command, number_in, text, value};
use crate::scenario::ScenarioError;

/// The usage text.
pub const USAGE: &str = "\
usage: wharfquay experiment propagation|drain|churn|start [options]

  --scenario NAME  lagos, gujarat or target: zones, latencies and sizes (lagos)
  --zones N        number of zones (that of the scenario)
  --daemons N      number of daemons, up to 13000 (that of the scenario)
  --seed N         seed of all random choices (1)
  --seconds S      simulated seconds of changes and faults (60)
  --loss SHARE     share of packets lost, 0 to 0.9 (0)
  --json           prints JSON; everything except the object \"host\" is the same for the same seed
";

/// An experiment on the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlExperiment {
    /// Measures how fast configuration changes propagate to all daemons.
    Propagation,
    /// Measures how fast departures of backends and drain resources propagate to all daemons.
    Drain,
    /// Measures the effect of restarts, failures and a network partition.
    Churn,
    /// Measures starts of the whole deployment and the load that they put on the platform's directory.
    Start,
}

impl ControlExperiment {
    /// Returns the experiment with this name, or `None` if there is none.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "propagation" => Some(Self::Propagation),
            "drain" => Some(Self::Drain),
            "churn" => Some(Self::Churn),
            "start" => Some(Self::Start),
            _ => None,
        }
    }
}

/// The parsed command line.
#[derive(Clone, Debug)]
pub struct ControlArguments {
    /// Options of the experiment.
    pub options: ControlOptions,
    /// True to print JSON instead of a text report.
    pub json: bool,
}

/// Parses the command line.
///
/// # Errors
/// Returns an [`ArgumentError`] that names the option, its value and the allowed values.
pub fn parse(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<Command<ControlArguments>, ArgumentError> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut options = ControlOptions::default();
    let mut json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("json") => json = true,
            Arg::Long("scenario") => options.scenario = text(&mut parser)?,
            Arg::Long("zones") => options.zones = Some(value(&mut parser, "zones", "1 to 64")?),
            Arg::Long("daemons") => {
                options.daemons = Some(value(&mut parser, "daemons", "1 to 13000")?);
            }
            Arg::Long("seed") => {
                options.seed = value(&mut parser, "seed", "a whole number of 64 bits")?;
            }
            Arg::Long("seconds") => {
                options.seconds = value(&mut parser, "seconds", "1 to 86400")?;
            }
            Arg::Long("loss") => {
                options.loss = number_in(&mut parser, "loss", 0.0..=0.9, "0 to 0.9")?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    if !(1..=86_400).contains(&options.seconds) {
        return Err(ArgumentError::Value {
            option: "seconds",
            given: options.seconds.to_string(),
            problem: "out of range".to_owned(),
            allowed: "1 to 86400",
        });
    }
    Ok(Command::Run(ControlArguments { options, json }))
}

/// Runs an experiment with the arguments of the command line, prints its report and returns the exit
/// code.
pub fn run(
    experiment: ControlExperiment,
    arguments: impl IntoIterator<Item = OsString>,
) -> ExitCode {
    let arguments = match parse(arguments) {
        Ok(Command::Run(arguments)) => arguments,
        Ok(Command::Help) => {
            print!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(error) => return usage_error(&error),
    };
    let (options, json) = (&arguments.options, arguments.json);
    match experiment {
        ControlExperiment::Propagation => print_report(propagation::run(options), json),
        ControlExperiment::Drain => print_report(drain::run(options), json),
        ControlExperiment::Churn => print_report(churn::run(options), json),
        ControlExperiment::Start => print_report(start::run(options), json),
    }
}

fn print_report<R: Serialize + Display>(report: Result<R, ScenarioError>, json: bool) -> ExitCode {
    let report = match report {
        Ok(report) => report,
        Err(error) => return usage_error(&error),
    };
    if !json {
        print!("{report}");
        return ExitCode::SUCCESS;
    }
    match serde_json::to_string_pretty(&report) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("experiment: {error}");
            ExitCode::FAILURE
        }
    }
}

fn usage_error(error: &impl Display) -> ExitCode {
    eprintln!("experiment: {error}");
    ExitCode::from(BAD_USE)
}

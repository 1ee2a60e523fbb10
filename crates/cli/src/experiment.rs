//! `wharfquay experiment`: seeded experiments on a virtual clock.

use std::ffi::OsString;
use std::process::ExitCode;

use wharfquay_emulator::experiment::control_command::{self, ControlExperiment};

/// Exit code for arguments that can't be used.
const USAGE_ERROR: u8 = 2;

const USAGE: &str = "\
usage: wharfquay experiment NAME [options]

  surge        a surge of demand: goodput and recovery of each policy
  propagation  time until a configuration change is in force, control traffic
  drain        time until every daemon knows that backends are leaving
  churn        restarts, failures, loss of a rack and a zone, partitioned regions
  start        a simultaneous start of the whole deployment, and its calls to the platform's directory
";

/// Runs the experiment that the first argument names.
pub(crate) fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let mut arguments = arguments.into_iter();
    let name = arguments.next().unwrap_or_default();
    let control_experiment = name.to_str().and_then(ControlExperiment::from_name);
    if let Some(experiment) = control_experiment {
        return control_command::run(experiment, arguments);
    }
    match name.to_str() {
        Some("surge") => wharfquay_emulator::experiment::surge::run(arguments),
        Some("--help" | "-h" | "help") => {
            print!("{USAGE}");
            ExitCode::SUCCESS
        }
        _ => {
            eprintln!(
                "wharfquay experiment: unknown experiment \"{}\" (allowed: surge, propagation, drain, churn, start)",
                name.display()
            );
            ExitCode::from(USAGE_ERROR)
        }
    }
}

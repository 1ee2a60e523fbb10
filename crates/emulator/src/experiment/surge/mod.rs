//! The experiment `surge`: goodput and recovery of each policy under a surge of requests, optionally with
//! slow services.

mod announced;
mod arguments;
mod measure;
mod oracle;
mod report;
mod sweep;

use std::ffi::OsString;
use std::process::ExitCode;

use serde::Serialize;

use crate::arguments::{BAD_USE, Command};
use crate::simulator::call_path::policy::Policy;
use crate::simulator::call_path::settings::RunSettings;
use crate::simulator::call_path::{Layout, simulate};

pub use announced::AnnouncingMeasurements;
pub use arguments::{SurgeSettings, USAGE, parse};
pub use measure::{KindMeasurements, PolicyMeasurements, ServiceMeasurements, measure};
pub use oracle::{OracleGoodput, oracle_goodput};
pub use report::{SurgeReport, render_table};
pub use sweep::{SweepReport, sweep};

/// Runs the experiment with the arguments of the command line, prints its report and returns the exit
/// code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let settings = match parse(arguments) {
        Ok(Command::Run(settings)) => settings,
        Ok(Command::Help) => {
            print!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("experiment surge: {error}");
            return ExitCode::from(BAD_USE);
        }
    };
    if settings.seeds > 1 {
        return print_json(&sweep_all(&settings));
    }
    let report = compare(&settings);
    if settings.json {
        return print_json(&report);
    }
    print!("{}", render_table(&report, settings.services));
    ExitCode::SUCCESS
}

fn print_json(report: &impl Serialize) -> ExitCode {
    match serde_json::to_string_pretty(report) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("experiment surge: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs every selected policy with consecutive seeds and returns a summary for each.
#[must_use]
pub fn sweep_all(settings: &SurgeSettings) -> Vec<SweepReport> {
    let layout = Layout::new(&settings.scenario);
    let policies = settings.policies.iter();
    policies
        .map(|&policy| sweep(&layout, &settings.run, policy, settings.seeds))
        .collect()
}

/// Runs every selected policy over the same arrivals, in parallel.
#[must_use]
pub fn compare(settings: &SurgeSettings) -> SurgeReport {
    let layout = Layout::new(&settings.scenario);
    let oracle = oracle_goodput(&layout, &settings.run);
    let mut policies = Vec::new();
    std::thread::scope(|scope| {
        let runs: Vec<_> = settings
            .policies
            .iter()
            .map(|&policy| {
                let (layout, oracle) = (&layout, &oracle);
                scope.spawn(move || run_policy(layout, &settings.run, policy, oracle))
            })
            .collect();
        policies = runs.into_iter().filter_map(|run| run.join().ok()).collect();
    });
    SurgeReport::new(settings, &layout, &oracle, policies)
}

/// Runs one policy and returns its measurements.
#[must_use]
pub fn run_policy(
    layout: &Layout,
    settings: &RunSettings,
    policy: Policy,
    oracle: &OracleGoodput,
) -> PolicyMeasurements {
    let settings = RunSettings {
        policy,
        ..settings.clone()
    };
    let record = simulate(layout, &settings);
    measure(layout, &settings, &record, oracle)
}

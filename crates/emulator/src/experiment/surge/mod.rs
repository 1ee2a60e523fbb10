//! A surge of demand, with or without a slow deep service: goodput and recovery of each policy.

mod arguments;
mod measure;
mod oracle;
mod report;

use std::ffi::OsString;
use std::process::ExitCode;

use crate::arguments::{BAD_USE, Command};
use crate::simulator::call_path::policy::Policy;
use crate::simulator::call_path::settings::RunSettings;
use crate::simulator::call_path::{Layout, simulate};

pub use arguments::{SurgeSettings, USAGE, parse};
pub use measure::{KindMeasure, PolicyMeasure, ServiceMeasure, measure};
pub use oracle::{OracleGoodput, oracle_goodput};
pub use report::{SurgeReport, render_table};

/// Runs the experiment from the command line.
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
    let report = compare(&settings);
    if settings.json {
        match serde_json::to_string_pretty(&report) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("experiment surge: {error}");
                return ExitCode::FAILURE;
            }
        }
    } else {
        print!("{}", render_table(&report, settings.services));
    }
    ExitCode::SUCCESS
}

/// Runs every chosen policy over the same arrivals.
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

/// Runs one policy and measures it.
#[must_use]
pub fn run_policy(
    layout: &Layout,
    settings: &RunSettings,
    policy: Policy,
    oracle: &OracleGoodput,
) -> PolicyMeasure {
    let settings = RunSettings {
        policy,
        ..settings.clone()
    };
    let record = simulate(layout, &settings);
    measure(layout, &settings, &record, oracle)
}

//! `check`: reports every problem of files in one run.

mod file_kind;

use serde::Serialize;
use wharfquay_resources::parse::{Parsed, SourceFile, parse};
use wharfquay_resources::problem::{Problem, Severity};

use crate::arguments::Arguments;
use crate::check::file_kind::{FileKind, check_scenario, check_settings};
use crate::commands::{CommandSpec, Example, Flag, JSON, Positionals};
use crate::error::{CliError, ExitStatus};
use crate::input::read_files;
use crate::output::Output;

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "check",
    summary: "Report every problem of resource files in one run",
    details: "\
Settings of daemons and scenarios are checked too; the kind of a file follows from its keys. All
resource files are checked as one set: a resource may refer to one in another file. Each problem is
one line, `file:line: field: problem (allowed: …) [code]`; docs/CONFIGURATION.md lists the codes.
Warnings indicate risky but legal settings and leave the exit code at 0.",
    positionals: Positionals {
        usage: "FILE…",
        minimum: 1,
        maximum: usize::MAX,
    },
    flags: &[Flag::switch("strict", "Treat warnings as errors"), JSON],
    examples: &[
        Example {
            line: "wharfquay check scenarios/lagos.resources.toml",
            description: "Check one file.",
        },
        Example {
            line: "wharfquay check examples/lagos/booking-1.daemon.toml scenarios/lagos.toml",
            description: "Check a daemon's settings and a scenario.",
        },
        Example {
            line: "wharfquay check --strict --json services.toml drains.toml",
            description: "Check two files as one set, fail on warnings too, and print JSON.",
        },
    ],
    run,
};

/// The result of a check, as printed with `--json`.
#[derive(Serialize)]
struct Report<'a> {
    files: usize,
    resources: usize,
    errors: usize,
    warnings: usize,
    problems: &'a [Problem],
}

fn run(arguments: &Arguments, output: &mut Output) -> Result<ExitStatus, CliError> {
    let paths = arguments.positional_paths();
    let read = read_files(&paths);
    let mut parsed = check_files(&read.files);
    parsed.problems.splice(0..0, read.problems);
    let report = report_on(&parsed, paths.len());
    if arguments.has("json") {
        output.write_json(&report)?;
    } else {
        print_problems(&parsed.problems, output)?;
        output.write_line(&format!(
            "{} files, {} resources: {} errors, {} warnings",
            report.files, report.resources, report.errors, report.warnings
        ))?;
    }
    let is_failed = report.errors > 0 || (arguments.has("strict") && report.warnings > 0);
    Ok(if is_failed {
        ExitStatus::ProblemFound
    } else {
        ExitStatus::Success
    })
}

/// Checks the resource files as one set, and every other file separately.
fn check_files(files: &[SourceFile]) -> Parsed {
    let mut resource_files = Vec::new();
    let mut problems = Vec::new();
    for file in files {
        match FileKind::of(file) {
            FileKind::Resources => resource_files.push(file.clone()),
            FileKind::DaemonSettings => problems.extend(check_settings(file)),
            FileKind::Scenario => problems.extend(check_scenario(file)),
        }
    }
    let mut parsed = parse(&resource_files);
    parsed.problems.extend(problems);
    parsed
}

/// Prints one line for each problem to the standard output.
pub(crate) fn print_problems(problems: &[Problem], output: &mut Output) -> Result<(), CliError> {
    for problem in problems {
        output.write_line(&problem.to_string())?;
    }
    Ok(())
}

fn report_on(parsed: &Parsed, files: usize) -> Report<'_> {
    let count = |severity| {
        let problems = parsed.problems.iter();
        problems
            .filter(|problem| problem.finding.severity() == severity)
            .count()
    };
    Report {
        files,
        resources: parsed.resources.len(),
        errors: count(Severity::Error),
        warnings: count(Severity::Warning),
        problems: &parsed.problems,
    }
}

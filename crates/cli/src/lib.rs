//! Command line of the operators. Each command has a module with its specification (flags,
//! examples) and its function. The specifications drive parsing, help and shell completion.

mod apply;
mod arguments;
mod change_text;
mod check;
mod commands;
mod completion;
mod configuration;
mod connection;
mod daemon_status;
mod delete;
mod demo;
mod drain;
mod error;
mod experiment;
mod explain;
mod get;
mod help;
mod input;
mod output;
mod plan;
mod replay;
mod status;
mod table;
mod trace;
mod watch;
mod write;

use std::ffi::OsString;
use std::process::ExitCode;

use crate::arguments::{Arguments, Parsed};
use crate::commands::{COMMANDS, CommandSpec, find_command};
use crate::error::{CliError, ExitStatus};
use crate::output::{Output, progress};

/// Runs the program with these arguments, which exclude the program's name, and returns its exit
/// code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments: Vec<OsString> = arguments.into_iter().collect();
    if let [first, rest @ ..] = arguments.as_slice()
        && first == "experiment"
    {
        return experiment::run(rest.to_vec());
    }
    let mut output = Output::default();
    let result = dispatch(arguments, &mut output);
    match result {
        Ok(status) => status.exit_code(),
        Err(error) => report(&error),
    }
}

fn report(error: &CliError) -> ExitCode {
    if error.is_closed_output() {
        return ExitStatus::Success.exit_code();
    }
    progress(&error.to_string());
    error.exit_code()
}

fn dispatch(arguments: Vec<OsString>, output: &mut Output) -> Result<ExitStatus, CliError> {
    let mut rest = arguments.into_iter();
    let Some(first) = rest.next() else {
        output.write_text(&help::overview())?;
        return Ok(ExitStatus::UsageError);
    };
    let first = first.to_string_lossy().into_owned();
    match first.as_str() {
        "--help" | "-h" | "help" => show_help(rest.next(), output),
        "--version" | "-V" => {
            output.write_line(&format!("wharfquay {}", env!("CARGO_PKG_VERSION")))?;
            Ok(ExitStatus::Success)
        }
        name => {
            let command = find_command(name)?;
            run_command(command, rest.collect(), output)
        }
    }
}

fn show_help(name: Option<OsString>, output: &mut Output) -> Result<ExitStatus, CliError> {
    let text = match name {
        Some(name) => help::command(find_command(&name.to_string_lossy())?),
        None => help::overview(),
    };
    output.write_text(&text)?;
    Ok(ExitStatus::Success)
}

fn run_command(
    command: &'static CommandSpec,
    rest: Vec<OsString>,
    output: &mut Output,
) -> Result<ExitStatus, CliError> {
    match Arguments::parse(command, rest)? {
        Parsed::Help => {
            output.write_text(&help::command(command))?;
            Ok(ExitStatus::Success)
        }
        Parsed::Run(arguments) => (command.run)(&arguments, output),
    }
}

/// Returns the names of all commands.
fn command_names() -> impl Iterator<Item = &'static str> {
    COMMANDS.iter().map(|command| command.name)
}

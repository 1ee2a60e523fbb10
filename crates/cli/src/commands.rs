//! Table of the commands.

use wharfquay_resources::nearest::suggestion;

use crate::arguments::Arguments;
use crate::command_names;
use crate::error::{CliError, ExitStatus};
use crate::output::Output;
use crate::{
    apply, check, completion, delete, demo, drain, explain, get, plan, replay, status, trace, watch,
};

/// A flag of a command.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flag {
    /// Name without the leading dashes.
    pub(crate) name: &'static str,
    /// Placeholder of the value; `None` for a switch.
    pub(crate) value: Option<&'static str>,
    /// One-line description.
    pub(crate) help: &'static str,
}

impl Flag {
    /// Specifies a flag without a value.
    pub(crate) const fn switch(name: &'static str, help: &'static str) -> Self {
        Self {
            name,
            value: None,
            help,
        }
    }

    /// Specifies a flag with a value.
    pub(crate) const fn with_value(
        name: &'static str,
        value: &'static str,
        help: &'static str,
    ) -> Self {
        Self {
            name,
            value: Some(value),
            help,
        }
    }
}

/// Number of positional arguments that a command takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Positionals {
    /// Placeholders in the usage line; empty when there are none.
    pub(crate) usage: &'static str,
    /// Smallest number of arguments.
    pub(crate) minimum: usize,
    /// Largest number of arguments.
    pub(crate) maximum: usize,
}

/// A command line that the help text shows, with a description.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Example {
    /// The command line, including the program's name.
    pub(crate) line: &'static str,
    /// What the command line does, in one sentence.
    pub(crate) description: &'static str,
}

/// Specification of a command, for its help text, argument parsing and shell completion, and its
/// function.
pub(crate) struct CommandSpec {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// One-line description.
    pub(crate) summary: &'static str,
    /// Further description; empty when the summary is sufficient.
    pub(crate) details: &'static str,
    /// Number of positional arguments.
    pub(crate) positionals: Positionals,
    /// Flags, without `--help`.
    pub(crate) flags: &'static [Flag],
    /// Examples for the help text.
    pub(crate) examples: &'static [Example],
    /// Executes the command.
    pub(crate) run: fn(&Arguments, &mut Output) -> Result<ExitStatus, CliError>,
}

/// Flag of every command whose output is data.
pub(crate) const JSON: Flag = Flag::switch("json", "Print JSON instead of text");

/// Every command, in the order of the help text.
pub(crate) const COMMANDS: &[&CommandSpec] = &[
    &check::COMMAND,
    &apply::COMMAND,
    &get::COMMAND,
    &watch::COMMAND,
    &delete::COMMAND,
    &status::COMMAND,
    &drain::COMMAND,
    &drain::UNDRAIN,
    &explain::COMMAND,
    &plan::COMMAND,
    &replay::COMMAND,
    &trace::COMMAND,
    &demo::COMMAND,
    &completion::COMMAND,
];

/// Returns the command with this name.
pub(crate) fn find_command(name: &str) -> Result<&'static CommandSpec, CliError> {
    let found = COMMANDS.iter().find(|command| command.name == name);
    found.copied().ok_or_else(|| CliError::UnknownCommand {
        given: name.to_owned(),
        hint: suggestion(name, command_names()),
        allowed: command_names().collect::<Vec<_>>().join(", "),
    })
}

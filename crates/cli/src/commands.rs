//! The table of commands.

use wharfquay_resources::nearest::suggestion;

use crate::arguments::Arguments;
use crate::command_names;
use crate::error::{CliError, Finish};
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
    /// Meaning, in one line.
    pub(crate) help: &'static str,
}

impl Flag {
    /// A flag without a value.
    pub(crate) const fn switch(name: &'static str, help: &'static str) -> Self {
        Self {
            name,
            value: None,
            help,
        }
    }

    /// A flag with a value.
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

/// How many positional arguments a command takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Positionals {
    /// How they are shown in the usage line; empty when there are none.
    pub(crate) usage: &'static str,
    /// Fewest.
    pub(crate) minimum: usize,
    /// Most.
    pub(crate) maximum: usize,
}

/// A command line that is shown in the help text, and what it does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Example {
    /// The command line.
    pub(crate) line: &'static str,
    /// What it does.
    pub(crate) meaning: &'static str,
}

/// A command: what its help, its parser and its shell completion need, and its function.
pub(crate) struct CommandSpec {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// What it does, in one line.
    pub(crate) summary: &'static str,
    /// More about it; empty when the summary says everything.
    pub(crate) details: &'static str,
    /// Its positional arguments.
    pub(crate) positionals: Positionals,
    /// Its flags, without `--help`.
    pub(crate) flags: &'static [Flag],
    /// Examples.
    pub(crate) examples: &'static [Example],
    /// Its function.
    pub(crate) run: fn(&Arguments, &mut Output) -> Result<Finish, CliError>,
}

/// The flag of every command whose output is data.
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

/// The command with this name.
pub(crate) fn find_command(name: &str) -> Result<&'static CommandSpec, CliError> {
    let found = COMMANDS.iter().find(|command| command.name == name);
    found.copied().ok_or_else(|| CliError::UnknownCommand {
        given: name.to_owned(),
        hint: suggestion(name, command_names()),
        allowed: command_names().collect::<Vec<_>>().join(", "),
    })
}

//! Parses a command's arguments by its specification.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fmt::Display;
use std::path::PathBuf;
use std::str::FromStr;

use lexopt::Arg;
use wharfquay_resources::nearest::suggestion;

use crate::commands::{CommandSpec, Flag};
use crate::error::CliError;

/// Result of parsing.
pub(crate) enum Parsed {
    /// The command's help text is requested.
    Help,
    /// The command is to be executed with these arguments.
    Run(Arguments),
}

/// Parsed arguments of one command.
#[derive(Debug, Default)]
pub(crate) struct Arguments {
    flags: BTreeMap<&'static str, Vec<OsString>>,
    positionals: Vec<OsString>,
}

impl Arguments {
    /// Parses the arguments that follow a command's name.
    pub(crate) fn parse(command: &CommandSpec, rest: Vec<OsString>) -> Result<Parsed, CliError> {
        let mut parser = lexopt::Parser::from_args(rest);
        let mut arguments = Self::default();
        loop {
            let argument = parser.next().map_err(|error| malformed(&error))?;
            match argument {
                None => break,
                Some(Arg::Long("help") | Arg::Short('h')) => return Ok(Parsed::Help),
                Some(Arg::Long(name)) => {
                    let flag = find_flag(command, &format!("--{name}"))?;
                    let value = match flag.value {
                        Some(_) => parser.value().map_err(|error| malformed(&error))?,
                        None => OsString::new(),
                    };
                    arguments.flags.entry(flag.name).or_default().push(value);
                }
                Some(Arg::Short(letter)) => {
                    find_flag(command, &format!("-{letter}"))?;
                }
                Some(Arg::Value(value)) => arguments.positionals.push(value),
            }
        }
        arguments.check_count(command)?;
        Ok(Parsed::Run(arguments))
    }

    fn check_count(&self, command: &CommandSpec) -> Result<(), CliError> {
        let expected = command.positionals;
        let count = self.positionals.len();
        if (expected.minimum..=expected.maximum).contains(&count) {
            return Ok(());
        }
        let allowed = match expected.usage {
            "" => "none",
            usage => usage,
        };
        Err(CliError::ArgumentCount {
            command: command.name,
            given: count,
            allowed,
        })
    }

    /// Returns true if the flag is present.
    pub(crate) fn has(&self, flag: &str) -> bool {
        self.flags.contains_key(flag)
    }

    /// Returns the value of a flag as text; the last one when the flag is repeated.
    pub(crate) fn text(&self, flag: &str) -> Option<String> {
        let values = self.flags.get(flag)?;
        values
            .last()
            .map(|value| value.to_string_lossy().into_owned())
    }

    /// Returns every value of a flag as text.
    pub(crate) fn texts(&self, flag: &str) -> Vec<String> {
        let values = self.flags.get(flag).into_iter().flatten();
        values
            .map(|value| value.to_string_lossy().into_owned())
            .collect()
    }

    /// Returns every value of a flag as a path.
    pub(crate) fn flag_paths(&self, flag: &str) -> Vec<PathBuf> {
        let values = self.flags.get(flag).into_iter().flatten();
        values.map(PathBuf::from).collect()
    }

    /// Parses the value of a flag; `None` when the flag is absent. `allowed` describes the valid
    /// values, for the error.
    pub(crate) fn value<T>(&self, flag: &str, allowed: &str) -> Result<Option<T>, CliError>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.text(flag) else {
            return Ok(None);
        };
        parse_value(&format!("--{flag}"), &text, allowed).map(Some)
    }

    /// Returns the positional arguments as paths.
    pub(crate) fn positional_paths(&self) -> Vec<PathBuf> {
        self.positionals.iter().map(PathBuf::from).collect()
    }

    /// Returns the positional arguments as text.
    pub(crate) fn positional_texts(&self) -> Vec<String> {
        self.positionals
            .iter()
            .map(|value| value.to_string_lossy().into_owned())
            .collect()
    }
}

/// Parses the value of a flag, argument or header. `name` and `allowed` are for the error.
pub(crate) fn parse_value<T>(name: &str, text: &str, allowed: &str) -> Result<T, CliError>
where
    T: FromStr,
    T::Err: Display,
{
    text.parse()
        .map_err(|error: T::Err| CliError::InvalidValue {
            name: name.to_owned(),
            given: text.to_owned(),
            problem: error.to_string(),
            allowed: allowed.to_owned(),
        })
}

fn find_flag(command: &CommandSpec, given: &str) -> Result<Flag, CliError> {
    let known = || command.flags.iter().map(|flag| flag.name);
    let name = given.trim_start_matches('-');
    let found = command.flags.iter().find(|flag| flag.name == name);
    if let Some(flag) = found.filter(|_| given.starts_with("--")) {
        return Ok(*flag);
    }
    let allowed: Vec<String> = known()
        .chain(["help"])
        .map(|name| format!("--{name}"))
        .collect();
    Err(CliError::UnknownFlag {
        command: command.name,
        given: given.to_owned(),
        hint: suggestion(name, known()),
        allowed: allowed.join(", "),
    })
}

fn malformed(error: &lexopt::Error) -> CliError {
    CliError::MalformedArgument(error.to_string())
}

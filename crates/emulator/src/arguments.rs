//! Parsing of command lines, shared by the emulator's commands.

use std::fmt::Display as DisplayTrait;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use displaydoc::Display;
use lexopt::Arg;

use crate::scenario::{Scenario, ScenarioError};

/// Exit status of a program whose arguments are invalid.
pub const BAD_USE: u8 = 2;

/// An error in a command line.
#[derive(Debug, Display)]
pub enum ArgumentError {
    /// {0}
    Syntax(lexopt::Error),
    /// --{option}: can't use "{given}": {problem} (allowed: {allowed})
    Value {
        /// The option without its dashes.
        option: &'static str,
        /// The specified value.
        given: String,
        /// Reason why it is invalid.
        problem: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// --{0} is missing
    Missing(&'static str),
    /// scenario: {0}
    Scenario(ScenarioError),
}

impl std::error::Error for ArgumentError {}

impl From<lexopt::Error> for ArgumentError {
    fn from(error: lexopt::Error) -> Self {
        Self::Syntax(error)
    }
}

impl From<ScenarioError> for ArgumentError {
    fn from(error: ScenarioError) -> Self {
        Self::Scenario(error)
    }
}

/// Action that a command line requests.
#[derive(Debug)]
pub enum Command<T> {
    /// Run with these settings.
    Run(T),
    /// Print the usage.
    Help,
}

impl<T> Command<T> {
    /// Converts the raw arguments into settings.
    ///
    /// # Errors
    /// The error of `settings`.
    pub fn try_map<U>(
        self,
        settings: impl FnOnce(T) -> Result<U, ArgumentError>,
    ) -> Result<Command<U>, ArgumentError> {
        match self {
            Self::Run(raw) => settings(raw).map(Command::Run),
            Self::Help => Ok(Command::Help),
        }
    }
}

/// Parses a command line of long options into `raw`, which initially holds the defaults.
/// `read_option` is called with the name of each option, without its dashes, and reads the value if
/// the option takes one.
///
/// # Errors
/// The error of `read_option`, and [`ArgumentError::Syntax`] for anything but a long option.
pub fn read<T>(
    mut parser: lexopt::Parser,
    mut raw: T,
    read_option: impl Fn(&mut lexopt::Parser, &str, &mut T) -> Result<(), ArgumentError>,
) -> Result<Command<T>, ArgumentError> {
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long(name) => {
                let name = name.to_owned();
                read_option(&mut parser, &name, &mut raw)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Command::Run(raw))
}

/// Returns the error for an invalid value of `option`.
pub fn invalid(
    option: &'static str,
    specified: impl Into<String>,
    problem: impl Into<String>,
    allowed: &'static str,
) -> ArgumentError {
    ArgumentError::Value {
        option,
        given: specified.into(),
        problem: problem.into(),
        allowed,
    }
}

/// Returns the error for an unknown option, specified without its dashes.
#[must_use]
pub fn unknown_option(name: &str) -> ArgumentError {
    Arg::Long(name).unexpected().into()
}

/// Reads and parses the value of `option`.
///
/// # Errors
/// [`ArgumentError`] if the value is absent or can't be parsed.
pub fn value<T>(
    parser: &mut lexopt::Parser,
    option: &'static str,
    allowed: &'static str,
) -> Result<T, ArgumentError>
where
    T: FromStr,
    T::Err: DisplayTrait,
{
    let value_text = text(parser)?;
    parse(option, &value_text, allowed)
}

/// Reads the value of an option as text.
///
/// # Errors
/// [`ArgumentError`] if the value is absent or not Unicode.
pub fn text(parser: &mut lexopt::Parser) -> Result<String, ArgumentError> {
    let value = parser.value()?;
    value
        .into_string()
        .map_err(|raw| ArgumentError::Syntax(lexopt::Error::NonUnicodeValue(raw)))
}

/// Parses the specified value of `option`.
///
/// # Errors
/// [`ArgumentError::Value`] if it can't be parsed.
pub fn parse<T>(
    option: &'static str,
    value_text: &str,
    allowed: &'static str,
) -> Result<T, ArgumentError>
where
    T: FromStr,
    T::Err: DisplayTrait,
{
    value_text
        .parse()
        .map_err(|error: T::Err| invalid(option, value_text, error.to_string(), allowed))
}

/// Reads a comma-separated list of one or more values.
///
/// # Errors
/// [`ArgumentError`] if the list is absent or one of the values can't be parsed.
pub fn list<T>(
    parser: &mut lexopt::Parser,
    option: &'static str,
    allowed: &'static str,
) -> Result<Vec<T>, ArgumentError>
where
    T: FromStr,
    T::Err: DisplayTrait,
{
    let value_text = text(parser)?;
    let parts = value_text.split(',');
    parts
        .map(|part| parse(option, part.trim(), allowed))
        .collect()
}

/// Reads a number and checks that it is in `range`.
///
/// # Errors
/// [`ArgumentError`] if the value is absent, not a number or out of range.
pub fn number_in(
    parser: &mut lexopt::Parser,
    option: &'static str,
    range: std::ops::RangeInclusive<f64>,
    allowed: &'static str,
) -> Result<f64, ArgumentError> {
    let value_text = text(parser)?;
    let number: f64 = parse(option, &value_text, allowed)?;
    if range.contains(&number) {
        return Ok(number);
    }
    Err(invalid(option, value_text, "out of range", allowed))
}

/// Reads the seed of a run's random numbers.
///
/// # Errors
/// [`ArgumentError`] if the value is absent or not an unsigned 64-bit integer.
pub fn seed(parser: &mut lexopt::Parser) -> Result<u64, ArgumentError> {
    value(parser, "seed", "0 to 2^64-1")
}

/// Reads a socket address.
///
/// # Errors
/// [`ArgumentError`] if the value is absent or can't be parsed.
pub fn address(
    parser: &mut lexopt::Parser,
    option: &'static str,
) -> Result<SocketAddr, ArgumentError> {
    value(parser, option, "ip:port")
}

/// Reads a comma-separated list of one or more socket addresses.
///
/// # Errors
/// [`ArgumentError`] if the list is absent or one of them can't be parsed.
pub fn address_list(
    parser: &mut lexopt::Parser,
    option: &'static str,
) -> Result<Vec<SocketAddr>, ArgumentError> {
    list(parser, option, "ip:port,ip:port,…")
}

/// Loads a scenario: from a file if the text contains `/` or `.`, otherwise a built-in one by name.
///
/// # Errors
/// [`ScenarioError`] if there is no such scenario or its file is unreadable or invalid.
pub fn scenario(name_or_path: &str) -> Result<Scenario, ScenarioError> {
    let is_path = name_or_path.contains('/') || name_or_path.contains('.');
    if is_path {
        return Scenario::load(Path::new(name_or_path));
    }
    Scenario::builtin(name_or_path)
}

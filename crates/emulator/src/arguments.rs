//! What the command lines of the emulator's programs have in common.

use std::fmt::Display as DisplayTrait;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use displaydoc::Display;

use crate::scenario::{Scenario, ScenarioError};

/// Exit status of a program that was called with arguments it can't use.
pub const BAD_USE: u8 = 2;

/// Why a command line can't be used.
#[derive(Debug, Display)]
pub enum ArgumentError {
    /// {0}
    Syntax(lexopt::Error),
    /// --{option}: can't use "{given}": {problem} (allowed: {allowed})
    Value {
        /// The option without its dashes.
        option: &'static str,
        /// What was given.
        given: String,
        /// Why it can't be used.
        problem: String,
        /// What may be given.
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

/// What a command line asks for.
#[derive(Debug)]
pub enum Command<T> {
    /// Run with these settings.
    Run(T),
    /// Print the usage.
    Help,
}

/// Reads the value of `option`.
///
/// # Errors
/// [`ArgumentError`] when the value is absent or can't be parsed.
pub fn value<T>(
    parser: &mut lexopt::Parser,
    option: &'static str,
    allowed: &'static str,
) -> Result<T, ArgumentError>
where
    T: FromStr,
    T::Err: DisplayTrait,
{
    let given = text(parser)?;
    parse(option, &given, allowed)
}

/// Reads the value of an option as text.
///
/// # Errors
/// [`ArgumentError`] when the value is absent or not Unicode.
pub fn text(parser: &mut lexopt::Parser) -> Result<String, ArgumentError> {
    let value = parser.value()?;
    value
        .into_string()
        .map_err(|raw| ArgumentError::Syntax(lexopt::Error::NonUnicodeValue(raw)))
}

/// Parses what was given for `option`.
///
/// # Errors
/// [`ArgumentError::Value`] when it can't be parsed.
pub fn parse<T>(
    option: &'static str,
    given: &str,
    allowed: &'static str,
) -> Result<T, ArgumentError>
where
    T: FromStr,
    T::Err: DisplayTrait,
{
    given.parse().map_err(|error: T::Err| ArgumentError::Value {
        option,
        given: given.to_owned(),
        problem: error.to_string(),
        allowed,
    })
}

/// Reads a number that must lie in a range.
///
/// # Errors
/// [`ArgumentError`] when the value is absent, not a number or out of range.
pub fn number_in(
    parser: &mut lexopt::Parser,
    option: &'static str,
    range: std::ops::RangeInclusive<f64>,
    allowed: &'static str,
) -> Result<f64, ArgumentError> {
    let given = text(parser)?;
    let number: f64 = parse(option, &given, allowed)?;
    if range.contains(&number) {
        return Ok(number);
    }
    Err(ArgumentError::Value {
        option,
        given,
        problem: "out of range".to_owned(),
        allowed,
    })
}

/// Parses a list of socket addresses with commas in between; at least one.
///
/// # Errors
/// [`ArgumentError::Value`] when one of them can't be parsed.
pub fn addresses(option: &'static str, given: &str) -> Result<Vec<SocketAddr>, ArgumentError> {
    given
        .split(',')
        .map(|part| parse(option, part.trim(), "ip:port,ip:port,…"))
        .collect()
}

/// Loads a scenario by the name of one that ships with the program, or from a file.
///
/// # Errors
/// [`ScenarioError`] when there is no such scenario or its file can't be used.
pub fn scenario(given: &str) -> Result<Scenario, ScenarioError> {
    let names_a_file = given.contains('/') || given.contains('.');
    if names_a_file {
        return Scenario::load(Path::new(given));
    }
    Scenario::builtin(given)
}

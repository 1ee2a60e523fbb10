//! Errors and exit codes of the program.

use std::io;
use std::process::ExitCode;
use std::time::Duration;

use displaydoc::Display;
use wharfquay_emulator::demo::DeploymentError;
use wharfquay_emulator::scenario::ScenarioError;
use wharfquay_platform::PlatformError;

/// Result of a command, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// The command succeeded.
    Success,
    /// The command ran and found a problem.
    ProblemFound,
    /// The arguments can't be used.
    UsageError,
    /// The platform can't be reached.
    PlatformUnreachable,
}

impl ExitStatus {
    /// Returns the program's exit code.
    pub(crate) fn exit_code(self) -> ExitCode {
        ExitCode::from(match self {
            Self::Success => 0,
            Self::ProblemFound => 1,
            Self::UsageError => 2,
            Self::PlatformUnreachable => 3,
        })
    }
}

/// An error that stops a command.
#[derive(Debug, Display)]
pub(crate) enum CliError {
    /// 7001: unknown command "{given}"{hint} (allowed: {allowed})
    UnknownCommand {
        /// The command as specified.
        given: String,
        /// Suggestion of a similar command; may be empty.
        hint: String,
        /// The known commands.
        allowed: String,
    },
    /// 7002: {command}: unknown flag "{given}"{hint} (allowed: {allowed})
    UnknownFlag {
        /// Name of the command.
        command: &'static str,
        /// The flag as specified.
        given: String,
        /// Suggestion of a similar flag; may be empty.
        hint: String,
        /// The command's flags.
        allowed: String,
    },
    /// 7003: {0}
    MalformedArgument(String),
    /// 7004: {command}: {given} arguments (allowed: {allowed})
    ArgumentCount {
        /// Name of the command.
        command: &'static str,
        /// Number of arguments.
        given: usize,
        /// The expected arguments, as in the usage line.
        allowed: &'static str,
    },
    /// 7005: {name}: "{given}" is not valid: {problem} (allowed: {allowed})
    InvalidValue {
        /// The flag, argument or header.
        name: String,
        /// The value as specified.
        given: String,
        /// Why the value is not valid.
        problem: String,
        /// The allowed values.
        allowed: String,
    },
    /// 7006: --{flag} is required (allowed: {allowed})
    MissingFlag {
        /// The flag, without the leading dashes.
        flag: &'static str,
        /// The allowed values.
        allowed: &'static str,
    },
    /// 7007: the output can't be written: {0}
    Output(io::Error),
    /// {0}
    Platform(PlatformError),
    /// 7008: the runtime can't be started: {0}
    Runtime(io::Error),
    /// 7009: {0} does not exist
    NotFound(String),
    /// 7010: {0} is not deleted, since other resources refer to it
    StillReferenced(String),
    /// 7011: {path}:{line}: record: {problem} (allowed: a decision record)
    MalformedRecord {
        /// Path of the file.
        path: String,
        /// Line of the file, from 1.
        line: usize,
        /// Why the line can't be parsed.
        problem: String,
    },
    /// 7012: {path}: can't be read: {source} (allowed: a readable file)
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// 7013: the configuration has errors (allowed: files that `wharfquay check` passes)
    InvalidConfiguration,
    /// 7014: scenario: {0}
    Scenario(ScenarioError),
    /// 7015: the demonstration can't run: {0}
    Demonstration(DeploymentError),
    /// 7016: the drain is rejected: {0}
    DrainRejected(String),
    /// 7017: the drain is not confirmed empty after {limit:?}: {state}
    NotEmpty {
        /// How long the drain was followed.
        limit: Duration,
        /// Last known progress of the drain.
        state: String,
    },
    /// 7018: {0}
    InvalidResource(String),
    /// 7019: no backend of {0} would be left (allowed: with --force)
    LeavesNoBackend(String),
    /// 7022: the remaining backends of {0} can't carry its calls (allowed: with --force)
    LeavesOverload(String),
    /// 7023: {0} is not deleted, since a new group would reuse its epochs (allowed: with --force)
    ReusesEpochs(String),
    /// 7021: {0} is not written, since it has errors
    InvalidDrain(String),
    /// 7020: still leaving after {limit:?}: {daemons}
    StillLeaving {
        /// How long the daemons were followed.
        limit: Duration,
        /// Ids of the daemons that are still leaving.
        daemons: String,
    },
}

impl CliError {
    /// Creates the error for an invalid value of a flag, argument or header.
    pub(crate) fn invalid_value(name: &str, given: &str, problem: &str, allowed: &str) -> Self {
        Self::InvalidValue {
            name: name.to_owned(),
            given: given.to_owned(),
            problem: problem.to_owned(),
            allowed: allowed.to_owned(),
        }
    }

    /// Returns true if the reader of the output closed it, as `head` does, which is not a failure.
    pub(crate) fn is_closed_output(&self) -> bool {
        matches!(self, Self::Output(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }

    /// Returns the program's exit code.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let status = match self {
            Self::Output(_)
            | Self::Runtime(_)
            | Self::NotFound(_)
            | Self::InvalidConfiguration
            | Self::Demonstration(_)
            | Self::MalformedRecord { .. }
            | Self::DrainRejected(_)
            | Self::NotEmpty { .. }
            | Self::LeavesNoBackend(_)
            | Self::LeavesOverload(_)
            | Self::ReusesEpochs(_)
            | Self::InvalidDrain(_)
            | Self::StillLeaving { .. }
            | Self::StillReferenced(_) => ExitStatus::ProblemFound,
            Self::Platform(error) => exit_status_of(error),
            _ => ExitStatus::UsageError,
        };
        status.exit_code()
    }
}

fn exit_status_of(error: &PlatformError) -> ExitStatus {
    match error {
        PlatformError::Rejected { .. } | PlatformError::Conflict(_) => ExitStatus::ProblemFound,
        PlatformError::InvalidName { .. } | PlatformError::NoAddress => ExitStatus::UsageError,
        _ => ExitStatus::PlatformUnreachable,
    }
}

impl From<PlatformError> for CliError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

impl From<DeploymentError> for CliError {
    fn from(error: DeploymentError) -> Self {
        Self::Demonstration(error)
    }
}

impl From<ScenarioError> for CliError {
    fn from(error: ScenarioError) -> Self {
        Self::Scenario(error)
    }
}

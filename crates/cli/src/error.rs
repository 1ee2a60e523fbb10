//! Errors and exit codes of the program.

use std::io;
use std::process::ExitCode;
use std::time::Duration;

use displaydoc::Display;
use wharfquay_emulator::demo::DeploymentError;
use wharfquay_emulator::scenario::ScenarioError;
use wharfquay_platform::PlatformError;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finish {
    /// The command did what it was asked.
    Done,
    /// The command did its work and found a problem.
    ProblemFound,
    /// The command was used wrongly.
    BadUse,
    /// The platform can't be reached.
    PlatformUnreachable,
}

impl Finish {
    /// The program's exit code.
    pub(crate) fn exit_code(self) -> ExitCode {
        ExitCode::from(match self {
            Self::Done => 0,
            Self::ProblemFound => 1,
            Self::BadUse => 2,
            Self::PlatformUnreachable => 3,
        })
    }
}

/// Why a command could not do its work.
#[derive(Debug, Display)]
pub(crate) enum CliError {
    /// 7001: unknown command "{given}"{hint} (allowed: {allowed})
    UnknownCommand {
        /// The command as given.
        given: String,
        /// A hint at a similar command.
        hint: String,
        /// The commands.
        allowed: String,
    },
    /// 7002: {command}: unknown flag "{given}"{hint} (allowed: {allowed})
    UnknownFlag {
        /// The command.
        command: &'static str,
        /// The flag as given.
        given: String,
        /// A hint at a similar flag.
        hint: String,
        /// The command's flags.
        allowed: String,
    },
    /// 7003: {0}
    MalformedArgument(String),
    /// 7004: {command}: {given} arguments (allowed: {allowed})
    ArgumentCount {
        /// The command.
        command: &'static str,
        /// How many were given.
        given: usize,
        /// The usage of the arguments.
        allowed: &'static str,
    },
    /// 7005: {name}: "{given}" is not valid: {problem} (allowed: {allowed})
    InvalidValue {
        /// The flag or argument.
        name: String,
        /// The value as given.
        given: String,
        /// What is wrong with it.
        problem: String,
        /// What is allowed.
        allowed: String,
    },
    /// 7006: --{flag} is required (allowed: {allowed})
    MissingFlag {
        /// The flag.
        flag: &'static str,
        /// What is allowed.
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
        /// The file.
        path: String,
        /// Line of the file, from 1.
        line: usize,
        /// What is wrong.
        problem: String,
    },
    /// 7012: {path}: can't be read: {source} (allowed: a readable file)
    Unreadable {
        /// The file.
        path: String,
        /// What the operating system reported.
        source: io::Error,
    },
    /// 7013: the configuration has errors (allowed: files that `wharfquay check` passes)
    BrokenConfiguration,
    /// 7014: scenario: {0}
    Scenario(ScenarioError),
    /// 7015: the demonstration can't run: {0}
    Demonstration(DeploymentError),
    /// 7016: the drain is rejected: {0}
    DrainRejected(String),
    /// 7017: not known to be empty after {limit:?}: {state}
    NotEmpty {
        /// How long the drain was followed.
        limit: Duration,
        /// How far it was.
        state: String,
    },
    /// 7018: {0}
    InvalidResource(String),
    /// 7019: no back end of {0} would be left (allowed: with --force)
    LeavesNoBackend(String),
    /// 7022: the rest of {0} can't carry its calls (allowed: with --force)
    LeavesOverload(String),
    /// 7023: {0} is not deleted, since a new group would reuse its epochs (allowed: with --force)
    ReusesEpochs(String),
    /// 7021: {0} is not written, since it has errors
    InvalidDrain(String),
    /// 7020: still leaving after {limit:?}: {daemons}
    StillLeaving {
        /// How long the daemons were followed.
        limit: Duration,
        /// Their ids.
        daemons: String,
    },
}

impl CliError {
    /// The error about the value of a flag or argument.
    pub(crate) fn invalid_value(name: &str, given: &str, problem: &str, allowed: &str) -> Self {
        Self::InvalidValue {
            name: name.to_owned(),
            given: given.to_owned(),
            problem: problem.to_owned(),
            allowed: allowed.to_owned(),
        }
    }

    /// Whether the reader of the output went away, as `head` does, which is no failure.
    pub(crate) fn is_closed_output(&self) -> bool {
        matches!(self, Self::Output(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }

    /// The program's exit code.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let finish = match self {
            Self::Output(_)
            | Self::Runtime(_)
            | Self::NotFound(_)
            | Self::BrokenConfiguration
            | Self::Demonstration(_)
            | Self::MalformedRecord { .. }
            | Self::DrainRejected(_)
            | Self::NotEmpty { .. }
            | Self::LeavesNoBackend(_)
            | Self::LeavesOverload(_)
            | Self::ReusesEpochs(_)
            | Self::InvalidDrain(_)
            | Self::StillLeaving { .. }
            | Self::StillReferenced(_) => Finish::ProblemFound,
            Self::Platform(error) => finish_of(error),
            _ => Finish::BadUse,
        };
        finish.exit_code()
    }
}

fn finish_of(error: &PlatformError) -> Finish {
    match error {
        PlatformError::Rejected { .. } | PlatformError::Conflict(_) => Finish::ProblemFound,
        PlatformError::InvalidName { .. } | PlatformError::NoAddress => Finish::BadUse,
        _ => Finish::PlatformUnreachable,
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

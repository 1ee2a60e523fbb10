//! Writes data to the standard output, and progress and errors to the standard error.

use std::io::{self, Write};

use serde::Serialize;

use wharfquay_resources::problem::Problem;

use crate::error::CliError;

/// Standard output of the program.
#[derive(Debug)]
pub(crate) struct Output {
    stdout: io::Stdout,
}

impl Default for Output {
    fn default() -> Self {
        Self {
            stdout: io::stdout(),
        }
    }
}

impl Output {
    /// Writes text that has its own line ends.
    pub(crate) fn write_text(&mut self, text: &str) -> Result<(), CliError> {
        let mut stdout = self.stdout.lock();
        stdout
            .write_all(text.as_bytes())
            .map_err(CliError::Output)?;
        stdout.flush().map_err(CliError::Output)
    }

    /// Writes one line and its line end.
    pub(crate) fn write_line(&mut self, line: &str) -> Result<(), CliError> {
        self.write_text(&format!("{line}\n"))
    }

    /// Writes a value as one line of JSON.
    pub(crate) fn write_json<T: Serialize>(&mut self, value: &T) -> Result<(), CliError> {
        let text = serde_json::to_string(value).map_err(|error| CliError::Output(error.into()))?;
        self.write_line(&text)
    }
}

/// Writes one line to the standard error. A failed write is ignored, since there is no other place
/// to report it.
pub(crate) fn error_line(line: &str) {
    let _ = writeln!(io::stderr(), "{line}");
}

/// Reports progress of a long operation, or an error, on the standard error.
pub(crate) fn progress(message: &str) {
    error_line(&format!("wharfquay: {message}"));
}

/// Writes one line for each problem to the standard error.
pub(crate) fn print_error_lines(problems: &[Problem]) {
    for problem in problems {
        error_line(&problem.to_string());
    }
}

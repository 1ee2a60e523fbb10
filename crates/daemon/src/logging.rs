//! Log output: one line of key=value pairs for each event.

use std::io::Write;

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;

/// Starts logging to standard error. The handle must be kept while logging is wanted.
///
/// # Errors
/// When `level` is no log specification, or another logger is installed already.
pub fn start(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(level)?
        .log_to_stderr()
        .format(write_line)
        .start()
}

fn write_line(
    writer: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    write!(
        writer,
        "time={} level={} {}",
        now.format_rfc3339(),
        record.level(),
        record.args()
    )
}

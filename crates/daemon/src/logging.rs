//! Log output: one line of `key=value` pairs for each event.

use std::io::Write;

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::{Level, Record};

use crate::events::{Event, Quoted};

const EVENT_KEY: &str = "event=";

/// Starts logging to standard error. Logging lasts until the returned handle is dropped.
///
/// # Errors
/// An error if `level` is no valid log specification or another logger is already installed.
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
    let time = now.format_rfc3339();
    let line = line(
        &time,
        record.level(),
        record.target(),
        &record.args().to_string(),
    );
    writer.write_all(line.as_bytes())
}

/// Formats one log line: event, time, level and the event's fields. A message that is no event,
/// such as that of a library, becomes the event `library_message`.
#[must_use]
pub fn line(time: &str, level: Level, target: &str, message: &str) -> String {
    let event = message.strip_prefix(EVENT_KEY);
    let Some(event) = event else {
        let name = Event::LibraryMessage.name();
        let message = Quoted(message);
        return format!(
            "{EVENT_KEY}{name} time={time} level={level} target={target} message={message}"
        );
    };
    match event.split_once(' ') {
        Some((name, fields)) => format!("{EVENT_KEY}{name} time={time} level={level} {fields}"),
        None => format!("{EVENT_KEY}{event} time={time} level={level}"),
    }
}

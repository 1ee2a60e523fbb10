//! Log lines on standard output, bounded in number and without blocking the process.
//!
//! Lines pass through a bounded buffer to a dedicated thread. Within each second, the first part of
//! the limit is available to all lines, the next to warnings and errors, and the last to errors
//! only. Under load, lines about ordinary requests are therefore dropped first. Dropped lines are
//! counted and reported.

use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::{Level, Record};
use wharfquay_daemon::sync::lock;

use crate::events::Event;

/// Maximum number of lines per second.
pub const LINES_PER_SECOND: u32 = 400;
/// Number of these lines that are available to every level.
const UNRESERVED_LINES: u32 = 300;
/// Number of these lines that are available to warnings and errors.
const WARNING_LINES: u32 = 360;
/// Maximum length of a line, in bytes. Longer ones are truncated.
pub const MAX_LINE: usize = 1_024;
/// Maximum number of lines queued for the writing thread.
const MAX_QUEUED_LINES: usize = 512;
const SECOND: Duration = Duration::from_secs(1);

/// Counters of the lines since the start of the process.
#[derive(Debug, Default)]
pub struct LogCounters {
    written: AtomicU64,
    dropped: AtomicU64,
}

impl LogCounters {
    /// Returns the number of lines passed to the writing thread.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Returns the number of dropped lines.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// The counters of this process.
pub static COUNTERS: LogCounters = LogCounters {
    written: AtomicU64::new(0),
    dropped: AtomicU64::new(0),
};

/// Number of lines passed to the writing thread that are not written yet.
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);
/// Interval at which [`flush`] checks whether all lines are written.
const FLUSH_POLL: Duration = Duration::from_millis(5);

/// Waits until all queued lines are written, for at most `limit`. Called before the process
/// terminates.
pub fn flush(limit: Duration) {
    let end = Instant::now() + limit;
    while QUEUED_LINES.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        std::thread::sleep(FLUSH_POLL);
    }
}

/// Starts logging to standard output. The handle must be kept while logging is needed.
///
/// # Errors
/// If `level` is not a valid log specification or another logger is already installed.
pub fn start(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver, std::io::stdout()))
        .map_err(FlexiLoggerError::OutputIo)?;
    Logger::try_with_str(level)?
        .log_to_writer(Box::new(BoundedWriter::new(sender)))
        .start()
}

fn write_lines(lines: &Receiver<String>, mut output: impl Write) {
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        let mut count = 1;
        for line in lines.try_iter().take(MAX_QUEUED_LINES) {
            batch.push_str(&line);
            count += 1;
        }
        let written = output
            .write_all(batch.as_bytes())
            .and_then(|()| output.flush());
        QUEUED_LINES.fetch_sub(count, Ordering::Relaxed);
        if written.is_err() {
            return;
        }
    }
}

/// Limits the number of lines per second by level.
#[derive(Debug)]
pub struct LineBudget {
    window: Instant,
    lines: u32,
    dropped: u64,
}

impl LineBudget {
    /// Creates a budget whose first second begins at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            window: now,
            lines: 0,
            dropped: 0,
        }
    }

    /// Returns true if a line of this level may be written. Counts the line as written or dropped.
    pub fn allows(&mut self, now: Instant, level: Level) -> bool {
        if now.saturating_duration_since(self.window) >= SECOND {
            self.window = now;
            self.lines = 0;
        }
        let bound = match level {
            Level::Error => LINES_PER_SECOND,
            Level::Warn => WARNING_LINES,
            _ => UNRESERVED_LINES,
        };
        if self.lines >= bound {
            self.dropped += 1;
            return false;
        }
        self.lines += 1;
        true
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

struct BoundedWriter {
    lines: SyncSender<String>,
    budget: Mutex<LineBudget>,
}

impl BoundedWriter {
    fn new(lines: SyncSender<String>) -> Self {
        Self {
            lines,
            budget: Mutex::new(LineBudget::new(Instant::now())),
        }
    }

    fn send(&self, line: String) {
        QUEUED_LINES.fetch_add(1, Ordering::Relaxed);
        match self.lines.try_send(line) {
            Ok(()) => {
                COUNTERS.written.fetch_add(1, Ordering::Relaxed);
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                QUEUED_LINES.fetch_sub(1, Ordering::Relaxed);
                self.count_dropped();
            }
        }
    }

    fn count_dropped(&self) {
        COUNTERS.dropped.fetch_add(1, Ordering::Relaxed);
        lock(&self.budget).dropped += 1;
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut budget = lock(&self.budget);
        if !budget.allows(Instant::now(), record.level()) {
            COUNTERS.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let dropped = budget.take_dropped();
        drop(budget);
        let time = now.format_rfc3339();
        if dropped > 0 {
            let name = Event::LogDropped.name();
            self.send(format!(
                "event={name} time={time} level=WARN lines={dropped}\n"
            ));
        }
        self.send(line(&time, record));
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Formats one log line: the event, the time, the level, and the event's fields.
fn line(time: &str, record: &Record<'_>) -> String {
    let level = record.level();
    let message = record.args().to_string();
    let mut line = match message.split_once(' ') {
        Some((event, fields)) if event.starts_with("event=") => {
            format!("{event} time={time} level={level} {fields}")
        }
        None if message.starts_with("event=") => format!("{message} time={time} level={level}"),
        _ => format!(
            "event=library_message time={time} level={level} target={} message={message:?}",
            record.target()
        ),
    };
    if line.len() > MAX_LINE {
        let end = (0..=MAX_LINE).rev().find(|end| line.is_char_boundary(*end));
        line.truncate(end.unwrap_or_default());
    }
    line.push('\n');
    line
}

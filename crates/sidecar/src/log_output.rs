//! Log lines on standard output, bounded in number and without blocking the process.
//!
//! Lines pass through a bounded buffer to a dedicated thread. Within each second, the first part of
//! the limit is available to all lines, the next to warnings and errors, and the last to errors
//! only. Under load, lines about ordinary requests are therefore dropped first. Dropped lines are
//! counted and reported.
//!
//! Lines of reserved events ([`Event::is_reserved`]) have a limit and a part of the buffer of their
//! own, so no number of other lines displaces them.

use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::{Level, Record};
use wharfquay_daemon::sync::lock;

use crate::events::{Event, RESERVED_TARGET};

/// Maximum number of lines per second.
pub const LINES_PER_SECOND: u32 = 400;
/// Number of these lines that are available to every level.
const UNRESERVED_LINES: u32 = 300;
/// Number of these lines that are available to warnings and errors.
const WARNING_LINES: u32 = 360;
/// Maximum number of lines of reserved events per second, beside the other lines.
pub const RESERVED_LINES_PER_SECOND: u32 = 400;
/// Maximum length of a line, in bytes. Longer ones are truncated.
pub const MAX_LINE: usize = 1_024;
/// Maximum number of lines queued for the writing thread.
const MAX_QUEUED_LINES: usize = 1_024;
/// Queue length from which only lines of reserved events are queued.
const MAX_QUEUED_ORDINARY_LINES: u64 = 512;
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
    reserved_lines: u32,
    dropped: DroppedLines,
}

/// Numbers of dropped lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedLines {
    /// Lines of all events.
    pub all: u64,
    /// Lines of reserved events among them.
    pub reserved: u64,
}

impl LineBudget {
    /// Creates a budget whose first second begins at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            window: now,
            lines: 0,
            reserved_lines: 0,
            dropped: DroppedLines {
                all: 0,
                reserved: 0,
            },
        }
    }

    /// Returns true if a line of a reserved event may be written. Counts the line as written or
    /// dropped.
    pub fn allows_reserved(&mut self, now: Instant) -> bool {
        self.advance(now);
        if self.reserved_lines >= RESERVED_LINES_PER_SECOND {
            self.count_dropped(true);
            return false;
        }
        self.reserved_lines += 1;
        true
    }

    /// Returns true if a line of this level may be written. Counts the line as written or dropped.
    pub fn allows(&mut self, now: Instant, level: Level) -> bool {
        self.advance(now);
        let bound = match level {
            Level::Error => LINES_PER_SECOND,
            Level::Warn => WARNING_LINES,
            _ => UNRESERVED_LINES,
        };
        if self.lines >= bound {
            self.count_dropped(false);
            return false;
        }
        self.lines += 1;
        true
    }

    /// Starts a new second if the current one is over.
    fn advance(&mut self, now: Instant) {
        if now.saturating_duration_since(self.window) >= SECOND {
            self.window = now;
            self.lines = 0;
            self.reserved_lines = 0;
        }
    }

    fn count_dropped(&mut self, is_reserved: bool) {
        self.dropped.all += 1;
        self.dropped.reserved += u64::from(is_reserved);
    }

    /// Returns the numbers of lines dropped since the last call.
    pub fn take_dropped(&mut self) -> DroppedLines {
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

    fn send(&self, line: String, is_reserved: bool) {
        let queued = QUEUED_LINES.fetch_add(1, Ordering::Relaxed);
        let has_room = is_reserved || queued < MAX_QUEUED_ORDINARY_LINES;
        if has_room && self.lines.try_send(line).is_ok() {
            COUNTERS.written.fetch_add(1, Ordering::Relaxed);
            return;
        }
        QUEUED_LINES.fetch_sub(1, Ordering::Relaxed);
        COUNTERS.dropped.fetch_add(1, Ordering::Relaxed);
        lock(&self.budget).count_dropped(is_reserved);
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let is_reserved = record.target() == RESERVED_TARGET;
        let mut budget = lock(&self.budget);
        let is_allowed = match is_reserved {
            true => budget.allows_reserved(Instant::now()),
            false => budget.allows(Instant::now(), record.level()),
        };
        if !is_allowed {
            COUNTERS.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let dropped = budget.take_dropped();
        drop(budget);
        let time = now.format_rfc3339();
        if dropped.all > 0 {
            let (name, all, reserved) = (Event::LogDropped.name(), dropped.all, dropped.reserved);
            let fields = format!("lines={all} reserved={reserved}");
            let line = format!("event={name} time={time} level=WARN {fields}\n");
            self.send(line, is_reserved);
        }
        self.send(line(&time, record), is_reserved);
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

//! Log lines on standard output: bounded in number and never blocking the process.
//!
//! Lines go through a bounded buffer to a thread of their own. Within each second a first part of the
//! bound is open to all lines, the rest to warnings and errors, and a last part to errors only, so that
//! under load the lines about ordinary requests are dropped first. What was dropped is counted and said.

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

/// Lines that may be written in a second.
pub const LINES_PER_SECOND: u32 = 400;
/// Lines of them that are open to every level.
const OPEN_LINES: u32 = 300;
/// Lines of them that are open to warnings and errors.
const WARNING_LINES: u32 = 360;
/// Longest line, in bytes; longer ones are cut.
pub const MAX_LINE: usize = 1_024;
/// Lines that wait for the writing thread.
const WAITING_LINES: usize = 512;
const SECOND: Duration = Duration::from_secs(1);

/// Counts of the lines since the start.
#[derive(Debug, Default)]
pub struct LogCounters {
    written: AtomicU64,
    dropped: AtomicU64,
}

impl LogCounters {
    /// Lines that were handed to the writing thread.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Lines that were dropped.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// The counts of this process.
pub static COUNTERS: LogCounters = LogCounters {
    written: AtomicU64::new(0),
    dropped: AtomicU64::new(0),
};

/// Lines that were handed to the writing thread and are not written yet.
static WAITING: AtomicU64 = AtomicU64::new(0);
/// Pause between two looks whether the last line is written.
const FLUSH_POLL: Duration = Duration::from_millis(5);

/// Waits until the lines so far are written, at most for `limit`; to be called before the process ends.
pub fn flush(limit: Duration) {
    let end = Instant::now() + limit;
    while WAITING.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        std::thread::sleep(FLUSH_POLL);
    }
}

/// Starts logging to standard output. The handle must be kept while logging is wanted.
///
/// # Errors
/// When `level` is no log specification, or another logger is installed already.
pub fn start(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let (sender, receiver) = sync_channel(WAITING_LINES);
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
        for line in lines.try_iter().take(WAITING_LINES) {
            batch.push_str(&line);
            count += 1;
        }
        let written = output
            .write_all(batch.as_bytes())
            .and_then(|()| output.flush());
        WAITING.fetch_sub(count, Ordering::Relaxed);
        if written.is_err() {
            return;
        }
    }
}

/// Decides how many lines of which level may be written in a second.
#[derive(Debug)]
pub struct LineBudget {
    window: Instant,
    lines: u32,
    dropped: u64,
}

impl LineBudget {
    /// A budget whose first second begins now.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            window: now,
            lines: 0,
            dropped: 0,
        }
    }

    /// Whether a line of this level may be written; counts it either way.
    pub fn allows(&mut self, now: Instant, level: Level) -> bool {
        if now.saturating_duration_since(self.window) >= SECOND {
            self.window = now;
            self.lines = 0;
        }
        let bound = match level {
            Level::Error => LINES_PER_SECOND,
            Level::Warn => WARNING_LINES,
            _ => OPEN_LINES,
        };
        if self.lines >= bound {
            self.dropped += 1;
            return false;
        }
        self.lines += 1;
        true
    }

    /// Lines that were dropped since the last call.
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
        WAITING.fetch_add(1, Ordering::Relaxed);
        match self.lines.try_send(line) {
            Ok(()) => {
                COUNTERS.written.fetch_add(1, Ordering::Relaxed);
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                WAITING.fetch_sub(1, Ordering::Relaxed);
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

/// One log line: the event, the time, the level, and the event's fields.
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

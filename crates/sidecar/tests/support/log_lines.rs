//! Captures the log lines of a test program. Tests distinguish theirs by request id.

use std::sync::{Mutex, Once};

use log::{LevelFilter, Log, Metadata, Record};

struct Capture(Mutex<Vec<String>>);

static CAPTURE: Capture = Capture(Mutex::new(Vec::new()));
static INSTALLED: Once = Once::new();

impl Log for Capture {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = record.args().to_string();
        self.0.lock().unwrap().push(line);
    }

    fn flush(&self) {}
}

/// Begins to capture lines.
pub fn capture() {
    INSTALLED.call_once(|| {
        log::set_logger(&CAPTURE).expect("no other logger is installed");
        log::set_max_level(LevelFilter::Info);
    });
}

/// Returns the captured lines of an event about a request.
pub fn about_request(event: &str, request: &str) -> Vec<String> {
    let (event, request) = (format!("event={event} "), format!("request={request} "));
    let lines = CAPTURE.0.lock().unwrap();
    let found = lines.iter().map(|line| format!("{line} "));
    let found = found.filter(|line| line.contains(&event) && line.contains(&request));
    found.collect()
}

/// Returns the captured lines of an event.
pub fn of_event(event: &str) -> Vec<String> {
    let event = format!("event={event}");
    let lines = CAPTURE.0.lock().unwrap();
    let found = lines.iter().filter(|line| line.starts_with(&event));
    found.cloned().collect()
}

//! Collects the log lines of one request, and the state of its sidecars before it.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use super::line::LogLine;

/// Events about one request or call.
const REQUEST_EVENTS: [&str; 2] = ["request_ended", "call_ended"];
/// Log events that report a change of a sidecar's state.
const STATE_EVENTS: [&str; 15] = [
    "started",
    "ready",
    "stopping",
    "configuration_in_force",
    "configuration_rejected",
    "store_lost",
    "store_regained",
    "member_dead",
    "instance_serving",
    "instance_departed_earlier",
    "instance_replaced",
    "departure_acknowledged",
    "departure_not_durable",
    "rate_limit_announced",
    "leaving_announced",
];
/// Event that reports how many lines the logger dropped.
const DROPPED_EVENT: &str = "log_dropped";
/// Separates the id of a request from the suffix of a call made on its behalf.
const CALL_ID_SEPARATOR: char = '.';

/// Collects log lines until every file is read.
#[derive(Debug)]
pub(super) struct TraceCollector {
    /// Id of the request to trace.
    request: String,
    /// Lines about the request and its calls, each with its file.
    about_request: Vec<(String, LogLine)>,
    /// Lines of state-changing events, each with their file.
    state_changes: Vec<(String, LogLine)>,
    /// Number of lines that the logger dropped, by file.
    dropped: BTreeMap<String, u64>,
    /// Number of lines that can't be parsed.
    malformed: usize,
}

/// A log line of the trace.
#[derive(Clone, Debug, Serialize)]
pub(super) struct TraceLine {
    time: String,
    file: String,
    source: String,
    event: String,
    /// Number of calls between the traced request and the call of this line; 0 for the request
    /// itself.
    depth: usize,
    fields: BTreeMap<String, String>,
}

/// The trace of a request, as printed with `--json`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Trace {
    request: String,
    pub(super) lines: Vec<TraceLine>,
    /// For each sidecar of the trace, the last state-changing line of each event before its first
    /// line.
    beliefs: Vec<TraceLine>,
    /// Number of lines that the logger dropped, by file.
    dropped: BTreeMap<String, u64>,
    /// Number of lines that can't be parsed.
    damaged: usize,
}

impl TraceCollector {
    pub(super) fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            about_request: Vec::new(),
            state_changes: Vec::new(),
            dropped: BTreeMap::new(),
            malformed: 0,
        }
    }

    /// Counts a line that can't be parsed.
    pub(super) const fn count_malformed(&mut self) {
        self.malformed += 1;
    }

    /// Adds a line of a file.
    pub(super) fn add(&mut self, file: &str, line: LogLine) {
        if line.event == DROPPED_EVENT {
            let lines = line.field("lines").and_then(|text| text.parse().ok());
            *self.dropped.entry(file.to_owned()).or_default() += lines.unwrap_or(1);
        } else if REQUEST_EVENTS.contains(&line.event.as_str()) {
            let id = line.field("request");
            if id.is_some_and(|id| self.is_traced(id)) {
                self.about_request.push((file.to_owned(), line));
            }
        } else if STATE_EVENTS.contains(&line.event.as_str()) {
            self.state_changes.push((file.to_owned(), line));
        }
    }

    /// Returns true if the id is that of the request or of a call made for it.
    fn is_traced(&self, id: &str) -> bool {
        let rest = id.strip_prefix(&self.request);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(CALL_ID_SEPARATOR))
    }

    /// Sorts the collected lines by time.
    pub(super) fn into_trace(self) -> Trace {
        let request_depth = self.request.matches(CALL_ID_SEPARATOR).count();
        let mut lines: Vec<TraceLine> = self
            .about_request
            .iter()
            .map(|(file, line)| trace_line(file, line, request_depth))
            .collect();
        lines.sort_by(|left, right| {
            let times = left.time.cmp(&right.time);
            times.then(right.depth.cmp(&left.depth))
        });
        Trace {
            beliefs: self.last_states(&lines),
            request: self.request,
            lines,
            dropped: self.dropped,
            damaged: self.malformed,
        }
    }

    /// Returns the last line of each state-changing event, for each process of the trace, before
    /// the process's first line.
    fn last_states(&self, lines: &[TraceLine]) -> Vec<TraceLine> {
        let mut last: BTreeMap<(String, String, String), TraceLine> = BTreeMap::new();
        for (file, line) in &self.state_changes {
            let process = process_of(file, &line.source);
            let first = lines
                .iter()
                .filter(|traced| process_of(&traced.file, &traced.source) == process)
                .map(|traced| traced.time.as_str())
                .min();
            if first.is_none_or(|first| line.time.as_str() > first) {
                continue;
            }
            let state = trace_line(file, line, 0);
            let key = (process.0, process.1, line.event.clone());
            let known = last.entry(key).or_insert_with(|| state.clone());
            if known.time <= state.time {
                *known = state;
            }
        }
        let mut beliefs: Vec<TraceLine> = last.into_values().collect();
        beliefs.sort_by(|left, right| left.time.cmp(&right.time));
        beliefs
    }
}

/// Identifies a process by its file and the last word before the event, which is the process's name
/// where one file has the lines of many processes.
fn process_of(file: &str, source: &str) -> (String, String) {
    let name = source.split_whitespace().next_back().unwrap_or_default();
    (file.to_owned(), name.to_owned())
}

fn trace_line(file: &str, line: &LogLine, request_depth: usize) -> TraceLine {
    let id = line.field("request").unwrap_or_default();
    let depth = id.matches(CALL_ID_SEPARATOR).count();
    TraceLine {
        time: line.time.clone(),
        file: file.to_owned(),
        source: line.source.clone(),
        event: line.event.clone(),
        depth: depth.saturating_sub(request_depth),
        fields: line.fields.clone(),
    }
}

impl Trace {
    /// Renders the trace as text.
    pub(super) fn render(&self) -> String {
        let mut text = format!("request {}\n", self.request);
        if self.lines.is_empty() {
            text.push_str("no line names it: it succeeded and was not sampled, never arrived, or its lines were dropped\n");
        }
        if !self.beliefs.is_empty() {
            text.push_str("\nlast known state of its sidecars before:\n");
        }
        for belief in &self.beliefs {
            write_line(&mut text, belief);
        }
        if !self.lines.is_empty() {
            text.push_str("\nrequests and calls, by time of completion:\n");
        }
        for line in &self.lines {
            write_line(&mut text, line);
        }
        text.push('\n');
        for (file, lines) in &self.dropped {
            // Writing to a String can't fail.
            let _ = writeln!(text, "{file}: {lines} lines were dropped");
        }
        let _ = writeln!(text, "{} damaged lines were skipped", self.damaged);
        text
    }
}

fn write_line(text: &mut String, line: &TraceLine) {
    let indent = "  ".repeat(line.depth + 1);
    let origin = if line.source.is_empty() {
        &line.file
    } else {
        &line.source
    };
    let fields = line.fields.iter().filter(|(name, _)| *name != "level");
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    // Writing to a String can't fail.
    let _ = writeln!(
        text,
        "{indent}{} {origin} {} {}",
        line.time,
        line.event,
        fields.join(" ")
    );
}

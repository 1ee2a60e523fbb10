//! Collects the lines of one request, and what its sidecars believed at the time.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use super::line::LogLine;

/// Events about one request or call.
const REQUEST_EVENTS: [&str; 2] = ["request_ended", "call_ended"];
/// Events that change what a sidecar believes.
const BELIEF_EVENTS: [&str; 13] = [
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
];
const DROPPED_EVENT: &str = "log_dropped";
/// Separates the ids of a request and of a call made on its behalf.
const LINEAGE_SEPARATOR: char = '.';

/// Gathers lines until every file is read.
#[derive(Debug)]
pub(super) struct Story {
    request: String,
    about_request: Vec<(String, LogLine)>,
    beliefs: Vec<(String, LogLine)>,
    dropped: BTreeMap<String, u64>,
    damaged: usize,
}

/// One line of the story.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ToldLine {
    time: String,
    file: String,
    source: String,
    event: String,
    /// Calls between this line's request and the one that was asked for.
    depth: usize,
    fields: BTreeMap<String, String>,
}

/// The story of a request.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ToldStory {
    request: String,
    pub(super) lines: Vec<ToldLine>,
    /// What each sidecar of the story believed last before its first line there.
    beliefs: Vec<ToldLine>,
    /// Lines dropped, by file.
    dropped: BTreeMap<String, u64>,
    damaged: usize,
}

impl Story {
    pub(super) fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            about_request: Vec::new(),
            beliefs: Vec::new(),
            dropped: BTreeMap::new(),
            damaged: 0,
        }
    }

    /// Counts a line that can't be read.
    pub(super) const fn damaged(&mut self) {
        self.damaged += 1;
    }

    /// Takes a line of a file.
    pub(super) fn take(&mut self, file: &str, line: LogLine) {
        if line.event == DROPPED_EVENT {
            let lines = line.field("lines").and_then(|text| text.parse().ok());
            *self.dropped.entry(file.to_owned()).or_default() += lines.unwrap_or(1);
        } else if REQUEST_EVENTS.contains(&line.event.as_str()) {
            let id = line.field("request");
            if id.is_some_and(|id| self.is_part(id)) {
                self.about_request.push((file.to_owned(), line));
            }
        } else if BELIEF_EVENTS.contains(&line.event.as_str()) {
            self.beliefs.push((file.to_owned(), line));
        }
    }

    /// Whether an id is that of the request or of a call made for it.
    fn is_part(&self, id: &str) -> bool {
        let rest = id.strip_prefix(&self.request);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(LINEAGE_SEPARATOR))
    }

    /// Puts the lines in order.
    pub(super) fn finish(self) -> ToldStory {
        let own_depth = self.request.matches(LINEAGE_SEPARATOR).count();
        let mut lines: Vec<ToldLine> = self
            .about_request
            .iter()
            .map(|(file, line)| told(file, line, own_depth))
            .collect();
        lines.sort_by(|left, right| {
            let times = left.time.cmp(&right.time);
            times.then(right.depth.cmp(&left.depth))
        });
        ToldStory {
            beliefs: self.last_beliefs(&lines),
            request: self.request,
            lines,
            dropped: self.dropped,
            damaged: self.damaged,
        }
    }

    /// The last line of each kind of belief, for each process of the story, before its first line.
    fn last_beliefs(&self, lines: &[ToldLine]) -> Vec<ToldLine> {
        let mut last: BTreeMap<(String, String, String), ToldLine> = BTreeMap::new();
        for (file, line) in &self.beliefs {
            let process = process_of(file, &line.source);
            let first = lines
                .iter()
                .filter(|told| process_of(&told.file, &told.source) == process)
                .map(|told| told.time.as_str())
                .min();
            if first.is_none_or(|first| line.time.as_str() > first) {
                continue;
            }
            let belief = told(file, line, 0);
            let key = (process.0, process.1, line.event.clone());
            let known = last.entry(key).or_insert_with(|| belief.clone());
            if known.time <= belief.time {
                *known = belief;
            }
        }
        let mut beliefs: Vec<ToldLine> = last.into_values().collect();
        beliefs.sort_by(|left, right| left.time.cmp(&right.time));
        beliefs
    }
}

/// The file, and the last word before the event: where one file holds many processes, their name.
fn process_of(file: &str, source: &str) -> (String, String) {
    let name = source.split_whitespace().next_back().unwrap_or_default();
    (file.to_owned(), name.to_owned())
}

fn told(file: &str, line: &LogLine, own_depth: usize) -> ToldLine {
    let id = line.field("request").unwrap_or_default();
    let depth = id.matches(LINEAGE_SEPARATOR).count();
    ToldLine {
        time: line.time.clone(),
        file: file.to_owned(),
        source: line.source.clone(),
        event: line.event.clone(),
        depth: depth.saturating_sub(own_depth),
        fields: line.fields.clone(),
    }
}

impl ToldStory {
    /// The story as text.
    pub(super) fn render(&self) -> String {
        let mut text = format!("request {}\n", self.request);
        if self.lines.is_empty() {
            text.push_str("no line names it: it was answered with success and not sampled, never arrived, or its lines were dropped\n");
        }
        if !self.beliefs.is_empty() {
            text.push_str("\nbelieved before:\n");
        }
        for belief in &self.beliefs {
            write_line(&mut text, belief);
        }
        if !self.lines.is_empty() {
            text.push_str("\nwhat happened, by the time at which it ended:\n");
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

fn write_line(text: &mut String, line: &ToldLine) {
    let indent = "  ".repeat(line.depth + 1);
    let place = if line.source.is_empty() {
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
        "{indent}{} {place} {} {}",
        line.time,
        line.event,
        fields.join(" ")
    );
}

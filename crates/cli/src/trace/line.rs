//! Parses a log line into its event, time and fields.

use std::collections::BTreeMap;

const EVENT_KEY: &str = "event=";
/// Length of the shortest timestamp with a time zone; a shorter one was truncated.
const MIN_TIME_LENGTH: usize = "2026-12-02T10:00:05Z".len();

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LogLine {
    /// Text before the event, such as the name of the process.
    pub(super) source: String,
    pub(super) event: String,
    /// Time of the line, as written.
    pub(super) time: String,
    /// Fields of the line, without `event` and `time`.
    pub(super) fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line; `None` when it is malformed.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let start = text.find(EVENT_KEY)?;
        let mut fields = parse_fields(&text[start..])?;
        let event = fields.remove("event")?;
        let time = fields.remove("time")?;
        if time.len() < MIN_TIME_LENGTH {
            return None;
        }
        Some(Self {
            source: text[..start].trim().to_owned(),
            event,
            time,
            fields,
        })
    }

    /// Returns a field's value.
    pub(super) fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// Parses `key=value` pairs; a value in double quotes may contain spaces. `None` when the text is
/// malformed.
fn parse_fields(text: &str) -> Option<BTreeMap<String, String>> {
    let mut fields = BTreeMap::new();
    let mut rest = text.trim();
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=')?;
        if key.is_empty() || key.contains(' ') {
            return None;
        }
        let (value, remainder) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"')?,
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        fields.insert(key.to_owned(), value.to_owned());
        rest = remainder.trim_start();
    }
    Some(fields)
}

//! Decoding of records at a location with several writers. Each record is decoded separately: one
//! that can't be decoded does not hide the others.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use crate::events::Event;
use crate::log_event;

/// Maximum length of a logged name, in characters.
const MAX_LOGGED_NAME: usize = 80;

/// Returns a body as text, with invalid UTF-8 replaced.
#[must_use]
pub fn lossy_text(body: &[u8]) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(body)
}

/// Decodes the records that can be decoded and logs the others.
#[must_use]
pub fn decode_each<T: DeserializeOwned>(kind: &str, parts: &[Box<RawValue>]) -> Vec<T> {
    let decoded = parts.iter().filter_map(|part| {
        let part = serde_json::from_str(part.get());
        part.map_err(|error| log_ignored_record(kind, "", &error.to_string()))
            .ok()
    });
    decoded.collect()
}

/// Logs that a record of another writer is ignored.
pub fn log_ignored_record(kind: &str, name: &str, reason: &str) {
    let name: String = name.chars().take(MAX_LOGGED_NAME).collect();
    log_event!(
        Event::RecordIgnored,
        "kind={kind} name={name:?} reason={reason:?}"
    );
}

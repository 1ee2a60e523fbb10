//! Reading what is kept at a place where others write too: each record is decoded by itself, and one that can't be
//! decoded hides none of the others.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use crate::events::Event;
use crate::log_event;

/// Longest part of a name that is logged, in characters.
const LOGGED_NAME: usize = 80;

/// The text of a body, where bytes that are no text are replaced.
#[must_use]
pub fn text_of(body: &[u8]) -> std::borrow::Cow<'_, str> {
    String::from_utf8_lossy(body)
}

/// Decodes each part that can be decoded.
#[must_use]
pub fn decode_each<T: DeserializeOwned>(kind: &str, parts: &[Box<RawValue>]) -> Vec<T> {
    let decoded = parts.iter().filter_map(|part| {
        let part = serde_json::from_str(part.get());
        part.map_err(|error| ignored(kind, "", &error.to_string()))
            .ok()
    });
    decoded.collect()
}

/// Tells operators that what another writer left is not used.
pub fn ignored(kind: &str, name: &str, reason: &str) {
    let name: String = name.chars().take(LOGGED_NAME).collect();
    log_event!(
        Event::RecordIgnored,
        "kind={kind} name={name:?} reason={reason:?}"
    );
}

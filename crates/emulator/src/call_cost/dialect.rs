//! The platform's names, read from a file, since they must not occur in the crates.

use std::path::Path;

use serde::Deserialize;

/// Names and forms of the platform's settings, headers, calls and store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dialect {
    pub(super) sidecar: SidecarDialect,
    pub(super) heartbeat: HeartbeatDialect,
    pub(super) request: RequestDialect,
    pub(super) response: ResponseDialect,
    pub(super) store: StoreDialect,
}

/// How a sidecar is started and asked for its readiness.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SidecarDialect {
    pub(super) settings_variable: String,
    pub(super) settings: String,
    pub(super) ready_target: String,
}

/// Heartbeat of a backend.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HeartbeatDialect {
    pub(super) target: String,
    pub(super) body: String,
}

/// Header lines of a caller's request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RequestDialect {
    pub(super) headers: String,
}

/// Header lines of a backend's response.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ResponseDialect {
    pub(super) id_header: String,
    pub(super) headers: String,
}

/// Forms of the object store. `name` and `revision` are JSON pointers into an object.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StoreDialect {
    pub(super) objects: String,
    pub(super) name: String,
    pub(super) revision: String,
    pub(super) page: String,
    pub(super) changes: String,
    pub(super) watch_query: String,
    pub(super) wait_query: String,
    pub(super) headers: String,
    pub(super) configuration_kind: String,
    pub(super) configuration: String,
}

impl Dialect {
    /// Reads a file.
    ///
    /// # Errors
    /// Returns the reason why it can't be read or is invalid.
    pub fn load(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
        toml::from_str(&text).map_err(|error| error.message().to_owned())
    }
}

/// Replaces each `{name}` in a template by its value.
pub(super) fn fill(template: &str, values: &[(&str, &str)]) -> String {
    let mut text = template.to_owned();
    for (name, value) in values {
        text = text.replace(&format!("{{{name}}}"), value);
    }
    text
}

/// Returns header lines with the line ends of HTTP.
pub(super) fn header_lines(lines: &str) -> String {
    lines.lines().map(|line| format!("{line}\r\n")).collect()
}

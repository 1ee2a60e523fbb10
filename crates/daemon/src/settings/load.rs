//! Loads and validates a settings file.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

use displaydoc::Display;
use serde::{Deserialize, Deserializer};

use super::Settings;

const ADDRESS_FORMAT: &str = "ip:port, for instance 127.0.0.1:7000";
const LOG_LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];
const NAME_LENGTH: RangeInclusive<usize> = 1..=128;

/// An error that makes settings unusable.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// {file}: can't be read: {source}
    Read {
        /// The settings file.
        file: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// {file}:{line}: {field}: {problem}
    Parse {
        /// The settings file.
        file: String,
        /// Line of the file, with overrides applied, from 1.
        line: usize,
        /// The field, as a path from the root of the file.
        field: String,
        /// The error and the allowed values.
        problem: String,
    },
    /// {file}: {field}: given {given} (allowed: {allowed})
    Invalid {
        /// The settings file.
        file: String,
        /// The field, as a path from the root of the file.
        field: String,
        /// The specified value.
        given: String,
        /// The allowed values.
        allowed: String,
    },
    /// --set {given}: not an override (allowed: key=value, for instance log.level=debug)
    Override {
        /// The specified override.
        given: String,
    },
}

impl std::error::Error for SettingsError {}

/// Reads settings from a file, applies `overrides` of the form `key=value` and validates the
/// result.
///
/// # Errors
/// [`SettingsError`] with the file, the field, the specified value and the allowed values.
pub fn load(path: &Path, overrides: &[String]) -> Result<Settings, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        file: file.clone(),
        source,
    })?;
    parse(&file, &text, overrides)
}

/// Parses and validates the text of a settings file; `file` is its name in error messages.
///
/// # Errors
/// As [`load`].
pub fn parse(file: &str, text: &str, overrides: &[String]) -> Result<Settings, SettingsError> {
    let merged = apply_overrides(file, text, overrides)?;
    let settings: Settings =
        toml::from_str(&merged).map_err(|error| parse_error(file, &merged, &error))?;
    Checker { file }.check(&settings)?;
    Ok(settings)
}

fn apply_overrides(file: &str, text: &str, overrides: &[String]) -> Result<String, SettingsError> {
    if overrides.is_empty() {
        return Ok(text.to_owned());
    }
    let mut table: toml::Table =
        toml::from_str(text).map_err(|error| parse_error(file, text, &error))?;
    for given in overrides {
        apply_override(&mut table, given)?;
    }
    Ok(table.to_string())
}

fn apply_override(root: &mut toml::Table, given: &str) -> Result<(), SettingsError> {
    let malformed = || SettingsError::Override {
        given: given.to_owned(),
    };
    let (path, value) = given.split_once('=').ok_or_else(malformed)?;
    let (sections, field) = match path.rsplit_once('.') {
        Some((sections, field)) => (Some(sections), field),
        None => (None, path),
    };
    if field.is_empty() {
        return Err(malformed());
    }
    let mut table = root;
    for section in sections.into_iter().flat_map(|path| path.split('.')) {
        table = table
            .entry(section)
            .or_insert_with(|| toml::Value::Table(toml::Table::new()))
            .as_table_mut()
            .ok_or_else(malformed)?;
    }
    table.insert(field.to_owned(), parse_value(value));
    Ok(())
}

/// Parses a TOML value; text that is not valid TOML becomes a string value.
fn parse_value(text: &str) -> toml::Value {
    let document = format!("value = {text}");
    let parsed = toml::from_str::<toml::Table>(&document).ok();
    parsed
        .and_then(|mut table| table.remove("value"))
        .unwrap_or_else(|| toml::Value::String(text.to_owned()))
}

fn parse_error(file: &str, text: &str, error: &toml::de::Error) -> SettingsError {
    let offset = error.span().map_or(0, |span| span.start.min(text.len()));
    let before = text.get(..offset).unwrap_or_default();
    SettingsError::Parse {
        file: file.to_owned(),
        line: before.matches('\n').count() + 1,
        field: field_at(text, before),
        problem: error.message().replace('\n', " "),
    }
}

/// Returns the path of the field, including its table, on whose line `before` ends.
fn field_at(text: &str, before: &str) -> String {
    let line_start = before.rfind('\n').map_or(0, |position| position + 1);
    let line = text[line_start..].lines().next().unwrap_or_default();
    let table = text[..line_start]
        .lines()
        .rev()
        .find_map(|line| line.trim().strip_prefix('[')?.split(']').next());
    let key = line.split('=').next().unwrap_or_default().trim();
    match (table, key) {
        (_, key) if key.starts_with('[') => key.trim_matches(['[', ']']).to_owned(),
        (Some(table), key) => format!("{table}.{key}"),
        (None, "") => "file".to_owned(),
        (None, key) => key.to_owned(),
    }
}

/// Deserializes an address of the form ip:port.
pub(super) fn socket_address<'de, D>(deserializer: D) -> Result<SocketAddr, D::Error>
where
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    parse_address::<D::Error>(&text)
}

/// Deserializes a list of addresses of the form ip:port.
pub(super) fn socket_addresses<'de, D>(deserializer: D) -> Result<Vec<SocketAddr>, D::Error>
where
    D: Deserializer<'de>,
{
    let texts = Vec::<String>::deserialize(deserializer)?;
    texts
        .iter()
        .map(|text| parse_address::<D::Error>(text))
        .collect()
}

fn parse_address<E: serde::de::Error>(text: &str) -> Result<SocketAddr, E> {
    text.parse()
        .map_err(|_| E::custom(format!("given \"{text}\" (allowed: {ADDRESS_FORMAT})")))
}

/// Validates constraints that the field types do not express.
struct Checker<'a> {
    file: &'a str,
}

impl Checker<'_> {
    fn check(&self, settings: &Settings) -> Result<(), SettingsError> {
        self.name("id", &settings.id)?;
        self.name("zone", &settings.zone)?;
        self.sides(settings)?;
        self.platform(settings)?;
        self.log_level(&settings.log.level)?;
        let records = u64::from(settings.admin.decision_records);
        self.range("admin.decision_records", records, 0..=100_000)?;
        self.limits(settings)
    }

    fn sides(&self, settings: &Settings) -> Result<(), SettingsError> {
        if let Some(backend) = &settings.backend {
            self.name("backend.service", &backend.service)?;
            self.path("backend.health_path", &backend.health_path)?;
            let field = "backend.health_interval_ms";
            self.range(field, backend.health_interval_ms, 50..=60_000)?;
            if settings.inbound.is_none() {
                return self.invalid("inbound", "nothing", "required beside a [backend]");
            }
        }
        if settings.backend.is_none() && settings.inbound.is_some() {
            return self.invalid("backend", "nothing", "required with [inbound]");
        }
        if settings.backend.is_none() && settings.outbound.is_some() {
            return self.invalid("backend", "nothing", "required with [outbound]");
        }
        if settings.backend.is_none() && settings.edge.is_none() {
            return self.invalid("edge", "nothing", "one of [edge] and [backend]");
        }
        Ok(())
    }

    fn platform(&self, settings: &Settings) -> Result<(), SettingsError> {
        let platform = &settings.platform;
        let count = platform.addresses.len();
        if !(1..=16).contains(&count) {
            let given = format!("{count} entries");
            return self.invalid("platform.addresses", &given, "1 to 16 entries");
        }
        let field = "platform.poll_interval_ms";
        self.range(field, platform.poll_interval_ms, 50..=60_000)?;
        let field = "platform.request_timeout_ms";
        self.range(field, platform.request_timeout_ms, 50..=60_000)
    }

    fn limits(&self, settings: &Settings) -> Result<(), SettingsError> {
        let limits = &settings.limits;
        let header_bytes = u64::from(limits.header_bytes);
        self.range("limits.header_bytes", header_bytes, 8_192..=1_048_576)?;
        let field = "limits.connect_timeout_ms";
        self.range(field, limits.connect_timeout_ms, 1..=60_000)?;
        let field = "limits.drain_limit_ms";
        self.range(field, limits.drain_limit_ms, 0..=3_600_000)?;
        let streams = u64::from(limits.streams_per_peer);
        self.range("limits.streams_per_peer", streams, 1..=100_000)?;
        let threads = u64::from(limits.worker_threads);
        self.range("limits.worker_threads", threads, 1..=256)
    }

    fn log_level(&self, level: &str) -> Result<(), SettingsError> {
        if LOG_LEVELS.contains(&level) {
            return Ok(());
        }
        let given = format!("\"{level}\"");
        self.invalid("log.level", &given, &LOG_LEVELS.join(", "))
    }

    fn name(&self, field: &str, value: &str) -> Result<(), SettingsError> {
        let visible = value.chars().all(|character| character.is_ascii_graphic());
        if visible && NAME_LENGTH.contains(&value.len()) {
            return Ok(());
        }
        let allowed = "1 to 128 visible ASCII characters without spaces";
        self.invalid(field, &format!("\"{value}\""), allowed)
    }

    fn path(&self, field: &str, value: &str) -> Result<(), SettingsError> {
        let is_path = value.starts_with('/') && value.parse::<http::Uri>().is_ok();
        if value.is_empty() || is_path {
            return Ok(());
        }
        let allowed = "empty, or a path such as /health";
        self.invalid(field, &format!("\"{value}\""), allowed)
    }

    fn range(
        &self,
        field: &str,
        value: u64,
        allowed: RangeInclusive<u64>,
    ) -> Result<(), SettingsError> {
        if allowed.contains(&value) {
            return Ok(());
        }
        let allowed = format!("{} to {}", allowed.start(), allowed.end());
        self.invalid(field, &value.to_string(), &allowed)
    }

    fn invalid(&self, field: &str, given: &str, allowed: &str) -> Result<(), SettingsError> {
        Err(SettingsError::Invalid {
            file: self.file.to_owned(),
            field: field.to_owned(),
            given: given.to_owned(),
            allowed: allowed.to_owned(),
        })
    }
}

//! Kinds of files that `check` supports, distinguished by their top-level keys.

use wharfquay_daemon::settings::{self, SettingsError};
use wharfquay_emulator::scenario::{Scenario, ScenarioError};
use wharfquay_resources::kinds::ResourceKind;
use wharfquay_resources::parse::SourceFile;
use wharfquay_resources::problem::{Finding, Problem, ProblemCode};

/// Top-level keys that only a daemon's settings have.
const SETTINGS_KEYS: &[&str] = &[
    "id", "zone", "platform", "admin", "inbound", "outbound", "edge",
];
/// Top-level keys that only a scenario has.
const SCENARIO_KEYS: &[&str] = &["zones", "latency", "callers", "request"];

/// Kind of a file's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FileKind {
    /// Resources of the configuration.
    Resources,
    /// Settings of one daemon.
    DaemonSettings,
    /// A scenario of the emulator.
    Scenario,
}

impl FileKind {
    /// Returns the kind of a file. An ambiguous or unparsable file counts as resources, because
    /// that check reports every unknown key.
    pub(super) fn of(file: &SourceFile) -> Self {
        let Ok(table) = toml::from_str::<toml::Table>(&file.text) else {
            return Self::Resources;
        };
        let has_any = |keys: &[&str]| keys.iter().any(|key| table.contains_key(*key));
        if has_any(SCENARIO_KEYS) {
            return Self::Scenario;
        }
        let mut kinds = ResourceKind::ALL.iter();
        let has_resources = kinds.any(|kind| table.contains_key(kind.as_str()));
        if has_any(SETTINGS_KEYS) && !has_resources {
            return Self::DaemonSettings;
        }
        Self::Resources
    }
}

/// Returns the first problem of a daemon's settings, or `None` if they are valid.
pub(super) fn check_settings(file: &SourceFile) -> Option<Problem> {
    let error = settings::parse(&file.name, &file.text, &[]).err()?;
    let (line, field, message, allowed) = match error {
        SettingsError::Parse {
            line,
            field,
            problem,
            ..
        } => (line, field, problem, "see docs/CONFIGURATION.md".to_owned()),
        SettingsError::Invalid {
            field,
            given,
            allowed,
            ..
        } => {
            let line = line_of_field(&file.text, &field);
            (line, field, format!("{given} is not valid"), allowed)
        }
        other => (1, "file".to_owned(), other.to_string(), String::new()),
    };
    let code = ProblemCode::InvalidSettings;
    Some(problem(file, line, code, field, message, allowed))
}

/// Returns the first problem of a scenario, or `None` if it is valid.
pub(super) fn check_scenario(file: &SourceFile) -> Option<Problem> {
    let error = Scenario::parse(&file.name, &file.text).err()?;
    let code = ProblemCode::InvalidScenario;
    let (field, message, allowed) = match error {
        ScenarioError::Invalid {
            field,
            problem,
            allowed,
        } => (field, problem, allowed),
        ScenarioError::Parse { message, .. } => {
            let message = message.trim().replace('\n', " ");
            ("file".to_owned(), message, "a scenario".to_owned())
        }
        other @ ScenarioError::Read { .. } => ("file".to_owned(), other.to_string(), String::new()),
    };
    Some(problem(file, 1, code, field, message, allowed))
}

fn problem(
    file: &SourceFile,
    line: usize,
    code: ProblemCode,
    field: String,
    message: String,
    allowed: String,
) -> Problem {
    Problem {
        file: file.name.clone(),
        line,
        finding: Finding {
            code,
            resource: None,
            field,
            message,
            allowed,
        },
    }
}

/// Returns the line of a field, such as `limits.header_bytes`, in a file of plain tables; 1 when
/// the field is absent.
fn line_of_field(text: &str, field: &str) -> usize {
    let (wanted_table, wanted_key) = field.rsplit_once('.').unwrap_or(("", field));
    let mut table = "";
    for (index, line) in text.lines().map(str::trim).enumerate() {
        if let Some(header) = line.strip_prefix('[') {
            table = header.split(']').next().unwrap_or_default().trim();
            continue;
        }
        let key = line.split('=').next().unwrap_or_default().trim();
        if table == wanted_table && key == wanted_key {
            return index + 1;
        }
    }
    1
}

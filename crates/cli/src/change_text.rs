//! Differences and conflicts in words.

use wharfquay_platform::error::Conflict;
use wharfquay_platform::wire::Object;
use wharfquay_resources::diff::{Change, changed_fields};
use wharfquay_resources::kinds::ResourceId;

/// The changed fields, one indented line each.
pub(crate) fn change_lines(change: &Change) -> String {
    let (mark, fields) = match change {
        Change::Created { fields } => ("+", fields.as_slice()),
        Change::Updated { fields } => ("~", fields.as_slice()),
        Change::Deleted => return "  - deleted\n".to_owned(),
        Change::Unchanged => return String::new(),
    };
    fields
        .iter()
        .map(|field| match &field.after {
            Some(after) if mark == "+" => format!("  + {}: {after}\n", field.field),
            _ => format!("  {mark} {field}\n"),
        })
        .collect()
}

/// Who changed what since `seen`, one line each.
pub(crate) fn conflict_lines(
    id: &ResourceId,
    seen: Option<&Object>,
    met: &Conflict,
) -> Vec<String> {
    let Some(current) = &met.current else {
        return vec![format!("conflict: {id} was deleted meanwhile")];
    };
    let verb = if seen.is_some() { "changed" } else { "created" };
    let mut lines = vec![format!(
        "conflict: {id} was {verb} by \"{}\" (version {})",
        current.author,
        current.version.number()
    )];
    let before = seen.map(|object| object.spec.clone()).unwrap_or_default();
    let fields = changed_fields(id, &before, &current.spec);
    lines.extend(fields.iter().map(|field| format!("  {field}")));
    lines
}

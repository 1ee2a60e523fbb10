//! Text for changes and conflicts of resources.

use wharfquay_platform::error::Conflict;
use wharfquay_platform::wire::Object;
use wharfquay_resources::diff::{Change, changed_fields};
use wharfquay_resources::kinds::ResourceId;

/// Returns the changed fields, one indented line each.
pub(crate) fn change_lines(change: &Change) -> String {
    let (sign, fields) = match change {
        Change::Created { fields } => ("+", fields.as_slice()),
        Change::Updated { fields } => ("~", fields.as_slice()),
        Change::Deleted => return "  - deleted\n".to_owned(),
        Change::Unchanged => return String::new(),
    };
    fields
        .iter()
        .map(|field| match &field.after {
            Some(after) if sign == "+" => format!("  + {}: {after}\n", field.field),
            _ => format!("  {sign} {field}\n"),
        })
        .collect()
}

/// Describes who wrote the resource since `last_read`, and the changed fields, one line each.
/// `last_read` is absent when the resource did not exist.
pub(crate) fn conflict_lines(
    id: &ResourceId,
    last_read: Option<&Object>,
    conflict: &Conflict,
) -> Vec<String> {
    let Some(current) = &conflict.current else {
        return vec![format!("conflict: {id} was deleted since it was read")];
    };
    let verb = if last_read.is_some() {
        "changed"
    } else {
        "created"
    };
    let mut lines = vec![format!(
        "conflict: {id} was {verb} by \"{}\" (version {})",
        current.author,
        current.version.number()
    )];
    let before = last_read
        .map(|object| object.spec.clone())
        .unwrap_or_default();
    let fields = changed_fields(id, &before, &current.spec);
    lines.extend(fields.iter().map(|field| format!("  {field}")));
    lines
}

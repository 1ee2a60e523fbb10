//! Differences between two versions of a resource, field by field.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::fields::fields_of;
use crate::kinds::{Resource, ResourceId};
use crate::spec::to_spec;

/// A field that differs between two versions.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FieldChange {
    /// Field name.
    pub field: String,
    /// Value in the earlier version; absent when the field had none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// Value in the later version; absent when the field has none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

impl fmt::Display for FieldChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = |value: &Option<Value>| {
            let value = value.as_ref();
            value.map_or_else(|| "absent".to_owned(), Value::to_string)
        };
        write!(
            formatter,
            "{}: {} -> {}",
            self.field,
            shown(&self.before),
            shown(&self.after)
        )
    }
}

/// The difference of two versions of a resource.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// The resource did not exist before.
    Created {
        /// Every field of the new resource.
        fields: Vec<FieldChange>,
    },
    /// Some fields differ.
    Updated {
        /// The fields that differ.
        fields: Vec<FieldChange>,
    },
    /// The resource no longer exists.
    Deleted,
    /// Both versions are equal.
    Unchanged,
}

/// Compares two versions of a resource; `None` means that the resource does not exist.
#[must_use]
pub fn diff(id: &ResourceId, before: Option<&Resource>, after: Option<&Resource>) -> Change {
    match (before, after) {
        (None, None) => Change::Unchanged,
        (Some(_), None) => Change::Deleted,
        (None, Some(after)) => Change::Created {
            fields: changed_fields(id, &Value::Null, &to_spec(after)),
        },
        (Some(before), Some(after)) => {
            let fields = changed_fields(id, &to_spec(before), &to_spec(after));
            if fields.is_empty() {
                Change::Unchanged
            } else {
                Change::Updated { fields }
            }
        }
    }
}

/// Returns the fields that differ between two specs, in the order of the field table and without
/// the name.
#[must_use]
pub fn changed_fields(id: &ResourceId, before: &Value, after: &Value) -> Vec<FieldChange> {
    fields_of(id.kind)
        .iter()
        .map(|field| field.name)
        .filter(|field| *field != "name" && before.get(field) != after.get(field))
        .map(|field| FieldChange {
            field: field.to_owned(),
            before: before.get(field).cloned(),
            after: after.get(field).cloned(),
        })
        .collect()
}

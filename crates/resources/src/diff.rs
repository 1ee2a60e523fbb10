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
    /// Name of the field.
    pub field: String,
    /// Value before; absent when the field had none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// Value after; absent when the field has none.
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

/// How two versions of a resource differ.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// There was no resource before.
    Created {
        /// Every field of the new resource.
        fields: Vec<FieldChange>,
    },
    /// Some fields differ.
    Updated {
        /// The fields that differ.
        fields: Vec<FieldChange>,
    },
    /// There is no resource any more.
    Deleted,
    /// Both versions are equal.
    Unchanged,
}

/// Compares two versions of the resource with this identity.
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

/// The fields that differ between two specs, in the order of the field table; the name is left out.
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

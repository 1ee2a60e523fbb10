//! Generation of the reference pages of resource files from the field table and the problem codes.

use std::fmt::Write;

use crate::fields::{Field, FieldDefault, fields_of};
use crate::kinds::ResourceKind;
use crate::problem::{ProblemCode, Severity};

/// The reference of every field of every kind, in Markdown.
#[must_use]
pub fn resource_reference() -> String {
    let mut page = String::new();
    for kind in ResourceKind::ALL {
        // Writing to a String can't fail.
        let _ = writeln!(page, "### `[[{kind}]]`\n\n{}\n", purpose_of(kind));
        page.push_str("| Field | Type | Unit | Allowed | Default | Meaning |\n");
        page.push_str("|---|---|---|---|---|---|\n");
        for field in fields_of(kind) {
            page.push_str(&field_row(field));
        }
        page.push('\n');
    }
    page
}

/// The table of every problem code, in Markdown.
#[must_use]
pub fn problem_reference() -> String {
    let mut page = String::from("| Code | Severity | Meaning |\n|---|---|---|\n");
    for code in ProblemCode::ALL {
        let severity = match code.severity() {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        // Writing to a String can't fail.
        let _ = writeln!(
            page,
            "| {} | {severity} | {} |",
            code.number(),
            code.meaning()
        );
    }
    page
}

const fn purpose_of(kind: ResourceKind) -> &'static str {
    match kind {
        ResourceKind::Service => "A service: a set of interchangeable back ends.",
        ResourceKind::RequestKind => {
            "A kind of originating request: how to recognise it and how it is treated."
        }
        ResourceKind::RetryBudget => "Bounds on retries.",
        ResourceKind::Drain => "The intention that back ends leave.",
        ResourceKind::ClaimGroup => "The replica group that records claims on idempotency keys.",
    }
}

fn field_row(field: &Field) -> String {
    let default = match field.default {
        FieldDefault::Required => "required".to_owned(),
        FieldDefault::Value(value) => format!("`{value}`"),
        FieldDefault::Absent(effect) => format!("absent: {effect}"),
    };
    format!(
        "| `{}` | {} | {} | {} | {default} | {} |\n",
        field.name,
        field.field_type.type_name(),
        field.unit,
        field.field_type.allowed(),
        field.description,
    )
}

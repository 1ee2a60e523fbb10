//! Generation of the reference of resource files from the field table and the problem codes.

use std::fmt::Write;

use crate::fields::{Field, FieldDefault, fields_of};
use crate::kinds::ResourceKind;
use crate::problem::{ProblemCode, Severity};

/// Returns the reference of every field of every kind, in Markdown.
#[must_use]
pub fn resource_reference() -> String {
    let mut page = String::new();
    for kind in ResourceKind::ALL {
        // Writing to a String never fails.
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

/// Returns the table of every problem code, in Markdown.
#[must_use]
pub fn problem_reference() -> String {
    let mut page = String::from("| Code | Severity | Meaning |\n|---|---|---|\n");
    for code in ProblemCode::ALL {
        let severity = match code.severity() {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        // Writing to a String never fails.
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
        ResourceKind::Service => "A service: a set of interchangeable backends.",
        ResourceKind::RequestKind => {
            "A kind of originating request, which is a request that enters at an edge: which requests match it and how they are treated."
        }
        ResourceKind::RetryBudget => "Limits on retries.",
        ResourceKind::Drain => {
            "A request to drain backends: they get no new calls while their calls in flight complete."
        }
        ResourceKind::ClaimGroup => {
            "The replica group that records claims on idempotency keys, by which repeats of a request are recognised."
        }
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

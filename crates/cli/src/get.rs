//! `get`: shows resources that the platform holds.

use serde_json::Value;
use wharfquay_platform::wire::Object;
use wharfquay_resources::kinds::{ResourceId, ResourceKind};

use crate::arguments::Arguments;
use crate::commands::{CommandSpec, Example, Flag, JSON, Positionals};
use crate::connection::{PLATFORM, PlatformView, TIMEOUT, block_on, connect, parse_kind};
use crate::error::{CliError, ExitStatus};
use crate::output::Output;
use crate::table::TextTable;

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "get",
    summary: "Show resources that the platform holds",
    details: "\
Without a name the resources are listed. With a name, or with --toml, they are printed as a resource
file that `check` and `apply` read.",
    positionals: Positionals {
        usage: "[KIND [NAME]]",
        minimum: 0,
        maximum: 2,
    },
    flags: &[
        Flag::switch("toml", "Print a resource file"),
        PLATFORM,
        TIMEOUT,
        JSON,
    ],
    examples: &[
        Example {
            line: "wharfquay get --platform 127.0.0.1:7000",
            description: "List every resource with its version and author.",
        },
        Example {
            line: "wharfquay get service booking --platform 127.0.0.1:7000",
            description: "Print one resource.",
        },
        Example {
            line: "wharfquay get --toml > all.resources.toml",
            description: "Save everything; the platform's address is in $WHARFQUAY_PLATFORM.",
        },
    ],
    run,
};

/// Resources that a command applies to.
pub(crate) struct Selection {
    kind: Option<ResourceKind>,
    name: Option<String>,
}

impl Selection {
    /// Parses a kind and a name, both of which may be absent.
    pub(crate) fn parse(arguments: &Arguments) -> Result<Self, CliError> {
        let mut words = arguments.positional_texts().into_iter();
        let kind = words.next().map(|kind| parse_kind(&kind)).transpose()?;
        Ok(Self {
            kind,
            name: words.next(),
        })
    }

    /// Returns true if the selection covers this resource.
    pub(crate) fn covers(&self, id: &ResourceId) -> bool {
        let covers_kind = self.kind.is_none_or(|kind| kind == id.kind);
        let covers_name = self.name.as_ref().is_none_or(|name| *name == id.name);
        covers_kind && covers_name
    }

    /// Returns the one resource that is named; `None` when the selection has no name.
    pub(crate) fn single(&self) -> Option<ResourceId> {
        let name = self.name.as_ref()?;
        Some(ResourceId::new(self.kind?, name))
    }
}

fn run(arguments: &Arguments, output: &mut Output) -> Result<ExitStatus, CliError> {
    let selection = Selection::parse(arguments)?;
    let client = connect(arguments)?;
    let view = block_on(PlatformView::read(&client))?;
    let selected: Vec<(&ResourceId, &Object)> = view
        .objects
        .iter()
        .filter(|(id, _)| selection.covers(id))
        .collect();
    if let Some(id) = selection.single().filter(|_| selected.is_empty()) {
        return Err(CliError::NotFound(id.to_string()));
    }
    if arguments.has("json") {
        let objects: Vec<&Object> = selected.iter().map(|(_, object)| *object).collect();
        output.write_json(&objects)?;
    } else if arguments.has("toml") || selection.single().is_some() {
        for (id, object) in selected {
            output.write_text(&to_toml(id, object))?;
        }
    } else {
        output.write_text(&list(&selected))?;
    }
    Ok(ExitStatus::Success)
}

fn list(selected: &[(&ResourceId, &Object)]) -> String {
    let mut table = TextTable::new(&["KIND", "NAME", "VERSION", "AUTHOR"]);
    for (id, object) in selected {
        table.add_row([
            id.kind.to_string(),
            id.name.clone(),
            object.version.number().to_string(),
            object.author.clone(),
        ]);
    }
    table.render()
}

/// Returns one resource as a table of a resource file.
fn to_toml(id: &ResourceId, object: &Object) -> String {
    let mut text = format!(
        "# version {}, by {:?}\n[[{}]]\n",
        object.version.number(),
        object.author,
        id.kind
    );
    let fields = object.spec.as_object().into_iter().flatten();
    for (field, value) in fields {
        text.push_str(&format!("{field} = {}\n", toml_value(value)));
    }
    text.push('\n');
    text
}

/// Returns a JSON value in TOML syntax. Strings are the same in both, except for characters that
/// the validation of names rejects.
fn toml_value(value: &Value) -> String {
    match value {
        Value::Object(table) => {
            let entries: Vec<String> = table
                .iter()
                .map(|(key, value)| format!("{key} = {}", toml_value(value)))
                .collect();
            format!("{{ {} }}", entries.join(", "))
        }
        Value::Array(entries) => {
            let entries: Vec<String> = entries.iter().map(toml_value).collect();
            format!("[{}]", entries.join(", "))
        }
        other => other.to_string(),
    }
}

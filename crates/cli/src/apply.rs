//! `apply`: writes resource files to the platform by compare-and-swap.

use serde::Serialize;
use wharfquay_platform::conversion::object_key;
use wharfquay_platform::wire::Object;
use wharfquay_platform::{Client, PlatformError, WriteRequest};
use wharfquay_resources::diff::{Change, changed_fields};
use wharfquay_resources::kinds::{Resource, ResourceId, ResourceKind};
use wharfquay_resources::parse::parse_with_base;
use wharfquay_resources::snapshot::Revision;
use wharfquay_resources::spec::to_spec;

use crate::arguments::Arguments;
use crate::change_text::change_lines;
use crate::commands::{CommandSpec, Example, Flag, JSON, Positionals};
use crate::connection::{AUTHOR, PLATFORM, PlatformView, TIMEOUT, author, block_on, connect};
use crate::error::{CliError, ExitStatus};
use crate::input::read_files;
use crate::output::{Output, print_error_lines};
use crate::write::write_or_report;

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "apply",
    summary: "Write resource files to the platform without overwriting changes by others",
    details: "\
The files are checked together with the platform's resources; with any error nothing is written.
Each resource is written by compare-and-swap. At the first conflict the command stops and reports
who changed what; the writes before the conflict remain and are listed.",
    positionals: Positionals {
        usage: "FILE…",
        minimum: 1,
        maximum: usize::MAX,
    },
    flags: &[
        Flag::switch("dry-run", "Show the differences and write nothing"),
        PLATFORM,
        AUTHOR,
        TIMEOUT,
        JSON,
    ],
    examples: &[
        Example {
            line: "wharfquay apply scenarios/lagos.resources.toml --dry-run --platform 127.0.0.1:7000",
            description: "Show the differences and write nothing.",
        },
        Example {
            line: "wharfquay apply scenarios/lagos.resources.toml --platform 127.0.0.1:7000",
            description: "Write the resources.",
        },
    ],
    run,
};

/// A resource to write, and the object that the platform holds.
struct PlannedWrite {
    id: ResourceId,
    resource: Resource,
    /// The platform's object; `None` when the resource does not exist.
    current: Option<Object>,
    change: Change,
}

/// Result of one resource, as printed with `--json`.
#[derive(Serialize)]
struct WriteResult {
    id: String,
    #[serde(flatten)]
    change: Change,
    outcome: WriteOutcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
}

#[derive(Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum WriteOutcome {
    /// A dry run; the resource would be written.
    Planned,
    Written,
    /// The platform already holds the resource as specified.
    Unchanged,
    /// Another author wrote the resource since it was read.
    Conflict,
    /// The write failed, or an earlier write did.
    NotWritten,
}

impl WriteOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Planned => "would be written",
            Self::Written => "written",
            Self::Unchanged => "unchanged",
            Self::Conflict => "conflict",
            Self::NotWritten => "not written",
        }
    }
}

fn run(arguments: &Arguments, output: &mut Output) -> Result<ExitStatus, CliError> {
    let read = read_files(&arguments.positional_paths());
    if !read.problems.is_empty() {
        print_error_lines(&read.problems);
        return Ok(ExitStatus::ProblemFound);
    }
    let client = connect(arguments)?;
    block_on(async {
        let view = PlatformView::read(&client).await?;
        let parsed = parse_with_base(&read.files, &view.acceptance.snapshot);
        print_error_lines(&parsed.problems);
        if parsed.has_errors() {
            return Ok(ExitStatus::ProblemFound);
        }
        let writes = plan_writes(parsed.resources, &view);
        if arguments.has("dry-run") {
            let planned = writes.into_iter().map(|write| {
                let outcome = outcome_without_write(&write.change, WriteOutcome::Planned);
                write_result(write, outcome, None)
            });
            print_results(&planned.collect::<Vec<_>>(), arguments, output)?;
            return Ok(ExitStatus::Success);
        }
        write_all(&client, writes, arguments, output).await
    })
}

/// Returns the writes, services first and drains last, so that each reference exists when it is
/// written.
fn plan_writes(resources: Vec<Resource>, view: &PlatformView) -> Vec<PlannedWrite> {
    let mut writes: Vec<PlannedWrite> = resources
        .into_iter()
        .map(|resource| plan_write(resource, view))
        .collect();
    writes.sort_by_key(|write| write_order(write.id.kind));
    writes
}

fn plan_write(resource: Resource, view: &PlatformView) -> PlannedWrite {
    let id = resource.id();
    let current = view.objects.get(&id).cloned();
    let after = to_spec(&resource);
    let change = match &current {
        None => Change::Created {
            fields: changed_fields(&id, &serde_json::Value::Null, &after),
        },
        Some(object) if object.spec == after => Change::Unchanged,
        Some(object) => Change::Updated {
            fields: changed_fields(&id, &object.spec, &after),
        },
    };
    PlannedWrite {
        id,
        resource,
        current,
        change,
    }
}

const fn write_order(kind: ResourceKind) -> u8 {
    match kind {
        ResourceKind::Service => 0,
        ResourceKind::RetryBudget => 1,
        ResourceKind::ClaimGroup => 2,
        ResourceKind::RequestKind => 3,
        ResourceKind::Drain => 4,
    }
}

fn outcome_without_write(change: &Change, otherwise: WriteOutcome) -> WriteOutcome {
    if *change == Change::Unchanged {
        WriteOutcome::Unchanged
    } else {
        otherwise
    }
}

fn write_result(
    write: PlannedWrite,
    outcome: WriteOutcome,
    version: Option<Revision>,
) -> WriteResult {
    WriteResult {
        id: write.id.to_string(),
        change: write.change,
        outcome,
        version: version.map(Revision::number),
    }
}

/// Writes in order until one fails; prints the result of every resource in any case.
async fn write_all(
    client: &Client,
    writes: Vec<PlannedWrite>,
    arguments: &Arguments,
    output: &mut Output,
) -> Result<ExitStatus, CliError> {
    let author = author(arguments);
    let mut results = Vec::new();
    let mut failure = None;
    for write in writes {
        if write.change == Change::Unchanged || failure.is_some() {
            let outcome = outcome_without_write(&write.change, WriteOutcome::NotWritten);
            results.push(write_result(write, outcome, None));
            continue;
        }
        match write_one(client, &write, &author).await {
            Ok(version) => results.push(write_result(write, WriteOutcome::Written, version)),
            Err(PlatformError::Conflict(conflict)) => {
                failure = Some(PlatformError::Conflict(conflict));
                results.push(write_result(write, WriteOutcome::Conflict, None));
            }
            Err(error) => {
                failure = Some(error);
                results.push(write_result(write, WriteOutcome::NotWritten, None));
            }
        }
    }
    print_results(&results, arguments, output)?;
    failure.map_or(Ok(ExitStatus::Success), |error| Err(error.into()))
}

async fn write_one(
    client: &Client,
    write: &PlannedWrite,
    author: &str,
) -> Result<Option<Revision>, PlatformError> {
    let expected = write
        .current
        .as_ref()
        .map_or(Revision::ZERO, |object| object.version);
    let spec = to_spec(&write.resource);
    let request = WriteRequest::put(object_key(&write.id), expected, author, spec);
    let receipt = write_or_report(client, &request, &write.id, write.current.as_ref()).await?;
    Ok(receipt.version)
}

fn print_results(
    results: &[WriteResult],
    arguments: &Arguments,
    output: &mut Output,
) -> Result<(), CliError> {
    if arguments.has("json") {
        return output.write_json(&results);
    }
    for result in results {
        let version = result
            .version
            .map_or_else(String::new, |version| format!(", version {version}"));
        output.write_line(&format!(
            "{}: {}{version}",
            result.id,
            result.outcome.as_str()
        ))?;
        if result.outcome != WriteOutcome::Unchanged {
            output.write_text(&change_lines(&result.change))?;
        }
    }
    Ok(())
}

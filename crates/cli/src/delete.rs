//! `delete`: deletes a resource from the platform by compare-and-swap.

use wharfquay_platform::conversion::object_key;
use wharfquay_platform::wire::Object;
use wharfquay_platform::{Client, WriteRequest};
use wharfquay_resources::kinds::{ResourceId, ResourceKind};
use wharfquay_resources::problem::Finding;
use wharfquay_resources::snapshot::Revision;
use wharfquay_resources::validate::{KnownResources, find_errors};

use crate::arguments::Arguments;
use crate::commands::{CommandSpec, Example, Flag, Positionals};
use crate::connection::{
    AUTHOR, PLATFORM, PlatformView, TIMEOUT, author, block_on, connect, parse_id,
};
use crate::error::{CliError, ExitStatus};
use crate::output::{Output, progress};
use crate::write::write_or_report;

const ALLOWED_VERSION: &str = "the version that `wharfquay get` shows";

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "delete",
    summary: "Delete a resource from the platform",
    details: "\
A resource that others refer to is not deleted. With --expected-version the deletion is refused
when someone changed the resource after that version.",
    positionals: Positionals {
        usage: "KIND NAME",
        minimum: 2,
        maximum: 2,
    },
    flags: &[
        Flag::switch("dry-run", "Show what would be deleted and delete nothing"),
        Flag::switch(
            "force",
            "Delete a claim group, whose epochs a new one would reuse",
        ),
        Flag::with_value(
            "expected-version",
            "N",
            "Version that must be the current one",
        ),
        PLATFORM,
        AUTHOR,
        TIMEOUT,
    ],
    examples: &[
        Example {
            line: "wharfquay delete drain ikeja --platform 127.0.0.1:7000",
            description: "Delete a drain.",
        },
        Example {
            line: "wharfquay delete service export --dry-run --expected-version 12",
            description: "Show whether the deletion would be accepted.",
        },
    ],
    run,
};

fn run(arguments: &Arguments, output: &mut Output) -> Result<ExitStatus, CliError> {
    let words = arguments.positional_texts();
    let id = parse_id(&words[0], &words[1])?;
    let expected: Option<u64> = arguments.value("expected-version", ALLOWED_VERSION)?;
    let client = connect(arguments)?;
    block_on(async {
        let view = PlatformView::read(&client).await?;
        let Some(current) = view.objects.get(&id) else {
            return Err(CliError::NotFound(id.to_string()));
        };
        let references = references_to(&id, &view);
        if !references.is_empty() {
            for finding in references {
                progress(&finding.to_string());
            }
            return Err(CliError::StillReferenced(id.to_string()));
        }
        if id.kind == ResourceKind::ClaimGroup && !arguments.has("force") {
            return Err(CliError::ReusesEpochs(id.to_string()));
        }
        let version = expected.map_or(current.version, Revision::new);
        if arguments.has("dry-run") {
            return dry_run(&id, current, version, output);
        }
        delete(&client, &id, current, version, &author(arguments)).await?;
        output.write_line(&format!("{id}: deleted"))?;
        Ok(ExitStatus::Success)
    })
}

/// Returns the references that would be dangling without the resource.
fn references_to(id: &ResourceId, view: &PlatformView) -> Vec<Finding> {
    let mut rest = view.acceptance.snapshot.clone();
    rest.remove(id);
    let known = KnownResources::of(&rest);
    find_errors(&rest, &known)
}

fn dry_run(
    id: &ResourceId,
    current: &Object,
    expected: Revision,
    output: &mut Output,
) -> Result<ExitStatus, CliError> {
    let found = current.version.number();
    if current.version != expected {
        let line = format!(
            "{id}: would be refused: version {found} by \"{}\" is current, not {}",
            current.author,
            expected.number()
        );
        output.write_line(&line)?;
        return Ok(ExitStatus::ProblemFound);
    }
    output.write_line(&format!(
        "{id}: would be deleted: version {found} by \"{}\"",
        current.author
    ))?;
    Ok(ExitStatus::Success)
}

/// Deletes the resource if `expected` is its current version.
pub(crate) async fn delete(
    client: &Client,
    id: &ResourceId,
    last_read: &Object,
    expected: Revision,
    author: &str,
) -> Result<(), CliError> {
    let request = WriteRequest::delete(object_key(id), expected, author);
    write_or_report(client, &request, id, Some(last_read)).await?;
    Ok(())
}

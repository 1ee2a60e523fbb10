//! `undrain`: deletes the drains of a target.

use wharfquay_platform::wire::Object;
use wharfquay_resources::kinds::{DrainTarget, Resource, ResourceId, ResourceKind};
use wharfquay_resources::spec::read_spec;

use crate::arguments::Arguments;
use crate::commands::{CommandSpec, Example, Flag, Positionals};
use crate::connection::{AUTHOR, PLATFORM, PlatformView, TIMEOUT, author, block_on, connect};
use crate::daemon_status::{DAEMON, daemon_addresses};
use crate::delete::delete;
use crate::drain::follow::follow_until_serving;
use crate::drain::{NO_WAIT, read_target};
use crate::error::{CliError, ExitStatus};
use crate::output::Output;

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "undrain",
    summary: "Delete every drain of a zone, a service or one backend",
    details: "\
Deletes the drain resources with exactly this target. A backend that is leaving for another reason
(the machine list, its own health endpoint, a stop of its daemon, or a drain of another target)
continues to leave. With --daemon the command follows until those daemons serve again, and fails
with exit code 1 when one of them is still leaving after 10 s.",
    positionals: Positionals {
        usage: "zone|service|backend NAME",
        minimum: 2,
        maximum: 2,
    },
    flags: &[
        Flag::switch("dry-run", "Show what would be deleted and delete nothing"),
        NO_WAIT,
        DAEMON,
        PLATFORM,
        AUTHOR,
        TIMEOUT,
    ],
    examples: &[
        Example {
            line: "wharfquay undrain zone ikeja --platform 127.0.0.1:7000",
            description: "Let a zone serve again.",
        },
        Example {
            line: "wharfquay undrain backend booking-1 --dry-run",
            description: "Show which drains would be deleted.",
        },
    ],
    run,
};

fn run(arguments: &Arguments, output: &mut Output) -> Result<ExitStatus, CliError> {
    let target = read_target(arguments)?;
    let daemons = daemon_addresses(arguments)?;
    let client = connect(arguments)?;
    block_on(async {
        let view = PlatformView::read(&client).await?;
        let drains = drains_of(&view, &target);
        if drains.is_empty() {
            return Err(CliError::NotFound(
                arguments.positional_texts().join(" ") + ": a drain with this target",
            ));
        }
        for (id, object) in drains {
            if arguments.has("dry-run") {
                output.write_line(&format!("{id}: would be deleted"))?;
                continue;
            }
            delete(&client, id, object, object.version, &author(arguments)).await?;
            output.write_line(&format!("{id}: deleted"))?;
        }
        let is_followed = !arguments.has("dry-run") && !arguments.has(NO_WAIT.name);
        if daemons.is_empty() || !is_followed {
            return Ok(ExitStatus::Success);
        }
        follow_until_serving(&target, &daemons, output).await
    })
}

/// Returns the drains with this target, whether accepted or rejected.
fn drains_of<'a>(
    view: &'a PlatformView,
    target: &DrainTarget,
) -> Vec<(&'a ResourceId, &'a Object)> {
    let objects = view.objects.iter();
    objects
        .filter(|(id, object)| {
            let is_drain = id.kind == ResourceKind::Drain;
            let resource = read_spec(id.kind, &object.spec);
            is_drain && matches!(resource, Ok(Resource::Drain(drain)) if drain.target == *target)
        })
        .collect()
}

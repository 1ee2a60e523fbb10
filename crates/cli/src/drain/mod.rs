//! `drain` and `undrain`: write or delete a drain of backends, and follow its progress.

mod estimate;
mod follow;
mod undrain;

use std::net::SocketAddr;
use std::time::Duration;

use wharfquay_platform::conversion::object_key;
use wharfquay_platform::{Client, WriteRequest};
use wharfquay_resources::kinds::{Drain, DrainTarget, Resource, ResourceId, ResourceKind};
use wharfquay_resources::problem::{Finding, Severity};
use wharfquay_resources::snapshot::{Revision, Snapshot};
use wharfquay_resources::spec::{read_spec, to_spec};
use wharfquay_resources::validate::validate_snapshot;

use crate::arguments::Arguments;
use crate::commands::{CommandSpec, Example, Flag, Positionals};
use crate::connection::{
    AUTHOR, PLATFORM, PlatformView, TIMEOUT, author, block_on, connect, timeout, with_progress,
};
use crate::daemon_status::{DAEMON, DaemonStatus, daemon_addresses};
use crate::drain::estimate::{Estimate, estimate};
use crate::drain::follow::{FollowOptions, follow_until_empty};
use crate::error::{CliError, ExitStatus};
use crate::output::{Output, progress};
use crate::plan::options::drain_target;
use crate::status::daemons::read_daemons;
use crate::write::write_or_report;

pub(crate) use undrain::COMMAND as UNDRAIN;

const ALLOWED_TARGET: &str = "zone NAME, service NAME or backend ID";
const ALLOWED_LIMIT: &str = "0 to 3600000, in milliseconds";
const DEFAULT_LIMIT_MS: u32 = 30_000;

pub(crate) const NO_WAIT: Flag = Flag::switch("no-wait", "Write and do not follow");

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "drain",
    summary: "Drain a zone, a service or one backend, and follow until it has no call in flight",
    details: "\
Writes a drain resource and follows it until the resource's status shows that every daemon has it
in force and no call is in flight, or until the daemons of --daemon report that. The calls and
limits of those daemons also show whether the remaining backends can carry the load. A drain that
leaves a service without a backend, or with more calls than its limits, is refused without --force.
Following fails with exit code 1 when calls are in flight after the drain's limit.",
    positionals: Positionals {
        usage: "zone|service|backend NAME",
        minimum: 2,
        maximum: 2,
    },
    flags: &[
        Flag::with_value(
            "name",
            "NAME",
            "Name of the drain resource (default: from the target)",
        ),
        Flag::with_value(
            "limit-ms",
            "MS",
            "Time allowed for calls in flight to complete (default: 30000)",
        ),
        Flag::switch(
            "force",
            "Drain even if the remaining backends can't carry the load",
        ),
        Flag::switch("dry-run", "Show the estimate and write nothing"),
        NO_WAIT,
        DAEMON,
        PLATFORM,
        AUTHOR,
        TIMEOUT,
    ],
    examples: &[
        Example {
            line: "wharfquay drain zone ikeja --platform 127.0.0.1:7000",
            description: "Drain a zone and follow until it has no call in flight.",
        },
        Example {
            line: "wharfquay drain backend booking-1 --no-wait",
            description: "Write the drain and do not follow it.",
        },
    ],
    run,
};

/// Reads the status of every daemon and drops those that do not respond.
async fn read_statuses(addresses: &[SocketAddr], timeout: Duration) -> Vec<DaemonStatus> {
    let views = read_daemons(addresses, timeout).await;
    views.into_iter().filter_map(|view| view.status).collect()
}

/// Reads the drain target from the positional arguments.
fn read_target(arguments: &Arguments) -> Result<DrainTarget, CliError> {
    let words = arguments.positional_texts();
    drain_target(&words[0], &words[1]).ok_or_else(|| {
        CliError::invalid_value(
            "target",
            &words.join(" "),
            "not a drain target",
            ALLOWED_TARGET,
        )
    })
}

fn run(arguments: &Arguments, output: &mut Output) -> Result<ExitStatus, CliError> {
    let drain = read_drain(arguments)?;
    let daemons = daemon_addresses(arguments)?;
    let client = connect(arguments)?;
    block_on(async {
        let view = PlatformView::read(&client).await?;
        let machines = with_progress("reading the machine list", client.machines()).await?;
        let snapshot = &view.acceptance.snapshot;
        let statuses = read_statuses(&daemons, timeout(arguments)?).await;
        let estimate = estimate(snapshot, &drain.target, &machines.machines)
            .with_load(&drain.target, &statuses);
        output.write_text(&estimate.render())?;
        check_drain(arguments, snapshot, &drain, &estimate)?;
        if arguments.has("dry-run") {
            return Ok(ExitStatus::Success);
        }
        let version = write_drain(&client, &view, &drain, &author(arguments)).await?;
        let id = Resource::Drain(drain.clone()).id();
        output.write_line(&format!("{id}: written, version {}", version.number()))?;
        if arguments.has(NO_WAIT.name) {
            return Ok(ExitStatus::Success);
        }
        let options = FollowOptions {
            client: &client,
            drain: &drain,
            version,
            daemons,
        };
        follow_until_empty(&options, output).await
    })
}

fn read_drain(arguments: &Arguments) -> Result<Drain, CliError> {
    let target = read_target(arguments)?;
    let limit: Option<u32> = arguments.value("limit-ms", ALLOWED_LIMIT)?;
    let name = arguments.text("name");
    let drain = Drain {
        name: name.unwrap_or_else(|| default_name(&target)),
        target,
        limit_ms: limit.unwrap_or(DEFAULT_LIMIT_MS),
    };
    let spec = to_spec(&Resource::Drain(drain.clone()));
    match read_spec(ResourceKind::Drain, &spec) {
        Ok(_) => Ok(drain),
        Err(findings) => Err(CliError::InvalidResource(join_findings(&findings))),
    }
}

fn join_findings(findings: &[Finding]) -> String {
    let texts: Vec<String> = findings.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// Returns a resource name made from the target; characters that a name can't contain become
/// hyphens.
fn default_name(target: &DrainTarget) -> String {
    let (kind, name) = match target {
        DrainTarget::Backend(name) => ("backend", name),
        DrainTarget::Service(name) => ("service", name),
        DrainTarget::Zone(name) => ("zone", name),
    };
    let sanitized = |character: char| match character.to_ascii_lowercase() {
        allowed @ ('a'..='z' | '0'..='9' | '_' | '-') => allowed,
        _ => '-',
    };
    format!("{kind}-{}", name.chars().map(sanitized).collect::<String>())
}

/// Refuses a drain that is invalid or, without `--force`, leaves a service without enough capacity.
fn check_drain(
    arguments: &Arguments,
    base: &Snapshot,
    drain: &Drain,
    estimate: &Estimate,
) -> Result<(), CliError> {
    let mut snapshot = base.clone();
    snapshot.insert(Resource::Drain(drain.clone()));
    let id = Resource::Drain(drain.clone()).id();
    let findings = validate_snapshot(&snapshot);
    let findings = findings
        .iter()
        .filter(|finding| finding.resource.as_ref() == Some(&id));
    let mut has_error = false;
    for finding in findings {
        progress(&finding.to_string());
        has_error |= finding.severity() == Severity::Error;
    }
    if has_error {
        let id = id.to_string();
        return Err(CliError::InvalidDrain(id));
    }
    if arguments.has("force") {
        return Ok(());
    }
    let emptied = estimate.emptied_services();
    if !emptied.is_empty() {
        return Err(CliError::LeavesNoBackend(emptied.join(", ")));
    }
    let overloaded = estimate.overloaded_services();
    if !overloaded.is_empty() {
        return Err(CliError::LeavesOverload(overloaded.join(", ")));
    }
    Ok(())
}

/// Writes the drain unless the platform already holds it unchanged; returns its version.
async fn write_drain(
    client: &Client,
    view: &PlatformView,
    drain: &Drain,
    author: &str,
) -> Result<Revision, CliError> {
    let resource = Resource::Drain(drain.clone());
    let id: ResourceId = resource.id();
    let current = view.objects.get(&id);
    let spec = to_spec(&resource);
    if let Some(current) = current.filter(|object| object.spec == spec) {
        return Ok(current.version);
    }
    let expected = current.map_or(Revision::ZERO, |object| object.version);
    let request = WriteRequest::put(object_key(&id), expected, author, spec);
    let receipt = write_or_report(client, &request, &id, current).await?;
    Ok(receipt.version.unwrap_or(expected))
}

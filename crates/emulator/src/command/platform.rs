//! Runs the emulated platform as a process.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::Parser;
use wharfquay_core::time::Timestamp;
use wharfquay_platform::wire::Machine;
use wharfquay_resources::kinds::Resource;
use wharfquay_resources::parse::{SourceFile, parse};

use super::{usage_error, wait_for_shutdown_signal};
use crate::arguments::{self, ArgumentError, Command};
use crate::platform::{PlatformSettings, start};

/// Usage text, printed for `--help` and after an argument error.
pub(super) const USAGE: &str = "\
wharfquay-emulator platform --listen IP:PORT [--load FILE.resources.toml]… [--machines FILE.json]

Serves the object API, leases and the machine list from memory, initially with the
specified resources and machines. PUT /v1/faults sets the injected faults.

Example:
  wharfquay-emulator platform --listen 127.0.0.1:7100 --load scenarios/lagos.resources.toml
";

/// Parsed command line.
pub(super) struct PlatformArguments {
    listen: SocketAddr,
    files: Vec<PathBuf>,
    machines: Option<PathBuf>,
}

#[derive(Default)]
struct RawArguments {
    listen: Option<SocketAddr>,
    files: Vec<PathBuf>,
    machines: Option<PathBuf>,
}

pub(super) fn parse_arguments(parser: Parser) -> Result<Command<PlatformArguments>, ArgumentError> {
    arguments::read(parser, RawArguments::default(), read_option)?.try_map(platform_arguments)
}

fn read_option(
    parser: &mut Parser,
    name: &str,
    raw: &mut RawArguments,
) -> Result<(), ArgumentError> {
    match name {
        "listen" => raw.listen = Some(arguments::address(parser, "listen")?),
        "load" => raw.files.push(PathBuf::from(parser.value()?)),
        "machines" => raw.machines = Some(PathBuf::from(parser.value()?)),
        other => return Err(arguments::unknown_option(other)),
    }
    Ok(())
}

fn platform_arguments(raw: RawArguments) -> Result<PlatformArguments, ArgumentError> {
    Ok(PlatformArguments {
        listen: raw.listen.ok_or(ArgumentError::Missing("listen"))?,
        files: raw.files,
        machines: raw.machines,
    })
}

pub(super) async fn run(arguments: PlatformArguments) -> ExitCode {
    let resources = match load_resources(&arguments.files) {
        Ok(resources) => resources,
        Err(message) => return usage_error(&message, USAGE),
    };
    let machines = match load_machines(arguments.machines.as_deref()) {
        Ok(machines) => machines,
        Err(message) => return usage_error(&message, USAGE),
    };
    let settings = PlatformSettings {
        resources,
        ..PlatformSettings::new(arguments.listen)
    };
    let platform = match start(settings).await {
        Ok(platform) => platform,
        Err(error) => return usage_error(&error, USAGE),
    };
    platform.with_store(|store| {
        for machine in machines {
            store.machines.put(Timestamp::ZERO, machine);
        }
    });
    wait_for_shutdown_signal().await;
    platform.shutdown().await;
    ExitCode::SUCCESS
}

fn load_machines(file: Option<&Path>) -> Result<Vec<Machine>, String> {
    let Some(file) = file else {
        return Ok(Vec::new());
    };
    let failed = |error: &dyn Display| format!("{}: {error}", file.display());
    let text = std::fs::read(file).map_err(|error| failed(&error))?;
    serde_json::from_slice(&text).map_err(|error| failed(&error))
}

/// Returns the resources of all files, or a message with every problem in them.
fn load_resources(files: &[PathBuf]) -> Result<Vec<Resource>, String> {
    let mut sources = Vec::with_capacity(files.len());
    for file in files {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
        sources.push(SourceFile { name, text });
    }
    let parsed = parse(&sources);
    if parsed.has_errors() {
        let problems = parsed.problems.iter().map(ToString::to_string);
        return Err(problems.collect::<Vec<_>>().join("\n"));
    }
    Ok(parsed.resources)
}

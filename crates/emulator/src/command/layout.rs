//! Writes the files that are needed to start a deployment as separate processes.

use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::Parser;

use super::usage_error;
use crate::arguments::{self, ArgumentError, Command};
use crate::demo::layout::{Layout, Ports};
use crate::scenario::Scenario;

/// Usage text, printed for `--help` and after an argument error.
pub(super) const USAGE: &str = "\
wharfquay-emulator layout --scenario NAME|FILE --base-port N --directory DIR

Writes the settings file of each daemon, the machine list (machines.json) and the list of
processes (layout) of a deployment on consecutive loopback ports. Lines of the list:
  platform ADDRESS | backend ID SERVICE ADDRESS OUTBOUND | daemon ID FILE
  edges ADDRESS,… | admins ADDRESS,… | backends ADDRESS,…

Example:
  wharfquay-emulator layout --scenario lagos --base-port 21000 --directory /tmp/lagos
";

/// Name of the file with the list of processes.
const PROCESS_LIST_FILE: &str = "layout";
/// Name of the file with the machine list.
const MACHINES_FILE: &str = "machines.json";
const PORT_RANGE: &str = "1024 to 60000";

/// Parsed command line.
pub(super) struct LayoutArguments {
    scenario: Scenario,
    base_port: u16,
    directory: PathBuf,
}

#[derive(Default)]
struct RawArguments {
    scenario: Option<String>,
    base_port: Option<f64>,
    directory: Option<PathBuf>,
}

pub(super) fn parse_arguments(parser: Parser) -> Result<Command<LayoutArguments>, ArgumentError> {
    arguments::read(parser, RawArguments::default(), read_option)?.try_map(layout_arguments)
}

fn read_option(
    parser: &mut Parser,
    name: &str,
    raw: &mut RawArguments,
) -> Result<(), ArgumentError> {
    match name {
        "scenario" => raw.scenario = Some(arguments::text(parser)?),
        "base-port" => {
            let range = 1_024.0..=60_000.0;
            raw.base_port = Some(arguments::number_in(
                parser,
                "base-port",
                range,
                PORT_RANGE,
            )?);
        }
        "directory" => raw.directory = Some(PathBuf::from(parser.value()?)),
        other => return Err(arguments::unknown_option(other)),
    }
    Ok(())
}

fn layout_arguments(raw: RawArguments) -> Result<LayoutArguments, ArgumentError> {
    let scenario = raw.scenario.ok_or(ArgumentError::Missing("scenario"))?;
    let base_port = raw.base_port;
    Ok(LayoutArguments {
        scenario: arguments::scenario(&scenario)?,
        base_port: base_port.ok_or(ArgumentError::Missing("base-port"))? as u16,
        directory: raw.directory.ok_or(ArgumentError::Missing("directory"))?,
    })
}

pub(super) fn run(arguments: &LayoutArguments) -> ExitCode {
    let layout = Layout::new(&arguments.scenario, Ports::From(arguments.base_port));
    match write_files(&layout, &arguments.directory) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => usage_error(
            &format!("{}: {error}", arguments.directory.display()),
            USAGE,
        ),
    }
}

fn write_files(layout: &Layout, directory: &Path) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let mut machines = Vec::new();
    let mut daemons = Vec::new();
    for placement in &layout.backends {
        let file = settings_file(directory, &placement.id);
        std::fs::write(&file, placement.daemon_settings(layout.platform))?;
        daemons.push((placement.id.as_str(), file));
        machines.push(placement.machine());
    }
    for placement in &layout.edges {
        let file = settings_file(directory, &placement.id);
        std::fs::write(&file, placement.daemon_settings(layout.platform))?;
        daemons.push((placement.id.as_str(), file));
        machines.push(placement.machine());
    }
    let machines = serde_json::to_vec(&machines).map_err(io::Error::other)?;
    std::fs::write(directory.join(MACHINES_FILE), machines)?;
    std::fs::write(directory.join(PROCESS_LIST_FILE), list(layout, &daemons))
}

fn settings_file(directory: &Path, id: &str) -> PathBuf {
    directory.join(format!("{id}.toml"))
}

fn list(layout: &Layout, daemons: &[(&str, PathBuf)]) -> String {
    let mut text = format!("platform {}\n", layout.platform);
    // Writing to a String can't fail.
    for placement in &layout.backends {
        let (id, service) = (&placement.id, &placement.service);
        let (listen, outbound) = (placement.backend, placement.outbound);
        let _ = writeln!(text, "backend {id} {service} {listen} {outbound}");
    }
    for (id, file) in daemons {
        let _ = writeln!(text, "daemon {id} {}", file.display());
    }
    let edges = layout.edges.iter();
    let backends = layout.backends.iter();
    let admins = backends.clone().map(|placement| placement.admin);
    let admins = admins.chain(edges.clone().map(|placement| placement.admin));
    let _ = writeln!(
        text,
        "edges {}",
        joined(edges.map(|placement| placement.edge))
    );
    let _ = writeln!(text, "admins {}", joined(admins));
    let _ = writeln!(
        text,
        "backends {}",
        joined(backends.map(|placement| placement.backend))
    );
    text
}

fn joined(addresses: impl Iterator<Item = SocketAddr>) -> String {
    let texts: Vec<_> = addresses.map(|address| address.to_string()).collect();
    texts.join(",")
}

//! Writes the files from which a deployment is started as separate processes.

use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::Parser;

use super::bad_use;
use crate::arguments::{self, ArgumentError, Command};
use crate::demo::layout::{Layout, Ports};
use crate::scenario::Scenario;

/// Usage of the command.
pub(super) const USAGE: &str = "\
wharfquay-emulator layout --scenario NAME|FILE --base-port N --directory DIR

Writes the settings file of each daemon, the machine list (machines.json) and the list of
processes (layout) of a deployment on consecutive loopback ports. Lines of the list:
  platform ADDRESS | backend ID SERVICE ADDRESS OUTBOUND | daemon ID FILE
  edges ADDRESS,… | admins ADDRESS,… | backends ADDRESS,…

Example:
  wharfquay-emulator layout --scenario lagos --base-port 21000 --directory /tmp/lagos
";

/// File with the list of processes.
const LIST_FILE: &str = "layout";
/// File with the machine list.
const MACHINES_FILE: &str = "machines.json";
const PORT: &str = "1024 to 60000";

/// What the command line asks for.
pub(super) struct LayoutArguments {
    scenario: Scenario,
    base_port: u16,
    directory: PathBuf,
}

#[derive(Default)]
struct Given {
    scenario: Option<String>,
    base_port: Option<f64>,
    directory: Option<PathBuf>,
}

pub(super) fn parse_arguments(parser: Parser) -> Result<Command<LayoutArguments>, ArgumentError> {
    arguments::read(parser, Given::default(), read_option)?.try_map(layout_arguments)
}

fn read_option(parser: &mut Parser, name: &str, given: &mut Given) -> Result<(), ArgumentError> {
    match name {
        "scenario" => given.scenario = Some(arguments::text(parser)?),
        "base-port" => {
            let range = 1_024.0..=60_000.0;
            given.base_port = Some(arguments::number_in(parser, "base-port", range, PORT)?);
        }
        "directory" => given.directory = Some(PathBuf::from(parser.value()?)),
        other => return Err(arguments::unknown_option(other)),
    }
    Ok(())
}

fn layout_arguments(given: Given) -> Result<LayoutArguments, ArgumentError> {
    let scenario = given.scenario.ok_or(ArgumentError::Missing("scenario"))?;
    let base_port = given.base_port;
    Ok(LayoutArguments {
        scenario: arguments::scenario(&scenario)?,
        base_port: base_port.ok_or(ArgumentError::Missing("base-port"))? as u16,
        directory: given.directory.ok_or(ArgumentError::Missing("directory"))?,
    })
}

pub(super) fn run(arguments: &LayoutArguments) -> ExitCode {
    let layout = Layout::new(&arguments.scenario, Ports::From(arguments.base_port));
    match write_files(&layout, &arguments.directory) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => bad_use(
            &format!("{}: {error}", arguments.directory.display()),
            USAGE,
        ),
    }
}

fn write_files(layout: &Layout, directory: &Path) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let mut machines = Vec::new();
    let mut daemons = Vec::new();
    for place in &layout.backends {
        let file = settings_file(directory, &place.id);
        std::fs::write(&file, place.daemon_settings(layout.platform))?;
        daemons.push((place.id.as_str(), file));
        machines.push(place.machine());
    }
    for place in &layout.edges {
        let file = settings_file(directory, &place.id);
        std::fs::write(&file, place.daemon_settings(layout.platform))?;
        daemons.push((place.id.as_str(), file));
        machines.push(place.machine());
    }
    let machines = serde_json::to_vec(&machines).map_err(io::Error::other)?;
    std::fs::write(directory.join(MACHINES_FILE), machines)?;
    std::fs::write(directory.join(LIST_FILE), list(layout, &daemons))
}

fn settings_file(directory: &Path, id: &str) -> PathBuf {
    directory.join(format!("{id}.toml"))
}

fn list(layout: &Layout, daemons: &[(&str, PathBuf)]) -> String {
    let mut text = format!("platform {}\n", layout.platform);
    // Writing to a String can't fail.
    for place in &layout.backends {
        let (id, service) = (&place.id, &place.service);
        let (listen, outbound) = (place.backend, place.outbound);
        let _ = writeln!(text, "backend {id} {service} {listen} {outbound}");
    }
    for (id, file) in daemons {
        let _ = writeln!(text, "daemon {id} {}", file.display());
    }
    let edges = layout.edges.iter();
    let backends = layout.backends.iter();
    let admins = backends.clone().map(|place| place.admin);
    let admins = admins.chain(edges.clone().map(|place| place.admin));
    let _ = writeln!(text, "edges {}", joined(edges.map(|place| place.edge)));
    let _ = writeln!(text, "admins {}", joined(admins));
    let _ = writeln!(
        text,
        "backends {}",
        joined(backends.map(|place| place.backend))
    );
    text
}

fn joined(addresses: impl Iterator<Item = SocketAddr>) -> String {
    let texts: Vec<_> = addresses.map(|address| address.to_string()).collect();
    texts.join(",")
}

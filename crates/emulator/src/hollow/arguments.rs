//! Command line of the hollow daemons.

use std::net::SocketAddr;

use lexopt::Arg;

use super::{HollowSettings, WatchedMember};
use crate::arguments::{self, ArgumentError, Command};

/// Usage of the command.
pub const USAGE: &str = "\
wharfquay-emulator hollow --daemons N --listen IP:PORT [--zones Z | --zone NAME] [--prefix TEXT]
    [--seeds IP:PORT,…] [--platform IP:PORT,…] [--watch ZONE/ID]

Hosts N daemons without a call path in one process: each has the membership and configuration relay
of a real daemon, its own sockets and its own timers. They take N ports from IP:PORT on.

  --daemons N        number of daemons, 1 to 20000
  --listen IP:PORT   control address of the first one, on loopback
  --zones Z          spread over zone-0 to zone-(Z-1), 1 to 100 (default 1)
  --zone NAME        all in this zone
  --prefix TEXT      start of the ids (default hollow)
  --seeds LIST       control addresses of daemons to contact at the start
  --platform LIST    addresses of the object API, for daemons that become readers
  --watch ZONE/ID    note when this member is seen leaving

Prints \"ready\" when all sockets are bound. SIGUSR1 prints a report as one JSON line, SIGUSR2 lets
the first daemon leave, SIGTERM prints a last report and ends.

Example:
  wharfquay-emulator hollow --daemons 100 --zones 4 --listen 127.0.0.2:20000 \\
      --seeds 127.0.0.2:20000 --platform 127.0.0.1:7100
";

const DAEMONS: &str = "1 to 20000";
const ZONES: &str = "1 to 100";

#[derive(Default)]
struct Given {
    daemons: Option<u16>,
    listen: Option<SocketAddr>,
    zones: Option<Vec<String>>,
    prefix: Option<String>,
    seeds: Vec<SocketAddr>,
    platform: Vec<SocketAddr>,
    watched: Option<WatchedMember>,
}

/// Reads the command line.
///
/// # Errors
/// [`ArgumentError`] names the option, what was given and what is allowed.
pub fn parse(mut parser: lexopt::Parser) -> Result<Command<HollowSettings>, ArgumentError> {
    let mut given = Given::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long(name) => {
                let name = name.to_owned();
                read_option(&mut parser, &name, &mut given)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    settings(given).map(Command::Run)
}

fn read_option(
    parser: &mut lexopt::Parser,
    name: &str,
    given: &mut Given,
) -> Result<(), ArgumentError> {
    match name {
        "daemons" => {
            let number = arguments::number_in(parser, "daemons", 1.0..=20_000.0, DAEMONS)?;
            given.daemons = Some(number as u16);
        }
        "listen" => given.listen = Some(arguments::value(parser, "listen", "ip:port")?),
        "zones" => {
            let count = arguments::number_in(parser, "zones", 1.0..=100.0, ZONES)? as u16;
            given.zones = Some((0..count).map(|zone| format!("zone-{zone}")).collect());
        }
        "zone" => given.zones = Some(vec![arguments::text(parser)?]),
        "prefix" => given.prefix = Some(arguments::text(parser)?),
        "seeds" => given.seeds = arguments::addresses("seeds", &arguments::text(parser)?)?,
        "platform" => given.platform = arguments::addresses("platform", &arguments::text(parser)?)?,
        "watch" => given.watched = Some(watched(arguments::text(parser)?)?),
        other => return Err(lexopt::Error::UnexpectedOption(format!("--{other}")).into()),
    }
    Ok(())
}

fn watched(given: String) -> Result<WatchedMember, ArgumentError> {
    match given.split_once('/') {
        Some((zone, id)) => Ok(WatchedMember {
            zone: zone.to_owned(),
            id: id.to_owned(),
        }),
        None => Err(ArgumentError::Value {
            option: "watch",
            given,
            problem: "no slash".to_owned(),
            allowed: "ZONE/ID",
        }),
    }
}

fn settings(given: Given) -> Result<HollowSettings, ArgumentError> {
    let daemons = given.daemons.ok_or(ArgumentError::Missing("daemons"))?;
    let listen = given.listen.ok_or(ArgumentError::Missing("listen"))?;
    check_listen(listen, daemons)?;
    Ok(HollowSettings {
        daemons,
        zones: given.zones.unwrap_or_else(|| vec!["zone-0".to_owned()]),
        listen,
        prefix: given.prefix.unwrap_or_else(|| "hollow".to_owned()),
        seeds: given.seeds,
        platform: given.platform,
        watched: given.watched,
    })
}

fn check_listen(listen: SocketAddr, daemons: u16) -> Result<(), ArgumentError> {
    let refused = |problem: &str| ArgumentError::Value {
        option: "listen",
        given: listen.to_string(),
        problem: problem.to_owned(),
        allowed: "a loopback address whose port leaves room for all daemons, from 1024 on",
    };
    if !listen.ip().is_loopback() {
        return Err(refused("not a loopback address"));
    }
    if listen.port() < 1_024 || listen.port().checked_add(daemons - 1).is_none() {
        return Err(refused("no room for the ports"));
    }
    Ok(())
}

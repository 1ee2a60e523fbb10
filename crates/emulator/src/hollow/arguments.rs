//! Command line of the hollow daemons.

use std::net::SocketAddr;

use lexopt::Parser;

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
pub fn parse(parser: Parser) -> Result<Command<HollowSettings>, ArgumentError> {
    arguments::read(parser, Given::default(), read_option)?.try_map(settings)
}

fn read_option(parser: &mut Parser, name: &str, given: &mut Given) -> Result<(), ArgumentError> {
    match name {
        "daemons" => {
            let number = arguments::number_in(parser, "daemons", 1.0..=20_000.0, DAEMONS)?;
            given.daemons = Some(number as u16);
        }
        "listen" => given.listen = Some(arguments::address(parser, "listen")?),
        "zones" => {
            let count = arguments::number_in(parser, "zones", 1.0..=100.0, ZONES)? as u16;
            given.zones = Some((0..count).map(|zone| format!("zone-{zone}")).collect());
        }
        "zone" => given.zones = Some(vec![arguments::text(parser)?]),
        "prefix" => given.prefix = Some(arguments::text(parser)?),
        "seeds" => given.seeds = arguments::address_list(parser, "seeds")?,
        "platform" => given.platform = arguments::address_list(parser, "platform")?,
        "watch" => given.watched = Some(watched(arguments::text(parser)?)?),
        other => return Err(arguments::unknown_option(other)),
    }
    Ok(())
}

fn watched(given: String) -> Result<WatchedMember, ArgumentError> {
    match given.split_once('/') {
        Some((zone, id)) => Ok(WatchedMember {
            zone: zone.to_owned(),
            id: id.to_owned(),
        }),
        None => Err(arguments::invalid("watch", given, "no slash", "ZONE/ID")),
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
    let allowed = "a loopback address whose port leaves room for all daemons, from 1024 on";
    let refused = |problem| arguments::invalid("listen", listen.to_string(), problem, allowed);
    if !listen.ip().is_loopback() {
        return Err(refused("not a loopback address"));
    }
    if listen.port() < 1_024 || listen.port().checked_add(daemons - 1).is_none() {
        return Err(refused("no room for the ports"));
    }
    Ok(())
}

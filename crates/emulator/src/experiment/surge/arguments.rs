//! Command line of `experiment surge`.

use std::ffi::OsString;
use std::path::Path;
use std::time::Duration;

use wharfquay_core::admission::{LimitAlgorithm, QueueDiscipline};

use crate::arguments::{ArgumentError, Command, invalid, read, text, unknown_option, value};
use crate::scenario::Scenario;
use crate::simulator::call_path::policy::{Policy, RankSource};
use crate::simulator::call_path::settings::{
    Announcement, AnnouncingBackends, RunSettings, SlowService,
};

/// The usage text.
pub const USAGE: &str = "\
usage: wharfquay experiment surge --scenario NAME|FILE [options]

  --scenario NAME|FILE   lagos, gujarat or a scenario file
  --factor F             factor on the arrivals during the surge (2)
  --seed N               seed of arrivals, work and faults (1)
  --seeds N              number of consecutive seeds, from --seed on; above 1 prints a JSON summary (1)
  --before S             seconds before the surge (5)
  --seconds S            seconds of the surge (10)
  --after S              seconds after the surge (10)
  --slow SERVICE=F       makes a service slow during the surge; may be repeated
  --limit SERVICE=COURSE[:N]  N backends (1) announce a rate limit during the surge: low, fraction,
                         falling, rising, lifted or garbled; may be repeated
  --leave SERVICE[:N]    N backends (1) announce during the surge that they are leaving; may be repeated
  --policy P             wharfquay, none, static, oracle or all (all)
  --json                 prints JSON
  --services             lists services and priorities in the table too
  --lost-requests SHARE  share of connections lost before the daemon is reached (0)
  --lost-answers SHARE   share of connections lost before the response arrives (0)
  --kills N              number of times that a backend is killed and restarted (0)

Alternatives to wharfquay's mechanisms:
  --algorithm A          fixed, aimd, gradient or queue-delay
  --discipline D         priority, fifo or lifo
  --rank R               origin, per-hop or constant
  --no-folding           callers and edges don't refuse early
  --no-reserve           no slots are kept for calls that are refused elsewhere
  --no-level             daemons keep their admission level open
  --reported-slots F     slots that daemons assume, as a multiple of the true ones (1)
";

/// The parsed command line.
#[derive(Clone, Debug)]
pub struct SurgeSettings {
    /// The scenario.
    pub scenario: Scenario,
    /// Settings of the runs; the policy is replaced by each of `policies`.
    pub run: RunSettings,
    /// The policies to run.
    pub policies: Vec<Policy>,
    /// True to print JSON instead of a table.
    pub json: bool,
    /// Number of consecutive seeds to run; above one only a summary is printed.
    pub seeds: u64,
    /// True to list services and priorities in the table too.
    pub services: bool,
}

/// Raw arguments: the options read so far, before validation.
struct RawArguments {
    scenario: Option<Scenario>,
    run: RunSettings,
    policies: Vec<Policy>,
    json: bool,
    seeds: u64,
    services: bool,
}

/// Parses the command line.
///
/// # Errors
/// Returns an [`ArgumentError`] that names the option, its value and the allowed values.
pub fn parse(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<Command<SurgeSettings>, ArgumentError> {
    let parser = lexopt::Parser::from_args(arguments);
    let defaults = RawArguments {
        scenario: None,
        run: RunSettings::new(Policy::Wharfquay, 2.0, 1),
        policies: parse_policies("all".to_owned())?,
        json: false,
        seeds: 1,
        services: false,
    };
    read(parser, defaults, read_option)?.try_map(settings)
}

fn read_option(
    parser: &mut lexopt::Parser,
    name: &str,
    raw: &mut RawArguments,
) -> Result<(), ArgumentError> {
    match name {
        "scenario" => raw.scenario = Some(load_scenario(&text(parser)?)?),
        "policy" => raw.policies = parse_policies(text(parser)?)?,
        "json" => raw.json = true,
        "seeds" => raw.seeds = value(parser, "seeds", "1 or more")?,
        "services" => raw.services = true,
        _ => return run_option(parser, name, &mut raw.run),
    }
    Ok(())
}

fn settings(raw: RawArguments) -> Result<SurgeSettings, ArgumentError> {
    let scenario = raw.scenario.ok_or(ArgumentError::Missing("scenario"))?;
    check_services(&scenario, &raw.run)?;
    Ok(SurgeSettings {
        scenario,
        run: raw.run,
        policies: raw.policies,
        json: raw.json,
        seeds: raw.seeds,
        services: raw.services,
    })
}

fn run_option(
    parser: &mut lexopt::Parser,
    name: &str,
    run: &mut RunSettings,
) -> Result<(), ArgumentError> {
    match name {
        "factor" => run.factor = number(parser, "factor", 0.0, 1_000.0)?,
        "seed" => run.seed = value(parser, "seed", "a whole number of 64 bits")?,
        "before" => run.before = seconds(parser, "before")?,
        "seconds" => run.surge = seconds(parser, "seconds")?,
        "after" => run.after = seconds(parser, "after")?,
        "slow" => run.slow.push(parse_slow(text(parser)?)?),
        "limit" => run.announcing.push(parse_limit(text(parser)?)?),
        "leave" => run.announcing.push(parse_leave(text(parser)?)?),
        "lost-requests" => {
            run.faults.lost_requests = number(parser, "lost-requests", 0.0, 1.0)?;
        }
        "lost-answers" => run.faults.lost_responses = number(parser, "lost-answers", 0.0, 1.0)?,
        "kills" => run.faults.kills = value(parser, "kills", "0 or more")?,
        _ => return mechanism_option(parser, name, run),
    }
    Ok(())
}

fn mechanism_option(
    parser: &mut lexopt::Parser,
    name: &str,
    run: &mut RunSettings,
) -> Result<(), ArgumentError> {
    let mechanisms = &mut run.mechanisms;
    match name {
        "algorithm" => {
            mechanisms.admission.algorithm = parse_choice(parser, "algorithm", &ALGORITHMS)?;
        }
        "discipline" => {
            mechanisms.admission.discipline = parse_choice(parser, "discipline", &DISCIPLINES)?;
        }
        "rank" => mechanisms.rank = parse_choice(parser, "rank", &RANKS)?,
        "no-folding" => mechanisms.propagate_levels = false,
        "no-reserve" => mechanisms.admission.reserve = false,
        "no-level" => mechanisms.admission.adaptive_level = false,
        "reported-slots" => {
            mechanisms.reported_slots = number(parser, "reported-slots", 0.01, 100.0)?;
        }
        other => return Err(unknown_option(other)),
    }
    Ok(())
}

/// The values of an option by name, and their list for error messages.
struct Choices<T: 'static> {
    values: &'static [(&'static str, T)],
    allowed: &'static str,
}

const ALGORITHMS: Choices<LimitAlgorithm> = Choices {
    values: &[
        ("fixed", LimitAlgorithm::Fixed),
        ("aimd", LimitAlgorithm::Aimd),
        ("gradient", LimitAlgorithm::Gradient),
        ("queue-delay", LimitAlgorithm::QueueDelay),
    ],
    allowed: "fixed, aimd, gradient, queue-delay",
};
const DISCIPLINES: Choices<QueueDiscipline> = Choices {
    values: &[
        ("priority", QueueDiscipline::Priority),
        ("fifo", QueueDiscipline::Fifo),
        ("lifo", QueueDiscipline::Lifo),
    ],
    allowed: "priority, fifo, lifo",
};
const RANKS: Choices<RankSource> = Choices {
    values: &[
        ("origin", RankSource::Origin),
        ("per-hop", RankSource::PerHop),
        ("constant", RankSource::Constant),
    ],
    allowed: "origin, per-hop, constant",
};

fn parse_choice<T: Copy>(
    parser: &mut lexopt::Parser,
    option: &'static str,
    choices: &Choices<T>,
) -> Result<T, ArgumentError> {
    let input = text(parser)?;
    let found = choices.values.iter().find(|(name, _)| *name == input);
    found
        .map(|&(_, value)| value)
        .ok_or_else(|| invalid(option, input, "unknown", choices.allowed))
}

fn parse_policies(input: String) -> Result<Vec<Policy>, ArgumentError> {
    match input.as_str() {
        "all" => Ok(vec![Policy::Wharfquay, Policy::Static, Policy::None]),
        "wharfquay" => Ok(vec![Policy::Wharfquay]),
        "static" => Ok(vec![Policy::Static]),
        "none" => Ok(vec![Policy::None]),
        "oracle" => Ok(Vec::new()),
        _ => Err(invalid(
            "policy",
            input,
            "unknown",
            "wharfquay, none, static, oracle, all",
        )),
    }
}

fn load_scenario(name: &str) -> Result<Scenario, ArgumentError> {
    let path = Path::new(name);
    let scenario = if path.exists() {
        Scenario::load(path)
    } else {
        Scenario::builtin(name)
    };
    Ok(scenario?)
}

fn parse_slow(input: String) -> Result<SlowService, ArgumentError> {
    let allowed = "SERVICE=FACTOR with a factor from 0.1 to 1000";
    let parsed = input.split_once('=').and_then(|(service, factor)| {
        let factor: f64 = factor.parse().ok()?;
        (0.1..=1_000.0).contains(&factor).then(|| SlowService {
            service: service.to_owned(),
            factor,
        })
    });
    parsed.ok_or_else(|| invalid("slow", input, "malformed", allowed))
}

fn parse_limit(input: String) -> Result<AnnouncingBackends, ArgumentError> {
    let parsed = input.split_once('=').and_then(|(service, limit)| {
        let (course, backends) = split_count(limit)?;
        let course = course.parse().ok()?;
        Some((service.to_owned(), backends, course))
    });
    let malformed = || {
        let allowed = "SERVICE=COURSE[:N] with low, fraction, falling, rising, lifted or garbled";
        invalid("limit", input, "malformed", allowed)
    };
    let (service, backends, course) = parsed.ok_or_else(malformed)?;
    Ok(AnnouncingBackends {
        service,
        backends,
        announcement: Announcement::RateLimit(course),
    })
}

fn parse_leave(input: String) -> Result<AnnouncingBackends, ArgumentError> {
    let Some((service, backends)) = split_count(&input) else {
        return Err(invalid("leave", input, "malformed", "SERVICE[:N]"));
    };
    Ok(AnnouncingBackends {
        service: service.to_owned(),
        backends,
        announcement: Announcement::Leaving,
    })
}

/// Splits `NAME:N`; without a number it is one.
fn split_count(text: &str) -> Option<(&str, usize)> {
    match text.split_once(':') {
        Some((name, count)) => Some((name, count.parse().ok()?)),
        None => Some((text, 1)),
    }
}

/// Checks that the scenario has every service that an option names.
fn check_services(scenario: &Scenario, run: &RunSettings) -> Result<(), ArgumentError> {
    let slow = run.slow.iter().map(|slow| ("slow", &slow.service));
    let announcing = run.announcing.iter().map(|announcing| {
        let option = match announcing.announcement {
            Announcement::RateLimit(_) => "limit",
            Announcement::Leaving => "leave",
        };
        (option, &announcing.service)
    });
    let mut named = slow.chain(announcing);
    let unknown = named.find(|(_, service)| scenario.service(service).is_none());
    unknown.map_or(Ok(()), |(option, service)| {
        let input = service.clone();
        Err(invalid(
            option,
            input,
            "no such service",
            "a listed service",
        ))
    })
}

fn number(
    parser: &mut lexopt::Parser,
    option: &'static str,
    min: f64,
    max: f64,
) -> Result<f64, ArgumentError> {
    let input: f64 = value(parser, option, "a number")?;
    if (min..=max).contains(&input) {
        return Ok(input);
    }
    let problem = format!("not in {min} to {max}");
    Err(invalid(option, input.to_string(), problem, "see --help"))
}

fn seconds(parser: &mut lexopt::Parser, option: &'static str) -> Result<Duration, ArgumentError> {
    number(parser, option, 0.1, 3_600.0).map(Duration::from_secs_f64)
}

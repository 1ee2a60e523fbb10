//! Command line of `experiment surge`.

use std::ffi::OsString;
use std::path::Path;
use std::time::Duration;

use wharfquay_core::admission::{LimitAlgorithm, QueueDiscipline};

use crate::arguments::{ArgumentError, Command, invalid, read, text, unknown_option, value};
use crate::scenario::Scenario;
use crate::simulator::call_path::policy::{Policy, RankMode};
use crate::simulator::call_path::settings::{RunSettings, SlowService};

/// The usage text.
pub const USAGE: &str = "\
usage: wharfquay experiment surge --scenario NAME|FILE [options]

  --scenario NAME|FILE   lagos, gujarat or a scenario file
  --factor F             factor on the arrivals during the surge (2)
  --seed N               seed of arrivals, work and faults (1)
  --seeds N              runs seeds from --seed on, in parallel, and prints a JSON summary (1)
  --before S             seconds before the surge (5)
  --seconds S            seconds of the surge (10)
  --after S              seconds after the surge (10)
  --slow SERVICE=F       makes a service slow during the surge; may be repeated
  --policy P             wharfquay, none, static, oracle or all (all)
  --json                 prints JSON
  --services             lists services and priorities in the table too
  --lost-requests SHARE  connections lost before the daemon is reached (0)
  --lost-answers SHARE   connections lost before the answer arrives (0)
  --kills N              back ends killed and started again (0)

Rivals of wharfquay's mechanisms:
  --algorithm A          fixed, aimd, gradient or queue-delay
  --discipline D         priority, fifo or lifo
  --rank R               origin, per-hop or constant
  --no-folding           callers and edges don't refuse early
  --no-reserve           no slots are kept for calls that are refused elsewhere
  --no-level             back ends keep their admission level open
  --reported-slots F     slots that the daemons are told, as a multiple of the true ones (1)
";

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct SurgeSettings {
    /// The scenario.
    pub scenario: Scenario,
    /// The run, but for its policy.
    pub run: RunSettings,
    /// The policies to run.
    pub policies: Vec<Policy>,
    /// Whether to print JSON.
    pub json: bool,
    /// Consecutive seeds to run; above one only a summary is printed.
    pub seeds: u64,
    /// Whether the table lists services too.
    pub services: bool,
}

struct Given {
    scenario: Option<Scenario>,
    run: RunSettings,
    policies: Vec<Policy>,
    json: bool,
    seeds: u64,
    services: bool,
}

/// Reads the command line.
///
/// # Errors
/// [`ArgumentError`] that names the option, what was given and what is allowed.
pub fn parse(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<Command<SurgeSettings>, ArgumentError> {
    let parser = lexopt::Parser::from_args(arguments);
    let defaults = Given {
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
    given: &mut Given,
) -> Result<(), ArgumentError> {
    match name {
        "scenario" => given.scenario = Some(load(&text(parser)?)?),
        "policy" => given.policies = parse_policies(text(parser)?)?,
        "json" => given.json = true,
        "seeds" => given.seeds = value(parser, "seeds", "1 or more")?,
        "services" => given.services = true,
        _ => return run_option(parser, name, &mut given.run),
    }
    Ok(())
}

fn settings(given: Given) -> Result<SurgeSettings, ArgumentError> {
    let scenario = given.scenario.ok_or(ArgumentError::Missing("scenario"))?;
    check_slow(&scenario, &given.run)?;
    Ok(SurgeSettings {
        scenario,
        run: given.run,
        policies: given.policies,
        json: given.json,
        seeds: given.seeds,
        services: given.services,
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
        "slow" => run.slow.push(slow(text(parser)?)?),
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
            mechanisms.admission.algorithm = choose(parser, "algorithm", &ALGORITHMS)?;
        }
        "discipline" => {
            mechanisms.admission.discipline = choose(parser, "discipline", &DISCIPLINES)?;
        }
        "rank" => mechanisms.rank = choose(parser, "rank", &RANKS)?,
        "no-folding" => mechanisms.folding = false,
        "no-reserve" => mechanisms.admission.reserve = false,
        "no-level" => mechanisms.admission.adaptive_level = false,
        "reported-slots" => {
            mechanisms.reported_slots = number(parser, "reported-slots", 0.01, 100.0)?;
        }
        other => return Err(unknown_option(other)),
    }
    Ok(())
}

/// Names of an option's values, and how they are listed in an error.
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
const RANKS: Choices<RankMode> = Choices {
    values: &[
        ("origin", RankMode::Origin),
        ("per-hop", RankMode::PerHop),
        ("constant", RankMode::Constant),
    ],
    allowed: "origin, per-hop, constant",
};

fn choose<T: Copy>(
    parser: &mut lexopt::Parser,
    option: &'static str,
    choices: &Choices<T>,
) -> Result<T, ArgumentError> {
    let given = text(parser)?;
    let found = choices.values.iter().find(|(name, _)| *name == given);
    found
        .map(|&(_, value)| value)
        .ok_or_else(|| invalid(option, given, "unknown", choices.allowed))
}

fn parse_policies(given: String) -> Result<Vec<Policy>, ArgumentError> {
    match given.as_str() {
        "all" => Ok(vec![Policy::Wharfquay, Policy::Static, Policy::None]),
        "wharfquay" => Ok(vec![Policy::Wharfquay]),
        "static" => Ok(vec![Policy::Static]),
        "none" => Ok(vec![Policy::None]),
        "oracle" => Ok(Vec::new()),
        _ => Err(invalid(
            "policy",
            given,
            "unknown",
            "wharfquay, none, static, oracle, all",
        )),
    }
}

fn load(name: &str) -> Result<Scenario, ArgumentError> {
    let path = Path::new(name);
    let scenario = if path.exists() {
        Scenario::load(path)
    } else {
        Scenario::builtin(name)
    };
    Ok(scenario?)
}

fn slow(given: String) -> Result<SlowService, ArgumentError> {
    let allowed = "SERVICE=FACTOR with a factor from 0.1 to 1000";
    let parsed = given.split_once('=').and_then(|(service, factor)| {
        let factor: f64 = factor.parse().ok()?;
        (0.1..=1_000.0).contains(&factor).then(|| SlowService {
            service: service.to_owned(),
            factor,
        })
    });
    parsed.ok_or_else(|| invalid("slow", given, "malformed", allowed))
}

fn check_slow(scenario: &Scenario, run: &RunSettings) -> Result<(), ArgumentError> {
    let unknown = run
        .slow
        .iter()
        .find(|slow| scenario.service(&slow.service).is_none());
    unknown.map_or(Ok(()), |slow| {
        let given = slow.service.clone();
        Err(invalid(
            "slow",
            given,
            "no such service",
            "a listed service",
        ))
    })
}

fn number(
    parser: &mut lexopt::Parser,
    option: &'static str,
    least: f64,
    most: f64,
) -> Result<f64, ArgumentError> {
    let given: f64 = value(parser, option, "a number")?;
    if (least..=most).contains(&given) {
        return Ok(given);
    }
    let problem = format!("not in {least} to {most}");
    Err(invalid(option, given.to_string(), problem, "see --help"))
}

fn seconds(parser: &mut lexopt::Parser, option: &'static str) -> Result<Duration, ArgumentError> {
    number(parser, option, 0.1, 3_600.0).map(Duration::from_secs_f64)
}

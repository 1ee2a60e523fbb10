//! Flags of `plan`.

use std::collections::BTreeMap;
use std::path::Path;

use wharfquay_emulator::scenario::{RequestModel, Scenario};
use wharfquay_resources::fields::DRAIN_TARGETS;
use wharfquay_resources::kinds::DrainTarget;
use wharfquay_resources::parse::parse_with_base;
use wharfquay_resources::snapshot::Snapshot;

use crate::arguments::{Arguments, parse_value};
use crate::configuration::FILE;
use crate::connection::{PLATFORM, block_on, connect, with_progress};
use crate::error::CliError;
use crate::input::read_files;
use crate::output::print_error_lines;
use crate::plan::topology::{PlannedBackend, from_machines, from_scenario};

const ALLOWED_DRAIN: &str = "zone=NAME, service=NAME or backend=ID";
const ALLOWED_RATE: &str = "KIND=N with a kind of the scenario and 0 or more requests per second";
const ALLOWED_FACTOR: &str = "a number from 0 to 1000";
const MAX_FACTOR: f64 = 1_000.0;
const BUILTIN_SCENARIOS: [&str; 2] = ["lagos", "gujarat"];

/// Input of a plan.
pub(super) struct PlanOptions {
    pub(super) scenario: Scenario,
    /// The backends before the change.
    pub(super) backends: Vec<PlannedBackend>,
    /// The targets that are drained or lost.
    pub(super) leaving: Vec<DrainTarget>,
    /// Requests per second by request kind, where `--rate` replaces the scenario's rate.
    rates: BTreeMap<String, f64>,
    /// Multiplies the rate of every kind.
    factor: f64,
}

impl PlanOptions {
    /// Returns the requests per second of a kind before the change.
    pub(super) fn rate_before(&self, request: &RequestModel) -> f64 {
        self.rates
            .get(&request.kind)
            .copied()
            .unwrap_or(request.rate)
    }

    /// Returns the requests per second of a kind after the change.
    pub(super) fn rate_after(&self, request: &RequestModel) -> f64 {
        self.rate_before(request) * self.factor
    }
}

/// Reads the flags, the scenario and, with `--platform`, the machine list.
pub(super) fn read_options(arguments: &Arguments) -> Result<PlanOptions, CliError> {
    let scenario = read_scenario(&arguments.positional_texts().concat())?;
    let factor = read_factor(arguments)?;
    let rates = read_rates(arguments, &scenario)?;
    let mut leaving = read_drains(arguments)?;
    leaving.extend(drains_from_files(arguments, &scenario)?);
    let backends = read_backends(arguments, &scenario)?;
    check_targets(&leaving, &backends)?;
    Ok(PlanOptions {
        scenario,
        backends,
        leaving,
        rates,
        factor,
    })
}

fn read_scenario(name: &str) -> Result<Scenario, CliError> {
    let scenario = if BUILTIN_SCENARIOS.contains(&name) {
        Scenario::builtin(name)
    } else {
        Scenario::load(Path::new(name))
    };
    Ok(scenario?)
}

fn read_factor(arguments: &Arguments) -> Result<f64, CliError> {
    let factor: f64 = arguments.value("factor", ALLOWED_FACTOR)?.unwrap_or(1.0);
    if (0.0..=MAX_FACTOR).contains(&factor) {
        return Ok(factor);
    }
    Err(CliError::invalid_value(
        "--factor",
        &factor.to_string(),
        "out of range",
        ALLOWED_FACTOR,
    ))
}

fn read_rates(
    arguments: &Arguments,
    scenario: &Scenario,
) -> Result<BTreeMap<String, f64>, CliError> {
    let texts = arguments.texts("rate");
    texts.iter().map(|text| read_rate(text, scenario)).collect()
}

fn read_rate(text: &str, scenario: &Scenario) -> Result<(String, f64), CliError> {
    let malformed =
        || CliError::invalid_value("--rate", text, "not a kind and a number", ALLOWED_RATE);
    let (kind, number) = text.split_once('=').ok_or_else(malformed)?;
    if !scenario.requests.iter().any(|request| request.kind == kind) {
        return Err(CliError::invalid_value(
            "--rate",
            text,
            "unknown request kind",
            ALLOWED_RATE,
        ));
    }
    let rate: f64 = parse_value("--rate", number, ALLOWED_RATE)?;
    if rate.is_finite() && rate >= 0.0 {
        return Ok((kind.to_owned(), rate));
    }
    Err(CliError::invalid_value(
        "--rate",
        text,
        "not a rate",
        ALLOWED_RATE,
    ))
}

fn read_drains(arguments: &Arguments) -> Result<Vec<DrainTarget>, CliError> {
    let lost = arguments.texts("lose-zone").into_iter();
    let lost = lost.map(DrainTarget::Zone).map(Ok);
    let drained = arguments.texts("drain");
    let drained = drained.iter().map(|text| read_drain(text));
    lost.chain(drained).collect()
}

fn read_drain(text: &str) -> Result<DrainTarget, CliError> {
    let (kind, name) = text.split_once('=').unwrap_or((text, ""));
    drain_target(kind, name).ok_or_else(|| {
        CliError::invalid_value("--drain", text, "not a drain target", ALLOWED_DRAIN)
    })
}

/// Returns the drain target of a kind and a name; `None` when the kind is unknown or the name
/// empty.
pub(crate) fn drain_target(kind: &str, name: &str) -> Option<DrainTarget> {
    if name.is_empty() || !DRAIN_TARGETS.contains(&kind) {
        return None;
    }
    let name = name.to_owned();
    Some(match kind {
        "backend" => DrainTarget::Backend(name),
        "service" => DrainTarget::Service(name),
        _ => DrainTarget::Zone(name),
    })
}

/// Returns the targets of the drains in the resource files.
fn drains_from_files(
    arguments: &Arguments,
    scenario: &Scenario,
) -> Result<Vec<DrainTarget>, CliError> {
    let paths = arguments.flag_paths(FILE.name);
    let read = read_files(&paths);
    let mut parsed = parse_with_base(&read.files, &services_of(scenario));
    parsed.problems.splice(0..0, read.problems);
    print_error_lines(&parsed.problems);
    if parsed.has_errors() {
        return Err(CliError::InvalidConfiguration);
    }
    let drains = parsed.snapshot().drains;
    Ok(drains.into_values().map(|drain| drain.target).collect())
}

/// Returns the scenario's services as a configuration, which drains can refer to.
fn services_of(scenario: &Scenario) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for service in &scenario.services {
        let name = service.name.clone();
        snapshot
            .services
            .insert(name.clone(), planned_service(name, service.slots));
    }
    snapshot
}

fn planned_service(name: String, slots: u32) -> wharfquay_resources::kinds::Service {
    wharfquay_resources::kinds::Service {
        name,
        slots,
        connections: 1,
        queue_wait_ms: 0,
        warm_up_ms: 0,
        calls: Vec::new(),
    }
}

fn read_backends(
    arguments: &Arguments,
    scenario: &Scenario,
) -> Result<Vec<PlannedBackend>, CliError> {
    if !arguments.has(PLATFORM.name) {
        return Ok(from_scenario(scenario));
    }
    let client = connect(arguments)?;
    let list = block_on(async {
        let read = with_progress("reading the machine list", client.machines());
        Ok(read.await?)
    })?;
    Ok(from_machines(scenario, &list.machines))
}

/// Rejects a target that covers no backend, which is most likely a misspelt name.
fn check_targets(targets: &[DrainTarget], backends: &[PlannedBackend]) -> Result<(), CliError> {
    for target in targets {
        let covers = |backend: &PlannedBackend| {
            let service = Some(backend.service.as_str());
            target.covers(&backend.id, &backend.zone, service)
        };
        if !backends.iter().any(covers) {
            return Err(no_backend_covered(target, backends));
        }
    }
    Ok(())
}

fn no_backend_covered(target: &DrainTarget, backends: &[PlannedBackend]) -> CliError {
    let (given, mut known): (&str, Vec<&str>) = match target {
        DrainTarget::Backend(id) => (id, backends.iter().map(|found| found.id.as_str()).collect()),
        DrainTarget::Service(name) => {
            let services = backends.iter().map(|found| found.service.as_str());
            (name, services.collect())
        }
        DrainTarget::Zone(name) => {
            let zones = backends.iter().map(|found| found.zone.as_str());
            (name, zones.collect())
        }
    };
    known.sort_unstable();
    known.dedup();
    CliError::invalid_value("target", given, "no backend is covered", &known.join(", "))
}

//! `plan`: estimates what a drain, the loss of a zone or higher demand does to each service.

mod load;
pub(crate) mod options;
mod sharing;
mod topology;

use std::collections::BTreeMap;

use serde::Serialize;
use wharfquay_emulator::scenario::{RequestModel, Scenario};

use crate::arguments::Arguments;
use crate::commands::{CommandSpec, Example, Flag, JSON, Positionals};
use crate::configuration::FILE;
use crate::connection::{PLATFORM, TIMEOUT};
use crate::error::{CliError, ExitStatus};
use crate::output::Output;
use crate::plan::load::slots_per_request;
use crate::plan::options::{PlanOptions, read_options};
use crate::plan::sharing::{KindDemand, share_slots};
use crate::plan::topology::{PlannedBackend, ServiceCapacity, capacities, without_targets};
use crate::table::TextTable;

/// Utilisation above which a service has little headroom.
const TIGHT_UTILISATION: f64 = 0.8;
/// Shares from this value up count as all requests; allows for rounding errors.
const FULLY_ADMITTED_SHARE: f64 = 0.999_999;

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "plan",
    summary: "Estimate what a drain, a lost zone or higher demand does to each service",
    details: "\
Load and call chains come from a scenario; --rate replaces the rate of a request kind, for
example by a measured one. The backends come from the scenario, or with --platform from the machine
list. Utilisation is the mean number of busy slots over the number of slots, without waits in
queues. Where it exceeds 1, the table of request kinds shows which priorities would be refused, and
how much of them. The exit code is 1 when some request would be refused.",
    positionals: Positionals {
        usage: "SCENARIO",
        minimum: 1,
        maximum: 1,
    },
    flags: &[
        Flag::with_value(
            "drain",
            "KIND=NAME",
            "Drain zone=, service= or backend=; may be repeated",
        ),
        Flag::with_value(
            "lose-zone",
            "ZONE",
            "Lose a zone's backends; may be repeated",
        ),
        Flag::with_value(
            "factor",
            "F",
            "Multiply the demand of every kind (default: 1)",
        ),
        Flag::with_value(
            "rate",
            "KIND=N",
            "Requests per second of a kind; may be repeated",
        ),
        FILE,
        PLATFORM,
        TIMEOUT,
        JSON,
    ],
    examples: &[
        Example {
            line: "wharfquay plan lagos --lose-zone ikeja --factor 1.2",
            description: "Lose a zone while demand is 20% higher.",
        },
        Example {
            line: "wharfquay plan scenarios/gujarat.toml --drain backend=stock-1 --rate look_up_job=1500",
            description: "Drain one backend at a measured rate.",
        },
        Example {
            line: "wharfquay plan lagos --file drains.toml --platform 127.0.0.1:7000 --json",
            description: "Plan the drains of a file with the live machines.",
        },
    ],
    run,
};

/// A service before and after the change.
#[derive(Serialize)]
struct ServicePlan {
    service: String,
    backends_before: u32,
    backends_after: u32,
    /// Busy slots over available slots; absent when the service has no backend.
    utilisation_before: Option<f64>,
    utilisation_after: Option<f64>,
    state: ServiceState,
}

/// Load of a service after the change.
#[derive(Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum ServiceState {
    /// No request uses the service.
    Idle,
    /// Utilisation is at most `TIGHT_UTILISATION`.
    Fits,
    /// Utilisation is at most 1 but above `TIGHT_UTILISATION`.
    Tight,
    /// Utilisation exceeds 1.
    Overloaded,
    /// Requests need the service and no backend remains.
    NoBackend,
}

impl ServiceState {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Fits => "fits",
            Self::Tight => "tight",
            Self::Overloaded => "OVERLOADED",
            Self::NoBackend => "NO BACKEND",
        }
    }
}

/// Admission of a request kind after the change.
#[derive(Serialize)]
struct KindPlan {
    request_kind: String,
    priority: u8,
    /// Demand after the change, in requests per second.
    rate: f64,
    /// Share of the requests that is admitted, 0 to 1.
    admitted: f64,
}

/// The estimate, as printed with `--json`.
#[derive(Serialize)]
struct Plan {
    services: Vec<ServicePlan>,
    request_kinds: Vec<KindPlan>,
}

fn run(arguments: &Arguments, output: &mut Output) -> Result<ExitStatus, CliError> {
    let options = read_options(arguments)?;
    let plan = make_plan(&options);
    if arguments.has("json") {
        output.write_json(&plan)?;
    } else {
        output.write_text(&render(&plan))?;
    }
    let mut kinds = plan.request_kinds.iter();
    let is_refused = kinds.any(|kind| kind.admitted < FULLY_ADMITTED_SHARE && kind.rate > 0.0);
    Ok(if is_refused {
        ExitStatus::ProblemFound
    } else {
        ExitStatus::Success
    })
}

fn make_plan(options: &PlanOptions) -> Plan {
    let scenario = &options.scenario;
    let before = demands(scenario, |request| options.rate_before(request));
    let after = demands(scenario, |request| options.rate_after(request));
    let remaining = without_targets(&options.backends, &options.leaving);
    Plan {
        services: plan_services(scenario, &options.backends, &remaining, &before, &after),
        request_kinds: plan_kinds(&after, &remaining),
    }
}

/// Returns the demand of each request kind at the rate that `rate_of` returns for it.
fn demands(scenario: &Scenario, rate_of: impl Fn(&RequestModel) -> f64) -> Vec<KindDemand> {
    let requests = scenario.requests.iter();
    requests
        .map(|request| {
            let rate = rate_of(request);
            let mut slots = slots_per_request(scenario, request);
            for busy in slots.values_mut() {
                *busy *= rate;
            }
            KindDemand {
                kind: request.kind.clone(),
                priority: request.priority,
                rate,
                slots,
            }
        })
        .collect()
}

fn plan_services(
    scenario: &Scenario,
    backends_before: &[PlannedBackend],
    backends_after: &[PlannedBackend],
    demand_before: &[KindDemand],
    demand_after: &[KindDemand],
) -> Vec<ServicePlan> {
    let before = capacities(backends_before);
    let after = capacities(backends_after);
    let services = scenario.services.iter();
    services
        .map(|service| {
            let name = &service.name;
            let before = before.get(name).copied().unwrap_or_default();
            let after = after.get(name).copied().unwrap_or_default();
            let needed = busy_slots(demand_after, name);
            let utilisation_after = utilisation(needed, after);
            ServicePlan {
                service: name.clone(),
                backends_before: before.backends,
                backends_after: after.backends,
                utilisation_before: utilisation(busy_slots(demand_before, name), before),
                utilisation_after,
                state: state_of(needed, utilisation_after),
            }
        })
        .collect()
}

fn busy_slots(demands: &[KindDemand], service: &str) -> f64 {
    let demands = demands.iter();
    demands.filter_map(|demand| demand.slots.get(service)).sum()
}

fn utilisation(busy: f64, capacity: ServiceCapacity) -> Option<f64> {
    (capacity.slots > 0).then(|| busy / f64::from(capacity.slots))
}

fn state_of(busy: f64, utilisation: Option<f64>) -> ServiceState {
    match utilisation {
        _ if busy <= 0.0 => ServiceState::Idle,
        None => ServiceState::NoBackend,
        Some(share) if share > 1.0 => ServiceState::Overloaded,
        Some(share) if share > TIGHT_UTILISATION => ServiceState::Tight,
        Some(_) => ServiceState::Fits,
    }
}

fn plan_kinds(demands: &[KindDemand], remaining: &[PlannedBackend]) -> Vec<KindPlan> {
    let capacity: BTreeMap<String, f64> = capacities(remaining)
        .into_iter()
        .map(|(service, capacity)| (service, f64::from(capacity.slots)))
        .collect();
    let shares = share_slots(demands, &capacity);
    let mut kinds: Vec<KindPlan> = demands
        .iter()
        .map(|demand| KindPlan {
            request_kind: demand.kind.clone(),
            priority: demand.priority,
            rate: demand.rate,
            admitted: shares.get(&demand.kind).copied().unwrap_or_default(),
        })
        .collect();
    kinds.sort_by_key(|kind| kind.priority);
    kinds
}

fn render(plan: &Plan) -> String {
    let mut services = TextTable::new(&["SERVICE", "BACKENDS", "UTILISATION", "STATE"]);
    for service in &plan.services {
        services.add_row([
            service.service.clone(),
            format!("{} -> {}", service.backends_before, service.backends_after),
            format!(
                "{} -> {}",
                format_utilisation(service.utilisation_before),
                format_utilisation(service.utilisation_after)
            ),
            service.state.as_str().to_owned(),
        ]);
    }
    let mut kinds = TextTable::new(&["REQUEST KIND", "PRIORITY", "PER SECOND", "ADMITTED"]);
    for kind in &plan.request_kinds {
        kinds.add_row([
            kind.request_kind.clone(),
            kind.priority.to_string(),
            format!("{:.1}", kind.rate),
            format!("{:.1}%", kind.admitted * 100.0),
        ]);
    }
    format!("{}\n{}", services.render(), kinds.render())
}

fn format_utilisation(utilisation: Option<f64>) -> String {
    utilisation.map_or_else(|| "-".to_owned(), |share| format!("{share:.2}"))
}

//! `explain`: shows how the configuration handles one request, and which backends could serve it.

mod candidates;
mod request;

use serde::Serialize;
use wharfquay_core::priority::{AdmissionLevel, Rank};
use wharfquay_platform::wire::Machine;
use wharfquay_resources::chain::heaviest_chain;
use wharfquay_resources::decision::{
    Decision, DecisionContext, RequestProperties, decide, describe_refusal,
};
use wharfquay_resources::kinds::RequestKind;
use wharfquay_resources::snapshot::Snapshot;

use crate::arguments::Arguments;
use crate::commands::{CommandSpec, Example, Flag, JSON, Positionals};
use crate::configuration::{FILE, read_configuration};
use crate::connection::{
    PLATFORM, TIMEOUT, block_on, connect, platform_is_specified, timeout, with_progress,
};
use crate::daemon_status::{DAEMON, daemon_addresses};
use crate::error::{CliError, ExitStatus};
use crate::explain::candidates::{Candidate, Found, list_candidates};
use crate::explain::request::read_request;
use crate::output::Output;
use crate::status::daemons::{DaemonView, read_daemons};
use crate::table::TextTable;

const ALLOWED_LEVEL: &str = "0 (closed) to 32768 (open)";
const ALLOWED_RANK: &str = "0 to 4095";

pub(crate) const COMMAND: CommandSpec = CommandSpec {
    name: "explain",
    summary: "Show how the configuration handles a request, and why",
    details: "\
The request is specified by its request line and headers. The output has the request kinds that
were considered, the priority, the deadline, the retry allowance, the decision at the edge, and,
with --platform, each backend of the service and why it may or may not be chosen. With --daemon, this
includes what the backends announced to these daemons: a rate limit, or that they are leaving.",
    positionals: Positionals {
        usage: "'METHOD PATH'",
        minimum: 1,
        maximum: 1,
    },
    flags: &[
        Flag::with_value(
            "header",
            "'NAME: VALUE'",
            "Header of the request; may be repeated",
        ),
        Flag::with_value("zone", "ZONE", "Zone of the edge; its backends come first"),
        Flag::with_value(
            "level",
            "N",
            "Admission level at the edge (default: 32768, open)",
        ),
        Flag::with_value(
            "rank",
            "N",
            "Rank of the request inside its priority (default: 0)",
        ),
        FILE,
        PLATFORM,
        DAEMON,
        TIMEOUT,
        JSON,
    ],
    examples: &[
        Example {
            line: "wharfquay explain 'GET /slots' --header 'host: slot' --file scenarios/lagos.resources.toml",
            description: "Explain a request under the configuration in a file.",
        },
        Example {
            line: "wharfquay explain 'POST /appointments' --header 'wharfquay-service: booking' --zone ikeja --platform 127.0.0.1:7000",
            description: "Explain a request under the configuration in force, with the candidate backends.",
        },
        Example {
            line: "wharfquay explain 'GET /slots' --header 'host: slot' --platform 127.0.0.1:7000 --daemon 127.0.0.1:7203",
            description: "Show also what the backend of a daemon announces.",
        },
    ],
    run,
};

/// A request kind of the service, and whether it matches the request.
#[derive(Serialize)]
struct KindMatch {
    name: String,
    verdict: String,
}

/// The explanation, as printed with `--json`.
#[derive(Serialize)]
struct Explanation {
    request: RequestProperties,
    kinds: Vec<KindMatch>,
    decision: Decision,
    retry_budget: Option<String>,
    chain: Option<Vec<String>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    candidates: Option<Vec<Candidate>>,
    /// Daemons whose status can't be read, each with the reason.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    unread_daemons: Vec<String>,
}

fn run(arguments: &Arguments, output: &mut Output) -> Result<ExitStatus, CliError> {
    let level: Option<u16> = arguments.value("level", ALLOWED_LEVEL)?;
    let rank: Option<u16> = arguments.value("rank", ALLOWED_RANK)?;
    let rank = Rank::from_number(rank.unwrap_or_default());
    let line = arguments.positional_texts().concat();
    let request = read_request(&line, &arguments.texts("header"), rank)?;
    let snapshot = read_configuration(arguments)?;
    let machines = read_machines(arguments)?;
    let context = DecisionContext {
        level: level.map_or(AdmissionLevel::OPEN, AdmissionLevel::new),
        endpoint: None,
    };
    let decision = decide(&snapshot, &request, &context);
    let daemons = read_statuses(arguments)?;
    let candidates = machines.map(|machines| {
        let zone = arguments.text("zone");
        let found = Found {
            snapshot: &snapshot,
            machines: &machines,
            daemons: &daemons,
        };
        list_candidates(&found, &request.service, zone.as_deref())
    });
    let explanation = Explanation {
        kinds: match_kinds(&snapshot, &request),
        retry_budget: retry_budget_name(&snapshot, &decision),
        chain: heaviest_chain(&snapshot, &request.service, |_| 1),
        candidates,
        unread_daemons: daemons.iter().filter_map(describe_unread).collect(),
        decision,
        request,
    };
    if arguments.has("json") {
        output.write_json(&explanation)?;
    } else {
        output.write_text(&render(&explanation))?;
    }
    let is_served = explanation.decision.refused.is_none();
    Ok(if is_served {
        ExitStatus::Success
    } else {
        ExitStatus::ProblemFound
    })
}

fn read_statuses(arguments: &Arguments) -> Result<Vec<DaemonView>, CliError> {
    let (addresses, timeout) = (daemon_addresses(arguments)?, timeout(arguments)?);
    block_on(async { Ok(read_daemons(&addresses, timeout).await) })
}

fn read_machines(arguments: &Arguments) -> Result<Option<Vec<Machine>>, CliError> {
    if !platform_is_specified(arguments) {
        return Ok(None);
    }
    let client = connect(arguments)?;
    let list = block_on(async {
        let read = with_progress("reading the machine list", client.machines());
        Ok(read.await?)
    })?;
    Ok(Some(list.machines))
}

/// Returns every request kind of the service and why it matches or not.
fn match_kinds(snapshot: &Snapshot, request: &RequestProperties) -> Vec<KindMatch> {
    let chosen = snapshot.match_request(&request.service, &request.method, &request.path);
    let kinds = snapshot.request_kinds.values();
    kinds
        .filter(|kind| kind.service == request.service)
        .map(|kind| KindMatch {
            name: kind.name.clone(),
            verdict: describe_match(kind, chosen, request),
        })
        .collect()
}

fn describe_match(
    kind: &RequestKind,
    chosen: Option<&RequestKind>,
    request: &RequestProperties,
) -> String {
    let prefix = &kind.path_prefix;
    if let Some(method) = kind
        .method
        .as_ref()
        .filter(|method| **method != request.method)
    {
        return format!("no match: method {method} required");
    }
    if !request.path.starts_with(prefix) {
        return format!("no match: path prefix {prefix} required");
    }
    match chosen {
        Some(chosen) if chosen.name == kind.name => {
            format!("chosen: longest matching path prefix ({prefix})")
        }
        Some(chosen) if chosen.path_prefix.len() > prefix.len() => {
            format!("matches, but {} has a longer path prefix", chosen.name)
        }
        Some(chosen) => format!("matches, but {} names the method", chosen.name),
        None => "matches".to_owned(),
    }
}

/// Returns the name of the retry budget that applies to the request.
fn retry_budget_name(snapshot: &Snapshot, decision: &Decision) -> Option<String> {
    let policy = decision.treatment.as_ref()?;
    let kind = snapshot.request_kinds.get(&policy.request_kind)?;
    let budget = snapshot.retry_budget_for(kind)?;
    Some(budget.name.clone())
}

fn render(explanation: &Explanation) -> String {
    let mut text = format!("service: {}\n", explanation.request.service);
    for kind in &explanation.kinds {
        text.push_str(&format!("request kind {}: {}\n", kind.name, kind.verdict));
    }
    if explanation.kinds.is_empty() {
        text.push_str("request kind: this service has none\n");
    }
    text.push_str(&render_policy(explanation));
    let refused = explanation.decision.refused;
    let decision = match refused {
        None => "admitted".to_owned(),
        Some(_) => format!("refused, {}", describe_refusal(refused)),
    };
    text.push_str(&format!("decision: {decision}\n"));
    match &explanation.candidates {
        Some(candidates) => text.push_str(&render_candidates(candidates)),
        None => text.push_str("backends: not known without --platform\n"),
    }
    for daemon in &explanation.unread_daemons {
        text.push_str(&format!("not read: {daemon}\n"));
    }
    text
}

/// Describes a daemon whose status can't be read.
fn describe_unread(view: &DaemonView) -> Option<String> {
    let error = view.error.as_ref()?;
    Some(format!("{}: {error}", view.address))
}

fn render_policy(explanation: &Explanation) -> String {
    let Some(policy) = &explanation.decision.treatment else {
        return String::new();
    };
    let budget = match &explanation.retry_budget {
        Some(name) => format!("retry budget {name}"),
        None => "no retry budget".to_owned(),
    };
    let repeat = if policy.repeatable {
        "may be executed again"
    } else {
        "at most once"
    };
    let chain = match &explanation.chain {
        Some(chain) => chain.join(" -> "),
        None => "has a cycle".to_owned(),
    };
    format!(
        "priority: {}\ndeadline: {} ms\nretries: {} in the whole chain ({budget})\nexecution: {repeat}\nlongest chain: {chain}\n",
        policy.priority, policy.deadline_ms, policy.retries
    )
}

fn render_candidates(candidates: &[Candidate]) -> String {
    if candidates.is_empty() {
        return "backends: the machine list has none of this service\n".to_owned();
    }
    let mut table = TextTable::new(&["BACKEND", "ZONE", "ADDRESS", "USABLE", "WHY"]);
    for candidate in candidates {
        table.add_row([
            candidate.id.clone(),
            candidate.zone.clone(),
            candidate.address.clone(),
            if candidate.usable { "yes" } else { "no" }.to_owned(),
            candidate.reason.clone(),
        ]);
    }
    table.render()
}

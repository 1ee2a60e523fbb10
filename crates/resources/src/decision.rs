//! Decisions on requests at the edge: how a configuration treats a request, the record of such a
//! decision, and the replay of a record against another configuration.
//!
//! All functions here are pure.

use serde::{Deserialize, Serialize};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::{AdmissionKey, AdmissionLevel, Priority, Rank};

use crate::kinds::RequestKind;
use crate::snapshot::{Revision, Snapshot};

/// The properties of a request that a decision depends on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestProperties {
    /// Service that the request is addressed to.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// HTTP path, without the query.
    pub path: String,
    /// Deadline that the caller set, in milliseconds from the arrival; absent when it set none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// True if the request carries an idempotency key.
    #[serde(default)]
    pub has_idempotency_key: bool,
    /// Rank of the request among those of its priority, 0 to 4095; the lowest is refused last.
    pub rank: Rank,
}

/// The backend that the routing chose for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChosenEndpoint {
    /// Id of the backend's daemon.
    pub id: String,
    /// Zone of the backend.
    pub zone: String,
}

/// The state of the system that a decision depends on, at the arrival of the request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionContext {
    /// Strictest admission level known on the request's path, 0 (closed) to 32768 (open).
    pub level: AdmissionLevel,
    /// Backend that the routing chose; absent when the request was refused before routing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<ChosenEndpoint>,
}

/// The parameters that a request kind assigns to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestPolicy {
    /// Name of the request kind.
    pub request_kind: String,
    /// Importance: 0 is refused last.
    pub priority: u8,
    /// Time within which the caller needs the complete response, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of retries in total across the whole call chain.
    pub retries: u16,
    /// True if the request may be executed again.
    pub repeatable: bool,
}

/// The decision on a request at the edge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decision {
    /// Parameters that the matching request kind assigns to the request (priority, deadline,
    /// retries); absent when no request kind matches.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub treatment: Option<RequestPolicy>,
    /// Number of the result code with which the request is refused; absent when it is admitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<u16>,
    /// Name of a drain that covers the chosen backend; absent when none does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drain: Option<String>,
}

/// A decision as recorded by a daemon, one line of JSON each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionRecord {
    /// Unix time of the arrival, in milliseconds.
    pub at_unix_ms: u64,
    /// Id of the daemon that decided.
    pub daemon: String,
    /// Id of the originating request, in hexadecimal.
    pub origin: String,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Properties of the request.
    pub request: RequestProperties,
    /// State of the system at the arrival.
    pub circumstances: DecisionContext,
    /// The decision.
    pub decision: Decision,
}

/// Decides on a request under a configuration.
#[must_use]
pub fn decide(
    snapshot: &Snapshot,
    request: &RequestProperties,
    context: &DecisionContext,
) -> Decision {
    let kind = snapshot.match_request(&request.service, &request.method, &request.path);
    let Some(kind) = kind else {
        return refused(None, ResultCode::UnknownService);
    };
    let policy = policy_of(snapshot, kind, request);
    if kind.idempotency_key_required && !kind.repeatable && !request.has_idempotency_key {
        return refused(Some(policy), ResultCode::MissingIdempotencyKey);
    }
    let priority = Priority::new(kind.priority).unwrap_or(Priority::LOWEST);
    let key = AdmissionKey::new(priority, request.rank);
    if !context.level.admits(key) {
        return refused(Some(policy), ResultCode::RefusedByLevel);
    }
    let endpoint = context.endpoint.as_ref();
    let drain = endpoint.and_then(|endpoint| drain_of(snapshot, &request.service, endpoint));
    Decision {
        treatment: Some(policy),
        refused: None,
        drain,
    }
}

fn policy_of(
    snapshot: &Snapshot,
    kind: &RequestKind,
    request: &RequestProperties,
) -> RequestPolicy {
    let longest = u64::from(kind.deadline_ms);
    let budget = snapshot.retry_budget_for(kind);
    RequestPolicy {
        request_kind: kind.name.clone(),
        priority: kind.priority,
        deadline_ms: request.deadline_ms.unwrap_or(longest).min(longest),
        retries: budget.map_or(0, |budget| budget.retries_per_request),
        repeatable: kind.repeatable,
    }
}

/// Returns the name of the first drain that covers the endpoint.
fn drain_of(snapshot: &Snapshot, service: &str, endpoint: &ChosenEndpoint) -> Option<String> {
    let mut drains = snapshot.drains.values();
    let drain = drains.find(|drain| {
        let target = &drain.target;
        target.covers(&endpoint.id, &endpoint.zone, Some(service))
    })?;
    Some(drain.name.clone())
}

fn refused(policy: Option<RequestPolicy>, code: ResultCode) -> Decision {
    Decision {
        treatment: policy,
        refused: Some(code.number()),
        drain: None,
    }
}

/// A part of a decision that differs between a record and its replay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DecisionDifference {
    /// Name of the part, such as `priority` or `refused`.
    pub part: &'static str,
    /// Value in the recorded decision.
    pub recorded: String,
    /// Value under the other configuration.
    pub replayed: String,
}

/// Decides on a recorded request under another configuration and the recorded context;
/// returns the parts of the decision that differ.
#[must_use]
pub fn replay(snapshot: &Snapshot, record: &DecisionRecord) -> Vec<DecisionDifference> {
    let replayed = decide(snapshot, &record.request, &record.circumstances);
    let before = describe_parts(&record.decision);
    let after = describe_parts(&replayed);
    before
        .into_iter()
        .zip(after)
        .filter(|((_, recorded), (_, replayed))| recorded != replayed)
        .map(|((part, recorded), (_, replayed))| DecisionDifference {
            part,
            recorded,
            replayed,
        })
        .collect()
}

const NONE: &str = "none";

/// Returns the name and the value as text of every part of a decision.
fn describe_parts(decision: &Decision) -> [(&'static str, String); 7] {
    let policy = decision.treatment.as_ref();
    let part =
        |value: &dyn Fn(&RequestPolicy) -> String| policy.map_or_else(|| NONE.to_owned(), value);
    [
        ("request_kind", part(&|found| found.request_kind.clone())),
        ("priority", part(&|found| found.priority.to_string())),
        ("deadline_ms", part(&|found| found.deadline_ms.to_string())),
        ("retries", part(&|found| found.retries.to_string())),
        ("repeatable", part(&|found| found.repeatable.to_string())),
        ("refused", describe_refusal(decision.refused)),
        (
            "drain",
            decision.drain.clone().unwrap_or_else(|| NONE.to_owned()),
        ),
    ]
}

/// Formats a result code as number and name; `none` when there is no refusal, the bare number when
/// the code is unknown.
#[must_use]
pub fn describe_refusal(refused: Option<u16>) -> String {
    let Some(number) = refused else {
        return NONE.to_owned();
    };
    match ResultCode::from_number(number) {
        Some(code) => format!("{number} {}", code.name()),
        None => number.to_string(),
    }
}

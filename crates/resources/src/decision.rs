//! Decisions on requests at the edge: what a configuration makes of a request, the record of such a
//! decision, and the replay of a record against another configuration.
//!
//! Everything here is a pure function of its arguments.

use serde::{Deserialize, Serialize};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::{AdmissionKey, AdmissionLevel, Priority, Rank};

use crate::kinds::RequestKind;
use crate::snapshot::{Revision, Snapshot};

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestFacts {
    /// Service that the request is addressed to.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// HTTP path, without the query.
    pub path: String,
    /// Deadline that the caller set, in milliseconds from the arrival.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Whether the request carries an idempotency key.
    #[serde(default)]
    pub has_idempotency_key: bool,
    /// Rank of the request among those of its priority, 0 to 4095.
    pub rank: Rank,
}

/// A back end that a request was sent to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChosenEndpoint {
    /// Id of the back end's daemon.
    pub id: String,
    /// Zone of the back end.
    pub zone: String,
}

/// What was going on when the request arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Circumstances {
    /// Strictest admission level known on the request's path, 0 (closed) to 32768 (open).
    pub level: AdmissionLevel,
    /// Back end that the routing chose; absent when the request was refused before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<ChosenEndpoint>,
}

/// What a request kind gives to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Treatment {
    /// Name of the request kind.
    pub request_kind: String,
    /// Importance: 0 is refused last.
    pub priority: u8,
    /// Time in which the whole answer is worth something, in milliseconds.
    pub deadline_ms: u64,
    /// Retries in total across the whole chain.
    pub retries: u16,
    /// Whether the request may be executed again.
    pub repeatable: bool,
}

/// What is decided about a request at the edge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decision {
    /// How the request is treated; absent when it matches no request kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub treatment: Option<Treatment>,
    /// Number of the result code with which the request is refused; absent when it is admitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<u16>,
    /// Name of the drain that keeps the request from the chosen back end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drain: Option<String>,
}

/// One decision, as a daemon records it: one line of JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionRecord {
    /// Unix time of the arrival, in milliseconds.
    pub at_unix_ms: u64,
    /// Id of the daemon that decided.
    pub daemon: String,
    /// Identity of the originating request, in hexadecimal.
    pub origin: String,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// What the request asked for.
    pub request: RequestFacts,
    /// What was going on.
    pub circumstances: Circumstances,
    /// What was decided.
    pub decision: Decision,
}

/// Decides on a request under a configuration.
#[must_use]
pub fn decide(
    snapshot: &Snapshot,
    request: &RequestFacts,
    circumstances: &Circumstances,
) -> Decision {
    let kind = snapshot.match_request(&request.service, &request.method, &request.path);
    let Some(kind) = kind else {
        return refused(None, ResultCode::UnknownService);
    };
    let treatment = treatment_of(snapshot, kind, request);
    if kind.idempotency_key_required && !kind.repeatable && !request.has_idempotency_key {
        return refused(Some(treatment), ResultCode::MissingIdempotencyKey);
    }
    let priority = Priority::new(kind.priority).unwrap_or(Priority::LOWEST);
    let key = AdmissionKey::new(priority, request.rank);
    if !circumstances.level.admits(key) {
        return refused(Some(treatment), ResultCode::RefusedByLevel);
    }
    let endpoint = circumstances.endpoint.as_ref();
    let drain = endpoint.and_then(|endpoint| drain_of(snapshot, &request.service, endpoint));
    Decision {
        treatment: Some(treatment),
        refused: None,
        drain,
    }
}

fn treatment_of(snapshot: &Snapshot, kind: &RequestKind, request: &RequestFacts) -> Treatment {
    let longest = u64::from(kind.deadline_ms);
    let budget = snapshot.retry_budget_for(kind);
    Treatment {
        request_kind: kind.name.clone(),
        priority: kind.priority,
        deadline_ms: request.deadline_ms.unwrap_or(longest).min(longest),
        retries: budget.map_or(0, |budget| budget.retries_per_request),
        repeatable: kind.repeatable,
    }
}

/// The name of a drain that covers the endpoint.
fn drain_of(snapshot: &Snapshot, service: &str, endpoint: &ChosenEndpoint) -> Option<String> {
    let mut drains = snapshot.drains.values();
    let drain = drains.find(|drain| {
        let target = &drain.target;
        target.covers(&endpoint.id, &endpoint.zone, Some(service))
    })?;
    Some(drain.name.clone())
}

fn refused(treatment: Option<Treatment>, code: ResultCode) -> Decision {
    Decision {
        treatment,
        refused: Some(code.number()),
        drain: None,
    }
}

/// A part of a decision that differs between a record and its replay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DecisionDifference {
    /// Name of the part, such as `priority` or `refused`.
    pub part: &'static str,
    /// What the daemon decided.
    pub recorded: String,
    /// What is decided under the other configuration.
    pub replayed: String,
}

/// Plays a record against another configuration, under the recorded circumstances; returns what
/// differs.
#[must_use]
pub fn replay(snapshot: &Snapshot, record: &DecisionRecord) -> Vec<DecisionDifference> {
    let replayed = decide(snapshot, &record.request, &record.circumstances);
    let before = described(&record.decision);
    let after = described(&replayed);
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

/// Every part of a decision with its value in words.
fn described(decision: &Decision) -> [(&'static str, String); 7] {
    let treatment = decision.treatment.as_ref();
    let part =
        |value: &dyn Fn(&Treatment) -> String| treatment.map_or_else(|| NONE.to_owned(), value);
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

/// A result code by number and name.
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

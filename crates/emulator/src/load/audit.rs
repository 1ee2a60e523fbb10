//! Audit of a load: compares the outcomes that callers saw with the execution logs of backends.

use std::collections::{HashMap, HashSet};
use std::fmt::{self, Display};
use std::net::SocketAddr;

use bytes::Bytes;
use displaydoc::Display as DisplayDoc;
use http::{Request, Uri};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;

use super::attempt::{Attempt, AttemptOutcome};
use super::report::LoadReport;
use crate::backend::record::{ExecutionRecord, ExecutionReport, ExecutionState};
use crate::scenario::Scenario;

/// Record of one attempt of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// Id of the attempt's call in the execution logs of backends.
    pub call: String,
    /// Result of the attempt.
    pub attempt: Attempt,
    /// True if it completed before the deadline of the originating request.
    pub in_time: bool,
}

/// An error that prevented the execution log of a backend from being read.
#[derive(Clone, Debug, DisplayDoc, PartialEq, Eq)]
pub enum FetchError {
    /// backend {0}: can't read the execution log: {1}
    ReadFailed(SocketAddr, String),
    /// backend {0}: malformed execution log: {1}
    Malformed(SocketAddr, String),
}

impl std::error::Error for FetchError {}

/// Result of the comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Audit {
    /// Number of executions of all backends.
    pub executions: u64,
    /// Attempts of callers that lost their connection or timed out, and thus received neither a
    /// response nor an outcome.
    pub lost: u64,
    /// Complete responses for which no backend of the entry service recorded a completed execution.
    pub answers_without_execution: u64,
    /// Attempts whose outcome was *not run* although the entry service executed them.
    pub not_run_but_ran: u64,
    /// Non-repeatable requests that took effect more than once.
    pub duplicate_effects: u64,
    /// Responses, received by callers or backends, that belong to another request or are truncated or
    /// altered.
    pub wrong_answers: u64,
    /// Maximum number of retries, summed over all hops, that one attempt of a caller caused.
    pub retries_max: u64,
    /// Share of the execution time spent on attempts that got no complete response before the
    /// deadline.
    pub wasted_work_ratio: f64,
    /// Requests that reached a backend after its drain started.
    pub after_drain: u64,
}

/// A guarantee of the system that the audit found violated, with the number of violations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Name of the guarantee: that of the field of [`Audit`] that counts its violations.
    pub promise: &'static str,
    /// Number of violations; for `retries_max`, the largest number of retries that one attempt of a
    /// caller caused.
    pub count: u64,
}

impl Audit {
    /// Compares the report of a finished load with the execution logs of all backends.
    #[must_use]
    pub fn new(scenario: &Scenario, load: &LoadReport, records: &[ExecutionReport]) -> Self {
        let entries = EntryExecutions::new(scenario, records);
        let attempt_records = || load.attempt_records.values().flatten();
        let executions = || records.iter().flat_map(|report| &report.executions);
        let wrong_outbound = executions().filter(|e| e.state == ExecutionState::WrongDeeperAnswer);
        Self {
            executions: executions().count() as u64,
            lost: attempt_records()
                .filter(|record| is_lost(&record.attempt))
                .count() as u64,
            answers_without_execution: entries.responses_without_execution(load),
            not_run_but_ran: attempt_records()
                .filter(|record| entries.executed_despite_not_run(record))
                .count() as u64,
            duplicate_effects: entries.duplicate_effects(),
            wrong_answers: load.invalid_responses() + wrong_outbound.count() as u64,
            retries_max: retries_max(records),
            wasted_work_ratio: wasted_work(load, records),
            after_drain: records.iter().map(|r| r.unexecuted.after_drain).sum(),
        }
    }

    /// Returns the violated guarantees. `retry_bound` is the configured maximum number of retries per
    /// originating request; without it retries are not checked.
    #[must_use]
    pub fn violations(&self, retry_bound: Option<u64>) -> Vec<Violation> {
        let over_bound = retry_bound.is_some_and(|bound| self.retries_max > bound);
        let retries = if over_bound { self.retries_max } else { 0 };
        let counts = [
            ("lost", self.lost),
            ("answers_without_execution", self.answers_without_execution),
            ("not_run_but_ran", self.not_run_but_ran),
            ("duplicate_effects", self.duplicate_effects),
            ("wrong_answers", self.wrong_answers),
            ("retries_max", retries),
        ];
        let violated = counts.into_iter().filter(|(_, count)| *count > 0);
        violated
            .map(|(promise, count)| Violation { promise, count })
            .collect()
    }
}

impl Display for Audit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "executions {}, retries per request at most {}, wasted work {:.1}%",
            self.executions,
            self.retries_max,
            self.wasted_work_ratio * 100.0
        )?;
        writeln!(
            formatter,
            "lost {}, wrong answers {}, answers without execution {}, not run but ran {}, \
             duplicate effects {}",
            self.lost,
            self.wrong_answers,
            self.answers_without_execution,
            self.not_run_but_ran,
            self.duplicate_effects
        )
    }
}

const fn is_lost(attempt: &Attempt) -> bool {
    matches!(
        attempt.outcome,
        AttemptOutcome::ConnectionLost | AttemptOutcome::TimedOut
    )
}

/// Executions at the entry service, to which callers address their requests.
struct EntryExecutions<'a> {
    /// Ids of the executed calls, including executions that did not complete.
    calls: HashSet<&'a str>,
    /// Number of completed executions by request token, the id that the caller chose for the originating
    /// request.
    completed: HashMap<&'a str, u64>,
    /// Number of completed executions of non-repeatable requests, by request token. More than one means a
    /// duplicate effect.
    effects: HashMap<&'a str, u64>,
}

impl<'a> EntryExecutions<'a> {
    fn new(scenario: &Scenario, records: &'a [ExecutionReport]) -> Self {
        let mut entries = Self {
            calls: HashSet::new(),
            completed: HashMap::new(),
            effects: HashMap::new(),
        };
        for report in records {
            for execution in &report.executions {
                let model = scenario.requests.iter();
                let model = model
                    .filter(|model| model.entry == report.service)
                    .find(|model| model.kind == execution.request_kind);
                if let Some(model) = model {
                    entries.add(execution, model.repeatable);
                }
            }
        }
        entries
    }

    fn add(&mut self, execution: &'a ExecutionRecord, repeatable: bool) {
        self.calls.insert(&execution.call);
        if execution.state != ExecutionState::Completed {
            return;
        }
        *self.completed.entry(&execution.token).or_default() += 1;
        if !repeatable {
            *self.effects.entry(&execution.token).or_default() += 1;
        }
    }

    fn executed_despite_not_run(&self, record: &AttemptRecord) -> bool {
        record.attempt.outcome == AttemptOutcome::NotRun
            && self.calls.contains(record.call.as_str())
    }

    fn duplicate_effects(&self) -> u64 {
        self.effects.values().filter(|count| **count > 1).count() as u64
    }

    fn responses_without_execution(&self, load: &LoadReport) -> u64 {
        let answered = load
            .attempt_records
            .iter()
            .filter(|(_, attempt_records)| has_complete_response(attempt_records));
        answered
            .filter(|(token, _)| !self.completed.contains_key(token.as_str()))
            .count() as u64
    }
}

fn has_complete_response(attempt_records: &[AttemptRecord]) -> bool {
    let mut outcomes = attempt_records.iter().map(|record| record.attempt.outcome);
    outcomes.any(|outcome| outcome == AttemptOutcome::Complete)
}

/// Returns the maximum number of retries for one attempt of a caller. Each arrival of a call after
/// its first is a retry by a daemon and is attributed to the caller's attempt that caused the call.
fn retries_max(records: &[ExecutionReport]) -> u64 {
    let mut arrivals: HashMap<&str, u64> = HashMap::new();
    for report in records {
        let executed = report.executions.iter().map(|e| e.call.as_str());
        let unexecuted = report.unexecuted_calls.iter().map(String::as_str);
        for call in executed.chain(unexecuted) {
            *arrivals.entry(call).or_default() += 1;
        }
    }
    let mut retries: HashMap<&str, u64> = HashMap::new();
    for (call, count) in arrivals {
        *retries.entry(root_call(call)).or_default() += count - 1;
    }
    retries.into_values().max().unwrap_or_default()
}

/// Returns the call id of the caller's attempt that caused a call.
fn root_call(call: &str) -> &str {
    call.split('.').next().unwrap_or(call)
}

fn wasted_work(load: &LoadReport, records: &[ExecutionReport]) -> f64 {
    let useful: HashSet<&str> = load
        .attempt_records
        .values()
        .flatten()
        .filter(|record| record.attempt.outcome == AttemptOutcome::Complete && record.in_time)
        .map(|record| record.call.as_str())
        .collect();
    let mut total = 0;
    let mut wasted = 0;
    for execution in records.iter().flat_map(|report| &report.executions) {
        let time = execution.ended_us.saturating_sub(execution.started_us);
        total += time;
        if !useful.contains(root_call(&execution.call)) {
            wasted += time;
        }
    }
    if total == 0 {
        return 0.0;
    }
    wasted as f64 / total as f64
}

/// Fetches the execution logs of backends.
///
/// # Errors
/// [`FetchError`] names the backend whose log can't be read.
pub async fn fetch(backends: &[SocketAddr]) -> Result<Vec<ExecutionReport>, FetchError> {
    let mut records = Vec::with_capacity(backends.len());
    for &backend in backends {
        records.push(fetch_one(backend).await?);
    }
    Ok(records)
}

async fn fetch_one(backend: SocketAddr) -> Result<ExecutionReport, FetchError> {
    let failed = |error: &dyn Display| FetchError::ReadFailed(backend, error.to_string());
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let uri: Uri = format!("http://{backend}/wharfquay/executions")
        .parse()
        .map_err(|error: http::uri::InvalidUri| failed(&error))?;
    let request = Request::get(uri).body(Full::default());
    let request = request.map_err(|error| failed(&error))?;
    let response = client.request(request).await;
    let response = response.map_err(|error| failed(&error))?;
    let body = response.into_body().collect().await;
    let body = body.map_err(|error| failed(&error))?.to_bytes();
    serde_json::from_slice(&body).map_err(|error| FetchError::Malformed(backend, error.to_string()))
}

//! Compares what callers were told with what back ends recorded.

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

use super::attempt::{Attempt, AttemptEnd};
use super::report::LoadReport;
use crate::backend::record::{ExecutionRecord, ExecutionReport, ExecutionState};
use crate::scenario::Scenario;

/// What a caller was told about one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptNote {
    /// Identity of the attempt in the records of back ends.
    pub call: String,
    /// What it came to.
    pub attempt: Attempt,
    /// Whether it ended before the deadline of the originating request.
    pub in_time: bool,
}

/// Why the records of a back end can't be read.
#[derive(Clone, Debug, DisplayDoc, PartialEq, Eq)]
pub enum FetchError {
    /// back end {0}: {1}
    Connect(SocketAddr, String),
    /// back end {0}: malformed records: {1}
    Malformed(SocketAddr, String),
}

impl std::error::Error for FetchError {}

/// What the comparison found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Audit {
    /// Executions of all back ends.
    pub executions: u64,
    /// Attempts of callers that got no answer, neither an outcome nor a result.
    pub lost: u64,
    /// Whole answers for which no back end of the entry service recorded a completed execution.
    pub answers_without_execution: u64,
    /// Attempts that were told *not run* although the entry service executed them.
    pub not_run_but_ran: u64,
    /// Requests that are not repeatable and took effect more than once.
    pub duplicate_effects: u64,
    /// Answers of another request, cut or altered, at callers or at back ends.
    pub wrong_answers: u64,
    /// Most retries that one attempt of a caller caused, over all hops.
    pub retries_max: u64,
    /// Share of the execution time that went into attempts without a whole answer in time.
    pub wasted_work_ratio: f64,
    /// Requests that reached a back end after its drain began.
    pub after_drain: u64,
}

/// A promise that was broken, with the number of times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BrokenPromise {
    /// Field of the audit.
    pub promise: &'static str,
    /// How often, or the value that was reached.
    pub count: u64,
}

impl Audit {
    /// Compares a finished load with the records of all back ends.
    #[must_use]
    pub fn new(scenario: &Scenario, load: &LoadReport, records: &[ExecutionReport]) -> Self {
        let entries = EntryExecutions::new(scenario, records);
        let notes = || load.notes.values().flatten();
        let executions = || records.iter().flat_map(|report| &report.executions);
        let wrong_deeper = executions().filter(|e| e.state == ExecutionState::WrongDeeperAnswer);
        Self {
            executions: executions().count() as u64,
            lost: notes().filter(|note| is_lost(&note.attempt)).count() as u64,
            answers_without_execution: entries.answers_without_execution(load),
            not_run_but_ran: notes().filter(|note| entries.ran_unsaid(note)).count() as u64,
            duplicate_effects: entries.duplicate_effects(),
            wrong_answers: load.wrong_answers() + wrong_deeper.count() as u64,
            retries_max: retries_max(records),
            wasted_work_ratio: wasted_work(load, records),
            after_drain: records.iter().map(|r| r.unexecuted.after_drain).sum(),
        }
    }

    /// The promises that were broken; `retry_bound` is the configured number of retries per
    /// originating request.
    #[must_use]
    pub fn broken_promises(&self, retry_bound: Option<u64>) -> Vec<BrokenPromise> {
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
        let broken = counts.into_iter().filter(|(_, count)| *count > 0);
        broken
            .map(|(promise, count)| BrokenPromise { promise, count })
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
        attempt.end,
        AttemptEnd::ConnectionLost | AttemptEnd::TimedOut
    )
}

/// Executions at the service that callers address.
struct EntryExecutions<'a> {
    calls: HashSet<&'a str>,
    completed: HashMap<&'a str, u64>,
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

    fn ran_unsaid(&self, note: &AttemptNote) -> bool {
        note.attempt.end == AttemptEnd::NotRun && self.calls.contains(note.call.as_str())
    }

    fn duplicate_effects(&self) -> u64 {
        self.effects.values().filter(|count| **count > 1).count() as u64
    }

    fn answers_without_execution(&self, load: &LoadReport) -> u64 {
        let answered = load.notes.iter().filter(|(_, notes)| has_whole(notes));
        answered
            .filter(|(token, _)| !self.completed.contains_key(token.as_str()))
            .count() as u64
    }
}

fn has_whole(notes: &[AttemptNote]) -> bool {
    let mut ends = notes.iter().map(|note| note.attempt.end);
    ends.any(|end| end == AttemptEnd::Whole)
}

/// A call that arrives more than once was retried by a daemon. Retries count for the caller's
/// attempt that they descend from.
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
        *retries.entry(first_call(call)).or_default() += count - 1;
    }
    retries.into_values().max().unwrap_or_default()
}

/// The caller's attempt that a call descends from.
fn first_call(call: &str) -> &str {
    call.split('.').next().unwrap_or(call)
}

fn wasted_work(load: &LoadReport, records: &[ExecutionReport]) -> f64 {
    let useful: HashSet<&str> = load
        .notes
        .values()
        .flatten()
        .filter(|note| note.attempt.end == AttemptEnd::Whole && note.in_time)
        .map(|note| note.call.as_str())
        .collect();
    let mut total = 0;
    let mut wasted = 0;
    for execution in records.iter().flat_map(|report| &report.executions) {
        let time = execution.ended_us.saturating_sub(execution.started_us);
        total += time;
        if !useful.contains(first_call(&execution.call)) {
            wasted += time;
        }
    }
    if total == 0 {
        return 0.0;
    }
    wasted as f64 / total as f64
}

/// Reads the records of back ends.
///
/// # Errors
/// [`FetchError`] names the back end that can't be read.
pub async fn fetch(backends: &[SocketAddr]) -> Result<Vec<ExecutionReport>, FetchError> {
    let mut records = Vec::with_capacity(backends.len());
    for &backend in backends {
        records.push(fetch_one(backend).await?);
    }
    Ok(records)
}

async fn fetch_one(backend: SocketAddr) -> Result<ExecutionReport, FetchError> {
    let failed = |error: &dyn Display| FetchError::Connect(backend, error.to_string());
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

//! The record of every execution, by originating request.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// How an execution stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionState {
    /// In a slot.
    Running,
    /// Done; its effect took place.
    Completed,
    /// A deeper call gave no usable answer.
    DependencyFailed,
    /// A deeper call gave the answer of another request, or a part of one.
    WrongDeeperAnswer,
    /// The caller went away.
    Cancelled,
    /// The deadline passed.
    DeadlineExceeded,
}

/// One execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// Origin id that the back end's daemon gave; empty without a daemon.
    pub origin: String,
    /// Token of the caller's originating request.
    pub token: String,
    /// Identity of the logical call; retries by daemons keep it. It begins with the identity of
    /// the call that caused it, up to a dot.
    pub call: String,
    /// Request kind.
    pub request_kind: String,
    /// Idempotency key, when the request carries one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
    /// Unix time at which the execution took its slot, in microseconds.
    pub started_us: u64,
    /// Unix time at which the execution ended, in microseconds; zero while it runs.
    pub ended_us: u64,
    /// How the execution stands.
    pub state: ExecutionState,
}

/// What the back end received without executing it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unexecuted {
    /// Refused because the queue was full, by fault or while draining.
    pub refused: u64,
    /// Callers that went away, or deadlines that passed, in the queue.
    pub left_queue: u64,
    /// Requests whose connection was closed by fault.
    pub closed: u64,
    /// Connections that were closed over the limit.
    pub connections_over_limit: u64,
    /// Requests that arrived after the drain began.
    pub after_drain: u64,
    /// Time from the start of the drain to the last request, in milliseconds.
    pub last_after_drain_ms: u64,
}

/// Everything that a back end recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionReport {
    /// The back end.
    pub id: String,
    /// Its service.
    pub service: String,
    /// The executions in order of their start.
    pub executions: Vec<ExecutionRecord>,
    /// Logical calls that arrived without being executed, once per arrival.
    pub unexecuted_calls: Vec<String>,
    /// What was not executed.
    pub unexecuted: Unexecuted,
}

/// Position of an execution in the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutionNumber(usize);

/// The record of one back end.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    inner: Mutex<LogInner>,
}

#[derive(Debug, Default)]
struct LogInner {
    executions: Vec<ExecutionRecord>,
    unexecuted_calls: Vec<String>,
    unexecuted: Unexecuted,
}

impl ExecutionLog {
    /// Notes an execution that takes its slot now.
    pub fn start(&self, mut record: ExecutionRecord) -> ExecutionNumber {
        record.started_us = unix_micros();
        record.ended_us = 0;
        record.state = ExecutionState::Running;
        let mut inner = self.lock();
        inner.executions.push(record);
        ExecutionNumber(inner.executions.len() - 1)
    }

    /// Notes how an execution ended.
    pub fn end(&self, number: ExecutionNumber, state: ExecutionState) {
        let mut inner = self.lock();
        if let Some(record) = inner.executions.get_mut(number.0) {
            record.ended_us = unix_micros();
            record.state = state;
        }
    }

    /// Notes that a request of this logical call was not executed, and counts why.
    pub fn not_executed(&self, call: &str, change: impl FnOnce(&mut Unexecuted)) {
        let mut inner = self.lock();
        change(&mut inner.unexecuted);
        inner.unexecuted_calls.push(call.to_owned());
    }

    /// Changes the counts of what was not executed.
    pub fn note(&self, change: impl FnOnce(&mut Unexecuted)) {
        change(&mut self.lock().unexecuted);
    }

    /// A copy of everything recorded so far.
    #[must_use]
    pub fn report(&self, id: &str, service: &str) -> ExecutionReport {
        let inner = self.lock();
        ExecutionReport {
            id: id.to_owned(),
            service: service.to_owned(),
            executions: inner.executions.clone(),
            unexecuted_calls: inner.unexecuted_calls.clone(),
            unexecuted: inner.unexecuted,
        }
    }

    fn lock(&self) -> MutexGuard<'_, LogInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Unix time in microseconds.
#[must_use]
pub fn unix_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    })
}

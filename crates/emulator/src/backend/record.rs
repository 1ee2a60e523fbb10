//! Log of every execution of a backend, with the originating request of each.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// State of an execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionState {
    /// Occupies a slot.
    Running,
    /// Completed; its effect took place.
    Completed,
    /// An outbound call failed or got no complete response.
    DependencyFailed,
    /// An outbound call got the response to another request, or a truncated or altered one, as if it
    /// were valid.
    WrongDeeperAnswer,
    /// The caller disconnected, or the backend terminated.
    Cancelled,
    /// The deadline passed during the execution.
    DeadlineExceeded,
}

/// Record of one execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// Origin id from the header that the daemon sets; empty without a daemon.
    pub origin: String,
    /// Token of the originating request: a unique id that its caller chooses and sends in the query.
    /// Calls on behalf of the request carry the same token.
    pub token: String,
    /// Id of the logical call, which daemons keep when they retry it. It consists of the id of the
    /// parent call, a dot and a suffix of its own; calls of callers have no dot.
    pub call: String,
    /// Name of the request kind.
    pub request_kind: String,
    /// Idempotency key, if the request carries one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
    /// Unix time at which the execution acquired its slot, in microseconds.
    pub started_us: u64,
    /// Unix time at which the execution completed, failed or was cancelled, in microseconds; zero
    /// while it runs.
    pub ended_us: u64,
    /// State of the execution.
    pub state: ExecutionState,
}

/// Counts of requests and connections that the backend received without executing anything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unexecuted {
    /// Requests refused because of a full queue, an injected fault or a drain.
    pub refused: u64,
    /// Requests that left the queue because their caller disconnected or their deadline passed.
    pub left_queue: u64,
    /// Requests whose connection an injected fault closed before execution.
    pub closed: u64,
    /// Connections closed because the connection limit was reached.
    pub connections_over_limit: u64,
    /// Requests that arrived after the drain started.
    pub after_drain: u64,
    /// Time from the start of the drain to the last request, in milliseconds.
    pub last_after_drain_ms: u64,
}

/// Contents of a backend's execution log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionReport {
    /// Id of the backend.
    pub id: String,
    /// Name of the backend's service.
    pub service: String,
    /// Executions, ordered by start.
    pub executions: Vec<ExecutionRecord>,
    /// Ids of logical calls that arrived and were not executed, once per arrival.
    pub unexecuted_calls: Vec<String>,
    /// Counts of what was not executed, by reason.
    pub unexecuted: Unexecuted,
}

/// Index of an execution in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutionNumber(usize);

/// Execution log of one backend.
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
    /// Records the start of an execution and sets its start time and state.
    pub fn start(&self, mut record: ExecutionRecord) -> ExecutionNumber {
        record.started_us = unix_micros();
        record.ended_us = 0;
        record.state = ExecutionState::Running;
        let mut inner = self.lock();
        inner.executions.push(record);
        ExecutionNumber(inner.executions.len() - 1)
    }

    /// Records the final state of an execution.
    pub fn finish(&self, number: ExecutionNumber, state: ExecutionState) {
        let mut inner = self.lock();
        if let Some(record) = inner.executions.get_mut(number.0) {
            record.ended_us = unix_micros();
            record.state = state;
        }
    }

    /// Records that a request of this logical call was not executed; `change` counts the reason.
    pub fn record_unexecuted(&self, call: &str, change: impl FnOnce(&mut Unexecuted)) {
        let mut inner = self.lock();
        change(&mut inner.unexecuted);
        inner.unexecuted_calls.push(call.to_owned());
    }

    /// Updates the counts of what was not executed.
    pub fn update_counts(&self, change: impl FnOnce(&mut Unexecuted)) {
        change(&mut self.lock().unexecuted);
    }

    /// Returns a copy of the log.
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

/// Returns the current Unix time in microseconds.
#[must_use]
pub fn unix_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    })
}

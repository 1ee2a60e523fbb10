//! Decides how long a connection of a caller lives: which request is the last that is taken from
//! it, which response announces its end, and why it ends.
//!
//! Requests are taken while the connection has no last request. Whatever was taken is answered, and
//! the response to the last request carries `Connection: close`, unless its head was written before
//! that was known. Every reason for an end goes through this state, so the reading and the writing
//! side of a connection can't decide differently.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use wharfquay_daemon::sync::lock;

use crate::stop_phase::{StopPhase, StopSignal};

/// Reason why a connection of a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Every request that was taken is answered, and no further one is taken.
    Complete,
    /// No request was in progress for the idle timeout, or when the sidecar closed its connections.
    Idle,
    /// The caller closed or reset the connection. The end of its input counts as well: a caller that
    /// gives up can't be distinguished from one that only sends nothing more.
    CallerGone,
    /// The caller accepted no byte of a response within the timeout.
    CallerStalled,
    /// A response broke off after its head was sent, so nothing can follow it.
    ResponseBroken,
    /// The grace period of the stop was over.
    Stopped,
}

impl ConnectionEnd {
    /// Every reason, in the order of the labels of the metric.
    pub const ALL: [Self; 6] = [
        Self::Complete,
        Self::Idle,
        Self::CallerGone,
        Self::CallerStalled,
        Self::ResponseBroken,
        Self::Stopped,
    ];

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Idle => "idle",
            Self::CallerGone => "caller_gone",
            Self::CallerStalled => "caller_stalled",
            Self::ResponseBroken => "response_broken",
            Self::Stopped => "stopped",
        }
    }

    /// True if the caller itself ended the connection.
    #[must_use]
    pub const fn is_by_caller(self) -> bool {
        matches!(self, Self::CallerGone | Self::CallerStalled)
    }
}

/// Whether another response may follow on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The connection remains open.
    KeepAlive,
    /// The response is the last one and announces it.
    Close,
}

/// The state of one connection, shared by its reader and its writer.
#[derive(Debug)]
pub struct Lifecycle {
    stop: StopSignal,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Number of requests that were taken and whose response has not begun.
    heads_due: usize,
    /// Number of requests that were taken and whose response is not completely written.
    responses_due: usize,
    /// True if no further request is taken.
    has_last_request: bool,
    /// Time at which the last response was written or the connection was opened.
    idle_since: Instant,
    /// The first reason for an end.
    end: Option<ConnectionEnd>,
}

impl Lifecycle {
    /// Creates the state of a new connection.
    #[must_use]
    pub fn new(stop: StopSignal) -> Self {
        Self {
            stop,
            state: Mutex::new(State {
                heads_due: 0,
                responses_due: 0,
                has_last_request: false,
                idle_since: Instant::now(),
                end: None,
            }),
        }
    }

    /// Takes a request, which then has to be answered. Returns false if no further request is taken:
    /// the caller has to repeat it on another connection.
    ///
    /// During a stop, a request is taken only while each response in progress has announced that the
    /// connection remains open.
    pub fn take(&self) -> bool {
        let mut state = lock(&self.state);
        if self.is_stopping() && state.heads_due > 0 {
            state.has_last_request = true;
        }
        if state.has_last_request || state.end.is_some() {
            return false;
        }
        state.heads_due += 1;
        state.responses_due += 1;
        true
    }

    /// Takes no further request.
    pub fn finish_taking(&self) {
        lock(&self.state).has_last_request = true;
    }

    /// Begins the response to the request that was taken first among those without a response.
    pub fn begin_response(&self) -> Persistence {
        let mut state = lock(&self.state);
        state.heads_due = state.heads_due.saturating_sub(1);
        if state.heads_due > 0 {
            return Persistence::KeepAlive;
        }
        if self.is_stopping() {
            state.has_last_request = true;
        }
        match state.has_last_request {
            true => Persistence::Close,
            false => Persistence::KeepAlive,
        }
    }

    /// Ends a response that was completely written. Returns true if it was the last one.
    pub fn complete_response(&self) -> bool {
        let mut state = lock(&self.state);
        state.responses_due = state.responses_due.saturating_sub(1);
        state.idle_since = Instant::now();
        state.has_last_request && state.responses_due == 0
    }

    /// Returns the time since which no request has been in progress; `None` while one is.
    pub fn idle_time(&self) -> Option<Duration> {
        let state = lock(&self.state);
        (state.responses_due == 0).then(|| state.idle_since.elapsed())
    }

    /// Ends the connection. The first reason is kept.
    pub fn end(&self, end: ConnectionEnd) {
        let mut state = lock(&self.state);
        state.has_last_request = true;
        state.end.get_or_insert(end);
    }

    /// Returns why the connection ended. One that was dropped with its task has no other reason than
    /// the stop.
    pub fn reason(&self) -> ConnectionEnd {
        lock(&self.state).end.unwrap_or(ConnectionEnd::Stopped)
    }

    fn is_stopping(&self) -> bool {
        self.stop.phase() >= StopPhase::Draining
    }
}

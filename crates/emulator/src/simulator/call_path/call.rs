//! Requests, outgoing calls and executions as the simulator holds them.

use std::time::Duration;

use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::AdmissionKey;
use wharfquay_core::retry::{Grant, Ledger};
use wharfquay_core::routing::EndpointId;
use wharfquay_core::time::Timestamp;

use super::arena::Id;

pub(super) type RequestId = Id<Request>;
pub(super) type OutgoingId = Id<Outgoing>;
pub(super) type ExecutionId = Id<Execution>;

/// One attempt of a caller: an originating request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) session: usize,
    pub(super) kind: usize,
    pub(super) origin: u64,
    pub(super) key: AdmissionKey,
    pub(super) deadline: Timestamp,
    pub(super) ledger: Ledger,
    pub(super) root: Option<OutgoingId>,
    /// Retries of all hops.
    pub(super) retries: u32,
    /// Executions at the entry service that started.
    pub(super) entry_executions: u32,
    /// Work done for it so far.
    pub(super) work: Duration,
    /// Whether the caller has its answer or has given up.
    pub(super) ended: bool,
    /// Whether the caller has the whole answer in time.
    pub(super) whole: bool,
    /// Whether the caller was told that nothing ran.
    pub(super) reported_not_run: bool,
    /// Outgoing calls and executions that still refer to it.
    pub(super) references: u32,
    /// Where it was last refused for want of capacity.
    pub(super) refused: Option<Refused>,
}

/// A refusal for want of capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refused {
    pub(super) service: usize,
    pub(super) since: Timestamp,
    pub(super) at: Timestamp,
}

/// A call that a node makes to a service, over all its attempts.
#[derive(Debug)]
pub(super) struct Outgoing {
    pub(super) request: RequestId,
    pub(super) node: usize,
    pub(super) service: usize,
    /// Execution on whose behalf the call is made; `None` at the edge.
    pub(super) parent: Option<ExecutionId>,
    pub(super) tried: Vec<EndpointId>,
    pub(super) retries: u32,
    pub(super) uncertain: Option<ResultCode>,
    /// The attempt under way.
    pub(super) attempt: Option<Attempt>,
}

/// An attempt under way, as its sender sees it.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) execution: ExecutionId,
    pub(super) grant: Grant,
    pub(super) endpoint: EndpointId,
    pub(super) sent: Timestamp,
}

/// Where an attempt stands at its back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// On its way to the daemon.
    Travelling,
    /// In the daemon's queue.
    Queued,
    /// Dispatched; on its way to a slot.
    Dispatched,
    /// In a slot.
    Running,
}

/// An attempt at its back end.
#[derive(Debug)]
pub(super) struct Execution {
    pub(super) request: RequestId,
    pub(super) outgoing: OutgoingId,
    /// Node that sent the attempt.
    pub(super) from: usize,
    /// Node of the back end.
    pub(super) node: usize,
    pub(super) service: usize,
    pub(super) stage: Stage,
    pub(super) offered: Timestamp,
    pub(super) ledger: Ledger,
    pub(super) incarnation: u64,
    pub(super) work_started: Timestamp,
    pub(super) work_done: bool,
    pub(super) next_call: usize,
    pub(super) open_calls: Vec<OutgoingId>,
    pub(super) failed: bool,
}

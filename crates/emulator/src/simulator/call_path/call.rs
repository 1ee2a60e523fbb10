//! State of requests, outgoing calls and executions.

use std::time::Duration;

use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::AdmissionKey;
use wharfquay_core::retry::{Grant, Ledger};
use wharfquay_core::routing::EndpointId;
use wharfquay_core::time::Timestamp;

use super::arena::Id;

pub(super) type RequestId = Id<Request>;
pub(super) type OutgoingId = Id<OutgoingCall>;
pub(super) type ExecutionId = Id<Execution>;

/// An originating request: one attempt of a caller.
#[derive(Debug)]
pub(super) struct Request {
    /// Index of the session.
    pub(super) session: usize,
    /// Index of the request kind.
    pub(super) kind: usize,
    /// Number of the originating request; its origin id is derived from it.
    pub(super) origin: u64,
    pub(super) key: AdmissionKey,
    pub(super) deadline: Timestamp,
    /// Retry allowance of the whole request, held by the edge.
    pub(super) ledger: Ledger,
    /// The edge's call to the entry service; absent when that call completed before the deadline was
    /// scheduled.
    pub(super) root: Option<OutgoingId>,
    /// Number of retries made by all hops.
    pub(super) retries: u32,
    /// Number of executions that started at the entry service.
    pub(super) entry_executions: u32,
    /// Execution time spent on the request so far.
    pub(super) work: Duration,
    /// True once the edge has responded to the caller.
    pub(super) completed: bool,
    /// True if the caller receives the complete response in time.
    pub(super) is_complete_in_time: bool,
    /// True if the caller received a result that says that the request did not run.
    pub(super) reported_not_run: bool,
    /// Number of outgoing calls and executions that still refer to the request.
    pub(super) references: u32,
    /// The last refusal for lack of capacity.
    pub(super) last_refusal: Option<CapacityRefusal>,
}

/// A refusal for lack of capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct CapacityRefusal {
    /// The service that refused.
    pub(super) service: usize,
    /// Time at which the refused attempt was sent; the time of the refusal if none was.
    pub(super) sent: Timestamp,
    /// Time of the refusal.
    pub(super) at: Timestamp,
}

/// A call that a node makes to a service, with all its attempts.
#[derive(Debug)]
pub(super) struct OutgoingCall {
    pub(super) request: RequestId,
    pub(super) node: usize,
    pub(super) service: usize,
    /// The execution that makes the call; `None` at the edge.
    pub(super) parent: Option<ExecutionId>,
    /// Endpoints whose attempts failed; a retry prefers others.
    pub(super) failed_endpoints: Vec<EndpointId>,
    pub(super) retries: u32,
    /// True if a backend refused an attempt because of its announced rate limit.
    pub(super) is_rate_limited: bool,
    /// Result code of the last attempt that may have run.
    pub(super) uncertain: Option<ResultCode>,
    /// The attempt in flight.
    pub(super) attempt: Option<Attempt>,
}

/// An attempt in flight, as its sender sees it.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) execution: ExecutionId,
    /// Retry allowance that is sent with the attempt.
    pub(super) grant: Grant,
    pub(super) endpoint: EndpointId,
    pub(super) sent: Timestamp,
}

/// The stage that an attempt has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// In flight to the daemon.
    InTransit,
    /// In the daemon's queue.
    Queued,
    /// Dispatched to the backend, without a slot yet.
    Dispatched,
    /// Running in a slot, or waiting for downstream calls while it holds the slot.
    Running,
}

/// An attempt at its receiver, from the time at which it is sent until the backend has responded: first in
/// transit, then in the daemon's queue, then executed by the backend.
#[derive(Debug)]
pub(super) struct Execution {
    pub(super) request: RequestId,
    pub(super) outgoing: OutgoingId,
    /// The node that sent the attempt.
    pub(super) from: usize,
    /// The node of the backend that receives the attempt.
    pub(super) node: usize,
    pub(super) service: usize,
    pub(super) stage: Stage,
    /// Time at which the attempt arrived at the daemon; while it is in transit, the time at which it was
    /// sent.
    pub(super) arrived_at: Timestamp,
    /// Time at which the daemon sent the call to the backend; zero before.
    pub(super) dispatched_at: Timestamp,
    /// Retry allowance for the downstream calls.
    pub(super) ledger: Ledger,
    /// Incarnation of the backend when the attempt arrived.
    pub(super) incarnation: u64,
    pub(super) work_started: Timestamp,
    pub(super) work_done: bool,
    /// Index of the next downstream call in the step.
    pub(super) next_call: usize,
    /// Downstream calls in flight.
    pub(super) open_calls: Vec<OutgoingId>,
    /// True if a downstream call failed.
    pub(super) failed: bool,
}

//! What a run showed.

use std::collections::BTreeMap;
use std::time::Duration;

use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::Priority;
use wharfquay_core::time::Timestamp;

/// One originating demand of a caller, over all attempts that the caller makes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionRecord {
    /// Request kind, by index.
    pub kind: usize,
    /// When the caller sent its first attempt.
    pub arrived: Timestamp,
    /// When a whole answer reached the caller within the kind's deadline after `arrived`.
    pub whole_at: Option<Timestamp>,
    /// Attempts that the caller made.
    pub attempts: u32,
    /// Executions that took effect.
    pub effects: u32,
}

/// Counters of one request kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindRecord {
    /// Most retries that the system made for one originating request.
    pub retries_max: u32,
    /// Work in slots for attempts whose whole answer was delivered in time.
    pub useful_work: Duration,
    /// Work in slots for all others.
    pub wasted_work: Duration,
    /// Requests of priority 0 refused while a less important one was dispatched at the same service.
    pub priority_inversions: u64,
    /// Requests reported as not run that ran.
    pub not_run_but_ran: u64,
    /// Answers that reached another request than their own.
    pub mixed_answers: u64,
    /// Attempts reported as not run.
    pub refused: u64,
}

/// What happened at a service to the calls of one priority during the surge.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRecord {
    /// Calls handed to a back end.
    pub dispatched: u64,
    /// Time that these waited in the daemons' queues.
    pub waited: Duration,
    /// Time that their executions held a slot.
    pub held: Duration,
    /// Calls refused before they reached a daemon of the service.
    pub refused_early: u64,
    /// Calls refused by a daemon of the service, by result code.
    pub refused: BTreeMap<ResultCode, u64>,
}

/// A whole run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunRecord {
    /// Every session, in order of arrival.
    pub sessions: Vec<SessionRecord>,
    /// By service, then by priority.
    pub services: Vec<[ServiceRecord; Priority::COUNT]>,
    /// By request kind.
    pub kinds: Vec<KindRecord>,
    /// Events that were simulated.
    pub events: u64,
}

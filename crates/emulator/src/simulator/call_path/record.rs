//! Records of a simulation run.

use std::collections::BTreeMap;
use std::time::Duration;

use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::Priority;
use wharfquay_core::time::Timestamp;

use super::settings::Announcement;

/// One session: a caller's request with all attempts that the caller makes for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionRecord {
    /// Index of the request kind.
    pub kind: usize,
    /// Time at which the caller sent its first attempt.
    pub arrived: Timestamp,
    /// Time at which a complete response reached the caller; `None` if none did within the kind's
    /// deadline after `arrived`.
    pub complete_response_at: Option<Timestamp>,
    /// Number of attempts that the caller made.
    pub attempts: u32,
    /// Number of executions that took effect; counted only for requests that must run at most once.
    pub effects: u32,
}

/// Counters of one request kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindRecord {
    /// Largest number of retries that the daemons made for one originating request, over all hops.
    pub retries_max: u32,
    /// Total time for which executions held a slot, for requests whose complete response reached the caller
    /// in time.
    pub useful_work: Duration,
    /// Total time for which executions held a slot, for requests whose complete response did not reach the
    /// caller in time or that got none.
    pub wasted_work: Duration,
    /// Requests of priority 0 that were refused while a less important one was dispatched at the same
    /// service.
    pub priority_inversions: u64,
    /// Requests that were reported to the caller as not run although they ran.
    pub not_run_but_ran: u64,
    /// Responses that were delivered to a request other than their own.
    pub misdelivered_responses: u64,
    /// Requests that were reported to the caller as not run.
    pub refused: u64,
}

/// Counters of the calls of one priority to one service during the surge.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRecord {
    /// Calls dispatched to a backend.
    pub dispatched: u64,
    /// Total time that the dispatched calls waited in the daemons' queues.
    pub waited: Duration,
    /// Total time that executions held a slot.
    pub held: Duration,
    /// Calls that the calling daemon refused before they reached a daemon of the service.
    pub refused_early: u64,
    /// Calls refused by a daemon of the service, by result code.
    pub refused: BTreeMap<ResultCode, u64>,
}

/// Calls that were sent to a backend while it announced something.
#[derive(Clone, Debug, PartialEq)]
pub struct AnnouncementRecord {
    /// Index of the backend.
    pub backend: usize,
    /// What the backend announced.
    pub announcement: Announcement,
    /// Time of the first response with an announcement; `None` if there was none.
    pub first_announced_at: Option<Timestamp>,
    /// Rates that responses announced, in requests per second, each with the time of the first such
    /// response; `None` for none.
    pub rates: Vec<(Timestamp, Option<f64>)>,
    /// Times at which calls were sent to the backend during the surge.
    pub arrivals: Vec<Timestamp>,
    /// Calls that were broken off at the backend during the surge.
    pub cancelled: u64,
}

/// The record of a whole run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunRecord {
    /// Every session, ordered by arrival.
    pub sessions: Vec<SessionRecord>,
    /// Counters by service, then by priority.
    pub services: Vec<[ServiceRecord; Priority::COUNT]>,
    /// Counters by request kind.
    pub kinds: Vec<KindRecord>,
    /// Records of the announcing backends.
    pub announcements: Vec<AnnouncementRecord>,
    /// Number of simulated events.
    pub events: u64,
}

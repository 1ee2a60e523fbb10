//! Admission decisions for one backend.

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::estimate::{FloorDuration, MeanDuration, unit_hash};
use crate::admission::level::LevelController;
use crate::admission::limit::{Limit, LimitBounds, LimitSample};
use crate::admission::queue::{PushResult, WaitQueue, Waiting};
use crate::admission::reserve::Reserve;
use crate::admission::settings::AdmissionSettings;
use crate::backend_load::{
    ExecutionEstimate, ExecutionSample, ReportedExecution, Slowdown, SlowdownHistory, SlowdownMark,
};
use crate::outcome::ResultCode;
use crate::priority::{AdmissionKey, AdmissionLevel, Priority};
use crate::time::Timestamp;

/// Weight of one call in the moving average of execution times.
const MEAN_WEIGHT: f64 = 0.05;
/// Factor by which calls of the highest priority may wait longer than others.
const HIGHEST_PRIORITY_WAIT_FACTOR: u32 = 4;

/// Identity of a call between a driver and its controller. The driver must not reuse a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallTicket(pub u64);

/// A call that requests admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OfferedCall {
    /// Identity of the call.
    pub ticket: CallTicket,
    /// Position of the call in the order of refusal.
    pub key: AdmissionKey,
    /// Time after which its response is of no use to the caller.
    pub deadline: Timestamp,
    /// Whether work was already done for the originating request, which a refusal would waste.
    pub progress: RequestProgress,
    /// Admission level that the originating request passed at its edge.
    pub admitted_below: AdmissionLevel,
}

/// Progress of the originating request of a call that requests admission. It determines whether a
/// refusal would waste work already done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestProgress {
    /// No work was done for the request yet; the admission level applies.
    New,
    /// The call is made on behalf of a request in execution. The admission level does not apply:
    /// the edge has decided for the whole call tree.
    InProgress,
}

/// Result of an execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Completion {
    /// The backend responded.
    Succeeded,
    /// The backend failed to respond.
    Failed,
    /// The caller gave up and the execution was cancelled.
    Cancelled,
}

/// An action that the driver has to perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEffect {
    /// Send the call to the backend immediately.
    Dispatch(CallTicket),
    /// Refuse the call, which was not executed.
    Refuse {
        /// Identity of the call.
        ticket: CallTicket,
        /// Reason of the refusal.
        code: ResultCode,
        /// Value for the Retry-After header, with jitter.
        retry_after: Duration,
    },
}

/// State in which a cancellation found its call. Only [`Cancellation::RemovedFromQueue`] guarantees
/// that the call was not executed and never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cancellation {
    /// The call was waiting and has been removed; no effect follows for it.
    RemovedFromQueue,
    /// The call is in execution; the driver still has to report its completion.
    AlreadyDispatched,
    /// The call was never offered, was refused or has completed.
    NotFound,
}

/// Load of a backend, as measured by its daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls in execution.
    pub in_flight: u32,
    /// Concurrency limit in force.
    pub limit: u32,
    /// Calls waiting in the queue.
    pub queued: u32,
}

/// A call in execution.
#[derive(Clone, Copy, Debug)]
struct Execution {
    key: AdmissionKey,
    dispatched_at: Timestamp,
    in_flight: u32,
    downstream_calls: u32,
    downstream_since: Timestamp,
    downstream_time: Duration,
    slowdown: SlowdownMark,
}

/// Decides which calls a backend executes, which wait in the queue and which are refused.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    settings: AdmissionSettings,
    limit: Limit,
    queue: WaitQueue,
    level: LevelController,
    executing: HashMap<CallTicket, Execution>,
    shortest: [FloorDuration; Priority::COUNT],
    mean: MeanDuration,
    slowdown: SlowdownHistory,
    expected: [ExecutionEstimate; Priority::COUNT],
    expected_of_all: ExecutionEstimate,
    reserve: Reserve,
    draining: bool,
}

impl AdmissionController {
    /// Creates a controller without calls.
    #[must_use]
    pub fn new(settings: AdmissionSettings, now: Timestamp) -> Self {
        Self {
            limit: new_limit(&settings, now),
            queue: WaitQueue::new(settings.discipline, settings.queue_capacity),
            level: LevelController::new(settings.level_interval, settings.expiry_count, now),
            executing: HashMap::new(),
            shortest: [FloorDuration::default(); Priority::COUNT],
            mean: MeanDuration::default(),
            slowdown: SlowdownHistory::default(),
            expected: [ExecutionEstimate::default(); Priority::COUNT],
            expected_of_all: ExecutionEstimate::default(),
            reserve: Reserve::new(),
            draining: false,
            settings,
        }
    }

    /// Decides about a call. The effects may also concern other calls: those displaced from the
    /// queue and those whose wait has expired.
    pub fn offer(&mut self, now: Timestamp, call: OfferedCall) -> Vec<AdmissionEffect> {
        let longest_wait = self.longest_wait(call.key.priority());
        self.offer_within(now, call, longest_wait)
    }

    /// Like [`Self::offer`], with `longest_wait` as the longest wait instead of the configured one.
    pub fn offer_within(
        &mut self,
        now: Timestamp,
        call: OfferedCall,
        longest_wait: Duration,
    ) -> Vec<AdmissionEffect> {
        let mut effects = self.advance(now);
        if self.draining {
            effects.push(self.refuse(now, &call, ResultCode::Draining));
            return effects;
        }
        if self.cannot_meet_deadline(now, &call) {
            effects.push(self.refuse(now, &call, ResultCode::DeadlineUnreachable));
            return effects;
        }
        if call.progress == RequestProgress::New && !self.level().admits(call.key) {
            effects.push(self.refuse(now, &call, ResultCode::RefusedByLevel));
            return effects;
        }
        self.level.arrived(&call);
        self.reserve.arrived(call.key);
        self.enqueue(now, call, longest_wait, &mut effects);
        self.dispatch_waiting(now, &mut effects);
        effects
    }

    /// Records the end of an execution and dispatches waiting calls into the free slot.
    pub fn complete(
        &mut self,
        now: Timestamp,
        ticket: CallTicket,
        completion: Completion,
    ) -> Vec<AdmissionEffect> {
        if let Some(execution) = self.executing.remove(&ticket) {
            self.reserve.completed(execution.key.priority());
            self.record_completion(now, &execution, completion);
        }
        let mut effects = self.advance(now);
        self.dispatch_waiting(now, &mut effects);
        effects
    }

    /// Records that the execution started a call to another service. The time until the matching
    /// [`Self::downstream_call_completed`] does not count as latency of this backend.
    pub fn downstream_call_started(&mut self, now: Timestamp, ticket: CallTicket) {
        if let Some(execution) = self.executing.get_mut(&ticket) {
            if execution.downstream_calls == 0 {
                execution.downstream_since = now;
            }
            execution.downstream_calls += 1;
        }
    }

    /// Records the end of a call to another service; see [`Self::downstream_call_started`].
    pub fn downstream_call_completed(&mut self, now: Timestamp, ticket: CallTicket) {
        if let Some(execution) = self.executing.get_mut(&ticket) {
            execution.downstream_calls = execution.downstream_calls.saturating_sub(1);
            if execution.downstream_calls == 0 {
                execution.downstream_time += now.saturating_since(execution.downstream_since);
            }
        }
    }

    /// Cancels a call that the caller gave up. The driver still reports the completion of a call
    /// that is already in execution.
    pub fn cancel(&mut self, _now: Timestamp, ticket: CallTicket) -> Cancellation {
        if self.queue.remove(ticket).is_some() {
            return Cancellation::RemovedFromQueue;
        }
        if self.executing.contains_key(&ticket) {
            return Cancellation::AlreadyDispatched;
        }
        Cancellation::NotFound
    }

    /// Drops calls whose wait has expired and adjusts the admission level. Must be called at
    /// [`Self::next_wakeup`].
    pub fn advance(&mut self, now: Timestamp) -> Vec<AdmissionEffect> {
        let mut effects = Vec::new();
        while let Some(waiting) = self.queue.pop_expired(now) {
            let code = self.expiry_code(now, &waiting);
            self.level.expired(&waiting.call);
            effects.push(self.refuse(now, &waiting.call, code));
        }
        if self.settings.adaptive_level {
            self.level.sample(
                self.in_flight(),
                self.limit.current(),
                self.queue.by_priority(),
            );
            self.level.advance(now);
        }
        self.dispatch_waiting(now, &mut effects);
        effects
    }

    /// Returns the time at which [`Self::advance`] has to be called next, or `None` if no timer is
    /// set.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let adjustment =
            (self.level() != AdmissionLevel::OPEN).then(|| self.level.next_adjustment());
        match (self.queue.next_expiry(), adjustment) {
            (Some(expiry), Some(adjustment)) => Some(expiry.min(adjustment)),
            (expiry, adjustment) => expiry.or(adjustment),
        }
    }

    /// Returns the admission level in force; closed while draining.
    #[must_use]
    pub fn level(&self) -> AdmissionLevel {
        if self.draining {
            return AdmissionLevel::CLOSED;
        }
        self.level.level()
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            in_flight: self.in_flight(),
            limit: self.limit.current(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
        }
    }

    /// Records a load report of the backend that was received at `now`; `None` if it has no
    /// slowdown.
    pub fn record_slowdown(&mut self, now: Timestamp, slowdown: Option<Slowdown>) {
        self.slowdown.record(now, slowdown);
    }

    /// Returns the expected execution time of one more call; `None` if the backend reports no
    /// slowdown or too few executions completed recently.
    #[must_use]
    pub fn expected_execution(&self, now: Timestamp) -> Option<ReportedExecution> {
        let slowdown = self.slowdown.present(now)?;
        let expected = self.expected_of_all.expected(now, slowdown.factor())?;
        Some(ReportedExecution { slowdown, expected })
    }

    /// Applies new settings. The limit is reset if its algorithm or a bound changed. Calls in
    /// execution are not affected.
    pub fn reconfigure(
        &mut self,
        now: Timestamp,
        settings: AdmissionSettings,
    ) -> Vec<AdmissionEffect> {
        if bounds(&settings) != bounds(&self.settings)
            || settings.algorithm != self.settings.algorithm
        {
            self.limit = new_limit(&settings, now);
        }
        if settings.level_interval != self.settings.level_interval
            || settings.expiry_count != self.settings.expiry_count
            || !settings.adaptive_level
        {
            self.level = LevelController::new(settings.level_interval, settings.expiry_count, now);
        }
        self.settings = settings;
        self.queue.set_discipline(self.settings.discipline);
        let mut effects = Vec::new();
        while let Some(waiting) = self.queue.shrink_to(self.settings.queue_capacity) {
            effects.push(self.refuse(now, &waiting.call, ResultCode::RefusedQueueFull));
        }
        self.dispatch_waiting(now, &mut effects);
        effects
    }

    /// Refuses every waiting call and every call offered from now on. Calls in execution are not
    /// affected.
    pub fn begin_drain(&mut self, now: Timestamp) -> Vec<AdmissionEffect> {
        self.draining = true;
        let mut effects = Vec::new();
        while let Some(waiting) = self.queue.pop() {
            effects.push(self.refuse(now, &waiting.call, ResultCode::Draining));
        }
        effects
    }

    fn enqueue(
        &mut self,
        now: Timestamp,
        call: OfferedCall,
        longest_wait: Duration,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let longest = now + longest_wait;
        // The slowdown may fall while the call waits, so its wait ends by the shortest execution. The
        // expected one is compared again when a slot is free.
        let expires = longest.min(self.last_start_for_shortest(&call));
        if self.queue.is_empty() && self.may_dispatch(call.key.priority()) {
            self.execute(now, &call);
            effects.push(AdmissionEffect::Dispatch(call.ticket));
            return;
        }
        match self.queue.push(now, call, expires) {
            PushResult::Queued => {}
            PushResult::Displaced(waiting) => {
                effects.push(self.refuse(now, &waiting.call, ResultCode::DisplacedFromQueue));
            }
            PushResult::Full => {
                effects.push(self.refuse(now, &call, ResultCode::RefusedQueueFull));
            }
        }
    }

    /// Returns the longest wait of a call. Calls of the highest priority wait longer before they
    /// are refused, since less important ones may still free a slot.
    fn longest_wait(&self, priority: Priority) -> Duration {
        let longest = self.settings.maximum_queue_wait;
        if priority == Priority::HIGHEST {
            longest * HIGHEST_PRIORITY_WAIT_FACTOR
        } else {
            longest
        }
    }

    fn dispatch_waiting(&mut self, now: Timestamp, effects: &mut Vec<AdmissionEffect>) {
        while let Some(first) = self.queue.first() {
            if !self.may_dispatch(first.call.key.priority()) {
                return;
            }
            let Some(waiting) = self.queue.pop() else {
                return;
            };
            let has_expired = waiting.expires <= now;
            if has_expired || self.is_expected_too_late(now, &waiting.call) {
                let code = self.expiry_code(now, &waiting);
                if has_expired {
                    self.level.expired(&waiting.call);
                }
                effects.push(self.refuse(now, &waiting.call, code));
                continue;
            }
            self.execute(now, &waiting.call);
            effects.push(AdmissionEffect::Dispatch(waiting.call.ticket));
        }
    }

    fn execute(&mut self, now: Timestamp, call: &OfferedCall) {
        self.level.dispatched();
        self.reserve.dispatched(call.key.priority());
        let execution = Execution {
            key: call.key,
            dispatched_at: now,
            in_flight: self.in_flight() + 1,
            downstream_calls: 0,
            downstream_since: now,
            downstream_time: Duration::ZERO,
            slowdown: self.slowdown.mark(now),
        };
        self.executing.insert(call.ticket, execution);
    }

    /// Updates latency estimates and the limit from a completed execution. A cancelled execution is
    /// ignored, because its duration is no measure of latency.
    fn record_completion(&mut self, now: Timestamp, execution: &Execution, completion: Completion) {
        if completion == Completion::Cancelled {
            return;
        }
        let total = now.saturating_since(execution.dispatched_at);
        let mut downstream = execution.downstream_time;
        if execution.downstream_calls > 0 {
            downstream += now.saturating_since(execution.downstream_since);
        }
        let failed = completion == Completion::Failed;
        if !failed {
            self.shortest[execution.key.priority().index()].observe(total);
            self.mean.observe(total, MEAN_WEIGHT);
        }
        let mut own = total.saturating_sub(downstream);
        if let Some(mean_factor) = self.slowdown.mean_since(&execution.slowdown, now) {
            let sample = ExecutionSample {
                own,
                downstream,
                mean_factor,
            };
            if !failed {
                self.expected[execution.key.priority().index()].observe(now, &sample);
                self.expected_of_all.observe(now, &sample);
            }
            // The limit reacts to queueing inside the backend. Other workloads on its machine slow
            // executions down at any number of them; a limit that followed would oscillate.
            own = own.div_f64(mean_factor);
        }
        let sample = LimitSample {
            latency: own,
            in_flight: execution.in_flight,
            failed,
        };
        self.limit.observe(now, sample);
    }

    fn cannot_meet_deadline(&self, now: Timestamp, call: &OfferedCall) -> bool {
        self.last_start_for_shortest(call) <= now || self.is_expected_too_late(now, call)
    }

    /// Returns the latest time at which starting the call can still meet its deadline if it takes no
    /// longer than the shortest recent execution.
    fn last_start_for_shortest(&self, call: &OfferedCall) -> Timestamp {
        call.deadline - self.shortest[call.key.priority().index()].get()
    }

    /// Returns true if the call, started now, is expected to end after its deadline. False for a
    /// backend that reports no slowdown or whose execution times are unknown.
    fn is_expected_too_late(&self, now: Timestamp, call: &OfferedCall) -> bool {
        let Some(slowdown) = self.slowdown.present(now) else {
            return false;
        };
        let estimate = &self.expected[call.key.priority().index()];
        let least = estimate.likely_minimum(now, slowdown.factor());
        least.is_some_and(|least| now + least >= call.deadline)
    }

    fn expiry_code(&self, now: Timestamp, waiting: &Waiting) -> ResultCode {
        if self.cannot_meet_deadline(now, &waiting.call) {
            ResultCode::DeadlineUnreachable
        } else {
            ResultCode::QueueTimeout
        }
    }

    fn refuse(&self, now: Timestamp, call: &OfferedCall, code: ResultCode) -> AdmissionEffect {
        AdmissionEffect::Refuse {
            ticket: call.ticket,
            code,
            retry_after: self.retry_after(now, call),
        }
    }

    /// Estimates the time until a call like this one is admitted and applies jitter: the result is
    /// between half and one and a half times the estimate.
    fn retry_after(&self, now: Timestamp, call: &OfferedCall) -> Duration {
        let mean = self.mean.get().unwrap_or(self.settings.minimum_retry_after);
        let limit = f64::from(self.limit.current().max(1));
        let backlog = mean.mul_f64(self.queue.len() as f64 / limit);
        let closed = f64::from(AdmissionLevel::OPEN.number() - self.level().number())
            / f64::from(AdmissionLevel::OPEN.number());
        let reopening = self.settings.maximum_retry_after.mul_f64(closed * 0.2);
        let expected = (self.settings.minimum_retry_after + backlog + reopening)
            .min(self.settings.maximum_retry_after);
        let jitter = unit_hash(call.ticket.0 ^ now.as_micros().rotate_left(32));
        expected
            .mul_f64(0.5 + jitter)
            .max(self.settings.minimum_retry_after)
    }

    /// Returns true if a slot is free that calls of this priority may use.
    fn may_dispatch(&self, priority: Priority) -> bool {
        let limit = self.limit.current();
        let free = self.in_flight() < limit;
        free && (!self.settings.reserve || self.reserve.allows(priority, limit))
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.executing.len()).unwrap_or(u32::MAX)
    }
}

const fn bounds(settings: &AdmissionSettings) -> LimitBounds {
    LimitBounds {
        initial: settings.initial_limit,
        minimum: settings.minimum_limit,
        maximum: settings.maximum_limit,
    }
}

fn new_limit(settings: &AdmissionSettings, now: Timestamp) -> Limit {
    Limit::new(settings.algorithm, bounds(settings), now)
}

//! Drives the admission controller: a call waits here until it is dispatched or refused.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use wharfquay_core::admission::{
    AdmissionController, AdmissionEffect, AdmissionSettings, CallTicket, Cancellation, Completion,
    Load, OfferedCall, RequestProgress,
};
use wharfquay_core::backend_load::{ReportedExecution, Slowdown};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::{AdmissionKey, AdmissionLevel};
use wharfquay_core::time::Timestamp;

use crate::clock::Clock;
use crate::response::Failure;
use crate::sync::lock;

type Verdict = Result<(), Failure>;

/// The admission gate in front of the local backend.
#[derive(Debug)]
pub struct AdmissionGate {
    clock: Clock,
    state: Mutex<GateState>,
    next_ticket: AtomicU64,
    timer_changed: Notify,
}

#[derive(Debug)]
struct GateState {
    controller: AdmissionController,
    waiting: HashMap<CallTicket, oneshot::Sender<Verdict>>,
}

impl GateState {
    fn apply(&mut self, effects: Vec<AdmissionEffect>) {
        for effect in effects {
            let (ticket, verdict) = match effect {
                AdmissionEffect::Dispatch(ticket) => (ticket, Ok(())),
                AdmissionEffect::Refuse {
                    ticket,
                    code,
                    retry_after,
                } => (ticket, Err(Failure::with_retry_after(code, retry_after))),
            };
            if let Some(waiter) = self.waiting.remove(&ticket) {
                // Sending fails if the waiter was cancelled; dropping its permit then settles the
                // ticket.
                let _ = waiter.send(verdict);
            }
        }
    }
}

/// A call that requests admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Admission key of the call: its position in the order in which calls are refused.
    pub key: AdmissionKey,
    /// Deadline of the call, after which a response is useless to the caller.
    pub deadline: Timestamp,
    /// Maximum wait in the queue for this call; `None` for the configured maximum.
    pub max_queue_wait: Option<Duration>,
    /// Whether work was already spent on the originating request.
    pub progress: RequestProgress,
    /// Admission level at which the edge admitted the originating request.
    pub admitted_below: AdmissionLevel,
}

impl AdmissionRequest {
    /// Creates a request for a call about whose originating request nothing else is known.
    #[must_use]
    pub const fn new(key: AdmissionKey, deadline: Timestamp) -> Self {
        Self {
            key,
            deadline,
            max_queue_wait: None,
            progress: RequestProgress::New,
            admitted_below: AdmissionLevel::OPEN,
        }
    }
}

/// Load and admission level of the local backend.
#[derive(Clone, Copy, Debug)]
pub struct GateReport {
    /// Number of calls in execution, concurrency limit and queue length.
    pub load: Load,
    /// Admission level in force.
    pub level: AdmissionLevel,
    /// Expected execution time of one more call; `None` if the backend reports no slowdown or it is
    /// unknown.
    pub execution: Option<ReportedExecution>,
}

impl AdmissionGate {
    /// Creates a gate without calls.
    #[must_use]
    pub fn new(settings: AdmissionSettings, clock: Clock) -> Arc<Self> {
        let controller = AdmissionController::new(settings, clock.now());
        Arc::new(Self {
            clock,
            state: Mutex::new(GateState {
                controller,
                waiting: HashMap::new(),
            }),
            next_ticket: AtomicU64::new(1),
            timer_changed: Notify::new(),
        })
    }

    /// Waits until the call may be sent to the backend. Dropping the future withdraws the call.
    ///
    /// # Errors
    /// The refusal; the call was not run.
    pub async fn enter(
        self: &Arc<Self>,
        key: AdmissionKey,
        deadline: Timestamp,
    ) -> Result<Permit, Failure> {
        self.enter_with(AdmissionRequest::new(key, deadline)).await
    }

    /// Waits like [`Self::enter`], with further information about the originating request.
    ///
    /// # Errors
    /// The refusal; the call was not run.
    pub async fn enter_with(
        self: &Arc<Self>,
        request: AdmissionRequest,
    ) -> Result<Permit, Failure> {
        let ticket = CallTicket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let (sender, verdict) = oneshot::channel();
        let mut permit = Permit {
            gate: Arc::clone(self),
            ticket,
            state: PermitState::Offered,
        };
        self.with_state(|state, now| {
            state.waiting.insert(ticket, sender);
            let call = OfferedCall {
                ticket,
                key: request.key,
                deadline: request.deadline,
                progress: request.progress,
                admitted_below: request.admitted_below,
            };
            match request.max_queue_wait {
                Some(max_queue_wait) => state.controller.offer_within(now, call, max_queue_wait),
                None => state.controller.offer(now, call),
            }
        });
        match verdict.await {
            Ok(Ok(())) => {
                permit.state = PermitState::Dispatched;
                Ok(permit)
            }
            Ok(Err(failure)) => {
                permit.state = PermitState::Settled;
                Err(failure)
            }
            Err(_) => Err(Failure::new(ResultCode::RefusedQueueFull)),
        }
    }

    /// Applies new admission settings to waiting and later calls.
    pub fn reconfigure(&self, settings: AdmissionSettings) {
        self.with_state(|state, now| state.controller.reconfigure(now, settings));
    }

    /// Refuses all waiting and all later calls.
    pub fn begin_drain(&self) {
        self.with_state(|state, now| state.controller.begin_drain(now));
    }

    /// Returns the current load and admission level.
    #[must_use]
    pub fn report(&self) -> GateReport {
        let state = lock(&self.state);
        GateReport {
            load: state.controller.load(),
            level: state.controller.level(),
            execution: state.controller.expected_execution(self.clock.now()),
        }
    }

    /// Records a load report of the backend that was received now; `None` if it has no slowdown.
    pub fn record_slowdown(&self, slowdown: Option<Slowdown>) {
        let now = self.clock.now();
        lock(&self.state).controller.record_slowdown(now, slowdown);
    }

    /// Records that the execution of `ticket` starts to wait for a downstream call.
    pub fn downstream_call_started(&self, ticket: CallTicket) {
        let now = self.clock.now();
        lock(&self.state)
            .controller
            .downstream_call_started(now, ticket);
    }

    /// Records that a downstream call of the execution of `ticket` has completed.
    pub fn downstream_call_completed(&self, ticket: CallTicket) {
        let now = self.clock.now();
        lock(&self.state)
            .controller
            .downstream_call_completed(now, ticket);
    }

    /// Advances the controller whenever its next timer expires; never returns.
    pub async fn run_timer(&self) {
        loop {
            let wakeup = lock(&self.state).controller.next_wakeup();
            match wakeup {
                Some(wakeup) => tokio::select! {
                    () = self.clock.sleep_until(Some(wakeup)) => {}
                    () = self.timer_changed.notified() => continue,
                },
                None => {
                    self.timer_changed.notified().await;
                    continue;
                }
            }
            self.with_state(|state, now| state.controller.advance(now));
        }
    }

    fn with_state(&self, input: impl FnOnce(&mut GateState, Timestamp) -> Vec<AdmissionEffect>) {
        let mut state = lock(&self.state);
        let before = state.controller.next_wakeup();
        let effects = input(&mut state, self.clock.now());
        state.apply(effects);
        let after = state.controller.next_wakeup();
        drop(state);
        let earlier = match (before, after) {
            (Some(before), Some(after)) => after < before,
            (None, after) => after.is_some(),
            (Some(_), None) => false,
        };
        if earlier {
            self.timer_changed.notify_one();
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PermitState {
    Offered,
    Dispatched,
    Settled,
}

/// A call that waits or is in execution. Dropping it withdraws a waiting call and reports an
/// execution as cancelled.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<AdmissionGate>,
    ticket: CallTicket,
    state: PermitState,
}

impl Permit {
    /// Returns the ticket that identifies the call in the admission controller.
    #[must_use]
    pub const fn ticket(&self) -> CallTicket {
        self.ticket
    }

    /// Reports the completion of the execution.
    pub fn complete(mut self, completion: Completion) {
        self.settle(completion);
    }

    fn settle(&mut self, completion: Completion) {
        if self.state == PermitState::Settled {
            return;
        }
        self.state = PermitState::Settled;
        let ticket = self.ticket;
        self.gate
            .with_state(|state, now| state.controller.complete(now, ticket, completion));
    }

    /// Withdraws a waiting call. It may have been dispatched concurrently, which only the
    /// controller knows; the execution is then reported as cancelled.
    fn withdraw(&mut self) {
        let ticket = self.ticket;
        let mut dispatched = false;
        self.gate.with_state(|state, now| {
            state.waiting.remove(&ticket);
            dispatched = state.controller.cancel(now, ticket) == Cancellation::AlreadyDispatched;
            Vec::new()
        });
        if dispatched {
            self.settle(Completion::Cancelled);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        match self.state {
            PermitState::Offered => self.withdraw(),
            PermitState::Dispatched => self.settle(Completion::Cancelled),
            PermitState::Settled => {}
        }
    }
}

//! Runs the coordinator of each claimed request, from its first message to its last.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};
use wharfquay_core::call::IdempotencyKey;
use wharfquay_core::idempotency::claim::coordinator::{
    ClaimedRequest, Coordinator, CoordinatorEffect, CoordinatorSettings, ExecutionOutcome,
};
use wharfquay_core::idempotency::claim::message::{Fingerprint, RecordedResponse};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::time::Timestamp;

use crate::clock::wall_clock;
use crate::control::claims::transport::Delivery;
use crate::control::claims::{Claims, group};
use crate::response::Failure;

/// The call for which an idempotency key is to be claimed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClaimedCall {
    /// Idempotency key that the caller chose.
    pub(crate) key: IdempotencyKey,
    /// Digest of the request, which detects the use of one key for different requests.
    pub(crate) fingerprint: Fingerprint,
    /// Time after which the call must not be dispatched.
    pub(crate) give_up_at: Timestamp,
}

/// The decision about a claimed call.
#[derive(Debug)]
pub(crate) enum ClaimVerdict {
    /// Dispatch the call.
    Dispatch(DispatchPermit),
    /// Replay the recorded response of an earlier request with the same key.
    Replay(RecordedResponse),
    /// Refuse the call.
    Refuse(Failure),
}

/// The right to dispatch a call once. If it is dropped without an outcome, the outcome is recorded
/// as unknown.
#[derive(Debug)]
pub(crate) struct DispatchPermit {
    outcome: oneshot::Sender<ExecutionOutcome>,
}

impl DispatchPermit {
    /// Records the outcome of the call.
    pub(crate) fn complete(self, outcome: ExecutionOutcome) {
        // Sending can't fail: the driver waits for the outcome until the permit is dropped.
        let _ = self.outcome.send(outcome);
    }
}

/// An input of a driver.
enum Event {
    Delivery(Delivery),
    Completed(ExecutionOutcome),
    Reconfigured,
    Timer,
}

struct Driver {
    claims: Arc<Claims>,
    coordinator: Coordinator,
    inbox: mpsc::UnboundedSender<Delivery>,
    verdict: Option<oneshot::Sender<ClaimVerdict>>,
    outcome: Option<oneshot::Receiver<ExecutionOutcome>>,
}

impl Claims {
    /// Claims the key of a call.
    pub(crate) async fn claim(self: &Arc<Self>, call: ClaimedCall) -> ClaimVerdict {
        let undetermined = || Failure::new(ResultCode::ClaimUndetermined);
        let Some(group) = group::in_force(&self.snapshot.borrow()) else {
            return ClaimVerdict::Refuse(undetermined());
        };
        let request = ClaimedRequest {
            key: call.key,
            fingerprint: call.fingerprint,
            give_up_at: call.give_up_at,
        };
        let (coordinator, effects) = Coordinator::start(
            CoordinatorSettings::default(),
            group,
            request,
            self.clock.now(),
            wall_clock(),
            &mut rand::rng(),
        );
        let (inbox, deliveries) = mpsc::unbounded_channel();
        let (verdict, decided) = oneshot::channel();
        let mut driver = Driver {
            claims: Arc::clone(self),
            coordinator,
            inbox,
            verdict: Some(verdict),
            outcome: None,
        };
        driver.apply(effects);
        self.tasks.spawn(driver.run(deliveries));
        decided
            .await
            .unwrap_or_else(|_| ClaimVerdict::Refuse(undetermined()))
    }
}

impl Driver {
    async fn run(mut self, mut deliveries: mpsc::UnboundedReceiver<Delivery>) {
        let mut snapshot = self.claims.snapshot.clone();
        while !self.coordinator.is_finished() {
            let wakeup = self.coordinator.next_wakeup();
            let event = tokio::select! {
                Some(delivery) = deliveries.recv() => Event::Delivery(delivery),
                outcome = completion(&mut self.outcome) => Event::Completed(outcome),
                () = self.claims.clock.sleep_until(wakeup) => Event::Timer,
                Ok(()) = snapshot.changed() => Event::Reconfigured,
            };
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.claims.clock.now();
        let rng = &mut rand::rng();
        let effects = match event {
            Event::Delivery(Delivery { from, reply }) => {
                self.coordinator.receive(now, &from, reply, rng)
            }
            Event::Completed(outcome) => {
                self.outcome = None;
                self.coordinator.complete(now, outcome)
            }
            Event::Reconfigured => {
                let group = group::in_force(&self.claims.snapshot.borrow());
                group.map_or_else(Vec::new, |group| {
                    self.coordinator.configure(now, group, rng)
                })
            }
            Event::Timer => self.coordinator.advance(now, rng),
        };
        self.apply(effects);
    }

    fn apply(&mut self, effects: Vec<CoordinatorEffect>) {
        for effect in effects {
            match effect {
                CoordinatorEffect::Send { to, request } => {
                    self.claims
                        .send_in_background(to, request, self.inbox.clone());
                }
                CoordinatorEffect::Dispatch => self.dispatch(),
                CoordinatorEffect::Replay(recorded) => {
                    self.send_verdict(ClaimVerdict::Replay(recorded));
                }
                CoordinatorEffect::Refuse { code, retry_after } => {
                    let failure = Failure::with_retry_after(code, retry_after);
                    self.send_verdict(ClaimVerdict::Refuse(failure));
                }
            }
        }
    }

    fn dispatch(&mut self) {
        let (outcome, completed) = oneshot::channel();
        if self.send_verdict(ClaimVerdict::Dispatch(DispatchPermit { outcome })) {
            self.outcome = Some(completed);
            return;
        }
        // The caller of `claim` was cancelled before it received the permit, so the call was not
        // dispatched.
        let now = self.claims.clock.now();
        let effects = self.coordinator.complete(now, ExecutionOutcome::NotRun);
        self.apply(effects);
    }

    /// Sends the verdict to the caller of `claim`; returns false if it no longer waits.
    fn send_verdict(&mut self, verdict: ClaimVerdict) -> bool {
        let waiting = self.verdict.take();
        waiting.is_some_and(|waiting| waiting.send(verdict).is_ok())
    }
}

/// Waits for the outcome of the dispatched call; never completes while none is dispatched.
async fn completion(outcome: &mut Option<oneshot::Receiver<ExecutionOutcome>>) -> ExecutionOutcome {
    match outcome {
        Some(outcome) => outcome.await.unwrap_or(ExecutionOutcome::Unknown),
        None => std::future::pending().await,
    }
}

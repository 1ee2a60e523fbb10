//! What the sides of one daemon share.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use http::{Method, Response};
use wharfquay_core::outcome::ResultCode;
use wharfquay_resources::snapshot::{Revision, Snapshot};

use crate::answer::{Failure, result};
use crate::body::{AnswerBody, BodyEnd, BodyObserver};
use crate::clock::Clock;
use crate::control::{ControlView, EndpointTable};
use crate::decisions::DecisionLog;
use crate::events::{Event, RateLimit, log_event};
use crate::metrics::{Metrics, Side};
use crate::outbound::Forwarder;
use crate::pause::{BEAT_INTERVAL, PauseDetector};
use crate::scopes::ScopeTable;
use crate::settings::Settings;
use crate::sync::lock;

/// The configuration and the endpoints that calls are routed by; what was published last comes here a
/// moment later.
#[derive(Clone, Debug, Default)]
pub(crate) struct Applied {
    pub(crate) revision: Revision,
    pub(crate) endpoints: Arc<EndpointTable>,
}

/// What the sides of one daemon share.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) control: ControlView,
    pub(crate) forwarder: Forwarder,
    pub(crate) scopes: Arc<ScopeTable>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) pauses: PauseDetector,
    pub(crate) applied: Mutex<Applied>,
    pub(crate) decisions: Arc<DecisionLog>,
    pub(crate) event_limits: EventLimits,
    pub(crate) stopping: AtomicBool,
    pub(crate) in_flight: Arc<AtomicUsize>,
}

/// Bounds on the log lines about calls.
#[derive(Debug, Default)]
pub(crate) struct EventLimits {
    malformed: RateLimit,
    oversized: RateLimit,
    invalid_context: RateLimit,
    pub(crate) unknown_outcome: RateLimit,
}

impl EventLimits {
    /// Writes the event of a request that can't be served as it is; most codes have none.
    fn log_bad_request(&self, side: Side, code: ResultCode) {
        let (event, limit) = match code {
            ResultCode::MalformedRequest => (Event::RequestMalformed, &self.malformed),
            ResultCode::RequestTooLarge => (Event::RequestOversized, &self.oversized),
            ResultCode::InvalidContext => (Event::ContextInvalid, &self.invalid_context),
            _ => return,
        };
        if let Some(suppressed) = limit.allow(Instant::now()) {
            let (side, result) = (side.name(), code.number());
            log_event!(event, "side={side} result={result} suppressed={suppressed}");
        }
    }
}

impl Node {
    /// The configuration in force.
    ///
    /// # Errors
    /// [`ResultCode::NotReady`] before the first one was adopted.
    pub(crate) fn configuration(&self) -> Result<Arc<Snapshot>, Failure> {
        let snapshot = self.control.snapshot.borrow().clone();
        if snapshot.revision == Revision::ZERO {
            return Err(Failure::new(ResultCode::NotReady));
        }
        Ok(snapshot)
    }

    /// Feeds the pause detector; never returns.
    pub(crate) async fn run_beats(&self) {
        loop {
            tokio::time::sleep(BEAT_INTERVAL).await;
            if let Some(length) = self.pauses.beat(self.clock.now()) {
                let length_ms = length.as_millis();
                log_event!(Event::ProcessPaused, "length_ms={length_ms}");
            }
        }
    }

    /// The configuration and the endpoints that calls are routed by.
    pub(crate) fn applied(&self) -> Applied {
        lock(&self.applied).clone()
    }

    /// Whether a stop was asked for.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Counts a call until the returned value is dropped.
    pub(crate) fn begin_call(&self) -> CallInFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        CallInFlight(Arc::clone(&self.in_flight))
    }

    /// Counts the call at `side` as cancelled unless it is reported as responded.
    pub(crate) fn cancellation_guard(&self, side: Side) -> CancellationGuard {
        CancellationGuard {
            metrics: Arc::clone(&self.metrics),
            side,
            responded: false,
        }
    }

    /// Calls that have not ended.
    pub(crate) fn calls_in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Turns the end of a call into its answer and counts it.
    pub(crate) fn finish(
        &self,
        side: Side,
        method: &Method,
        ended: Result<Response<AnswerBody>, Failure>,
    ) -> Response<AnswerBody> {
        let mut response = ended.unwrap_or_else(Failure::into_response);
        let code = result(response.headers()).unwrap_or(ResultCode::MalformedAnswer);
        self.metrics.call_ended(side, code);
        self.event_limits.log_bad_request(side, code);
        log_event!(
            Event::CallEnded,
            "side={} result={} name={} outcome={}",
            side.name(),
            code.number(),
            code.name(),
            code.outcome().as_str(),
        );
        if *method == Method::HEAD {
            response.body_mut().remove_own();
        }
        if code == ResultCode::Answered {
            let observer = CutCounter(Arc::clone(&self.metrics));
            response.body_mut().observe(Box::new(observer));
        }
        response
    }
}

/// A call that has not ended; a stop waits for it.
#[derive(Debug)]
pub(crate) struct CallInFlight(Arc<AtomicUsize>);

impl Drop for CallInFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl BodyObserver for CallInFlight {
    /// The drop that follows ends the call.
    fn ended(self: Box<Self>, _end: BodyEnd) {}
}

/// Counts a call whose caller went away before its answer: the future that holds this is dropped.
#[derive(Debug)]
pub(crate) struct CancellationGuard {
    metrics: Arc<Metrics>,
    side: Side,
    responded: bool,
}

impl CancellationGuard {
    /// The call has its answer.
    pub(crate) fn responded(mut self) {
        self.responded = true;
    }
}

impl Drop for CancellationGuard {
    fn drop(&mut self) {
        if !self.responded {
            self.metrics.call_cancelled(self.side);
        }
    }
}

/// Counts answers that broke off.
#[derive(Debug)]
struct CutCounter(Arc<Metrics>);

impl BodyObserver for CutCounter {
    fn ended(self: Box<Self>, end: BodyEnd) {
        if end == BodyEnd::Failed {
            self.0.body_cut();
        }
    }
}

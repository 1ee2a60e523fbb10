//! State that the edge, inbound and outbound sides of one daemon share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use http::{Method, Response};
use wharfquay_core::outcome::ResultCode;
use wharfquay_resources::snapshot::{Revision, Snapshot};

use crate::body::{BodyEnd, BodyObserver, ResponseBody};
use crate::calls_in_flight::CallsInFlight;
use crate::clock::Clock;
use crate::control::{ControlView, EndpointTable};
use crate::decisions::DecisionLog;
use crate::events::{Event, RateLimit, log_event};
use crate::metrics::{Metrics, Side};
use crate::outbound::Forwarder;
use crate::pause::{PauseDetector, TICK_INTERVAL};
use crate::response::{Failure, result};
use crate::scopes::ScopeTable;
use crate::settings::Settings;
use crate::sync::lock;

/// The configuration and the endpoints that calls are routed by. They lag briefly behind those that
/// the control side published last.
#[derive(Clone, Debug, Default)]
pub(crate) struct AppliedConfiguration {
    pub(crate) revision: Revision,
    pub(crate) endpoints: Arc<EndpointTable>,
}

/// State that the edge, inbound and outbound sides of one daemon share.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) control: ControlView,
    pub(crate) forwarder: Forwarder,
    pub(crate) scopes: Arc<ScopeTable>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) pause_detector: PauseDetector,
    pub(crate) applied: Mutex<AppliedConfiguration>,
    pub(crate) decisions: Arc<DecisionLog>,
    pub(crate) event_limits: EventLimits,
    pub(crate) stopping: AtomicBool,
    pub(crate) calls_in_flight: Arc<CallsInFlight>,
}

/// Rate limits of log events about single calls.
#[derive(Debug, Default)]
pub(crate) struct EventLimits {
    malformed: RateLimit,
    oversized: RateLimit,
    invalid_context: RateLimit,
    pub(crate) unknown_outcome: RateLimit,
}

impl EventLimits {
    /// Logs a request that is malformed, too large or has an invalid context; other codes are not
    /// logged.
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
    /// Returns the configuration in force.
    ///
    /// # Errors
    /// [`ResultCode::NotReady`] until the first configuration is adopted.
    pub(crate) fn configuration(&self) -> Result<Arc<Snapshot>, Failure> {
        let snapshot = self.control.snapshot.borrow().clone();
        if snapshot.revision == Revision::ZERO {
            return Err(Failure::new(ResultCode::NotReady));
        }
        Ok(snapshot)
    }

    /// Sends ticks to the pause detector and logs pauses; never returns.
    pub(crate) async fn run_pause_detector(&self) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            if let Some(length) = self.pause_detector.tick(self.clock.now()) {
                let length_ms = length.as_millis();
                log_event!(Event::ProcessPaused, "length_ms={length_ms}");
            }
        }
    }

    /// Returns the configuration and the endpoints that calls are routed by.
    pub(crate) fn applied(&self) -> AppliedConfiguration {
        lock(&self.applied).clone()
    }

    /// Returns true once a stop was requested.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns a guard that counts the call at `side` as cancelled if it is dropped before the
    /// response exists.
    pub(crate) fn cancellation_guard(&self, side: Side) -> CancellationGuard {
        CancellationGuard {
            metrics: Arc::clone(&self.metrics),
            side,
            responded: false,
        }
    }

    /// Returns the number of calls that have not completed.
    pub(crate) fn calls_in_flight(&self) -> usize {
        self.calls_in_flight.count()
    }

    /// Converts the result of a call into its response, and counts and logs the completion.
    pub(crate) fn finish(
        &self,
        side: Side,
        method: &Method,
        ended: Result<Response<ResponseBody>, Failure>,
    ) -> Response<ResponseBody> {
        let mut response = ended.unwrap_or_else(Failure::into_response);
        let code = result(response.headers()).unwrap_or(ResultCode::MalformedAnswer);
        self.metrics.record_completion(side, code);
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
            response.body_mut().remove_local_body();
        }
        if code == ResultCode::Answered {
            let observer = TruncationCounter(Arc::clone(&self.metrics));
            response.body_mut().observe(Box::new(observer));
        }
        response
    }
}

/// Counts a call as cancelled if it is dropped before [`Self::responded`] is called, which happens
/// when the caller disconnects and the handler's future is dropped.
#[derive(Debug)]
pub(crate) struct CancellationGuard {
    metrics: Arc<Metrics>,
    side: Side,
    responded: bool,
}

impl CancellationGuard {
    /// Records that the call has its response.
    pub(crate) fn responded(mut self) {
        self.responded = true;
    }
}

impl Drop for CancellationGuard {
    fn drop(&mut self) {
        if !self.responded {
            self.metrics.record_cancellation(self.side);
        }
    }
}

/// Counts responses whose body was truncated.
#[derive(Debug)]
struct TruncationCounter(Arc<Metrics>);

impl BodyObserver for TruncationCounter {
    fn ended(self: Box<Self>, end: BodyEnd) {
        if end == BodyEnd::Failed {
            self.0.record_truncated_body();
        }
    }
}

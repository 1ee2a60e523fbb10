//! Sends an admitted call to the backend and classifies the outcome: a response, a refusal, a lost
//! connection or the termination of the backend.

use std::time::Duration;

use http::Response;
use http::header::HeaderMap;
use hyper::body::Incoming;
use wharfquay_core::call::CallContext;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::rate_limit::{ExchangeTimes, ResponseSource};
use wharfquay_core::retry::Backoff;
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::backend_pool::{BackendError, Lease, RequestKey, SendError};
use wharfquay_daemon::body::{BodyEnd, BodyObserver, RequestBody};
use wharfquay_daemon::headers::{remove_hop_by_hop, remove_internal_response_headers};
use wharfquay_daemon::response::Failure;

use super::backend::OpenInstance;
use super::execution::{LocalExecutor, UNAVAILABLE_RETRY_AFTER};
use super::load_reports::ReadReport;
use super::response::{ResponseClaim, ResponseClass, classify, is_from_instance};
use super::sending_report::{SendingCounter, SendingReport};
use super::termination_detector::{ExecutingRequest, InExecutionGuard, ProbeResult};
use crate::body::{Collected, collect, discard, remove_length};
use crate::events::Event;
use crate::log_event;
use crate::message::RequestHead;

/// Attempts per call to find an open connection. A pooled connection may turn out closed before a
/// byte is written.
const CONNECTION_ATTEMPTS: usize = 3;
/// Maximum number of times that a call is sent again after the backend refused it without executing
/// it.
const MAX_RESENDS: u32 = 8;
/// Backoff before a call is sent again after the backend refused it. It is short because the call
/// occupies its slot at the backend during the backoff.
const SEND_BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(1),
    maximum: Duration::from_millis(20),
};
/// Retry-After of a call that the backend itself refused.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Maximum number of fingerprints in the log line about a terminated instance.
const MAX_LOGGED_REQUESTS: usize = 16;

/// A call that the gate admitted.
#[derive(Debug)]
pub(super) struct AdmittedCall<'call> {
    pub(super) context: &'call CallContext,
    pub(super) request_id: &'call str,
    pub(super) head: &'call RequestHead,
    /// True if the call is a suspect, which the backend executes while it executes no other
    /// suspect.
    pub(super) is_isolated: bool,
    pub(super) sendings: SendingCounter,
}

impl AdmittedCall<'_> {
    /// Returns the call as a request in execution; `None` if its first hop sent no fingerprint.
    fn executing_request(&self) -> Option<ExecutingRequest> {
        let fingerprint = self.context.fingerprint?;
        Some(ExecutingRequest {
            fingerprint,
            is_isolated: self.is_isolated,
        })
    }
}

/// Response of the backend, as far as it was read.
pub(super) struct BackendResponse {
    pub(super) parts: http::response::Parts,
    pub(super) collected: Collected,
    pub(super) lease: Lease,
}

impl LocalExecutor {
    /// Sends the call to the backend and reads the response. Sends it again if the backend refused
    /// it without executing it and the limit on repeats leaves room.
    pub(super) async fn dispatch(
        &self,
        instance: &OpenInstance,
        call: &AdmittedCall<'_>,
        body: RequestBody,
    ) -> Result<BackendResponse, Failure> {
        self.quarantine.check(call.context)?;
        self.count_arrival(call.context)?;
        let can_repeat = matches!(body, RequestBody::Held(None));
        let mut result = self.send(instance, call, body).await;
        for repeat in 0..MAX_RESENDS {
            if !can_repeat || !is_refused(&result) || instance.is_leaving() {
                break;
            }
            let wait = SEND_BACKOFF.delay(repeat, &mut rand::rng());
            let is_too_late = call.context.remaining(self.clock.now()) <= wait;
            if is_too_late
                || self.is_rate_limited(instance, call.context)
                || !self.backend.admit_repeat(call.context.priority)
            {
                break;
            }
            tokio::time::sleep(wait).await;
            self.quarantine.check(call.context)?;
            self.metrics.call_sent_again(call.context.repeatability);
            let repeated = self.send(instance, call, RequestBody::Held(None)).await;
            if has_code(&repeated, ResultCode::RateLimited) {
                // The call arrived before, which the earlier refusal shows.
                break;
            }
            result = repeated;
        }
        result
    }

    /// Counts a call that is about to be sent to the backend.
    ///
    /// # Errors
    /// The refusal of a repeat for which the bound on repeats leaves no room.
    fn count_arrival(&self, context: &CallContext) -> Result<(), Failure> {
        if !context.is_repeat {
            self.backend.first_arrival();
            return Ok(());
        }
        if self.backend.admit_repeat(context.priority) {
            return Ok(());
        }
        let code = ResultCode::RepeatRefused;
        Err(Failure::with_retry_after(code, REFUSED_RETRY_AFTER))
    }

    /// Sends the call to the backend once and reads the response. Distinguishes the termination of
    /// the backend from a lost connection, and clears a suspect that got a response.
    async fn send(
        &self,
        instance: &OpenInstance,
        call: &AdmittedCall<'_>,
        body: RequestBody,
    ) -> Result<BackendResponse, Failure> {
        let mut in_execution = None;
        let sent = self
            .send_to_instance(instance, call, body, &mut in_execution)
            .await;
        match &sent {
            // A server error does not clear a suspect: it may precede the termination that the
            // request causes.
            Ok(backend_response) if !backend_response.parts.status.is_server_error() => {
                self.quarantine.record_response(call.context);
            }
            Err(failure)
                if failure.code == ResultCode::ConnectionLost
                    && !instance.is_leaving()
                    && self.has_terminated(instance).await =>
            {
                return Err(Failure::new(ResultCode::BackendEnded));
            }
            _ => {}
        }
        sent
    }

    /// True if the instance has terminated. The first call that detects it reports it to the log,
    /// the metrics and the quarantine.
    async fn has_terminated(&self, instance: &OpenInstance) -> bool {
        match instance.termination.probe().await {
            ProbeResult::Alive => false,
            ProbeResult::Terminated => true,
            ProbeResult::NewlyTerminated(executing) => {
                instance.connect_failed(self.clock.now());
                self.metrics.count_unannounced_termination();
                log_termination(instance, &executing);
                self.quarantine
                    .record_instance_termination(&instance.id, &executing);
                true
            }
        }
    }

    /// Sends the call to the instance. Tries another connection only while the call was certainly
    /// not sent. While the instance may be executing the call, `in_execution` holds the guard that
    /// lists it among the requests in execution; dropping the guard removes it. The rate limit is
    /// checked last, once nothing delays the call any more.
    async fn send_to_instance(
        &self,
        instance: &OpenInstance,
        call: &AdmittedCall<'_>,
        body: RequestBody,
        in_execution: &mut Option<InExecutionGuard>,
    ) -> Result<BackendResponse, Failure> {
        let mut request = call.head.to_request(body);
        self.set_target_instance(instance, request.headers_mut());
        let mut is_admitted = false;
        for _ in 0..CONNECTION_ATTEMPTS {
            let mut lease = self.checkout(instance, call).await?;
            let sent_at = self.clock.now();
            let key = call.context.admission_key();
            let progress = call.context.progress();
            is_admitted = is_admitted || instance.announcements.admit(sent_at, key, progress);
            if !is_admitted {
                // The connection was not used.
                BodyObserver::ended(Box::new(lease), BodyEnd::Complete);
                return Err(self.rate_limited(instance, call.context));
            }
            let remaining = call.context.remaining(self.clock.now());
            self.dialect.set_deadline(request.headers_mut(), remaining);
            *in_execution = call
                .executing_request()
                .map(|request| instance.termination.begin(request));
            let mut report = SendingReport::new(self.clock, call, &instance.id, lease.usage());
            match lease.send(request).await {
                Ok(response) => {
                    self.read_announcements(instance, call, sent_at, &response);
                    let claim = ResponseClaim::read(&self.dialect, call.request_id, &response);
                    report.responded(claim);
                    self.metrics.backend_responded(claim);
                    let result = self.read(instance, call, claim, response, lease).await;
                    match &result {
                        Ok(_) => report.succeeded(),
                        Err(failure) => report.failed(failure.code),
                    }
                    return result;
                }
                Err(SendError::Failed(error)) => {
                    let code = result_code(error);
                    report.failed(code);
                    return Err(Failure::new(code));
                }
                Err(SendError::NotSent(unsent)) => {
                    report.not_sent();
                    *in_execution = None;
                    request = unsent;
                }
            }
        }
        instance.connect_failed(self.clock.now());
        Err(Failure::new(ResultCode::ConnectFailed))
    }

    async fn checkout(
        &self,
        instance: &OpenInstance,
        call: &AdmittedCall<'_>,
    ) -> Result<Lease, Failure> {
        let request = RequestKey::of(call.request_id);
        let checkout = instance.pool.checkout_for(request);
        checkout.await.map_err(|error| {
            if error == BackendError::ConnectFailed {
                instance.connect_failed(self.clock.now());
            }
            Failure::with_retry_after(result_code(error), UNAVAILABLE_RETRY_AFTER)
        })
    }

    fn set_target_instance(&self, instance: &OpenInstance, headers: &mut HeaderMap) {
        if let Some(id) = &instance.header_value {
            headers.insert(self.dialect.target_instance.clone(), id.clone());
        }
    }

    /// Reads what the instance announces about itself in the headers of a response.
    fn read_announcements<B>(
        &self,
        instance: &OpenInstance,
        call: &AdmittedCall<'_>,
        sent_at: Timestamp,
        response: &Response<B>,
    ) {
        if !is_from_instance(&self.dialect, call.request_id, &instance.id, response) {
            return;
        }
        let times = ExchangeTimes {
            sent_at,
            received_at: self.clock.now(),
        };
        let headers = response.headers();
        self.unread_headers.report(&self.dialect, headers);
        self.read_load(instance, times, headers);
        let announcements = &instance.announcements;
        let source = ResponseSource::Call;
        let is_leaving = announcements.read(source, times, &self.dialect, headers);
        if is_leaving && instance.close_leaving() && self.backend.is_current(instance) {
            (self.observers.leaving)(&instance.id);
        }
    }

    /// Reads the load that the instance reports and passes its slowdown to the gate.
    fn read_load(&self, instance: &OpenInstance, times: ExchangeTimes, headers: &HeaderMap) {
        let read = instance.load_reports.read(times, &self.dialect, headers);
        if let ReadReport::InForce(load) = read {
            instance.gate.record_slowdown(load.slowdown);
        }
        self.metrics.load_report_read(read);
    }

    async fn read(
        &self,
        instance: &OpenInstance,
        call: &AdmittedCall<'_>,
        claim: ResponseClaim,
        response: Response<Incoming>,
        lease: Lease,
    ) -> Result<BackendResponse, Failure> {
        match classify(&self.dialect, claim, &response) {
            ResponseClass::Usable => {}
            ResponseClass::Refused => {
                discard(response, lease);
                let code = ResultCode::RefusedByBackend;
                return Err(Failure::with_retry_after(code, REFUSED_RETRY_AFTER));
            }
            ResponseClass::Misdirected(found) => {
                if found.as_deref() != Some(instance.id.name()) {
                    (self.observers.misdirected)(&instance.id);
                }
                let code = ResultCode::RefusedByBackend;
                return Err(Failure::with_retry_after(code, UNAVAILABLE_RETRY_AFTER));
            }
            ResponseClass::Unusable(code) => return Err(Failure::new(code)),
        }
        let (mut parts, incoming) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        remove_internal_response_headers(&mut parts.headers);
        remove_length(&call.head.method, &mut parts.headers);
        let collected = collect(incoming).await;
        let collected = collected.map_err(|_| Failure::new(ResultCode::ConnectionLost))?;
        Ok(BackendResponse {
            parts,
            collected,
            lease,
        })
    }
}

/// Logs that an instance terminated.
fn log_termination(instance: &OpenInstance, executing: &[ExecutingRequest]) {
    let logged = executing.iter().take(MAX_LOGGED_REQUESTS);
    let logged: Vec<String> = logged
        .map(|request| request.fingerprint.to_string())
        .collect();
    log_event!(
        Event::InstanceEnded,
        "instance={} in_execution={} requests={}",
        instance.id,
        executing.len(),
        logged.join(","),
    );
}

/// True if the backend proved that it did not execute the call.
fn is_refused(result: &Result<BackendResponse, Failure>) -> bool {
    has_code(result, ResultCode::RefusedByBackend)
}

fn has_code(result: &Result<BackendResponse, Failure>, code: ResultCode) -> bool {
    matches!(result, Err(failure) if failure.code == code)
}

const fn result_code(error: BackendError) -> ResultCode {
    match error {
        BackendError::ConnectionLimit => ResultCode::ConnectionLimit,
        BackendError::ConnectFailed => ResultCode::ConnectFailed,
        BackendError::Lost => ResultCode::ConnectionLost,
        BackendError::MalformedResponse => ResultCode::MalformedAnswer,
    }
}

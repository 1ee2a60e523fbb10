//! Handing an admitted call to the back end, and judging what comes back: an answer, a refusal, a lost connection or the
//! end of the back end.

use std::time::Duration;

use http::header::HeaderMap;
use http::{HeaderValue, Response};
use hyper::body::Incoming;
use wharfquay_core::call::CallContext;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::retry::Backoff;
use wharfquay_daemon::answer::Failure;
use wharfquay_daemon::backend_pool::{BackendError, Lease, SendError};
use wharfquay_daemon::body::{BodyEnd, BodyObserver, RequestBody};
use wharfquay_daemon::headers::{remove_hop_by_hop, remove_internal_answer};

use super::answer::{Verdict, judge};
use super::backend::OpenInstance;
use super::end_detector::{Probed, RunningGuard, RunningRequest};
use super::execution::{LocalExecutor, UNAVAILABLE_RETRY_AFTER};
use crate::body::{Collected, collect, remove_length};
use crate::events::Event;
use crate::log_event;
use crate::message::RequestHead;

/// Connections that may prove closed before a byte was written, for one call.
const CONNECTION_TRIES: usize = 3;
/// Times that a call which the back end refused unexecuted is sent to it again at most.
const MOST_REPEATED_SENDS: u32 = 8;
/// Pauses before these: short, since the call holds its slot meanwhile.
const SEND_BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(1),
    maximum: Duration::from_millis(20),
};
/// Retry-After of a call that the back end itself refused.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Fingerprints that the line about an end of the back end shows at most.
const MOST_LOGGED_REQUESTS: usize = 16;

/// A call that the gate let through.
pub(super) struct AdmittedCall<'call> {
    pub(super) context: &'call CallContext,
    pub(super) request_id: &'call str,
    pub(super) head: &'call RequestHead,
    /// Whether it is a suspect that has its turn.
    pub(super) is_isolated: bool,
}

impl AdmittedCall<'_> {
    /// The call as one of those in execution; none where its first hop does not tell what it asks for.
    fn running(&self) -> Option<RunningRequest> {
        let fingerprint = self.context.fingerprint?;
        Some(RunningRequest {
            fingerprint,
            is_isolated: self.is_isolated,
        })
    }
}

/// The answer of the back end, as far as it was read.
pub(super) struct Answered {
    pub(super) parts: http::response::Parts,
    pub(super) collected: Collected,
    pub(super) lease: Lease,
}

impl LocalExecutor {
    /// Hands the call to the back end and reads its answer; hands it over again where the back end refused it
    /// unexecuted and the bound on repeats leaves room.
    pub(super) async fn dispatch(
        &self,
        instance: &OpenInstance,
        call: &AdmittedCall<'_>,
        body: RequestBody,
    ) -> Result<Answered, Failure> {
        self.quarantine.check(call.context)?;
        self.count_arrival(call.context)?;
        let can_repeat = matches!(body, RequestBody::Held(None));
        let mut result = self.send(instance, call, body).await;
        for repeat in 0..MOST_REPEATED_SENDS {
            if !can_repeat || !is_refused(&result) || instance.is_leaving() {
                break;
            }
            let wait = SEND_BACKOFF.delay(repeat, &mut rand::rng());
            let is_too_late = call.context.remaining(self.clock.now()) <= wait;
            if is_too_late || !self.backend.admit_repeat(call.context.priority) {
                break;
            }
            tokio::time::sleep(wait).await;
            self.quarantine.check(call.context)?;
            result = self.send(instance, call, RequestBody::Held(None)).await;
        }
        result
    }

    /// Counts a call that is about to be sent to the back end.
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

    /// Sends the call to the back end once and reads its answer; tells an end of the back end from the mere loss of
    /// a connection, and an answer to a suspect from its next end.
    async fn send(
        &self,
        instance: &OpenInstance,
        call: &AdmittedCall<'_>,
        body: RequestBody,
    ) -> Result<Answered, Failure> {
        let mut running = None;
        let sent = self.send_once(instance, call, body, &mut running).await;
        match &sent {
            // A failure of the back end's own may have come before the end that it was about to have.
            Ok(answered) if !answered.parts.status.is_server_error() => {
                self.quarantine.answered(call.context);
            }
            Err(failure)
                if failure.code == ResultCode::ConnectionLost
                    && !instance.is_leaving()
                    && self.has_ended(instance).await =>
            {
                return Err(Failure::new(ResultCode::BackendEnded));
            }
            _ => {}
        }
        sent
    }

    /// Whether the instance has ended. Whoever finds it out first tells operators and the quarantine.
    async fn has_ended(&self, instance: &OpenInstance) -> bool {
        match instance.end.probe().await {
            Probed::Alive => false,
            Probed::Ended => true,
            Probed::EndedNow(running) => {
                instance.connect_failed(self.clock.now());
                self.metrics.instance_ended();
                log_end(instance, &running);
                self.quarantine.instance_ended(&instance.id, &running);
                true
            }
        }
    }

    /// Sends the call once; `running` keeps it among the requests in execution.
    async fn send_once(
        &self,
        instance: &OpenInstance,
        call: &AdmittedCall<'_>,
        body: RequestBody,
        running: &mut Option<RunningGuard>,
    ) -> Result<Answered, Failure> {
        let mut request = call.head.to_request(body);
        self.address_to(instance, request.headers_mut());
        for _ in 0..CONNECTION_TRIES {
            let mut lease = self.checkout(instance).await?;
            let remaining = call.context.remaining(self.clock.now());
            self.dialect.set_deadline(request.headers_mut(), remaining);
            *running = call.running().map(|request| instance.end.begin(request));
            match lease.send(request).await {
                Ok(response) => return self.read(instance, call, response, lease).await,
                Err(SendError::Failed(error)) => return Err(Failure::new(code_of(error))),
                Err(SendError::NotSent(unsent)) => {
                    *running = None;
                    request = unsent;
                }
            }
        }
        instance.connect_failed(self.clock.now());
        Err(Failure::new(ResultCode::ConnectFailed))
    }

    async fn checkout(&self, instance: &OpenInstance) -> Result<Lease, Failure> {
        instance.pool.checkout().await.map_err(|error| {
            if error == BackendError::ConnectFailed {
                instance.connect_failed(self.clock.now());
            }
            Failure::with_retry_after(code_of(error), UNAVAILABLE_RETRY_AFTER)
        })
    }

    fn address_to(&self, instance: &OpenInstance, headers: &mut HeaderMap) {
        if let Ok(id) = HeaderValue::from_str(instance.id.name()) {
            headers.insert(self.dialect.target_instance.clone(), id);
        }
    }

    async fn read(
        &self,
        instance: &OpenInstance,
        call: &AdmittedCall<'_>,
        response: Response<Incoming>,
        lease: Lease,
    ) -> Result<Answered, Failure> {
        match judge(&self.dialect, call.request_id, &response) {
            Verdict::Answer => {}
            Verdict::Refused => {
                drain_refusal(response, lease);
                let code = ResultCode::RefusedByBackend;
                return Err(Failure::with_retry_after(code, REFUSED_RETRY_AFTER));
            }
            Verdict::Misdirected(found) => {
                if found.as_deref() != Some(instance.id.name()) {
                    (self.misdirected)(&instance.id);
                }
                let code = ResultCode::RefusedByBackend;
                return Err(Failure::with_retry_after(code, UNAVAILABLE_RETRY_AFTER));
            }
            Verdict::Unusable(code) => return Err(Failure::new(code)),
        }
        let (mut parts, incoming) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        remove_internal_answer(&mut parts.headers);
        remove_length(&call.head.method, &mut parts.headers);
        let collected = collect(incoming).await;
        let collected = collected.map_err(|_| Failure::new(ResultCode::ConnectionLost))?;
        Ok(Answered {
            parts,
            collected,
            lease,
        })
    }
}

/// Tells operators that an instance ended.
fn log_end(instance: &OpenInstance, running: &[RunningRequest]) {
    let logged = running.iter().take(MOST_LOGGED_REQUESTS);
    let logged: Vec<String> = logged
        .map(|request| request.fingerprint.to_string())
        .collect();
    log_event!(
        Event::InstanceEnded,
        "instance={} in_execution={} requests={}",
        instance.id,
        running.len(),
        logged.join(","),
    );
}

/// Whether the back end proved that it did not execute the call.
fn is_refused(result: &Result<Answered, Failure>) -> bool {
    matches!(result, Err(failure) if failure.code == ResultCode::RefusedByBackend)
}

/// Reads a short refusal to its end, so that its connection can be used again.
fn drain_refusal(response: Response<Incoming>, lease: Lease) {
    tokio::spawn(async move {
        if let Ok(Collected::Whole(_)) = collect(response.into_body()).await {
            BodyObserver::ended(Box::new(lease), BodyEnd::Complete);
        }
    });
}

const fn code_of(error: BackendError) -> ResultCode {
    match error {
        BackendError::ConnectionLimit => ResultCode::ConnectionLimit,
        BackendError::ConnectFailed => ResultCode::ConnectFailed,
        BackendError::Lost => ResultCode::ConnectionLost,
        BackendError::MalformedAnswer => ResultCode::MalformedAnswer,
    }
}
